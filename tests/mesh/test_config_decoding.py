"""
Pattern: a set arrives whose decoding takes long.

The daemon goes on serving meanwhile, and can be stopped.
"""

import asyncio
import contextlib
import threading
import unittest
from collections.abc import AsyncIterator
from unittest.mock import patch

from damaskbay.config.objects import ConfigSet
from damaskbay.platform.manifest import decode_manifest
from tests.common import function_suite
from tests.mesh.common import WAIT_S, Fleet, Node, run_fleet, wait_until

DECODE = "damaskbay.platform.daemon.decode_manifest"


class _SlowDecoder:
    """Decodes a set when it is released, at the latest after WAIT_S."""

    def __init__(self) -> None:
        self.started = threading.Event()
        self.released = threading.Event()
        self.timed_out = False

    def decode(self, document: bytes) -> ConfigSet:
        """Return the set of a manifest."""
        self.started.set()
        self.timed_out |= not self.released.wait(WAIT_S)
        return decode_manifest(document)


@contextlib.asynccontextmanager
async def _decoding() -> AsyncIterator[tuple[Fleet, Node, _SlowDecoder]]:
    """Yield a daemon that decodes a new set."""
    async with run_fleet(a="one") as fleet:
        decoder = _SlowDecoder()
        with patch(DECODE, decoder.decode):
            await fleet.publish(keys=("k2",))
            await wait_until(decoder.started.is_set)
            try:
                yield fleet, fleet.nodes["a"], decoder
            finally:
                decoder.released.set()


# Large sets were decoded on the event loop: nothing else ran for up to 0.4 s.
def test_requests_are_answered_while_a_set_is_decoded() -> None:
    """They are answered by the set in force; the new one follows it."""

    async def run() -> None:
        async with _decoding() as (fleet, node, decoder):
            assert (await node.request("/safe/")).status == 200
            assert not decoder.timed_out
            decoder.released.set()
            configuration = node.daemon.configuration
            await wait_until(lambda: configuration.version == fleet.version)
            assert (await node.request("/safe/", key="k2")).status == 200

    asyncio.run(run())


def test_a_daemon_stops_while_a_set_is_decoded() -> None:
    """The stop doesn't wait for the set."""

    async def run() -> None:
        async with _decoding() as (_, node, decoder):
            node.daemon.stop()
            await node.run_task
            assert not decoder.timed_out

    asyncio.run(run())


def test_a_set_that_fails_to_decode_does_not_end_the_watch() -> None:
    """The next one is activated."""

    async def run() -> None:
        async with run_fleet(a="one") as fleet:
            configuration = fleet.nodes["a"].daemon.configuration
            failed = threading.Event()

            def fail(_document: bytes) -> ConfigSet:
                failed.set()
                raise ZeroDivisionError

            with patch(DECODE, fail):
                await fleet.publish()
                await wait_until(failed.is_set)
            await fleet.publish()
            await wait_until(lambda: configuration.version == fleet.version)

    asyncio.run(run())


# A set that failed to decode once was in force nowhere until it was changed.
def test_a_set_that_fails_to_decode_is_decoded_again() -> None:
    """Memory or a thread was missing for a while."""

    async def run() -> None:
        async with run_fleet(a="one") as fleet:
            configuration = fleet.nodes["a"].daemon.configuration
            failed = threading.Event()

            def fail(_document: bytes) -> ConfigSet:
                failed.set()
                raise MemoryError

            with patch(DECODE, fail):
                await fleet.publish()
                await wait_until(failed.is_set)
            await wait_until(lambda: configuration.version == fleet.version)

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
