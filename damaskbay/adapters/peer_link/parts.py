"""Long payloads of requests and replies, which arrive in parts."""

from dataclasses import dataclass
from typing import Any

from damaskbay.adapters.peer_link.const import ALWAYS_ACCEPTED_BYTES
from damaskbay.adapters.peer_link.frames import Frame, FrameKind
from damaskbay.core.memory_account import (
    BODY_COPIES,
    HEADER_BYTES,
    REQUEST_BYTES,
    Holding,
    MemoryAccount,
)

_KINDS_BY_PART = {
    FrameKind.REQUEST_PART: FrameKind.REQUEST,
    FrameKind.REPLY_PART: FrameKind.REPLY,
}
PART_KINDS = {kind: part_kind for part_kind, kind in _KINDS_BY_PART.items()}


@dataclass(slots=True)
class Payload:
    """
    A payload that is being received; it is counted in `holding`.

    One that found no memory is `refused`, and its further parts are dropped.
    """

    holding: Holding
    data: bytes | bytearray = b""
    refused: bool = False

    def append(self, part: bytes) -> None:
        """Add a part, or refuse the payload if there is no memory for it."""
        if self.refused:
            return
        size_bytes = len(self.data) + len(part)
        if size_bytes <= ALWAYS_ACCEPTED_BYTES:
            self.holding.set(BODY_COPIES * size_bytes)
        elif not self.holding.grow(BODY_COPIES * len(part)):
            self.refuse()
            return
        if not self.data:
            # A payload in one part is not copied.
            self.data = part
            return
        if isinstance(self.data, bytes):
            self.data = bytearray(self.data)
        self.data += part

    def hold_headers(self, message: Any) -> bool:
        """
        Count what the request in a message occupies beside its text.

        Return False if there is no memory for very many headers.
        """
        count = REQUEST_BYTES + HEADER_BYTES * len(getattr(message, "headers", ()))
        if count <= ALWAYS_ACCEPTED_BYTES:
            self.holding.set(self.holding.held_bytes + count)
        elif not self.holding.grow(count):
            self.refuse()
        return not self.refused

    def refuse(self) -> None:
        """Forget what was received."""
        self.refused = True
        self.data = b""
        self.holding.release()


class PartialPayloads:
    """Payloads of one link that are incomplete, by kind and number of their frame."""

    def __init__(self, memory: MemoryAccount) -> None:
        self._memory = memory
        self._by_frame: dict[tuple[FrameKind, int], Payload] = {}

    @property
    def request_numbers(self) -> tuple[int, ...]:
        """Return the numbers of the requests that are incomplete."""
        return tuple(
            number for kind, number in self._by_frame if kind is FrameKind.REQUEST
        )

    def is_refused(self, frame: Frame) -> bool:
        """Return whether earlier parts of the payload found no memory."""
        payload = self._by_frame.get((_KINDS_BY_PART[frame.kind], frame.number))
        return payload is not None and payload.refused

    def add(self, frame: Frame) -> Payload:
        """Add a part; return the payload so far."""
        key = (_KINDS_BY_PART[frame.kind], frame.number)
        payload = self._by_frame.get(key)
        if payload is None:
            payload = self._by_frame[key] = Payload(Holding(self._memory))
        payload.append(frame.payload)
        return payload

    def complete(self, frame: Frame) -> Payload:
        """Return the whole payload of a frame, which the caller has to release."""
        payload = self._by_frame.pop((frame.kind, frame.number), None)
        if payload is None:
            payload = Payload(Holding(self._memory))
        payload.append(frame.payload)
        return payload

    def drop(self, kind: FrameKind, number: int) -> None:
        """Forget an incomplete payload."""
        payload = self._by_frame.pop((kind, number), None)
        if payload is not None:
            payload.refuse()

    def clear(self) -> None:
        """Forget all incomplete payloads."""
        for kind, number in tuple(self._by_frame):
            self.drop(kind, number)
