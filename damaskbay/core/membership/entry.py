"""What is known of one daemon and the backend server beside it."""

from dataclasses import dataclass
from enum import IntEnum

from damaskbay.core.membership.const import ENTRY_OVERHEAD_BYTES
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress


class Status(IntEnum):
    """How a daemon stands; of one version, the greater value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """
    One fact about one daemon.

    `incarnation` grows with each process that takes the instance's place,
    `version` with each change that the process itself makes known. `gossip` is
    where it listens for datagrams. `load` is the reported share of slots in use;
    it is no part of the fact and only goes from a daemon to its direct peers.
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
    def fact(self) -> tuple[int, int, int]:
        """Return what orders the facts about one instance."""
        return (self.incarnation, self.version, int(self.status))

    @property
    def live(self) -> bool:
        """Tell whether the daemon is not known to be dead."""
        return self.status is not Status.DEAD

    @property
    def size_bytes(self) -> int:
        """Estimate the encoded size from above."""
        names = self.instance + self.failure_domain + self.pool
        hosts = self.address.host + self.gossip.host
        return ENTRY_OVERHEAD_BYTES + len(names.encode()) + len(hosts)
