"""A daemon that drains under load fails no call and gets no new calls."""

import signal
import threading
import time
import unittest

from bench.fleet import Fleet, ServerPlan
from damaskbay.core.call import Response
from damaskbay.core.outcome import Refusal
from damaskbay.stand_ins.backend import HEADER_WORK_MS
from tests.common import function_suite
from tests.end_to_end.common import WAIT_S, Running, secrets_for_tests

CALLERS = 6
DRAINED_INSTANCE = "ledger-a"
LOAD_BEFORE_S = 0.5
NO_NEW_WORK_AFTER_S = 4.0
"""Two seconds to spread the state, and two for the calls in flight."""


def _plans() -> list[ServerPlan]:
    return [
        ServerPlan(f"{pool}-{domain}", "domain-a", pool, slots=16)
        for pool in ("lookup", "ledger")
        for domain in ("a", "b")
    ]


def test_sigterm_under_load_cuts_nothing() -> None:
    """Calls through peers to the draining daemon all get complete responses."""
    with Fleet(_plans()) as fleet:
        running = Running(fleet, secrets_for_tests())
        fleet.publish(running.document)
        fleet.wait_ready()
        refused: list[Refusal] = []
        response_count = [0]
        stop = threading.Event()

        def send_calls(instance: str) -> None:
            while not stop.is_set():
                outcome = running.call(
                    instance, "/ledger/stop", headers=((HEADER_WORK_MS, "20"),)
                )
                if isinstance(outcome, Response):
                    response_count[0] += 1
                else:
                    refused.append(outcome)

        threads = [
            threading.Thread(target=send_calls, args=(f"lookup-{name}",))
            for name in "ab" * (CALLERS // 2)
        ]
        for thread in threads:
            thread.start()
        time.sleep(LOAD_BEFORE_S)
        process = fleet.servers_by_instance[DRAINED_INSTANCE].daemon
        assert process is not None
        fleet.signal_daemon(DRAINED_INSTANCE, signal.SIGTERM)
        time.sleep(NO_NEW_WORK_AFTER_S)
        seen_late = len(running.seen(DRAINED_INSTANCE))
        process.wait(WAIT_S)
        stop.set()
        for thread in threads:
            thread.join(WAIT_S)
        assert process.returncode == 0
        assert refused == []
        assert response_count[0] > 0
        assert len(running.seen(DRAINED_INSTANCE)) == seen_late


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
