"""Gets the tokens of small workspaces from the daemon that holds them."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.config.objects import Workspace
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.quota.token_pool import Grant, TokenPool
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import (
    HOLDER_SILENT_S,
    NOT_READY_RETRY_S,
    TOKEN_MAX_HOPS,
    TOKEN_TIMEOUT_S,
)
from damaskbay.mesh.directory import MemberRecord
from damaskbay.mesh.exchange import Exchange
from damaskbay.mesh.messages import TokenWanted

_LOGGER = logging.getLogger(__name__)

_UNKNOWN = Grant(False, NOT_READY_RETRY_S, NOT_READY_RETRY_S)
"""The answer where no holder could be asked, or the set here has no such one."""


@dataclass(frozen=True, slots=True)
class _Spent:
    """Until when nobody need be asked, and what to tell callers meanwhile."""

    until: float
    wait_s: float


@dataclass(frozen=True, slots=True)
class TokenParts:
    """What getting tokens works with."""

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

    They are at the relay of the workspace's home domain. Who can't reach that one
    asks the relay of the own domain, which may reach it, or goes on alone.
    """

    def __init__(self, parts: TokenParts) -> None:
        self._parts = parts
        self._spent: dict[str, _Spent] = {}
        self._silent_until: dict[str, float] = {}

    async def spend(self, workspace: Workspace) -> Refusal | None:
        """Spend one token, or refuse and tell when there may be one."""
        now = self._parts.clock()
        spent = self._spent.get(workspace.name)
        if spent is None or spent.until <= now:
            grant = await self._get(workspace, 0)
            if grant.granted:
                return None
            spent = _Spent(self._parts.clock() + grant.next_s, grant.wait_s)
            self._spent[workspace.name] = spent
        wait_s = max(0.001, spent.wait_s)
        pool = self._parts.pool
        home = pool.home(workspace.name)
        detail = f"pooled at {home}, of {workspace.rate_per_s:g}/s"
        return not_run(Reason.RATE_EXCEEDED, retry_after_s=wait_s, detail=detail)

    async def wanted(self, message: TokenWanted) -> Grant:
        """Answer another daemon."""
        config = self._parts.configuration.config
        workspaces = config.workspaces_by_name if config is not None else {}
        workspace = workspaces.get(message.workspace)
        if workspace is None:
            return _UNKNOWN
        return await self._get(workspace, message.hops)

    async def _get(self, workspace: Workspace, hops: int) -> Grant:
        parts = self._parts
        if not parts.exchange.counting or hops > TOKEN_MAX_HOPS:
            return _UNKNOWN
        home = parts.pool.home(workspace.name)
        if home != parts.failure_domain:
            answer = await self._ask(home, workspace, hops)
            if answer is not None:
                return answer
        if parts.exchange.relaying:
            return parts.pool.grant(workspace, parts.clock())
        answer = await self._ask(parts.failure_domain, workspace, hops)
        return answer or _UNKNOWN

    async def _ask(self, domain: str, workspace: Workspace, hops: int) -> Grant | None:
        """Ask the first relay of a domain that is reached; None without an answer."""
        parts, now = self._parts, self._parts.clock()
        holder = next(
            (item for item in parts.exchange.relays(domain) if self._open(item, now)),
            None,
        )
        if holder is None:
            return None
        reply = await parts.links.request(
            holder.address,
            TokenWanted(workspace.name, hops + 1),
            timeout_s=TOKEN_TIMEOUT_S,
        )
        if isinstance(reply, Grant):
            return reply
        self._silent_until[holder.instance] = parts.clock() + HOLDER_SILENT_S
        _LOGGER.info(
            "tokens: holder does not answer.",
            extra={
                "peer": holder.instance,
                "workspace": workspace.name,
                "why": str(reply),
            },
        )
        return None

    def _open(self, record: MemberRecord, now: float) -> bool:
        parts = self._parts
        return (
            record.instance != parts.instance
            and self._silent_until.get(record.instance, 0.0) <= now
            and parts.links.up(record.address)
        )
