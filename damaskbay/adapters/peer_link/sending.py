"""Sends long payloads of requests and replies in parts."""

import asyncio
from collections.abc import Callable

from damaskbay.adapters.peer_link.const import PART_BYTES
from damaskbay.adapters.peer_link.frames import FrameKind
from damaskbay.adapters.peer_link.parts import PART_KINDS

WriteFrame = Callable[[FrameKind, int, bytes], None]


class PartsSender:
    """
    Sends the long payloads of one link, each part after the peer has read the last.

    `write_frame` writes a frame while the link is open.
    """

    def __init__(self, write_frame: WriteFrame) -> None:
        self._write_frame = write_frame
        self._writable = asyncio.Event()
        self._writable.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._incomplete: set[int] = set()

    def pause(self) -> None:
        """Hold back payloads while the peer reads slowly."""
        self._writable.clear()

    def resume(self) -> None:
        """Go on with payloads."""
        self._writable.set()

    def is_incomplete(self, number: int) -> bool:
        """Return whether a part of a request has not been written."""
        return number in self._incomplete

    def forget(self, number: int) -> None:
        """Forget a request that has ended."""
        self._incomplete.discard(number)

    def start_request(
        self, number: int, payload: bytes, is_wanted: Callable[[], bool]
    ) -> None:
        """
        Send a request while it is wanted; cancel it at the peer after that.

        The peer gets the first part before any later request, so that it knows of each
        request that it has not handled when it closes the link.
        """
        self._incomplete.add(number)
        self._write_frame(FrameKind.REQUEST_PART, number, payload[:PART_BYTES])
        send = self._send_request(number, payload, is_wanted)
        task = asyncio.get_running_loop().create_task(send)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_request(
        self, number: int, payload: bytes, is_wanted: Callable[[], bool]
    ) -> None:
        is_sent = await self.send(
            FrameKind.REQUEST, number, payload, is_wanted, sent_bytes=PART_BYTES
        )
        if is_sent:
            self._incomplete.discard(number)
        else:
            self._write_frame(FrameKind.CANCEL, number, b"")

    async def send(
        self,
        kind: FrameKind,
        number: int,
        payload: bytes,
        is_wanted: Callable[[], bool],
        *,
        sent_bytes: int = 0,
        part_bytes: int = PART_BYTES,
    ) -> bool:
        """
        Send what is left of a payload after `sent_bytes`, while it is wanted.

        Return whether its last part was written.
        """
        await self._writable.wait()
        while is_wanted():
            part = payload[sent_bytes : sent_bytes + part_bytes]
            sent_bytes += part_bytes
            if sent_bytes >= len(payload):
                self._write_frame(kind, number, part)
                return True
            self._write_frame(PART_KINDS[kind], number, part)
            await asyncio.sleep(0)
            await self._writable.wait()
        return False
