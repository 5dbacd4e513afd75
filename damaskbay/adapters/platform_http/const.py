"""Paths, headers, limits and timeouts of the platform's HTTP interface."""

from typing import Final

PATH_ENTRY: Final = "/v1/entry"
PATH_LIST: Final = "/v1/entries"
PATH_WATCH: Final = "/v1/watch"

QUERY_KEY: Final = "key"
QUERY_PREFIX: Final = "prefix"
QUERY_EXPECTED: Final = "expected_revision"
QUERY_AFTER: Final = "after_revision"
QUERY_LEASE: Final = "lease_s"
QUERY_TIMEOUT: Final = "timeout_s"

HEADER_REVISION: Final = "Platform-Revision"
HEADER_CLIENT: Final = "Platform-Client"
HEADER_ABSENT: Final = "Platform-Absent"
"""Set if there is no entry, or no newer one; a 404 without it means a wrong address."""

HEADER_NO_EFFECT: Final = "Platform-No-Effect"
"""Set on an error response if the request had no effect."""

STATUS_OK: Final = 200
STATUS_NOTHING: Final = 404
STATUS_CONFLICT: Final = 409
STATUS_TOO_LARGE: Final = 413
STATUS_BUSY: Final = 429
STATUS_UNAVAILABLE: Final = 503

MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024
READ_CHUNK_BYTES: Final = 64 * 1024
MAX_IDLE_CONNECTIONS: Final = 8
MAX_IDLE_S: Final = 15.0
CONNECT_TIMEOUT_S: Final = 2.0
WATCH_MARGIN_S: Final = 0.5
"""Seconds before the caller's timeout at which the service ends a watch."""
