"""Constants of the fleet-wide rate limits."""

from typing import Final

MILLIS: Final = 1000
"""Thousandths per token; ledgers store integer thousandths."""

LEDGER_KEY_PREFIX: Final = "rates/group/"
LEDGER_FORMAT: Final = 1

DEFAULT_GROUPS: Final = 16
DEFAULT_HOLDERS: Final = 2
"""Holders per group and failure domain."""
DEFAULT_VALIDITY_S: Final = 900.0
DEFAULT_MARGIN_S: Final = 10.0
DEFAULT_RENEW_S: Final = 15.0
DEFAULT_POLL_S: Final = 1.0
DEFAULT_WRITE_GAP_S: Final = 0.2
DEFAULT_WRITE_INTERVAL_S: Final = 3.0
DEFAULT_WRITE_BURST: Final = 5
DEFAULT_HEADROOM: Final = 1.25
DEFAULT_FLOOR_SHARE: Final = 1 / 16
DEFAULT_FLOOR_IDLE_S: Final = 3600.0
DEFAULT_DEMAND_DECAY_S: Final = 3.0
DEFAULT_PEAK_DECAY_S: Final = 600.0
DEFAULT_STEP_DOWN_S: Final = 3.0
DEFAULT_CLAIM_WAIT_S: Final = 1.0

CONFLICT_DELAY_MAX_S: Final = 0.2
REQUEST_RETRY_DELAY_S: Final = 1.0
"""Delay after a failed request to the platform."""

TOKEN_VALIDITY_S: Final = 2.0
TOKEN_MARGIN_S: Final = 0.5
PREFETCH_LEVEL_DIVISOR: Final = 4
"""A prefetch is granted at most the holder's level divided by this."""

UNRESPONSIVE_AFTER_RENEWALS: Final = 3
CONTACT_TIMEOUT_POLLS: Final = 4
"""Poll intervals without a reply after which contact with the platform is lost.

The time for which a holder was seen unchanged then starts again from 0.
"""
EXCESS_SHARE_FACTOR: Final = 1.2
"""Without scarcity, a share is lowered only if it exceeds its need by this factor."""

NEED_STEP_FACTOR: Final = 1.1
"""Needs are rounded up to powers of this factor."""
FAIR_SHARE_MIN_FACTOR: Final = 0.9
FAIR_SHARE_MAX_FACTOR: Final = 1.25
"""A share stays unchanged between these multiples of its fair share."""
TOKEN_HOLD_S: Final = 0.5
"""Time for which daemons hold granted tokens; the burst must cover those tokens."""
NEED_CHANGE_FACTOR: Final = 1.5
"""Under scarcity, a need that changed by more than this is written at once."""

PREFETCH_S: Final = 0.75
PREFETCH_RETRY_S: Final = 0.25
LOT_IDLE_TIMEOUT_S: Final = 1.2
STOCK_DECAY_S: Final = 2.0
BLOCK_MIN_S: Final = 0.02
BLOCK_MAX_S: Final = 0.25
TOKEN_REQUEST_TIMEOUT_S: Final = 1.3
AVOID_AFTER_TIMEOUTS: Final = 2
AVOID_MIN_S: Final = 2.0
AVOID_MAX_S: Final = 30.0
MAX_NEEDED_TOKENS: Final = 10_000
