"""Opens the listeners of a daemon as it starts."""

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import dataclass

from damaskbay.adapters.http1.server import HttpServer
from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.mesh.const import BIND_WAIT_S


@dataclass(frozen=True, slots=True)
class Listeners:
    """What a daemon can't serve without, in order, and the server of its metrics."""

    required: Sequence[PeerLinks | HttpServer]
    metrics: HttpServer

    async def open(
        self, stack: contextlib.AsyncExitStack, stopping: asyncio.Event
    ) -> bool:
        """
        Open all; return whether that was done before a stop.

        An address that can't be used yet is waited for, that of the metrics beside
        everything else.
        """
        loop = asyncio.get_running_loop()
        opening = loop.create_task(self._open(stack))
        stop = loop.create_task(stopping.wait())
        tasks = (opening, stop)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if stopping.is_set():
                return False
            await opening
            return True
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _open(self, stack: contextlib.AsyncExitStack) -> None:
        for listener in self.required:
            listener.bind_wait_s = BIND_WAIT_S
            await stack.enter_async_context(listener)
        self.metrics.bind_wait_s = BIND_WAIT_S
        entering = asyncio.get_running_loop().create_task(self.metrics.__aenter__())
        stack.push_async_exit(self.metrics)
        stack.callback(entering.cancel)
        # An address that is free is open before the daemon serves.
        await asyncio.sleep(0)
