"""Times and sizes of peer links."""

from typing import Final

NOTE_S: Final = 0.5
"""Seconds between notes on each quiet link; they also prove that the path is alive."""

QUIET_S: Final = 0.15
"""Seconds without a byte after which a link is quiet; with a round below SUSPECT_S."""

NOTE_AT_LEAST_ROUNDS: Final = 4
"""Rounds of `NOTE_S` after which a link gets a note though it carries requests."""

SUSPECT_S: Final = 0.8
"""Seconds without a byte after which new requests avoid a link: a note is missing."""

SILENT_S: Final = 1.5
"""Seconds without a byte after which a link counts as lost: three notes."""

CONNECT_TIMEOUT_S: Final = 1.0
"""Seconds a connection may take; the farthest round trip is tens of milliseconds."""

RECONNECT_S: Final = 0.25
"""Seconds between attempts to reach a peer."""

MAX_FRAME_BYTES: Final = 80 * 1024 * 1024
"""Largest frame; a body of the largest allowed size and its headers fit."""

MAX_RUNNING: Final = 4096
"""Requests that one peer may have under way here; bounds memory."""
