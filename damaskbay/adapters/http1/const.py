"""Names and sizes of HTTP/1.1 connections."""

from typing import Final

READ_BACKLOG_REQUESTS: Final = 32
"""Requests of one connection at once; reading pauses above. Bounds memory."""

SWEEP_S: Final = 0.5
"""Seconds between looks for connections that are idle or late; bounds their error."""

WRITE_STALLED_S: Final = 15.0
"""Seconds after which a peer that reads nothing is cut off, to free its memory."""

LISTEN_BACKLOG: Final = 1024
"""Connections that may wait to be accepted; a dropped one costs the caller seconds."""

USER_TIMEOUT_MS: Final = 4000
"""Milliseconds of unacknowledged bytes before the kernel gives a connection up."""

KEEPALIVE_IDLE_S: Final = 2
"""Seconds of silence before the kernel probes; finds connections gone silent."""

KEEPALIVE_PROBES: Final = 2
"""Unanswered probes, a second apart, that end a connection."""
