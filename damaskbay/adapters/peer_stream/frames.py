"""Frames: a length, then the msgpack of kind, correlation id and payload."""

import struct
from dataclasses import dataclass
from enum import IntEnum

import msgpack

from damaskbay.adapters.peer_stream.const import (
    LENGTH_BYTES,
    MAX_CORRELATION_ID,
    MAX_UNPROVEN_FRAME_BYTES,
)
from damaskbay.adapters.peer_stream.exceptions import FrameError

_LENGTH = struct.Struct(">I")


class FrameKind(IntEnum):
    """What a frame is for."""

    HELLO = 0
    PROOF = 1
    REQUEST = 2
    ANSWER = 3
    SEND = 4
    CANCEL = 5
    PING = 6
    PONG = 7
    REJECTED = 8
    """The request was not handled."""

    DROPPED = 9
    """The request was handled, but its answer cannot be sent."""

    GOODBYE = 10
    """The sender takes no new requests on this stream."""


_KINDS = tuple(FrameKind)


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame. `correlation_id` is 0 where nothing is matched."""

    kind: FrameKind
    correlation_id: int = 0
    payload: bytes = b""


def encode(kind: FrameKind, correlation_id: int = 0, payload: bytes = b"") -> bytes:
    """Return the bytes of a frame."""
    body: bytes = msgpack.packb((int(kind), correlation_id, payload))
    return _LENGTH.pack(len(body)) + body


def decode(body: bytes) -> Frame:
    """Return the frame in a body without its length; raise FrameError."""
    try:
        kind, correlation_id, payload = msgpack.unpackb(body)
    except (ValueError, TypeError, RecursionError) as error:
        raise FrameError(f"not a frame: {type(error).__name__}") from None
    except msgpack.exceptions.UnpackException as error:
        raise FrameError(f"not msgpack: {type(error).__name__}") from None
    if type(kind) is not int or not 0 <= kind < len(_KINDS):
        raise FrameError("unknown frame kind")
    if type(correlation_id) is not int or not 0 <= correlation_id <= MAX_CORRELATION_ID:
        raise FrameError("bad correlation id")
    if type(payload) is not bytes:
        raise FrameError("payload is not bytes")
    return Frame(_KINDS[kind], correlation_id, payload)


class FrameReader:
    """Cuts a stream of bytes into frames of at most `max_bytes`."""

    def __init__(self, max_bytes: int = MAX_UNPROVEN_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> None:
        """Take bytes as they came."""
        self._buffer += data

    def next(self) -> Frame | None:
        """Return the next whole frame, None where more bytes are needed."""
        buffer = self._buffer
        if len(buffer) < LENGTH_BYTES:
            return None
        (length,) = _LENGTH.unpack_from(buffer)
        if length > self.max_bytes:
            raise FrameError(f"frame of {length} bytes exceeds {self.max_bytes}")
        end = LENGTH_BYTES + length
        if len(buffer) < end:
            return None
        body = bytes(memoryview(buffer)[LENGTH_BYTES:end])
        del buffer[:end]
        return decode(body)
