"""Frame format: a length, then kind, correlation id and payload as msgpack."""

import struct
from enum import IntEnum
from typing import NamedTuple

import msgpack

from damaskbay.adapters.peer_stream.const import (
    LENGTH_BYTES,
    MAX_CORRELATION_ID,
    MAX_HANDSHAKE_FRAME_BYTES,
)
from damaskbay.adapters.peer_stream.exceptions import FrameError

_LENGTH = struct.Struct(">I")


class FrameKind(IntEnum):
    """Kind of a frame; kinds up to PONG are handled by the stream itself."""

    HELLO = 0
    PROOF = 1
    PING = 2
    PONG = 3
    REQUEST = 4
    ANSWER = 5
    SEND = 6
    CANCEL = 7
    REJECTED = 8
    """The request was not handled."""

    DROPPED = 9
    """The request was handled, but its reply cannot be sent."""

    GOODBYE = 10
    """The sender accepts no new requests on this stream."""


_KINDS = tuple(FrameKind)


class Frame(NamedTuple):
    """One frame. `correlation_id` is 0 if the frame belongs to no request."""

    kind: FrameKind
    correlation_id: int = 0
    payload: bytes = b""


def encode(kind: FrameKind, correlation_id: int = 0, payload: bytes = b"") -> bytes:
    """Return a frame as bytes, including its length."""
    body: bytes = msgpack.packb((int(kind), correlation_id, payload))
    return _LENGTH.pack(len(body)) + body


def decode(body: bytes | memoryview) -> Frame:
    """Decode the bytes that follow a frame's length; raise FrameError if invalid."""
    try:
        kind, correlation_id, payload = msgpack.unpackb(body)
    except (ValueError, TypeError, RecursionError) as error:
        raise FrameError(f"invalid frame: {type(error).__name__}") from None
    except msgpack.exceptions.UnpackException as error:
        raise FrameError(f"invalid msgpack: {type(error).__name__}") from None
    if type(kind) is not int or not 0 <= kind < len(_KINDS):
        raise FrameError("unknown frame kind")
    if type(correlation_id) is not int or not 0 <= correlation_id <= MAX_CORRELATION_ID:
        raise FrameError("invalid correlation id")
    if type(payload) is not bytes:
        raise FrameError("payload is not bytes")
    return Frame(_KINDS[kind], correlation_id, payload)


class FrameReader:
    """Splits a byte stream into frames of at most `max_bytes`."""

    def __init__(self, max_bytes: int = MAX_HANDSHAKE_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> list[Frame]:
        """
        Add received bytes and return the frames that are now complete.

        Raises FrameError; all other frames in `data` are then lost.
        """
        frames: list[Frame] = []
        if not self._buffer:
            with memoryview(data) as view:
                used = self._decode_complete(view, frames)
                if used < len(view):
                    self._buffer += view[used:]
            return frames
        self._buffer += data
        with memoryview(self._buffer) as view:
            used = self._decode_complete(view, frames)
        del self._buffer[:used]
        return frames

    def _decode_complete(self, view: memoryview, frames: list[Frame]) -> int:
        """Append the complete frames in a view to `frames`; return their bytes."""
        start = 0
        size = len(view)
        while size - start >= LENGTH_BYTES:
            (length,) = _LENGTH.unpack_from(view, start)
            if length > self.max_bytes:
                raise FrameError(f"frame of {length} bytes exceeds {self.max_bytes}")
            end = start + LENGTH_BYTES + length
            if end > size:
                break
            with view[start + LENGTH_BYTES : end] as body:
                frames.append(decode(body))
            start = end
        return start
