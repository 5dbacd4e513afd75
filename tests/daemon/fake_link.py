"""Peer links within one process that serialize each message."""

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from damaskbay.helpers.messages import pack, unpack
from damaskbay.ports.peer import (
    Handler,
    PeerAddress,
    PeerFailure,
    PeerIdentity,
    PeerProblem,
)

MAX_BYTES = 2_000_000


@dataclass
class _Responder:
    future: "Future[Any]"

    def reply(self, message: Any) -> None:
        if not self.future.done():
            self.future.set_result(unpack(pack(message), max_bytes=MAX_BYTES))

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Ignore the callback; requests are never cancelled."""


@dataclass
class FakeNetwork:
    """Connects links by address; `is_partitioned` cuts off a pair of them."""

    link_by_address: dict[PeerAddress, "FakeLink"] = field(default_factory=dict)
    is_partitioned: Callable[[PeerAddress, PeerAddress], bool] = (
        lambda _source, _target: False
    )
    executor: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(2, thread_name_prefix="fake-link")
    )


class FakeLink:
    """Link of one daemon; records each sent message (port: PeerLink)."""

    def __init__(
        self, board: FakeNetwork, address: PeerAddress, identity: PeerIdentity
    ) -> None:
        self.sent: list[tuple[PeerAddress, Any]] = []
        self._board = board
        self._address = address
        self._identity = identity
        self._handler_by_type: dict[type[Any], Handler] = {}
        board.link_by_address[address] = self

    def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> "Future[Any]":
        """Deliver a message to the peer's handler on another thread."""
        future: Future[Any] = Future()
        self.sent.append((peer, message))
        target = self._board.link_by_address.get(peer)
        if target is None or self._board.is_partitioned(self._address, peer):
            future.set_result(PeerFailure(PeerProblem.NOT_SENT))
            return future
        copy = unpack(pack(message), max_bytes=MAX_BYTES)
        handler = target._handler_by_type[type(message)]
        self._board.executor.submit(handler, self._identity, copy, _Responder(future))
        return future

    def send(self, peer: PeerAddress, message: Any) -> None:
        """Deliver a message without waiting for a reply."""
        self.request(peer, message, timeout_s=1.0)

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handler_by_type[message_type] = handler
