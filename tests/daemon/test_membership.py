"""Tests of the membership task over loopback datagrams."""

import time
import unittest
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

from damaskbay.core.membership.contacts import CONTACT_PREFIX, Contact, pack_contacts
from damaskbay.core.membership.directory import SAMPLE_SERVERS
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.daemon.membership import MembershipService
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress, PeerIdentity
from damaskbay.stand_ins.memory_platform import MemoryPlatform
from tests.common import function_suite
from tests.daemon.fake_link import FakeLink, FakeNetwork

WAIT_LIMIT_S = 20.0


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true; fail after `WAIT_LIMIT_S` seconds."""
    end = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < end, "the condition did not become true in time"
        time.sleep(0.02)


OPTIONS = MembershipOptions(
    avoid_s=0.4,
    contact_period_s=0.3,
    delegate_request_period_s=0.3,
    member_request_period_s=0.3,
)


class ServiceGroup:
    """Membership services by instance, started one by one with `start`."""

    def __init__(self, stack: ExitStack) -> None:
        self.board = FakeNetwork()
        self.platform = MemoryPlatform()
        self.by_instance: dict[str, MembershipService] = {}
        self._stack = stack
        stack.callback(self.board.executor.shutdown)

    def start(
        self,
        instance: str,
        *,
        domain: str = "d1",
        pool: str = "p",
        seed_by: str | None = None,
    ) -> MembershipService:
        """Start a service and announce a ready backend server."""
        index = len(self.by_instance)
        identity = PeerIdentity(instance, 1, domain)
        address = PeerAddress("127.0.0.1", 7_000 + index)
        service = MembershipService(
            identity,
            address,
            PeerAddress("127.0.0.1", 0),
            secrets=[b"s" * 32],
            link=FakeLink(self.board, address, identity),
            platform=self.platform.client(instance),
            options=OPTIONS,
            seeds=[self.by_instance[seed_by].gossip] if seed_by else [],
            seed=index,
        )
        self.by_instance[instance] = self._stack.enter_context(service)
        service.announce(pool=pool, state=ServerState.READY, slots=4, load=0.1)
        return service


@contextmanager
def service_group() -> Iterator[ServiceGroup]:
    """Provide a group of services, which are stopped at exit."""
    with ExitStack() as stack:
        yield ServiceGroup(stack)


@contextmanager
def services(count: int) -> Iterator[list[MembershipService]]:
    """Run services of one failure domain that join through the first one."""
    with service_group() as running:
        for index in range(count):
            seed_by = "i0" if index else None
            running.start(f"i{index}", seed_by=seed_by)
        yield list(running.by_instance.values())


def test_services_find_each_other_and_see_one_leave() -> None:
    """All services list each other; one that drains is no longer listed."""
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
    """A server that was excluded for a failed call is listed again."""
    with services(3) as running:
        wait_until(lambda: all(len(item.servers("p")) == 3 for item in running))
        running[0].suspect("i1", 1)
        wait_until(lambda: len(running[0].servers("p")) == 2)
        wait_until(lambda: len(running[0].servers("p")) == 3)


def test_contacts_in_the_platform_are_enough_to_join() -> None:
    """A service without a seed joins through the contacts in the platform."""
    with service_group() as running:
        first = running.start("i0")
        second = running.start("i1")
        wait_until(lambda: len(first.members()) == 2 == len(second.members()))
        contacts = running.platform.list(CONTACT_PREFIX, timeout_s=1)
        assert isinstance(contacts, tuple)
        assert len(contacts) <= OPTIONS.delegates


def test_contacts_written_at_once_by_others_are_not_left_out() -> None:
    """A delegate reads the contacts again after it has written its own."""
    platform = MemoryPlatform()
    west_contact = Contact("west", 0, 0, *[PeerAddress("127.0.0.1", 9)] * 2)

    class RacingPlatform(MemoryPlatform):
        """Platform where another domain writes a contact before each write."""

        def client(self, name: str) -> MemoryPlatform:
            return self

        def compare_and_swap(self, key: str, value: bytes, **named: Any) -> Any:
            platform.compare_and_swap(
                f"{CONTACT_PREFIX}west/0",
                pack_contacts([west_contact]),
                expected_revision=0,
                timeout_s=1,
            )
            return platform.compare_and_swap(key, value, **named)

    racing = RacingPlatform()
    racing._shared = platform._shared
    with service_group() as running:
        running.platform = racing
        east = running.start("e0", domain="east")
        wait_until(lambda: set(east.contacts_by_domain()) == {"east", "west"})


def test_servers_of_other_domains_are_found_on_demand() -> None:
    """Servers of a remote pool are listed on demand; a draining one is replaced."""
    with service_group() as running:
        for index in range(5):
            running.start(f"e{index}", domain="east", seed_by="e0" if index else None)
        for index in range(6):
            seed_by = "w0" if index else None
            running.start(f"w{index}", domain="west", pool="q", seed_by=seed_by)
        east = [running.by_instance[f"e{index}"] for index in range(5)]
        wait_until(
            lambda: all(len(item.servers("q")) == SAMPLE_SERVERS for item in east)
        )
        assert {view.failure_domain for view in east[0].servers("q")} == {"west"}
        drained = east[0].servers("q")[0].instance
        draining = running.by_instance[drained]
        draining.announce(pool="q", state=ServerState.DRAINING, slots=4, load=0)
        wait_until(lambda: all(drained not in _instances(item) for item in east))
        wait_until(
            lambda: all(len(item.servers("q")) == SAMPLE_SERVERS for item in east)
        )


def test_failed_call_to_another_domain_is_remembered_for_a_time() -> None:
    """A remote server is excluded for a time after a failed call, then listed."""
    with service_group() as running:
        east = running.start("e0", domain="east")
        running.start("w0", domain="west", pool="q")
        running.start("w1", domain="west", pool="q", seed_by="w0")
        wait_until(lambda: _instances(east) == {"w0", "w1"})
        east.suspect("w0", 1)
        wait_until(lambda: _instances(east) == {"w1"})
        wait_until(lambda: _instances(east) == {"w0", "w1"})


def _instances(service: MembershipService) -> set[str]:
    return {view.instance for view in service.servers("q")}


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
