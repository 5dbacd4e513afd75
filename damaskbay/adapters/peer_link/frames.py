"""Frames of a link: a stream of msgpack arrays of kind, number and payload."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

import msgpack

from damaskbay.adapters.peer_link.const import (
    FRAME_VALUES,
    KEPT_BUFFER_BYTES,
    LINK_VERSION,
    MAX_FRAME_BYTES,
)
from damaskbay.adapters.peer_link.exceptions import BadFrameError
from damaskbay.helpers.messages import pack


class FrameKind(Enum):
    """Kind of a frame. A request and the frames that end it carry the same number."""

    REQUEST = 0
    REPLY = 1
    CANCEL = 2
    REJECTED = 3
    """The request was not run: invalid, or too many are running."""

    FAILED = 4
    """The request was run, but its handler failed and there is no reply."""

    NOTE = 5
    NOTE_ACK = 6
    """
    Acknowledges a note, so that both ends know that the link is alive.

    The payload is the status of the acknowledging daemon, or empty. An empty one with a
    number announces the end of the stream: requests from that number on are not
    handled. It is no kind of its own, since earlier versions ignore it like this.
    """

    PULSE = 7
    """
    Stands for the last note, which still holds.

    It is sent only to a daemon whose acknowledgements carry its status, since
    earlier versions close the link on an unknown kind.
    """

    REQUEST_PART = 8
    REPLY_PART = 9
    """
    Parts of the payload of a request or a reply, whose own frame holds the last part.

    They are sent only to a daemon whose notes or acknowledgements carry PARTS_VERSION,
    since earlier versions close the link on an unknown kind.
    """


_KINDS = {kind.value: kind for kind in FrameKind}


class Frame(NamedTuple):
    """One frame. `number` is 0 if the frame belongs to no request."""

    kind: FrameKind
    number: int
    payload: bytes


def encode(kind: FrameKind, number: int = 0, payload: bytes = b"") -> bytes:
    """Encode a frame."""
    encoded: bytes = msgpack.packb((kind.value, number, payload))
    return encoded


PULSE = encode(FrameKind.PULSE)


def encode_note(message: Any) -> bytes:
    """Encode a note once, to send it on several links."""
    return encode(FrameKind.NOTE, LINK_VERSION, pack(message))


class FrameReader:
    """Incremental decoder of a byte stream into frames."""

    def __init__(self) -> None:
        self._unpacker = _make_unpacker()
        self._fed_bytes = self._largest_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Return the number of received bytes of an incomplete frame."""
        return self._fed_bytes - int(self._unpacker.tell())

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield the complete frames; raise BadFrameError."""
        try:
            self._unpacker.feed(data)
            self._fed_bytes += len(data)
            self._largest_bytes = max(self._largest_bytes, self.buffered_bytes)
            for item in self._unpacker:
                yield _parse_frame(item)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise BadFrameError(f"not msgpack: {type(error).__name__}") from None
        if self._largest_bytes > KEPT_BUFFER_BYTES and not self.buffered_bytes:
            # The unpacker never shrinks its buffer.
            self._unpacker = _make_unpacker()
            self._fed_bytes = self._largest_bytes = 0


def _make_unpacker() -> msgpack.Unpacker:
    # Only arrays of three with a binary payload are frames, so that a peer which
    # sends other bytes without end is noticed at once.
    return msgpack.Unpacker(
        use_list=False,
        max_buffer_size=MAX_FRAME_BYTES,
        max_array_len=FRAME_VALUES,
        max_map_len=0,
        max_str_len=0,
        max_ext_len=0,
    )


def _parse_frame(item: object) -> Frame:
    if type(item) is not tuple or len(item) != FRAME_VALUES:
        raise BadFrameError("frame does not have three values")
    value, number, payload = item
    kind = _KINDS.get(value) if type(value) is int else None
    if kind is None or type(number) is not int or type(payload) is not bytes:
        raise BadFrameError("frame is not kind, number and payload")
    return Frame(kind, number, payload)
