"""Fixtures for the tests of routing."""

from random import Random

from damaskbay.core.routing import FailureKind, RouteOutcome, Router, RouterOptions
from damaskbay.ports.fleet import ServerState, ServerView
from damaskbay.ports.peer import PeerAddress

WARM_AT = -1000.0


def make_router(seed: int = 1) -> Router:
    """Return a router in failure domain "a"."""
    return Router(RouterOptions("a"), Random(seed))


def server(
    instance: str,
    *,
    failure_domain: str = "a",
    slots: int = 8,
    ready_at: float = WARM_AT,
    load: float = 0.0,
    local: bool = False,
    state: ServerState = ServerState.READY,
    incarnation: int = 1,
) -> ServerView:
    """Return a server of the pool campo, warm by default."""
    return ServerView(
        instance=instance,
        incarnation=incarnation,
        failure_domain=failure_domain,
        address=PeerAddress("127.0.0.1", 9),
        pool="campo",
        state=state,
        slots=slots,
        ready_at=ready_at,
        load=load,
        local=local,
    )


def outcome(
    *, level: int | None = None, failure: FailureKind | None = None
) -> RouteOutcome:
    """Return the outcome of a call with a latency of 50 ms."""
    return RouteOutcome(0.05, level, failure)
