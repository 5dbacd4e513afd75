"""Paths, limits and timeouts of the caller listener."""

from typing import Final

REQUEST_IDS_PATH: Final = "/.damaskbay/request-ids"
INTERNAL_PATH_PREFIX: Final = "/.damaskbay/"
MAX_REQUEST_IDS: Final = 1000
MAX_HEADER_BYTES: Final = 64 * 1024
CHANNEL_TIMEOUT_S: Final = 60
MAX_CONNECTIONS: Final = 4000
LISTEN_BACKLOG: Final = 1024
LOOKAHEAD_REQUESTS: Final = 1
DISCONNECT_CHECK_INTERVAL_S: Final = 0.05
MAX_DEADLINE_MS: Final = 3_600_000
TRUE_VALUES: Final = frozenset({"true", "1", "yes"})
FALSE_VALUES: Final = frozenset({"false", "0", "no"})
