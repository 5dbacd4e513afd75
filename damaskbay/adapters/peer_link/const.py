"""Timeouts and limits of peer links."""

from typing import Final

NOTE_INTERVAL_S: Final = 0.5
"""Seconds between notes on each quiet link; they also serve as heartbeats."""

QUIET_AFTER_S: Final = 0.15
"""
Seconds without a received or without a sent byte before a link is quiet.

The sum with NOTE_INTERVAL_S must be less than SUSPECT_AFTER_S: a link that is not yet
quiet in one round then gets a note in the next round, before it becomes suspect.
"""

MAX_NOTE_ROUNDS: Final = 4
"""Number of rounds between two notes on a link that is not quiet."""

SUSPECT_AFTER_S: Final = 0.8
"""
Seconds without a received byte before a link is suspect: new requests avoid it.

Exceeds NOTE_INTERVAL_S, so that a note is overdue by then.
"""

LINK_TIMEOUT_S: Final = 1.5
"""
Seconds without a received byte before a link is closed; three note intervals.

While the peer's kernel acknowledges, requests that may not be repeated go on waiting.
"""

ACK_TIMEOUT_S: Final = 1.0
"""
Seconds without an acknowledgement of written bytes before the peer counts as gone.

Exceeds NOTE_INTERVAL_S, so that what was written in the last round is overdue by then.
"""

IDLE_TIMEOUT_S: Final = 10.0
"""
Seconds without a received byte before an accepted link without work is closed.

It bounds the links of a peer that is silent for good though something acknowledges.
"""

MAX_RETIRED_LINKS: Final = 4
"""Links to a peer that wait for replies beside the one that takes new requests."""

CONNECT_TIMEOUT_S: Final = 1.0
"""Seconds to connect; the longest round trip is tens of milliseconds."""

RECONNECT_DELAY_S: Final = 0.25
"""Seconds between attempts to connect to a peer."""

MAX_FRAME_BYTES: Final = 17 * 1024 * 1024
"""Maximum frame size; a longer payload is sent in parts."""

MAX_PAYLOAD_BYTES: Final = MAX_FRAME_BYTES - 64
"""Maximum payload of one frame, whose other values take less than the rest."""

PART_BYTES: Final = 256 * 1024
"""Size of the parts of a long payload; other frames are sent between them."""

PARTS_VERSION: Final = 1
"""Number in notes and their acknowledgements of daemons that take parts."""

TREES_VERSION: Final = 2
"""Number of daemons that read reports on pools; it includes PARTS_VERSION."""

LINK_VERSION: Final = TREES_VERSION
"""Number in the notes and acknowledgements of this daemon."""

KEPT_BUFFER_BYTES: Final = 256 * 1024
"""Receive buffer that a link keeps between frames; a larger one is freed."""

ALWAYS_ACCEPTED_BYTES: Final = 64 * 1024
"""Payload that is accepted however full the memory is; control messages are smaller."""

FRAME_VALUES: Final = 3
"""Values of a frame: kind, number and payload."""

MAX_UNREAD_BYTES: Final = 1024 * 1024
"""Bytes that wait for a slow peer, from which the link takes no further requests."""

MAX_RUNNING_REQUESTS: Final = 4096
"""Requests of one peer that run here at once; bounds memory."""
