"""Requests of a peer that run here."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from damaskbay.adapters.peer_link.frames import FrameKind
from damaskbay.adapters.peer_link.handlers import RequestHandler
from damaskbay.adapters.peer_link.sending import WriteFrame
from damaskbay.core.memory_account import Holding
from damaskbay.helpers.messages import pack

_LOGGER = logging.getLogger(__name__)

SendReply = Callable[[int, bytes, Holding], Awaitable[None]]


class RunningRequests:
    """
    Tasks of the received requests of one link, by number.

    `send_reply` sends the reply of a request and counts what it holds meanwhile.
    """

    def __init__(
        self, on_request: RequestHandler, write_frame: WriteFrame, send_reply: SendReply
    ) -> None:
        self._on_request = on_request
        self._write_frame = write_frame
        self._send_reply = send_reply
        self._tasks_by_number: dict[int, asyncio.Task[None]] = {}

    def __len__(self) -> int:
        return len(self._tasks_by_number)

    def start(self, number: int, message: Any, holding: Holding) -> None:
        """Run a request, whose holding is released as it ends."""
        serve = self._serve(number, message, holding)
        task = asyncio.get_running_loop().create_task(serve)
        task.add_done_callback(lambda _: holding.release())
        self._tasks_by_number[number] = task

    def cancel(self, number: int) -> None:
        """Cancel a request, if it runs."""
        task = self._tasks_by_number.pop(number, None)
        if task is not None:
            task.cancel()

    def cancel_all(self) -> None:
        """Cancel what runs."""
        for number in tuple(self._tasks_by_number):
            self.cancel(number)

    async def _serve(self, number: int, message: Any, holding: Holding) -> None:
        try:
            payload = pack(await self._on_request(message))
            await self._send_reply(number, payload, holding)
        except Exception:
            _LOGGER.exception("peer: request failed.")
            self._write_frame(FrameKind.FAILED, number, b"")
        finally:
            self._tasks_by_number.pop(number, None)
