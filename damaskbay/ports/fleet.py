"""What the request path asks of the parts that act together as a fleet."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from damaskbay.config.objects import ConfigSet
from damaskbay.core.outcome import Refusal
from damaskbay.ports.peer import PeerAddress


class ServerState(Enum):
    """What a backend server announces of itself."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ServerView:
    """
    A backend server and the daemon beside it, as this daemon knows them.

    `ready_at` is when it was first seen ready, in seconds of the local monotonic
    clock. `load` is its reported share of slots in use, a hint only.
    """

    instance: str
    incarnation: int
    failure_domain: str
    address: PeerAddress
    pool: str
    state: ServerState
    slots: int
    ready_at: float
    load: float = 0.0
    local: bool = False


@dataclass(frozen=True, slots=True)
class MemberView:
    """A live daemon, whether or not its backend server takes work."""

    instance: str
    incarnation: int
    failure_domain: str
    address: PeerAddress


class Membership(Protocol):
    """Knows the backend servers. Safe from any thread, never blocks."""

    def servers(self, pool: str) -> tuple[ServerView, ...]:
        """Return the servers of a pool that may get new work."""
        ...

    def by_instance(self, instance: str) -> ServerView | None:
        """Return one server, whatever its state, or None where it is unknown."""
        ...

    def members(self) -> tuple[MemberView, ...]:
        """Return the live daemons of the own failure domain, this one included."""
        ...

    def announce(
        self, *, pool: str, state: ServerState, slots: int, load: float
    ) -> None:
        """Take what the local backend server says of itself."""
        ...

    def suspect(self, instance: str, incarnation: int) -> None:
        """Take note that a call to this daemon failed on the way."""
        ...


class RateGate(Protocol):
    """Counts root calls against rate and burst over the whole fleet."""

    def acquire(
        self, workspace: str, limits: tuple[str, ...], *, deadline: float, now: float
    ) -> Refusal | None:
        """
        Spend one token of the workspace and of each limit, or none at all.

        May block for a short time on the share's holder. Returns None when
        admitted. Times in seconds of the monotonic clock.
        """
        ...


@dataclass(frozen=True, slots=True)
class ConfigState:
    """
    The set in force and how surely it is the newest.

    `proven_at` is when it was last proven the newest, in seconds of the local
    monotonic clock. `outage_for_all` tells that no failure domain can reach the
    platform, so that nobody can publish.
    """

    config: ConfigSet
    proven_at: float
    outage_for_all: bool = False


class ConfigSource(Protocol):
    """Holds the set in force. Safe from any thread, never blocks."""

    def state(self) -> ConfigState | None:
        """Return the set in force, or None where there is none yet."""
        ...

    def subscribe(self, callback: Callable[[ConfigSet], None]) -> None:
        """Call back, on the owner's thread, whenever a newer set is in force."""
        ...
