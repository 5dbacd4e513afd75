"""Tests of stand_ins.memory_platform, mainly of its faults."""

import unittest
from concurrent.futures import ThreadPoolExecutor

from damaskbay.ports.platform import Entry, PlatformFailure, PlatformProblem
from damaskbay.stand_ins.memory_platform import MemoryPlatform
from tests.common import function_suite

TIMEOUT_S = 5.0


def _put(platform: MemoryPlatform, key: str, value: bytes) -> object:
    return platform.compare_and_swap(
        key, value, expected_revision=0, timeout_s=TIMEOUT_S
    )


def _problem(result: object) -> PlatformProblem:
    assert isinstance(result, PlatformFailure)
    return result.problem


def test_an_outage_ends_calls_and_waiting_watches() -> None:
    """An outage ends open watches and fails writes without effect."""
    platform = MemoryPlatform()
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(
            platform.watch, "a", after_revision=0, timeout_s=TIMEOUT_S
        )
        with platform.fault(outage=True):
            assert _problem(waiting.result()) is PlatformProblem.UNAVAILABLE
            assert _problem(_put(platform, "a", b"1")) is PlatformProblem.UNAVAILABLE
    assert platform.get("a", timeout_s=TIMEOUT_S) is None


def test_a_lost_answer_took_effect_and_a_dropped_write_did_not() -> None:
    """Lost replies and lost writes give the same failure to the client."""
    platform = MemoryPlatform()
    platform.inject(lose_answers=1)
    assert _problem(_put(platform, "a", b"1")) is PlatformProblem.ANSWER_LOST
    platform.inject(drop_writes=1)
    assert _problem(_put(platform, "b", b"1")) is PlatformProblem.ANSWER_LOST
    assert isinstance(platform.get("a", timeout_s=TIMEOUT_S), Entry)
    assert platform.get("b", timeout_s=TIMEOUT_S) is None
    assert isinstance(_put(platform, "c", b"1"), Entry)


def test_a_cut_client_alone_is_refused() -> None:
    """Other clients of the same store are not affected."""
    platform = MemoryPlatform()
    east, west = platform.client("east"), platform.client("west")
    platform.inject(cut_clients=frozenset({"east"}))
    assert _problem(_put(east, "a", b"1")) is PlatformProblem.UNAVAILABLE
    assert isinstance(_put(west, "a", b"1"), Entry)
    assert platform.counters.by_client["west"] == 1


def test_calls_above_the_rate_are_busy() -> None:
    """Requests above the limit within one second fail as busy."""
    seconds = [0.0]
    platform = MemoryPlatform(clock=lambda: seconds[0])
    platform.inject(max_reads_per_s=2)
    results = [platform.get("a", timeout_s=TIMEOUT_S) for _ in range(3)]
    assert results[:2] == [None, None]
    assert _problem(results[2]) is PlatformProblem.BUSY
    seconds[0] = 1.5
    assert platform.get("a", timeout_s=TIMEOUT_S) is None


def test_a_write_slower_than_its_timeout_is_an_answer_lost() -> None:
    """A slow read is reported as unavailable; a slow write took effect."""
    platform = MemoryPlatform()
    platform.inject(delay_s=0.02)
    written = platform.compare_and_swap("a", b"1", expected_revision=0, timeout_s=0.01)
    assert _problem(written) is PlatformProblem.ANSWER_LOST
    assert _problem(platform.get("a", timeout_s=0.01)) is PlatformProblem.UNAVAILABLE
    assert isinstance(platform.get("a", timeout_s=TIMEOUT_S), Entry)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
