"""Limits, timeouts and storage keys of configuration sets."""

from typing import Final

DOCUMENT_FORMAT: Final = 1
MAX_DOCUMENT_BYTES: Final = 16 * 1024 * 1024
PART_COUNT: Final = 64
"""Number of parts of a set; a hash of an object's kind and name selects its part."""

MAX_OBJECTS: Final = 100_000
MAX_NAME_LENGTH: Final = 64
MAX_PATH_LENGTH: Final = 256
MAX_ROUTE_CALLS: Final = 64
MAX_ROUTE_LIMITS: Final = 8
MAX_ROUTE_METHODS: Final = 16
MAX_PRIORITY_RANK: Final = 63
MAX_RETRIES: Final = 10
MAX_RATE_PER_S: Final = 10_000_000.0
MAX_BURST: Final = 100_000_000
MAX_WEIGHT: Final = 1000.0
MAX_SLOTS: Final = 100_000
MAX_DEADLINE_S: Final = 600.0
MAX_UNPROVEN_AFTER_S: Final = 7 * 86_400.0
MAX_PROBLEMS: Final = 1000
MAX_INCREMENTAL_CHANGES: Final = 200
"""Above this number of changes, the complete set is checked."""

ANY_HOST: Final = "*"

HEAD_KEY: Final = "damaskbay/config/head"
PARTS_PREFIX: Final = "damaskbay/config/parts/"
HISTORY_PREFIX: Final = "damaskbay/config/history/"
PENDING_PREFIX: Final = "damaskbay/config/pending/"
HISTORY_VERSIONS: Final = 50
"""Versions before the active one that are kept."""

MAX_SINGLE_VALUE_BYTES: Final = 64 * 1024
"""A set up to this size is stored as one value, a larger one as one per part."""

MAX_INLINE_DELTA_BYTES: Final = 16 * 1024
MAX_AUTHOR_LENGTH: Final = 200
CALL_TIMEOUT_S: Final = 5.0
PUBLISH_TIMEOUT_S: Final = 30.0
RETRY_PAUSE_S: Final = 0.1
