"""Runs a case and judges it by one of the rules that `_judge` knows."""

import asyncio
import os
import signal
import sys
import tempfile
import time
import traceback
from bisect import bisect_left
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

from lab.clients import TIME_LIMIT_S, Clients, Sent
from lab.fleet import CannotRunError, Fleet

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
MOST_LOST = 3
"""The rule LOST is broken by more than three requests."""

MOST_DENIED, DENIED_SHARE = 5, 1 / 500
"""The rule DENIED is broken by more than five and one in 500 of all requests."""

DRAIN_S, GRACE_S = 2.0, 6.0
WINDOW_S, BUDGET_RATIO, BUDGET_SLACK = 10.0, 0.2, 50

PROMISES = {408, 421, 429}
"""Statuses that the rule DENIED doesn't count."""

Play = Callable[[Fleet, Clients, bool], Awaitable[None]]


def run(
    play: Play,
    build: Callable[[Fleet], None],
    rule: str = "LOST",
    **server_options: object,
) -> None:
    """Play a case, write its record, and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Path(sys.argv[1])
    try:
        code = asyncio.run(_run(play, build, rule, trouble, record, server_options))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        code = CANNOT_RUN
    sys.exit(code)


async def _run(
    play: Play,
    build: Callable[[Fleet], None],
    rule: str,
    trouble: bool,
    record: Path,
    server_options: dict[str, object],
) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    clients = Clients()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(record, Path(folder), **server_options)
        build(fleet)
        async with fleet:
            started_at = time.monotonic()
            fleet.note(f"trouble: {trouble}")
            await play(fleet, clients, trouble)
            return _judge(fleet, clients, rule, started_at)


def _judge(fleet: Fleet, clients: Clients, rule: str, started_at: float) -> int:
    events = fleet.server_events()
    by_id: dict[str, list[str]] = {}
    unsound: set[str] = set()
    for event in events:
        text = f"{event['event']} at {event['server']}"
        if event["event"] == "spoil":
            unsound.add(str(event["server"]))
        by_id.setdefault(str(event["id"]), []).append(text)
    lost: list[Sent] = []
    for sent in clients.sent:
        ran = by_id.get(sent.request_id, [])
        fleet.note(f"{sent.line()}; servers: {', '.join(ran) or 'nothing'}")
        closed = sent.status is None and sent.end.startswith("closed by the daemon")
        at_sound = [text for text in ran if text.split()[-1] not in unsound]
        if sent.kept and closed and at_sound:
            lost.append(sent)
    answered = sum(sent.status == 200 for sent in clients.sent)
    peaks = ", ".join(
        f"{machine.name} {machine.most_kib // 1024} MiB" for machine in fleet.machines
    )
    ends = {
        machine.name: [round(end - started_at, 2) for end in machine.own_ends]
        for machine in fleet.machines
        if machine.own_ends
    }
    denied = sum(
        sent.status is not None
        and 300 <= sent.status < 500
        and sent.status not in PROMISES
        for sent in clients.sent
    )
    late = list(_reached_late(events))
    for event in late:
        fleet.note(f"DRAIN: {event['id']} reached {event['server']} {event['late']}")
    sent_by_id = {sent.request_id: sent for sent in clients.sent}
    changed = 0
    for event in events:
        sent = sent_by_id.get(str(event["id"]))
        if event["event"] != "begin" or sent is None or sent.digest is None:
            continue
        if event["digest"] != sent.digest:
            changed += 1
            fleet.note(
                f"UNASKED: {event['id']} ran with a body of {event['bytes']} bytes,"
                f" digest {event['digest']} instead of {sent.digest}"
            )
    broken_off = _broken_off(fleet, clients.sent, by_id)
    for item in broken_off:
        fleet.note(f"LOST: {item.request_id} was broken off while its server worked")
    repeats, allowed = _most_repeats(events, clients.sent)
    most_denied = MOST_DENIED + DENIED_SHARE * len(clients.sent)
    summary = [
        f"requests: {len(clients.sent)}, answered with 200: {answered}",
        f"peak memory: {peaks}",
        f"daemons that ended by themselves: {ends or 'none'}",
        f"LOST: {len(lost)} requests of kept connections were passed on to a sound"
        f" server and their connection was closed without an answer;"
        f" allowed: {MOST_LOST}",
        f"UNASKED: {changed} requests ran with another body than was sent; allowed: 0",
        f"BUDGET: {repeats} repeats in {WINDOW_S:.0f} s; allowed: {allowed:.0f}",
        f"DENIED: {denied} requests got a 3xx or 4xx; allowed: {most_denied:.0f}",
    ]
    if any(event["event"] == "acked" for event in events):
        summary.append(
            f"DRAIN: {len(late)} requests reached a server later than {DRAIN_S} s after"
            " the ack that it leaves; allowed: 0"
        )
    if any(machine.stopped_at is not None for machine in fleet.machines):
        summary.append(
            f"LOST: {len(broken_off)} requests were broken off after a SIGTERM while"
            " their servers were at work, and answered by the daemon; allowed: 0"
        )
    for line in summary:
        fleet.note(line)
        print(line)
    if answered == 0:
        raise CannotRunError("no request was answered")
    broken = {
        "LOST": len(lost) > MOST_LOST or bool(broken_off),
        "DENIED": denied > most_denied,
        "DRAIN": bool(late),
        "BUDGET": repeats > allowed,
        "UNASKED": changed > 0,
    }
    print(f"the rule {rule} is {'broken' if broken[rule] else 'held'}")
    return BROKEN if broken[rule] else HELD


def _reached_late(events: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    """Yield the requests that began at a server later than Drain after an ack."""
    acked_at: dict[str, float] = {}
    for event in events:
        server = event["server"]
        if event["event"] == "acked":
            acked_at[server] = event["t"]
        elif event["event"] == "begin" and server in acked_at:
            after_s = event["t"] - acked_at[server]
            if after_s > DRAIN_S:
                yield {**event, "late": f"{after_s:.2f} s after its ack"}


def _broken_off(
    fleet: Fleet, all_sent: list[Sent], by_id: dict[str, list[str]]
) -> list[Sent]:
    """
    Return the requests that a stopping daemon broke off and answered itself.

    Not counted are those whose time limit was reached, and those whose server was
    still at work in the last sixth of Grace.
    """
    stops = {machine.name: machine.stopped_at for machine in fleet.machines}
    found = []
    for sent in all_sent:
        stopped_at = stops[sent.machine]
        if stopped_at is None or sent.status is None or sent.status < 500:
            continue
        ran = [text.split()[0] for text in by_id.get(sent.request_id, [])]
        after_s = sent.ended_at - stopped_at
        if (
            "begin" in ran
            and "end" not in ran
            and 0.0 < after_s < GRACE_S * 5 / 6
            and sent.ended_at - sent.sent_at < TIME_LIMIT_S
        ):
            found.append(sent)
    return found


def _most_repeats(events: list[dict[str, Any]], sent: list[Sent]) -> tuple[int, float]:
    """
    Return the arrivals beyond the first of each request, and how many are allowed.

    They are those of the worst window. All requests go to one service.
    """
    known: set[str] = set()
    repeated_at: list[float] = []
    for event in events:
        if event["event"] == "begin":
            if event["id"] in known:
                repeated_at.append(event["t"])
            known.add(event["id"])
    sent_at = sorted(item.sent_at for item in sent)
    worst = (0, BUDGET_RATIO * len(sent) + BUDGET_SLACK)
    for start in repeated_at:
        repeats = _count(repeated_at, start)
        starts = (start, start - WINDOW_S, start - WINDOW_S / 2)
        requests = max(_count(sent_at, moment) for moment in starts)
        allowed = BUDGET_RATIO * requests + BUDGET_SLACK
        if repeats - allowed > worst[0] - worst[1]:
            worst = (repeats, allowed)
    return worst


def _count(moments: list[float], start: float) -> int:
    """Return how many of the sorted moments lie in the window from `start`."""
    return bisect_left(moments, start + WINDOW_S) - bisect_left(moments, start)
