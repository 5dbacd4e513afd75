"""Whom to ask for the newest version, and when."""

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

from damaskbay.core.dissemination.messages import Push
from damaskbay.core.dissemination.options import DisseminationOptions
from damaskbay.core.dissemination.order import FleetOrder
from damaskbay.daemon.config_messages import Contacts
from damaskbay.ports.fleet import MemberView
from damaskbay.ports.peer import PeerAddress, PeerIdentity

_REMEMBERED_PUSHES = 64


@dataclass(frozen=True, slots=True)
class PollTarget:
    """A daemon to ask."""

    address: PeerAddress
    failure_domain: str


class Polling:
    """
    Takes turns between the trees of the relays, with a random member now and then.

    Two trees have different inner daemons, so one that stopped costs one period;
    in place of a parent that did not answer comes one of the backups.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        order: FleetOrder,
        backups: FleetOrder,
        contacts: Contacts,
        options: DisseminationOptions,
        rng: Random,
    ) -> None:
        self._identity = identity
        self._order = order
        self._backups = backups
        self._contacts = contacts
        self._options = options
        self._rng = rng
        self._turn = rng.randrange(options.random_poll_every)
        self._next_poll = 0.0
        self._failed: set[PeerAddress] = set()
        self._pushes: OrderedDict[tuple[str, int], None] = OrderedDict()

    def due(self, now: float, *, ask_domains: bool) -> list[PollTarget]:
        """Return whom to ask now; none between two periods."""
        if now < self._next_poll:
            return []
        self._next_poll = now + self._options.poll_period_s
        self._turn += 1
        member = self._member()
        targets = [] if member is None else [_target(member)]
        return targets + (self._in_other_domains() if ask_domains else [])

    def domains(self) -> tuple[str, ...] | None:
        """Return the other failure domains, None while it is unknown which."""
        by_domain = self._contacts.contacts_by_domain()
        if not by_domain:
            return None
        own = self._identity.failure_domain
        return tuple(domain for domain in by_domain if domain != own)

    def failed(self, address: PeerAddress) -> None:
        """Take note that a daemon did not answer."""
        self._failed.add(address)

    def first_push(self, push: Push) -> bool:
        """Tell whether a push of this root and version comes for the first time."""
        key = (push.root, push.version)
        if key in self._pushes:
            return False
        self._pushes[key] = None
        if len(self._pushes) > _REMEMBERED_PUSHES:
            self._pushes.popitem(last=False)
        return True

    def _member(self) -> MemberView | None:
        if self._turn % self._options.random_poll_every == 0:
            return self._random_of(self._order.members)
        leaders = self._order.leaders
        if not leaders:
            return None
        root = leaders[self._turn % len(leaders)]
        parent = self._order.parent(root.instance, self._options.poll_fanout)
        if parent is None:
            return self._random_of(self._backups.leaders)
        if parent.address in self._failed:
            self._failed.discard(parent.address)
            return self._random_of(self._backups.leaders)
        return parent

    def _random_of(self, members: tuple[MemberView, ...]) -> MemberView | None:
        own = self._identity.instance
        others = [item for item in members if item.instance != own]
        return self._rng.choice(others) if others else None

    def _in_other_domains(self) -> list[PollTarget]:
        by_domain = self._contacts.contacts_by_domain()
        return [
            PollTarget(addresses[self._turn % len(addresses)], domain)
            for domain, addresses in by_domain.items()
            if addresses and domain != self._identity.failure_domain
        ]


def _target(member: MemberView) -> PollTarget:
    return PollTarget(member.address, member.failure_domain)
