"""Refuses requests as soon as they are read, while the processor is short."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from damaskbay.adapters.http1.exchange import EarlyRefusal, ReceivedRequest
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.outcome import Refusal
from damaskbay.core.processor_guard import ProcessorGuard
from damaskbay.helpers.http_headers import HeaderFilter
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.dialect import HeaderNames
from damaskbay.mesh.identification import Identification
from damaskbay.mesh.ingress import timeout_of
from damaskbay.mesh.refusals import RefusalResponses
from damaskbay.mesh.running import RunningCalls

ACCEPT_PAUSE_S: Final = 0.2
"""Seconds for which new connections wait while refusals take too much processor."""


@dataclass(frozen=True, slots=True)
class EarlyRefusalsParts:
    """Dependencies of EarlyRefusals."""

    guard: ProcessorGuard
    configuration: Configuration
    identification: Identification
    running: RunningCalls
    refusals: RefusalResponses
    lifetime: Lifetime
    dialect: HeaderNames
    clock: Callable[[], float]


class EarlyRefusals:
    """
    Refuses root calls for which the processor guard has no place.

    That takes no task and no pass of the event loop, so that many refusals leave the
    processor to the calls that were begun. Everything else is left to the ingress.
    """

    def __init__(self, parts: EarlyRefusalsParts) -> None:
        self._parts = parts
        dialect = parts.dialect
        self._request_id = dialect.request_id.lower()
        self._key = dialect.key.lower()
        self._deadline_ms = dialect.deadline_ms.lower()
        names = frozenset({self._request_id, self._key, self._deadline_ms})
        self._filter = HeaderFilter(dropped=names, read=names)

    def accept_pause_s(self) -> float:
        """Return for how many seconds a new connection is not read."""
        parts = self._parts
        if parts.lifetime.plan is not None:
            return 0.0
        return ACCEPT_PAUSE_S if parts.guard.refuses_too_many(parts.clock()) else 0.0

    def refuse(self, arrival: ReceivedRequest) -> EarlyRefusal | None:
        """Return the refusal of a request, or None to let the ingress decide."""
        parts, now = self._parts, self._parts.clock()
        if parts.lifetime.plan is not None or not parts.guard.is_full(now):
            return None
        config, routes = parts.configuration.config, parts.configuration.routes
        request = arrival.request
        route = routes.match(request.host, request.target) if routes else None
        if config is None or route is None:
            return None
        _, values = self._filter.split(request.headers)
        key = values.get(self._key)
        workspace = parts.identification.workspace(config, route, key, now)
        if isinstance(workspace, Refusal):
            return None
        request_id = values.get(self._request_id)
        if workspace is None and parts.running.caller_of(request_id) is not None:
            return None
        rank = parts.configuration.ranks.rank(route, workspace)
        refusal = parts.guard.refuse_at_once(rank, now)
        if refusal is None:
            return None
        name = workspace.name if workspace is not None else ""
        return EarlyRefusal(
            parts.refusals.before_dispatch(refusal, request_id, route, name),
            refusal.retry_after_s or 0.0,
            timeout_of(route, values.get(self._deadline_ms)),
            pauses=parts.guard.refuses_too_many(now),
        )
