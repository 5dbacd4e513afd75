"""Obtains rate limit tokens of small workspaces from the daemon that holds them."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.config.objects import Workspace
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.quota.token_pool import Grant, TokenPool
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import (
    HOLDER_BACKOFF_S,
    LOCAL_TOKEN_TIMEOUT_S,
    NOT_READY_RETRY_S,
    TOKEN_MAX_HOPS,
    TOKEN_TIMEOUT_S,
)
from damaskbay.mesh.directory import MemberRecord
from damaskbay.mesh.exchange import Exchange
from damaskbay.mesh.messages import PooledTokenRequest

_LOGGER = logging.getLogger(__name__)

_NO_GRANT = Grant(False, NOT_READY_RETRY_S, NOT_READY_RETRY_S)
"""The grant when no holder replied, or the workspace is not in the active set."""


@dataclass(frozen=True, slots=True)
class _Exhausted:
    """A workspace without tokens: when to request again, and callers' retry delay."""

    request_at: float
    wait_s: float


@dataclass(frozen=True, slots=True)
class TokenParts:
    """Dependencies of PooledTokens."""

    instance: str
    failure_domain: str
    pool: TokenPool
    exchange: Exchange
    links: PeerLinks
    configuration: Configuration
    clock: Callable[[], float]


class PooledTokens:
    """
    Spends tokens of small workspaces, one at a time.

    The relay of the workspace's home domain holds the tokens. A daemon that can't
    reach it sends the request to the relay of its local domain, which forwards it
    to the home domain if it can and otherwise grants tokens itself.
    """

    def __init__(self, parts: TokenParts) -> None:
        self._parts = parts
        self._exhausted: dict[str, _Exhausted] = {}
        self._backoff_until: dict[str, float] = {}

    async def spend(self, workspace: Workspace) -> Refusal | None:
        """Spend one token, or return a refusal with a retry delay."""
        now = self._parts.clock()
        exhausted = self._exhausted.get(workspace.name)
        if exhausted is None or exhausted.request_at <= now:
            grant = await self._obtain(workspace, 0)
            if grant.granted:
                return None
            if grant == _NO_GRANT:
                return not_run(
                    Reason.SHARE_UNAVAILABLE,
                    retry_after_s=grant.wait_s,
                    detail=f"no holder of the tokens of {workspace.name} answers",
                )
            exhausted = _Exhausted(self._parts.clock() + grant.next_s, grant.wait_s)
            self._exhausted[workspace.name] = exhausted
        wait_s = max(0.001, exhausted.wait_s)
        pool = self._parts.pool
        home = pool.home(workspace.name)
        detail = f"pooled at {home}, of {workspace.rate_per_s:g}/s"
        return not_run(Reason.RATE_EXCEEDED, retry_after_s=wait_s, detail=detail)

    async def handle_token_request(self, request: PooledTokenRequest) -> Grant:
        """Handle a peer's token request and return the grant to send back."""
        config = self._parts.configuration.config
        workspaces = config.workspaces_by_name if config is not None else {}
        workspace = workspaces.get(request.workspace)
        if workspace is None:
            return _NO_GRANT
        return await self._obtain(workspace, request.hops)

    async def _obtain(self, workspace: Workspace, hops: int) -> Grant:
        parts = self._parts
        if not parts.exchange.fleet_known or hops > TOKEN_MAX_HOPS:
            return _NO_GRANT
        home = parts.pool.home(workspace.name)
        if home != parts.failure_domain:
            grant = await self._request_token(home, workspace, hops)
            if grant is not None:
                return grant
        if parts.exchange.is_relay:
            return parts.pool.grant(workspace, parts.clock())
        grant = await self._request_token(parts.failure_domain, workspace, hops)
        return grant or _NO_GRANT

    async def _request_token(
        self, domain: str, workspace: Workspace, hops: int
    ) -> Grant | None:
        """Request a token from a domain's first usable relay; None without a reply."""
        parts, now = self._parts, self._parts.clock()
        holder = next(
            (
                record
                for record in parts.exchange.relays(domain)
                if self._is_usable(record, now)
            ),
            None,
        )
        if holder is None:
            return None
        is_local = domain == parts.failure_domain
        reply = await parts.links.request(
            holder.address,
            PooledTokenRequest(workspace.name, hops + 1),
            timeout_s=LOCAL_TOKEN_TIMEOUT_S if is_local else TOKEN_TIMEOUT_S,
        )
        if isinstance(reply, Grant):
            return reply
        self._backoff_until[holder.instance] = parts.clock() + HOLDER_BACKOFF_S
        _LOGGER.info(
            "tokens: holder does not answer.",
            extra={
                "peer": holder.instance,
                "workspace": workspace.name,
                "why": str(reply),
            },
        )
        return None

    def _is_usable(self, record: MemberRecord, now: float) -> bool:
        parts = self._parts
        return (
            record.instance != parts.instance
            and self._backoff_until.get(record.instance, 0.0) <= now
            and parts.links.up(record.address)
        )
