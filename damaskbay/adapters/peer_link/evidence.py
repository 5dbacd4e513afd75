"""
What the kernel knows of the other end of a connection.

A peer whose process gets no processor is silent while its kernel still acknowledges
what is written to it; after a cut or a loss of power nothing acknowledges.
"""

import logging
import socket
import struct
from dataclasses import dataclass
from typing import Protocol

from damaskbay.adapters.peer_link.const import ACK_TIMEOUT_S

_LOGGER = logging.getLogger(__name__)

_TCP_INFO = struct.Struct("=5B3x13I")
"""Start of `struct tcp_info` in linux/tcp.h, up to tcpi_last_ack_recv."""

_STATE = 0
_PROBES = 3
_UNACKED = 9
_LAST_ACK_RECV_MS = 17
"""Positions of values in the unpacked structure."""


@dataclass(frozen=True, slots=True)
class KernelEvidence:
    """
    State of a connection on which something was written lately.

    `unacked` is the number of segments that wait for an acknowledgement, `probes` that
    of unanswered probes of an idle connection or a closed receive window, and
    `last_ack_age_s` the time since the last acknowledgement, in seconds.
    """

    unacked: int
    probes: int
    last_ack_age_s: float

    @property
    def acknowledges(self) -> bool:
        """Return whether the peer's kernel acknowledges what is written."""
        # A single probe may just be on its way.
        if not self.unacked and self.probes <= 1:
            return True
        return self.last_ack_age_s <= ACK_TIMEOUT_S


class EvidenceReader(Protocol):
    """Reads what the kernel knows of a connection."""

    def __call__(self, sock: socket.socket) -> KernelEvidence | None:
        """Return the evidence, None if there is none."""
        ...


def read_tcp_info(sock: socket.socket) -> KernelEvidence | None:
    """Return the evidence in TCP_INFO; None where the system doesn't have all of it."""
    option: int | None = getattr(socket, "TCP_INFO", None)
    if option is None:
        return None
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, option, _TCP_INFO.size)
    except OSError as error:
        _LOGGER.warning("peer: no TCP_INFO.", extra={"why": str(error)})
        return None
    return parse_tcp_info(data)


def parse_tcp_info(data: bytes) -> KernelEvidence | None:
    """Return the evidence in a `tcp_info` structure, None if it is short or empty."""
    if len(data) < _TCP_INFO.size:
        return None
    values = _TCP_INFO.unpack_from(data)
    if not values[_STATE]:
        # Each connection has a state: this system doesn't fill the structure in.
        return None
    return KernelEvidence(
        values[_UNACKED], values[_PROBES], values[_LAST_ACK_RECV_MS] / 1000
    )
