"""Demo of a local fleet, from the first configuration set to a graceful stop."""

import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from bench.fleet import HOST, Fleet, FleetError, Server, ServerPlan, fleet
from bench.sets import sample_set, secrets_for
from damaskbay.client import Client, ClientOptions, DaemonAddress
from damaskbay.core.call import Response
from damaskbay.core.outcome import Refusal
from damaskbay.stand_ins.backend import HEADER_NESTED, HEADER_WORK_MS

SLOTS = 8
WORK_MS = "50"
SURGE_THREADS = 64
SURGE_S = 4.0
DEADLINE_S = 5.0
WITHDRAWN_WITHIN_S = 7.0
POLL_S = 0.05


class DemoError(RuntimeError):
    """A step of the demo failed."""


def main() -> int:
    """Run all steps and print their results."""
    secrets = secrets_for(["fitters", "wells"])
    plans = [
        ServerPlan(f"{pool}-{domain}", f"domain-{domain}", pool, slots=SLOTS)
        for pool in ("lookup", "ledger")
        for domain in ("a", "b")
    ]
    document = sample_set(
        ["lookup", "ledger"], secrets_by_workspace=secrets, slots=SLOTS
    )
    document["routes"]["lookup-read"]["calls"] = ["ledger-read"]
    try:
        say("starting a platform, 4 backend servers and 4 daemons in 2 domains")
        with fleet(plans, document) as running:
            say("set 1 is published and in force everywhere")
            for step in (
                _local_and_remote,
                _nested,
                _run_once,
                _withdraw_key,
                _surge,
                _graceful_stop,
            ):
                step(running, document, secrets)
    except (DemoError, FleetError) as error:
        print(f"demo: FAILED: {error}")
        return 1
    print("demo: success")
    return 0


def say(text: str) -> None:
    """Print one line of the demo."""
    print(f"demo: {text}", flush=True)


def _client(server: Server, secret: str) -> Client:
    address = DaemonAddress(HOST, server.caller_port)
    return Client([address], secret, ClientOptions(max_attempts=1))


def _call(client: Client, method: str, path: str, **options: Any) -> Response | Refusal:
    return client.call(method, path, host="demo", deadline_s=DEADLINE_S, **options)


def _local_and_remote(
    running: Fleet, document: dict[str, Any], secrets: dict[str, str]
) -> None:
    server = running.servers_by_instance["lookup-a"]
    with _client(server, secrets["fitters"]) as client:
        for path in ("/lookup/nosing", "/ledger/nosing"):
            answer = _call(client, "GET", path)
            if not isinstance(answer, Response):
                raise DemoError(f"{path} was refused: {answer}")
            say(f"GET {path} at lookup-a: {answer.status} {answer.body.decode()}")


def _nested(running: Fleet, document: dict[str, Any], secrets: dict[str, str]) -> None:
    server = running.servers_by_instance["lookup-b"]
    with _client(server, secrets["fitters"]) as client:
        headers = ((HEADER_NESTED, "/ledger/inner"),)
        answer = _call(client, "GET", "/lookup/outer", headers=headers)
    if not isinstance(answer, Response) or b"[200]" not in answer.body:
        raise DemoError(f"the nested call failed: {answer}")
    say("a backend server called on through its daemon, without any key: 200")


def _run_once(
    running: Fleet, document: dict[str, Any], secrets: dict[str, str]
) -> None:
    first = running.servers_by_instance["lookup-a"]
    second = running.servers_by_instance["ledger-b"]
    with (
        _client(first, secrets["fitters"]) as here,
        _client(second, secrets["fitters"]) as there,
    ):
        request_id = here.new_request_id(deadline_s=DEADLINE_S)
        if isinstance(request_id, Refusal):
            raise DemoError(f"no request id: {request_id}")
        path = "/ledger/file/certificate-1"
        one = _call(here, "POST", path, body=b"certificate", request_id=request_id)
        two = _call(there, "POST", path, body=b"certificate", request_id=request_id)
    same = (
        isinstance(one, Response) and isinstance(two, Response) and one.body == two.body
    )
    if not same:
        raise DemoError(f"a repeat did not give the first answer: {one}, {two}")
    say("a filing sent twice, to two daemons, ran once; both got the same answer")


def _withdraw_key(
    running: Fleet, document: dict[str, Any], secrets: dict[str, str]
) -> None:
    document_without_key = {**document, "keys": dict(document["keys"])}
    del document_without_key["keys"]["wells-key"]
    server = running.servers_by_instance["ledger-a"]
    with _client(server, secrets["wells"]) as client:
        if not isinstance(_call(client, "GET", "/ledger/x"), Response):
            raise DemoError("a key was refused before it was withdrawn")
        running.publish(document_without_key)
        began = time.monotonic()
        while isinstance(_call(client, "GET", "/ledger/x"), Response):
            if time.monotonic() - began > WITHDRAWN_WITHIN_S:
                raise DemoError("a withdrawn key still works")
            time.sleep(POLL_S)
    took_s = time.monotonic() - began
    say(f"a key was withdrawn: refused {took_s:.2f} s after the set was accepted")


def _surge(running: Fleet, document: dict[str, Any], secrets: dict[str, str]) -> None:
    """Send more bulk calls than there are slots, with some critical calls."""
    servers = [running.servers_by_instance[f"ledger-{name}"] for name in ("a", "b")]
    outcomes: Counter[str] = Counter()
    shed: list[str] = []
    lock = threading.Lock()
    end = time.monotonic() + SURGE_S

    def send(number: int) -> None:
        kind = "critical" if number % 8 == 0 else "bulk"
        path = "/ledger/file/x" if kind == "critical" else "/ledger/bulk/x"
        server = servers[number % len(servers)]
        with _client(server, secrets["fitters"]) as client:
            while time.monotonic() < end:
                outcome = _call(
                    client, "GET", path, headers=((HEADER_WORK_MS, WORK_MS),)
                )
                name = "answered" if isinstance(outcome, Response) else "refused"
                with lock:
                    outcomes[f"{kind} {name}"] += 1
                    if kind == "critical" and isinstance(outcome, Refusal):
                        shed.append(f"{outcome.reason.value}: {outcome.detail}")
                if name == "refused":
                    time.sleep(POLL_S)

    _run_threads(send)
    say(f"surge of {SURGE_THREADS} callers on 2 x {SLOTS} slots: {dict(outcomes)}")
    if outcomes["bulk refused"] == 0:
        raise DemoError("the surge shed no bulk work")
    if outcomes["critical refused"] > 0:
        raise DemoError(f"critical requests were shed: {Counter(shed)}")


def _run_threads(send: Callable[[int], None]) -> None:
    threads = [
        threading.Thread(target=send, args=(number,)) for number in range(SURGE_THREADS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _graceful_stop(
    running: Fleet, document: dict[str, Any], secrets: dict[str, str]
) -> None:
    """Stop one daemon gracefully under load."""
    server = running.servers_by_instance["ledger-a"]
    refused: list[Refusal] = []
    answered = 0
    with _client(running.servers_by_instance["lookup-a"], secrets["fitters"]) as client:
        running.signal_daemon("ledger-a", signal.SIGTERM)
        while server.daemon is not None and server.daemon.poll() is None:
            outcome = _call(client, "GET", "/ledger/x")
            if isinstance(outcome, Refusal):
                refused.append(outcome)
            else:
                answered += 1
    if refused:
        raise DemoError(f"a graceful stop cut {len(refused)} calls: {refused[0]}")
    say(f"ledger-a stopped gracefully while {answered} calls went on, none cut")


if __name__ == "__main__":
    sys.exit(main())
