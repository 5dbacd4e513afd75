"""Names and sizes of the caller-facing edge."""

from typing import Final

ISSUE_PATH: Final = "/.damaskbay/request-ids"
OWN_PREFIX: Final = "/.damaskbay/"
MAX_ISSUED_IDS: Final = 1000
MAX_HEADER_BYTES: Final = 64 * 1024
CHANNEL_TIMEOUT_S: Final = 60
MAX_CONNECTIONS: Final = 4000
LISTEN_BACKLOG: Final = 1024
LOOKAHEAD_REQUESTS: Final = 1
HANG_UP_TICK_S: Final = 0.05
MAX_DEADLINE_MS: Final = 3_600_000
TRUE_WORDS: Final = frozenset({"true", "1", "yes"})
FALSE_WORDS: Final = frozenset({"false", "0", "no"})
