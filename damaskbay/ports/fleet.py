"""Ports of the request path to membership, rate limits and configuration."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from damaskbay.config.objects import ConfigSet
from damaskbay.core.outcome import Refusal
from damaskbay.ports.peer import PeerAddress


class ServerState(Enum):
    """State that a backend server announces."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ServerView:
    """
    A backend server and the daemon next to it, as known to this daemon.

    `ready_at` is when the server was first seen ready, in seconds of the local
    monotonic clock. `load` is the reported fraction of its slots in use and may be
    out of date.
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
    """A live daemon, whether or not its backend server accepts calls."""

    instance: str
    incarnation: int
    failure_domain: str
    address: PeerAddress


class Membership(Protocol):
    """View of the backend servers and daemons; thread-safe, never blocks."""

    def servers(self, pool: str) -> tuple[ServerView, ...]:
        """Return the servers of a pool that may receive new calls."""
        ...

    def by_instance(self, instance: str) -> ServerView | None:
        """Return one server in any state, or None if it is unknown."""
        ...

    def members(self) -> tuple[MemberView, ...]:
        """Return the live daemons of the local failure domain, including this one."""
        ...

    def announce(
        self, *, pool: str, state: ServerState, slots: int, load: float
    ) -> None:
        """Publish the state of the local backend server to the other daemons."""
        ...

    def suspect(self, instance: str, incarnation: int) -> None:
        """Report that a call to this daemon failed in transit."""
        ...


class RateGate(Protocol):
    """Fleet-wide rate limiter for root calls."""

    def acquire(
        self, workspace: str, limits: tuple[str, ...], *, deadline: float, now: float
    ) -> Refusal | None:
        """
        Spend one token of the workspace and one of each limit, or none at all.

        May block for a short time while waiting for the holder of a share. Returns
        None if the call is admitted. Times are in seconds of the monotonic clock.
        """
        ...


@dataclass(frozen=True, slots=True)
class ConfigState:
    """
    The active configuration set and the time of its last proof.

    `proven_at` is when the set was last proven to be the newest, in seconds of the
    local monotonic clock. `platform_unreachable_everywhere` means that no failure
    domain can reach the platform, so that no newer set can be published.
    """

    config: ConfigSet
    proven_at: float
    platform_unreachable_everywhere: bool = False


class ConfigSource(Protocol):
    """Source of the active configuration set; thread-safe, never blocks."""

    def state(self) -> ConfigState | None:
        """Return the active configuration set, or None if there is none yet."""
        ...

    def subscribe(self, callback: Callable[[ConfigSet], None]) -> None:
        """Call back on the source's own thread whenever a newer set becomes active."""
        ...
