"""UDP socket for the membership protocol."""

import logging
import socket
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from types import TracebackType
from typing import Self

from damaskbay.adapters.gossip_udp.codec import PacketCodec
from damaskbay.adapters.gossip_udp.const import MAX_DATAGRAM_BYTES, RECEIVE_TIMEOUT_S
from damaskbay.adapters.gossip_udp.exceptions import DatagramProblem
from damaskbay.core.membership.packets import Outgoing, Packet
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)


class GossipSocket:
    """
    Sends packets and calls `receive` with each valid one, on a thread of its own.

    Call `send` from one thread only. `dropped` counts dropped datagrams by reason.
    """

    def __init__(
        self,
        address: PeerAddress,
        codec: PacketCodec,
        receive: Callable[[Packet], None],
    ) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped: Counter[DatagramProblem] = Counter()
        self._codec = codec
        self._receive = receive
        self._closing = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        self._socket.settimeout(RECEIVE_TIMEOUT_S)
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="gossip")
        self._receiver: Future[None] | None = None

    @property
    def port(self) -> int:
        """Return the local UDP port."""
        port: int = self._socket.getsockname()[1]
        return port

    def __enter__(self) -> Self:
        self._receiver = self._executor.submit(self._receive_datagrams)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._closing = True
        self._executor.shutdown()
        self._socket.close()

    def send(self, outgoing: Outgoing) -> None:
        """Send a packet, best effort."""
        data = self._codec.encode(outgoing.packet)
        address = outgoing.address
        try:
            self.sent_bytes += self._socket.sendto(data, (address.host, address.port))
        except OSError as error:
            _LOGGER.debug("gossip: datagram to %s not sent: %s.", address, error)

    def _receive_datagrams(self) -> None:
        while not self._closing:
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
            except TimeoutError:
                continue
            except OSError as error:
                _LOGGER.debug("gossip: receive failed: %s.", error)
                continue
            self.received_bytes += len(data)
            self._handle_datagram(data)

    def _handle_datagram(self, data: bytes) -> None:
        packet = self._codec.decode(data)
        if isinstance(packet, DatagramProblem):
            self.dropped[packet] += 1
            return
        self._receive(packet)
