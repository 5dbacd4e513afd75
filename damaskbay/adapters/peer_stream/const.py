"""Protocol version and sizes of peer streams."""

from typing import Final

PROTOCOL_VERSION: Final = 1
LENGTH_BYTES: Final = 4
NONCE_BYTES: Final = 32
MIN_SECRET_BYTES: Final = 16
MAX_HANDSHAKE_FRAME_BYTES: Final = 2_048
MAX_CORRELATION_ID: Final = 2**63 - 1
RECEIVE_BYTES: Final = 262_144
FRAMES_PER_SEND: Final = 64
CONTROL_RESERVE_BYTES: Final = 65_536
MAX_DIRECT_BYTES: Final = 1_048_576
FRAME_OVERHEAD_BYTES: Final = 32
