"""Responses to refused requests, with their metrics and log lines."""

import logging
from collections.abc import Callable

from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.config.objects import Route
from damaskbay.core.call import Headers, Response
from damaskbay.core.http_status import (
    FIRST_SERVER_ERROR,
    NOT_RUN_STATUSES,
    status_of,
)
from damaskbay.core.outcome import Reason, Refusal, unknown
from damaskbay.helpers.logs import is_suppressed
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.dialect import HeaderNames

_LOGGER = logging.getLogger(__name__)

_REFUSED = "ingress: request refused."

BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503


class RefusalResponses:
    """Turns refusals into responses."""

    def __init__(
        self,
        configuration: Configuration,
        telemetry: BoundTelemetry,
        dialect: HeaderNames,
        clock: Callable[[], float],
    ) -> None:
        self._configuration = configuration
        self._telemetry = telemetry
        self._dialect = dialect
        self._clock = clock

    def before_dispatch(
        self,
        refusal: Refusal,
        request_id: str | None,
        route: Route | None,
        workspace: str,
    ) -> Response:
        """Record a request that is refused before dispatch; return its response."""
        self._telemetry.record_refusal(workspace, refusal)
        return self.response(refusal, request_id, route)

    def response(
        self, refusal: Refusal, request_id: str | None, route: Route | None
    ) -> Response:
        """Return the response to a refused request."""
        status = status_of(refusal)
        if refusal.not_run and status >= FIRST_SERVER_ERROR:
            status = SERVICE_UNAVAILABLE
        elif not refusal.not_run and status in NOT_RUN_STATUSES:
            status = BAD_GATEWAY
        if not is_suppressed(_LOGGER, _REFUSED, refusal.reason.value):
            self._log(refusal, request_id, route, status)
        headers: Headers = ()
        if refusal.retry_after_s is not None and refusal.not_run:
            value = f"{max(0.001, refusal.retry_after_s):.3f}"
            headers = ((self._dialect.retry_after, value),)
        if request_id is not None:
            headers = (*headers, (self._dialect.request_id, request_id))
        return Response(status, headers, b"")

    def _log(
        self, refusal: Refusal, request_id: str | None, route: Route | None, status: int
    ) -> None:
        configuration = self._configuration
        _LOGGER.info(
            _REFUSED,
            extra={
                "request_id": request_id,
                "route": route.name if route is not None else None,
                "version": configuration.version,
                "proof_age_s": configuration.proof_age_s(self._clock()),
                "outcome": refusal.outcome.value,
                "why": refusal.reason.value,
                "detail": refusal.detail,
                "status": status,
            },
        )


def refusal_of_failed_run(outcome: Response | Refusal, route: Route) -> Refusal | None:
    """
    Return the refusal that replaces a server's failure, None if it is passed on.

    Callers send a request that may run once only again after some statuses, so these
    must not come from a server that has run it.
    """
    if route.idempotent or not isinstance(outcome, Response):
        return None
    if outcome.status not in NOT_RUN_STATUSES:
        return None
    detail = f"server failed with status {outcome.status}"
    return unknown(Reason.BACKEND_SERVER_FAILED, detail=detail)
