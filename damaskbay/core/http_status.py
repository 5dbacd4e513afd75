"""HTTP status codes of refusals."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

from damaskbay.core.call import Response
from damaskbay.core.outcome import Reason, Refusal

FIRST_SERVER_ERROR: Final = 500
"""Lowest status code that reports a failure of the server."""

FIRST_FINAL_STATUS: Final = 200
LAST_FINAL_STATUS: Final = 599
SWITCHING_PROTOCOLS: Final = int(HTTPStatus.SWITCHING_PROTOCOLS)

NOT_RUN_STATUSES: Final = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that tell a caller that its request has not run and never will."""

_STATUS_BY_REASON: Final[Mapping[Reason, HTTPStatus]] = {
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.NO_CONFIGURATION: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.CONFIGURATION_UNPROVEN: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    Reason.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    Reason.KEY_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    Reason.KEY_WITHDRAWN: HTTPStatus.UNAUTHORIZED,
    Reason.CALL_TOKEN_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    Reason.CALL_TOO_DEEP: HTTPStatus.LOOP_DETECTED,
    Reason.RATE_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.SHARE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.RETRY_BUDGET_SPENT: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.QUEUE_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DEADLINE_TOO_SHORT: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.CANCELLED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_BACKEND_SERVER: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.BACKEND_SERVER_DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.BACKEND_SERVER_FAILED: HTTPStatus.BAD_GATEWAY,
    Reason.PEER_UNREACHABLE: HTTPStatus.BAD_GATEWAY,
    Reason.PEER_LOST: HTTPStatus.BAD_GATEWAY,
    Reason.ANSWER_INCOMPLETE: HTTPStatus.BAD_GATEWAY,
    Reason.ALREADY_RUNNING: HTTPStatus.CONFLICT,
    Reason.REQUEST_ID_NOT_ISSUED: HTTPStatus.BAD_REQUEST,
    Reason.REQUEST_ID_EXPIRED: HTTPStatus.GONE,
    Reason.REQUEST_OWNER_GONE: HTTPStatus.GONE,
    Reason.SHUTTING_DOWN: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.INTERNAL_ERROR: HTTPStatus.INTERNAL_SERVER_ERROR,
}


def is_final_status(status: int) -> bool:
    """Return whether a status may end an exchange; others are no response at all."""
    return FIRST_FINAL_STATUS <= status <= LAST_FINAL_STATUS


def is_interim_status(status: int) -> bool:
    """Return whether another response follows; nobody asks for a switch (101)."""
    return 100 <= status < FIRST_FINAL_STATUS and status != SWITCHING_PROTOCOLS


def is_success(outcome: Response | Refusal) -> bool:
    """Return whether a server has served the call."""
    return isinstance(outcome, Response) and outcome.status < FIRST_SERVER_ERROR


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status code of the response to a refused call."""
    return int(_STATUS_BY_REASON[refusal.reason])
