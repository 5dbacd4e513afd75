"""Fixtures for the tests of the decision logic."""

from damaskbay.config.objects import Access, Route
from damaskbay.core.call import CallContext


def make_context(
    *,
    workspace: str = "fitters",
    priority_rank: int = 1,
    deadline: float = 10.0,
    idempotent: bool = True,
    depth: int = 0,
    retry_tokens: int = 0,
    pool: str = "campo",
) -> CallContext:
    """Return a call context in which the fields that tests vary can be set."""
    return CallContext(
        call_id="call-1",
        workspace=workspace,
        priority_rank=priority_rank,
        deadline=deadline,
        route="lookup",
        pool=pool,
        idempotent=idempotent,
        depth=depth,
        retry_tokens=retry_tokens,
    )


def make_route(*, deadline_s: float = 5.0, idempotent: bool = True) -> Route:
    """Return a route to the pool registro."""
    return Route(
        name="file",
        host="*",
        path_prefix="/file",
        methods=frozenset(),
        pool="registro",
        access=Access.KEYED,
        idempotent=idempotent,
        deadline_s=deadline_s,
        priority="high",
    )
