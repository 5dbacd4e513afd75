"""Admission control of the local server."""

import asyncio
import contextlib
import socket
import time
import unittest
from dataclasses import replace
from random import Random

import uvloop

from damaskbay.core.admission import CallSample
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Refusal
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh.gate import Gate
from tests.common import block_loop, function_suite

WAIT_S = 5.0
QUEUE_WAIT_S = 1.0


def _context(left_s: float) -> CallContext:
    return CallContext(
        "", "w", 1, monotonic_s() + left_s, "r", "p", True, request_id="q"
    )


def _run(left_s: float) -> tuple[int | Refusal, int | Refusal, Gate]:
    """Acquire one slot twice; return both results and the gate."""

    async def acquire_twice() -> tuple[int | Refusal, int | Refusal, Gate]:
        gate = Gate(1, Random(1), monotonic_s())
        expiring = asyncio.create_task(gate.run_expiry(monotonic_s))
        first = await gate.acquire(_context(WAIT_S), 1.0, monotonic_s())
        async with asyncio.timeout(WAIT_S):
            second = await gate.acquire(_context(left_s), 1.0, monotonic_s())
        expiring.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await expiring
        return first, second, gate

    return asyncio.run(acquire_twice())


def test_a_call_that_waits_too_long_is_refused() -> None:
    """The timed check has to expire it, as no other event wakes the gate."""
    first, second, gate = _run(0.2)
    assert isinstance(first, int)
    assert isinstance(second, Refusal)
    assert second.not_run
    assert gate.waiting == 0
    assert gate.running == 1


def test_a_call_starts_when_a_slot_is_free() -> None:
    """A released slot goes to the waiting call."""

    async def hand_over() -> None:
        gate = Gate(1, Random(1), monotonic_s())
        first = await gate.acquire(_context(WAIT_S), 1.0, monotonic_s())
        assert isinstance(first, int)
        waiting = asyncio.create_task(
            gate.acquire(_context(WAIT_S), 1.0, monotonic_s())
        )
        await asyncio.sleep(0)
        assert gate.waiting == 1
        gate.release(first, CallSample(0.01), monotonic_s())
        assert isinstance(await waiting, int)

    asyncio.run(hand_over())


def test_a_call_that_is_too_late_does_not_start() -> None:
    """A call past its deadline is refused even with a free slot."""

    async def acquire() -> None:
        gate = Gate(1, Random(1), monotonic_s())
        late = replace(_context(WAIT_S), deadline=monotonic_s() - 0.1)
        assert isinstance(await gate.acquire(late, 1.0, monotonic_s()), Refusal)
        assert gate.running == 0

    asyncio.run(acquire())


# Guards against 503 for calls that can start: a busy loop checks their wait before it
# reads the responses that free slots.
def test_a_late_check_comes_after_responses_that_free_slots() -> None:
    """The loop is blocked until a call has waited too long, and a response waits."""

    async def run() -> int | Refusal:
        gate = Gate(1, Random(1), monotonic_s())
        expiring = asyncio.create_task(gate.run_expiry(monotonic_s))
        first = await gate.acquire(_context(WAIT_S), 1.0, monotonic_s())
        assert isinstance(first, int)
        waiting = asyncio.create_task(
            gate.acquire(_context(2 * QUEUE_WAIT_S), 1.0, monotonic_s())
        )
        response, server = socket.socketpair()

        def release() -> None:
            loop.remove_reader(response)
            gate.release(first, CallSample(0.01, succeeded=True), monotonic_s())

        def respond_and_block() -> None:
            time.sleep(1.2 * QUEUE_WAIT_S)
            server.send(b"x")

        loop = asyncio.get_running_loop()
        with response, server:
            loop.add_reader(response, release)
            await block_loop(respond_and_block)
            result = await waiting
        expiring.cancel()
        return result

    result = uvloop.run(run())
    assert isinstance(result, int), result


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
