"""Constants of retries."""

from damaskbay.core.outcome import Reason

BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 1.0
MIN_TIME_LEFT_S = 0.01

BUDGET_SHARE = 0.1
BUDGET_MIN_PER_S = 1.0
BUDGET_MAX_RETRIES = 100.0

OVERLOAD_STATUS = 503

RETRYABLE_REASONS = frozenset(
    {
        Reason.OVERLOADED,
        Reason.QUEUE_FULL,
        Reason.DEADLINE_TOO_SHORT,
        Reason.BACKEND_SERVER_DRAINING,
        Reason.BACKEND_SERVER_FAILED,
        Reason.PEER_UNREACHABLE,
        Reason.PEER_LOST,
        Reason.ANSWER_INCOMPLETE,
        Reason.REQUEST_OWNER_GONE,
        Reason.SHUTTING_DOWN,
    }
)
