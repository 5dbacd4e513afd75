"""Authentication of root calls by key, and the context of a root call."""

from dataclasses import dataclass
from typing import Protocol

from damaskbay.config.objects import Access, ConfigSet, Key, Route
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.helpers.keys import digest_of


class RouteMatcher(Protocol):
    """Interface that finds the route of a request."""

    def match(self, host: str, method: str, path: str) -> Route | None:
        """Return the matching route, or None."""
        ...


@dataclass(frozen=True, slots=True)
class Credentials:
    """
    Key and options that the caller sent with a root call.

    `deadline_s` is the requested time limit in seconds. `idempotent` is the caller's
    declaration, None if the caller sent none.
    """

    key: str | None = None
    deadline_s: float | None = None
    request_id: str | None = None
    idempotent: bool | None = None


def identify_root(
    config: ConfigSet,
    route: Route,
    credentials: Credentials,
    *,
    call_id: str,
    now: float,
    wall_now: float,
) -> CallContext | Refusal:
    """
    Return the context of a root call, or a refusal if it may not run.

    `now` is in seconds of the monotonic clock, `wall_now` in seconds since 1970.
    """
    key_or_refusal = find_key(config, credentials.key, wall_now=wall_now)
    if isinstance(key_or_refusal, Refusal) and route.access is not Access.OPEN:
        return key_or_refusal
    key = None if isinstance(key_or_refusal, Refusal) else key_or_refusal
    idempotent = route.idempotent and credentials.idempotent is not False
    deadline_s = route.deadline_s
    if credentials.deadline_s is not None:
        deadline_s = min(deadline_s, credentials.deadline_s)
    return CallContext(
        call_id=call_id,
        workspace=key.workspace if key else "",
        priority_rank=config.priorities_by_name[route.priority].rank,
        deadline=now + deadline_s,
        route=route.name,
        pool=route.pool,
        idempotent=idempotent,
        retry_tokens=route.retries,
        request_id=credentials.request_id,
        config_version=config.version,
        key_digest=key.digest if key else None,
    )


def find_key(
    config: ConfigSet, secret: str | None, *, wall_now: float
) -> Key | Refusal:
    """Return the key with this secret, or a refusal if it is missing or invalid."""
    if not secret:
        return not_run(Reason.KEY_MISSING)
    key = config.keys_by_digest.get(digest_of(secret))
    if key is None:
        return not_run(Reason.KEY_UNKNOWN)
    if key.expires_at is not None and key.expires_at <= wall_now:
        return not_run(Reason.KEY_WITHDRAWN, detail="the key has expired")
    return key


def refuse_withdrawn(config: ConfigSet, context: CallContext) -> Refusal | None:
    """Refuse a waiting call if its key, workspace or route has been withdrawn."""
    if context.route not in config.routes_by_name:
        return not_run(Reason.NO_ROUTE, detail="the route was withdrawn")
    digest = context.key_digest
    if digest is not None and digest not in config.keys_by_digest:
        return not_run(Reason.KEY_WITHDRAWN)
    if context.workspace and context.workspace not in config.workspaces_by_name:
        return not_run(Reason.KEY_WITHDRAWN, detail="the workspace was withdrawn")
    return None
