"""Header names and limits that several packages share."""

from typing import Final

HEADER_KEY: Final = "Damaskbay-Key"
HEADER_DEADLINE: Final = "Damaskbay-Deadline-Ms"
HEADER_REQUEST_ID: Final = "Damaskbay-Request-Id"
HEADER_IDEMPOTENT: Final = "Damaskbay-Idempotent"
HEADER_CALL_TOKEN: Final = "Damaskbay-Call-Token"
HEADER_OUTCOME: Final = "Damaskbay-Outcome"
HEADER_REASON: Final = "Damaskbay-Reason"
HEADER_CALL_ID: Final = "Damaskbay-Call-Id"

MAX_BODY_BYTES: Final = 8 * 1024 * 1024
MAX_CALL_DEPTH: Final = 9
MAX_PLATFORM_VALUE_BYTES: Final = 1_000_000

MAX_RESPONSE_OVERHEAD_BYTES: Final = 64 * 1024
"""
Maximum number of received bytes that are not part of a response body.

These are heads, interim responses, chunk sizes and their extensions, and trailers.
A faulty server may send them without end.
"""

OVERHEAD_PER_BODY_BYTE: Final = 5
"""Additional overhead per body byte; a chunk of one byte has a frame of five."""
