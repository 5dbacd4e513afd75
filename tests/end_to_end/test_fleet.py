"""End-to-end tests of a fleet through its HTTP interfaces and command line."""

import json
import threading
import time
import unittest
from urllib.parse import quote

from damaskbay.const import HEADER_CALL_ID
from damaskbay.core.call import Response
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.helpers.keys import new_key_secret
from damaskbay.stand_ins.backend import HEADER_BYTES, HEADER_NESTED, HEADER_WORK_MS
from tests.common import function_suite
from tests.end_to_end.common import POOLS, WAIT_S, running_fleet

WITHDRAWN_WITHIN_S = 7.0
SERVERS = tuple(f"{pool}-{domain}" for pool in POOLS for domain in ("a", "b"))


def test_whole_answers_of_any_size() -> None:
    """Bodies arrive unchanged in both directions, locally and over a peer stream."""
    running = running_fleet()
    for pool in POOLS:
        for size in (1, 70_000, 2_000_000):
            body = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
            answer = running.call(
                "lookup-a",
                f"/{pool}/echo",
                method="POST",
                headers=((HEADER_BYTES, "1"),),
                body=body,
            )
            assert isinstance(answer, Response), answer
            assert answer.body == body


def test_no_backend_server_sees_a_key() -> None:
    """Backend servers get no key, wherever callers put it, also in nested calls."""
    running = running_fleet()
    secret = running.secrets["fitters"]
    other = new_key_secret()
    outcomes = [
        running.call(
            "lookup-a",
            f"/lookup/k?key={secret}&enc={quote(secret)}&other={other}&kept=1",
            headers=(
                ("Authorization", f"Bearer {secret}"),
                ("Cookie", f"a={secret}"),
                (HEADER_NESTED, "/ledger/k,/lookup/k"),
            ),
        ),
        running.call("lookup-b", "/ledger/k", headers=(("X-Other", other),)),
        running.call("ledger-a", f"/ledger/{secret}"),
        running.call("ledger-a", "/ledger/b", method="POST", body=secret.encode()),
    ]
    assert isinstance(outcomes[0], Response), outcomes[0]
    assert isinstance(outcomes[1], Response), outcomes[1]
    assert isinstance(outcomes[2], Refusal)
    assert isinstance(outcomes[3], Refusal)
    text = json.dumps([running.seen(name) for name in SERVERS])
    assert "kept=1" in text
    for key in (secret, other, *running.secrets.values()):
        assert key not in text
        assert quote(key) not in text


def test_a_repeat_runs_once_whichever_daemon_gets_it() -> None:
    """A request id sent to all daemons at once, and again later, runs once."""
    running = running_fleet()
    request_id = running.request_id("lookup-a")
    target = "/ledger/file/once"
    outcomes: list[Response | Refusal] = []

    def send(instance: str) -> None:
        outcomes.append(
            running.call(
                instance,
                target,
                method="POST",
                headers=((HEADER_WORK_MS, "100"),),
                body=b"1",
                request_id=request_id,
            )
        )

    threads = [threading.Thread(target=send, args=(name,)) for name in SERVERS]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(WAIT_S)
    for name in SERVERS:
        send(name)
    ran = [
        item
        for name in SERVERS
        for item in running.seen(name)
        if item["target"] == target
    ]
    assert len(ran) == 1
    assert sum(isinstance(item, Response) for item in outcomes) >= len(SERVERS)
    assert all(isinstance(item, Response) or not item.not_run for item in outcomes)


def test_a_withdrawn_key_stops_on_an_open_connection() -> None:
    """Each daemon refuses a withdrawn key within seconds, and no other key."""
    running = running_fleet()
    document_without_key = {**running.document, "keys": dict(running.document["keys"])}
    del document_without_key["keys"]["wells-key"]
    for name in SERVERS:
        before = running.call(name, "/ledger/w", workspace="wells")
        assert isinstance(before, Response), before
    running.fleet.publish(document_without_key)
    deadline = time.monotonic() + WITHDRAWN_WITHIN_S
    for name in SERVERS:
        outcome = running.call(name, "/ledger/w", workspace="wells")
        while isinstance(outcome, Response) and time.monotonic() < deadline:
            time.sleep(0.05)
            outcome = running.call(name, "/ledger/w", workspace="wells")
        assert isinstance(outcome, Refusal)
        assert outcome.reason is Reason.KEY_UNKNOWN
        other = running.call(name, "/ledger/w")
        assert isinstance(other, Response), other
    running.fleet.publish(running.document)


def test_operators_see_status_metrics_and_reasons() -> None:
    """The command line explains a call by its id and shows a ready daemon."""
    running = running_fleet()
    answer = running.call("lookup-a", "/lookup/explained")
    assert isinstance(answer, Response)
    call_id = dict(answer.headers)[HEADER_CALL_ID]
    port = running.server("lookup-a").operator_port
    explained = running.fleet.cli("explain", call_id, "--at", f"127.0.0.1:{port}")
    assert explained.returncode == 0
    assert "answered: 200" in explained.stdout
    assert "route lookup-read" in explained.stdout
    status = running.fleet.cli("status", f"127.0.0.1:{port}", "--json")
    document = json.loads(status.stdout)
    assert document["daemons"][0]["instance"] == "lookup-a"
    assert document["daemons"][0]["ready"]


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
