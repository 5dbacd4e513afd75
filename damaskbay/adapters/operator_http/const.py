"""Paths and limits of the operator listener."""

from typing import Final

PATH_METRICS: Final = "/metrics"
PATH_HEALTH: Final = "/health"
PATH_STATUS: Final = "/status"
PATH_EXPLAIN: Final = "/explain"
PATH_ANNOUNCE: Final = "/announce"
THREADS: Final = 4
MAX_BODY_BYTES: Final = 64 * 1024
MAX_CONNECTIONS: Final = 64
