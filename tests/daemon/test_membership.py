"""Tests of the membership task over loopback datagrams."""

import time
import unittest
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

from damaskbay.daemon.membership import MembershipService
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress, PeerIdentity
from tests.common import function_suite
from tests.daemon.fake_link import FakeLink, Switchboard

LIMIT_S = 20.0


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition with a generous upper bound."""
    end = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end, "the condition did not come true"
        time.sleep(0.02)


@contextmanager
def services(count: int) -> Iterator[list[MembershipService]]:
    """Run services of one failure domain that join by the first."""
    board = Switchboard()
    with ExitStack() as stack:
        stack.callback(board.executor.shutdown)
        started: list[MembershipService] = []
        for index in range(count):
            identity = PeerIdentity(f"i{index}", 1, "d1")
            address = PeerAddress("127.0.0.1", 7_000 + index)
            service = MembershipService(
                identity,
                address,
                PeerAddress("127.0.0.1", 0),
                secret=b"s" * 32,
                link=FakeLink(board, address, identity),
                seeds=[started[0].gossip] if started else [],
                seed=index,
            )
            started.append(stack.enter_context(service))
            service.announce(pool="p", state=ServerState.READY, slots=4, load=0.1)
        yield started


def test_services_find_each_other_and_see_one_leave() -> None:
    """All see all; a service that leaves is gone for the others."""
    with services(4) as running:
        wait_until(lambda: all(len(item.servers("p")) == 4 for item in running))
        assert [view.local for view in running[1].servers("p")].count(True) == 1
        assert len(running[1].members()) == 4
        running[3].announce(pool="p", state=ServerState.DRAINING, slots=4, load=0)
        wait_until(lambda: all(len(item.servers("p")) == 3 for item in running))
        view = running[0].by_instance("i3")
        assert view is not None
        assert view.state is ServerState.DRAINING
    assert view.slots == 4


def test_a_reported_failure_of_a_live_server_is_forgiven() -> None:
    """A server that was avoided for a failed call comes back."""
    with services(3) as running:
        wait_until(lambda: all(len(item.servers("p")) == 3 for item in running))
        running[0].suspect("i1", 1)
        wait_until(lambda: len(running[0].servers("p")) == 2)
        wait_until(lambda: len(running[0].servers("p")) == 3)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
