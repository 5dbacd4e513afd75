"""Runs a case and judges it by the rule LOST, DENIED or DRAIN."""

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

from lab.clients import Clients, Sent
from lab.fleet import CannotRunError, Fleet

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
MOST_LOST = 3
"""The rule LOST is broken by more than three requests."""

MOST_DENIED, DENIED_SHARE = 5, 1 / 500
"""The rule DENIED is broken by more than five and one in 500 of all requests."""

DRAIN_S = 2.0

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
    except (CannotRunError, OSError, asyncio.CancelledError) as error:
        print(f"cannot run: {error!r}")
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
    most_denied = MOST_DENIED + DENIED_SHARE * len(clients.sent)
    summary = [
        f"requests: {len(clients.sent)}, answered with 200: {answered}",
        f"peak memory: {peaks}",
        f"daemons that ended by themselves: {ends or 'none'}",
        f"LOST: {len(lost)} requests of kept connections were passed on to a sound"
        f" server and their connection was closed without an answer;"
        f" allowed: {MOST_LOST}",
        f"DENIED: {denied} requests got a 3xx or 4xx; allowed: {most_denied:.0f}",
    ]
    if any(event["event"] == "acked" for event in events):
        summary.append(
            f"DRAIN: {len(late)} requests reached a server later than {DRAIN_S} s after"
            " the ack that it leaves; allowed: 0"
        )
    for line in summary:
        fleet.note(line)
        print(line)
    if answered == 0:
        raise CannotRunError("no request was answered")
    broken = {
        "LOST": len(lost) > MOST_LOST,
        "DENIED": denied > most_denied,
        "DRAIN": bool(late),
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
