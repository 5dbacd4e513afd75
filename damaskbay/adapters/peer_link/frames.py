"""Frames of a link: the msgpack of kind, number and payload, one after the other."""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

import msgpack

from damaskbay.adapters.peer_link.const import MAX_FRAME_BYTES
from damaskbay.adapters.peer_link.exceptions import BadFrameError


class FrameKind(Enum):
    """What a frame is for. A request's number comes back on what answers it."""

    REQUEST = 0
    ANSWER = 1
    CANCEL = 2
    REJECTED = 3
    """The request was not handled."""

    DROPPED = 4
    """The request was handled, but there is no answer to send."""

    NOTE = 5
    HEARD = 6
    """Answers a note, so that both ends know that the path is alive."""


_KINDS = {kind.value: kind for kind in FrameKind}


class Frame(NamedTuple):
    """One frame. `number` is 0 where nothing is matched."""

    kind: FrameKind
    number: int
    payload: bytes


def encode(kind: FrameKind, number: int = 0, payload: bytes = b"") -> bytes:
    """Return the bytes of a frame."""
    encoded: bytes = msgpack.packb((kind.value, number, payload))
    return encoded


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            use_list=False, max_buffer_size=MAX_FRAME_BYTES
        )

    def take(self, data: bytes) -> Iterator[Frame]:
        """Take bytes as they came; yield the frames that are whole or raise."""
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                yield _frame(item)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise BadFrameError(f"not msgpack: {type(error).__name__}") from None


def _frame(item: object) -> Frame:
    if type(item) is not tuple or len(item) != 3:
        raise BadFrameError("not three values")
    value, number, payload = item
    kind = _KINDS.get(value) if type(value) is int else None
    if kind is None or type(number) is not int or type(payload) is not bytes:
        raise BadFrameError("not kind, number and payload")
    return Frame(kind, number, payload)
