"""Sizes and times of the counting of rate and burst."""

from typing import Final

MILLIS: Final = 1000
"""Thousandths of a token in one token; ledgers count in whole thousandths."""

LEDGER_KEY_PREFIX: Final = "rates/group/"
LEDGER_FORMAT: Final = 1

DEFAULT_GROUPS: Final = 16
DEFAULT_HOLDERS: Final = 2
"""Holders of one group in a failure domain."""
DEFAULT_VALIDITY_S: Final = 900.0
DEFAULT_MARGIN_S: Final = 10.0
DEFAULT_RENEW_S: Final = 15.0
DEFAULT_POLL_S: Final = 1.0
DEFAULT_WRITE_GAP_S: Final = 0.2
DEFAULT_WRITE_REFILL_S: Final = 3.0
DEFAULT_WRITE_RESERVE: Final = 5
DEFAULT_HEADROOM: Final = 1.25
DEFAULT_FLOOR_SHARE: Final = 1 / 16
DEFAULT_FLOOR_IDLE_S: Final = 3600.0
DEFAULT_DEMAND_DECAY_S: Final = 3.0
DEFAULT_KEEP_DECAY_S: Final = 600.0
DEFAULT_STEP_DOWN_S: Final = 3.0
DEFAULT_CLAIM_WAIT_S: Final = 1.0

CONFLICT_SPREAD_S: Final = 0.2
CALL_RETRY_S: Final = 1.0
"""Pause after a platform call that failed."""

TOKEN_VALIDITY_S: Final = 2.0
TOKEN_MARGIN_S: Final = 0.5
GRANT_PART: Final = 4
"""A prefetch takes at most this part (one in N) of the holder's level."""

SILENT_RENEWALS: Final = 3
CONTACT_POLLS: Final = 4
"""Polls that may fail before an observer's waiting starts anew."""
SHRINK_FACTOR: Final = 1.2
"""A share is lowered unasked only when it is larger than needed by this factor."""

NEED_GRID: Final = 1.1
"""Needs are rounded up to powers of this."""
NEAR_BELOW: Final = 0.9
NEAR_ABOVE: Final = 1.25
"""A share this near to its fair part stays as it is."""
IN_USE_S: Final = 0.5
"""For how long tokens at daemons may keep part of a burst in use."""
NEED_CHANGE: Final = 1.5
"""A need that changed by this factor is worth a write of its own."""

PREFETCH_S: Final = 0.75
PREFETCH_RETRY_S: Final = 0.25
IDLE_LOT_S: Final = 1.2
STOCK_DECAY_S: Final = 2.0
BLOCK_MIN_S: Final = 0.02
BLOCK_MAX_S: Final = 0.25
ASK_TIMEOUT_S: Final = 1.3
TIMEOUTS_TO_AVOID: Final = 2
AVOID_MIN_S: Final = 2.0
AVOID_MAX_S: Final = 30.0
MAX_NEEDED_TOKENS: Final = 10_000
