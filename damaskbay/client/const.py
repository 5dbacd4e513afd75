"""Constants of the client library."""

from typing import Final

from damaskbay.core.outcome import Reason

REQUEST_IDS_TARGET: Final = "/.damaskbay/request-ids"

MIN_ATTEMPT_S: Final = 0.005
"""Seconds that must be left before the deadline for another attempt."""

MAX_REMEMBERED_ISSUERS: Final = 10_000
MAX_REFUSAL_BYTES: Final = 65_536

FINAL_REASONS: Final = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.NO_ROUTE,
        Reason.KEY_MISSING,
        Reason.KEY_UNKNOWN,
        Reason.KEY_WITHDRAWN,
        Reason.CALL_TOKEN_UNKNOWN,
        Reason.CALL_TOO_DEEP,
        Reason.DEADLINE_PASSED,
        Reason.REQUEST_ID_NOT_ISSUED,
        Reason.REQUEST_ID_EXPIRED,
        Reason.REQUEST_OWNER_GONE,
    }
)
"""Reasons for which a retry gives the same refusal."""
