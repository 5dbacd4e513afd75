"""Configuration services of several failure domains in one process."""

from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

from damaskbay.config.const import HEAD_KEY
from damaskbay.config.head import HeadRecord, read_record
from damaskbay.config.publishing import (
    Publication,
    Published,
    Publisher,
    new_publish_id,
)
from damaskbay.core.dissemination.options import DisseminationOptions
from damaskbay.daemon.config_service import ConfigService
from damaskbay.ports.fleet import MemberView, ServerState, ServerView
from damaskbay.ports.peer import PeerAddress, PeerIdentity
from damaskbay.ports.platform import Entry
from damaskbay.stand_ins.memory_platform import MemoryPlatform
from tests.config.common import document
from tests.daemon.fake_link import FakeLink, FakeNetwork

OPTIONS = DisseminationOptions(
    poll_period_s=0.05,
    watch_s=0.05,
    retry_s=0.05,
    lease_s=0.8,
    lease_renew_s=0.2,
    lease_margin_s=0.2,
    outage_after_s=0.3,
    outage_valid_s=1.0,
    reachability_valid_s=0.6,
)


class Operator:
    """Publisher of small configuration sets in the platform."""

    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform
        self._publisher = Publisher(platform)
        self.version = 0

    def publish(self) -> int:
        """Publish the next set; return its version."""
        accepted = document(workspaces__north__rate_per_s=self.version + 1)
        publication = Publication(accepted, "test", self.version, new_publish_id())
        result = self._publisher.publish(publication)
        assert isinstance(result, Published), result
        self.version = result.record.version
        return self.version

    def write_broken_head(self, *, version: int) -> None:
        """Write a head whose parts are missing."""
        entry = self._platform.get(HEAD_KEY, timeout_s=1)
        assert isinstance(entry, Entry)
        record = read_record(entry)
        assert isinstance(record, HeadRecord)
        changes = {"version": version, "packs": ("0" * 64,), "delta": None}
        broken = record.model_copy(update={**changes, "digest": "1" * 64})
        self.write_head(broken.to_bytes())

    def write_head(self, value: bytes) -> None:
        """Overwrite the head with any bytes."""
        entry = self._platform.get(HEAD_KEY, timeout_s=1)
        assert isinstance(entry, Entry)
        self._platform.compare_and_swap(
            HEAD_KEY, value, expected_revision=entry.revision, timeout_s=1
        )


@dataclass
class StaticMembership:
    """Membership and contacts with a fixed list of daemons."""

    own_domain: str
    by_domain: dict[str, tuple[MemberView, ...]]
    knows_contacts: bool = True

    def members(self) -> tuple[MemberView, ...]:
        """Return the daemons of the local failure domain."""
        return self.by_domain[self.own_domain]

    def contacts_by_domain(self) -> Mapping[str, tuple[PeerAddress, ...]]:
        """Return two daemons of each failure domain; none if contacts are unknown."""
        by_domain = self.by_domain if self.knows_contacts else {}
        return {
            domain: tuple(item.address for item in members[:2])
            for domain, members in by_domain.items()
        }

    def servers(self, pool: str) -> tuple[ServerView, ...]:
        """Return no servers."""
        return ()

    def by_instance(self, instance: str) -> ServerView | None:
        """Return no server."""
        return None

    def announce(
        self, *, pool: str, state: ServerState, slots: int, load: float
    ) -> None:
        """Do nothing."""

    def suspect(self, instance: str, incarnation: int) -> None:
        """Do nothing."""


class Fleet:
    """Configuration services by instance, started with `start`."""

    def __init__(self, stack: ExitStack, counts: dict[str, int]) -> None:
        self.platform = MemoryPlatform()
        self.operator = Operator(self.platform)
        self.board = FakeNetwork()
        self.services_by_instance: dict[str, ConfigService] = {}
        self.members_by_domain = {
            domain: tuple(
                MemberView(
                    f"{domain}-{index}",
                    1,
                    domain,
                    PeerAddress(f"127.0.{place}.1", 2_000 + index),
                )
                for index in range(count)
            )
            for place, (domain, count) in enumerate(counts.items())
        }
        self.contacts_known = True
        self._stack = stack
        stack.callback(self.board.executor.shutdown)

    def start(self, *instances: str) -> None:
        """Start the named daemons, or all if no name is given."""
        for domain, members in self.members_by_domain.items():
            for member in members:
                if not instances or member.instance in instances:
                    self._start(domain, member)

    def kill(self, instance: str) -> None:
        """Stop a daemon without releasing its lease; it stays in the member lists."""
        service = self.services_by_instance.pop(instance)
        service._relay._lease.release = lambda: None  # type: ignore[method-assign]
        service.__exit__(None, None, None)
        members = self.members_by_domain[instance.split("-")[0]]
        [address] = [item.address for item in members if item.instance == instance]
        del self.board.link_by_address[address]

    def remove_member(self, instance: str) -> None:
        """Remove a daemon from the member lists of all daemons."""
        domain = instance.split("-")[0]
        remaining = (
            item for item in self.members_by_domain[domain] if item.instance != instance
        )
        self.members_by_domain[domain] = tuple(remaining)

    def partition(self, domain: str) -> None:
        """Partition a domain from the other domains and from the platform."""
        inside = {item.address for item in self.members_by_domain[domain]}
        self.board.is_partitioned = lambda one, other: (
            (one in inside) != (other in inside)
        )
        names = frozenset(item.instance for item in self.members_by_domain[domain])
        self.platform.inject(cut_clients=names)

    def end_partition(self) -> None:
        """End the partition."""
        self.board.is_partitioned = lambda _one, _other: False
        self.platform.inject(cut_clients=frozenset())

    def versions(self, domain: str = "") -> set[int]:
        """Return the active versions in a domain, or in all; 0 means no set."""
        states = [
            service.state()
            for name, service in self.services_by_instance.items()
            if name.startswith(domain)
        ]
        return {0 if state is None else state.config.version for state in states}

    def _start(self, domain: str, member: MemberView) -> None:
        identity = PeerIdentity(member.instance, 1, domain)
        platform = self.platform.client(member.instance)
        by_domain, knows = self.members_by_domain, self.contacts_known
        members = StaticMembership(domain, by_domain, knows)
        service = ConfigService(
            identity,
            platform=platform,
            link=FakeLink(self.board, member.address, identity),
            membership=members,
            contacts=members,
            options=OPTIONS,
            seed=len(self.services_by_instance),
        )
        self.services_by_instance[member.instance] = service
        self._stack.enter_context(service)


@contextmanager
def fleet(**counts: int) -> Iterator[Fleet]:
    """Provide a fleet with a number of daemons per failure domain, not started."""
    with ExitStack() as stack:
        yield Fleet(stack, counts)
