"""Membership entry of one daemon and the backend server next to it."""

from dataclasses import dataclass
from enum import IntEnum

from damaskbay.core.membership.const import ENTRY_OVERHEAD_BYTES
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress


class Status(IntEnum):
    """Status of a daemon; at the same version, the greater value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """
    State of one daemon, as announced by itself or concluded by another member.

    `incarnation` increases with each process that replaces the instance, `version`
    with each change that the process itself announces. `gossip` is the address for
    its datagrams. `load` is the reported fraction of slots in use; it does not
    affect the precedence and is only sent by the daemon itself to direct peers.
    """

    instance: str
    incarnation: int
    version: int
    status: Status
    failure_domain: str
    address: PeerAddress
    gossip: PeerAddress
    pool: str = ""
    state: ServerState = ServerState.STARTING
    slots: int = 0
    load: float = 0.0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key by which the newest entry of an instance is chosen."""
        return (self.incarnation, self.version, int(self.status))

    @property
    def live(self) -> bool:
        """Return whether the daemon is not known to be dead."""
        return self.status is not Status.DEAD

    @property
    def size_bytes(self) -> int:
        """Return an upper estimate of the encoded size."""
        names = self.instance + self.failure_domain + self.pool
        hosts = self.address.host + self.gossip.host
        return ENTRY_OVERHEAD_BYTES + len(names.encode()) + len(hosts)
