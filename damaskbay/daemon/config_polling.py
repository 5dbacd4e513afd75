"""Select which daemons to poll for the newest version, and when."""

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

from damaskbay.core.dissemination.messages import Push
from damaskbay.core.dissemination.options import DisseminationOptions
from damaskbay.core.dissemination.order import MemberOrder
from damaskbay.daemon.config_messages import ContactDirectory
from damaskbay.ports.fleet import MemberView
from damaskbay.ports.peer import PeerAddress, PeerIdentity

_MAX_RECENT_PUSHES = 64


@dataclass(frozen=True, slots=True)
class PollTarget:
    """Daemon to poll."""

    address: PeerAddress
    failure_domain: str


class PollScheduler:
    """
    Scheduler of polls to a parent in a relay's tree or to a random member.

    Each relay is the root of one tree of all daemons. Successive polls go to this
    daemon's parents in different trees. The trees have different inner nodes, so a
    stopped daemon delays its children by only one period. Every
    `random_poll_every`-th poll goes to a random member. If a parent did not reply to
    a poll, a random backup is polled once in its place.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        order: MemberOrder,
        backup_order: MemberOrder,
        contacts: ContactDirectory,
        options: DisseminationOptions,
        rng: Random,
    ) -> None:
        self._identity = identity
        self._order = order
        self._backup_order = backup_order
        self._contacts = contacts
        self._options = options
        self._rng = rng
        self._poll_number = rng.randrange(options.random_poll_every)
        self._next_poll_at = 0.0
        self._unresponsive: set[PeerAddress] = set()
        self._recent_pushes: OrderedDict[tuple[str, int], None] = OrderedDict()

    def due_targets(
        self, now: float, *, include_remote_domains: bool
    ) -> list[PollTarget]:
        """Return the daemons to poll now; none before the next period begins."""
        if now < self._next_poll_at:
            return []
        self._next_poll_at = now + self._options.poll_period_s
        self._poll_number += 1
        member = self._select_member()
        targets = [] if member is None else [_target_for(member)]
        return targets + (self._remote_targets() if include_remote_domains else [])

    def remote_domains(self) -> tuple[str, ...] | None:
        """Return the remote failure domains; None while they are unknown."""
        by_domain = self._contacts.contacts_by_domain()
        if not by_domain:
            return None
        local = self._identity.failure_domain
        return tuple(domain for domain in by_domain if domain != local)

    def record_failure(self, address: PeerAddress) -> None:
        """Record that a daemon did not reply to a poll."""
        self._unresponsive.add(address)

    def record_push(self, push: Push) -> bool:
        """Record a push; return whether it is the first of its root and version."""
        key = (push.root, push.version)
        if key in self._recent_pushes:
            return False
        self._recent_pushes[key] = None
        if len(self._recent_pushes) > _MAX_RECENT_PUSHES:
            self._recent_pushes.popitem(last=False)
        return True

    def _select_member(self) -> MemberView | None:
        if self._poll_number % self._options.random_poll_every == 0:
            return self._random_peer(self._order.members)
        leaders = self._order.leaders
        if not leaders:
            return None
        root = leaders[self._poll_number % len(leaders)]
        parent = self._order.parent(root.instance, self._options.poll_fanout)
        if parent is None:
            return self._random_peer(self._backup_order.leaders)
        if parent.address in self._unresponsive:
            self._unresponsive.discard(parent.address)
            return self._random_peer(self._backup_order.leaders)
        return parent

    def _random_peer(self, members: tuple[MemberView, ...]) -> MemberView | None:
        local = self._identity.instance
        peers = [item for item in members if item.instance != local]
        return self._rng.choice(peers) if peers else None

    def _remote_targets(self) -> list[PollTarget]:
        by_domain = self._contacts.contacts_by_domain()
        return [
            PollTarget(addresses[self._poll_number % len(addresses)], domain)
            for domain, addresses in by_domain.items()
            if addresses and domain != self._identity.failure_domain
        ]


def _target_for(member: MemberView) -> PollTarget:
    return PollTarget(member.address, member.failure_domain)
