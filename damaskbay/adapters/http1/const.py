"""Limits and timeouts of HTTP/1.1 connections."""

from typing import Final

MAX_PIPELINED_REQUESTS: Final = 32
"""Requests in flight on one connection before reading pauses; bounds memory."""

PARSES_IN_A_ROW: Final = 64
"""Pieces of one read before others are read; in chunks they may be tiny."""

REQUESTS_IN_A_ROW: Final = 8
"""
Requests of one connection that begin before others are read.

With as many as may be in flight, ordinary calls beside 80 connections that pipeline
took up to 3 s, with eight 0.9 s.
"""

SCARCE_UNPARSED_BYTES: Final = 4096
"""Bytes behind the requests in flight that may wait while memory is scarce."""

MAX_BODY_PARTS: Final = 1000
"""Parts of bodies in one read above which other connections are read first."""

MAX_UNREAD_BYTES: Final = 1024 * 1024
"""Response bytes that wait for one caller before its further requests wait, too."""

PAUSE_SHARE: Final = 0.35
"""Part of its time limit for which the next request of a refused caller may wait."""

MAX_PAUSE_S: Final = 2.0
"""Limit of that wait, seconds; a stop ends it."""

TIMEOUT_CHECK_INTERVAL_S: Final = 0.5
"""Seconds between timeout checks; the longest delay until a timeout is detected."""

WRITE_STALL_TIMEOUT_S: Final = 15.0
"""Seconds without write progress before a connection is aborted, to free its buffer."""

SCARCE_TIMEOUT_S: Final = 2.0
"""
Seconds for a head, or without progress, while memory or connections are scarce.

A request that takes longer to arrive is refused as not run, so that a caller which
stops half-way doesn't keep out others.
"""

SCARCE_BYTES_PER_S: Final = 64 * 1024
"""Least rate of a body from then on, which callers in a data center exceed by far."""

CLOSE_TIMEOUT_S: Final = 0.1
"""Seconds that the close of a server waits until complete responses are sent."""

FIRST_REQUEST_WAIT_S: Final = 0.25
"""Seconds after which a new connection without a request counts as idle."""

FLUSH_POLL_S: Final = 0.02
"""Seconds between checks whether complete responses are sent."""

LINGER_TIMEOUT_S: Final = 2.0
"""Seconds after the last response until a connection closes without its caller."""

SCARCE_LINGER_S: Final = 0.5
"""That time while connections are scarce: some round trips for the response."""

MAX_LINGER_S: Final = 15.0
"""Longest wait, seconds, for a caller that still sends after the last response."""

OVERLOADED_RETRY_S: Final = 1
"""Retry delay for callers that found no memory or descriptor, whole seconds."""

BIND_RETRY_S: Final = 0.1
"""Seconds between attempts to listen on an address."""

BIND_LOG_INTERVAL_S: Final = 10.0
"""Seconds between log lines about an address that can't be used yet."""

ACCEPT_RETRY_S: Final = 0.1
"""Seconds without attempts to accept after one has failed."""

MAX_RESPONSE_BODY_BYTES: Final = 16 * 1024 * 1024
"""Maximum size of one response body."""

MAX_LATE_RESPONSES: Final = 8
"""Responses to earlier requests that are discarded while one request waits."""

PARSE_BYTES: Final = 16 * 1024
"""Bytes that are parsed between two checks of the limits."""

USER_TIMEOUT_MS: Final = 4000
"""Milliseconds without an acknowledgement of sent data until the connection fails."""

KEEPALIVE_IDLE_S: Final = 2
"""Seconds without traffic before keepalive probes; they find half-open connections."""

KEEPALIVE_PROBES: Final = 2
"""Unacknowledged probes, a second apart, after which the connection fails."""
