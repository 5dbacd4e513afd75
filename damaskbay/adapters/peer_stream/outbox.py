"""Queue of frames to be written to one stream."""

import socket
import ssl
from collections import deque
from dataclasses import dataclass

from damaskbay.adapters.peer_stream.const import FRAMES_PER_SEND


@dataclass(slots=True, eq=False)
class OutgoingFrame:
    """Frame to send; `started` once a byte of it may have left the process."""

    data: bytes
    started: bool = False


class Outbox:
    """First-in, first-out queue of frames; writes without blocking."""

    def __init__(self) -> None:
        self.queued_bytes = 0
        self.sent_bytes = 0
        self._frames: deque[OutgoingFrame] = deque()
        self._offset = 0

    def __bool__(self) -> bool:
        return bool(self._frames)

    def put(self, frame: OutgoingFrame) -> None:
        """Append a frame."""
        self._frames.append(frame)
        self.queued_bytes += len(frame.data)

    def send_first(self, sock: socket.socket, frame: OutgoingFrame) -> None:
        """
        Write a frame to a socket and queue its unsent rest; the outbox must be empty.

        A socket error is not raised here: the next flush raises it.
        """
        try:
            sent = sock.send(frame.data)
        except OSError:
            sent = 0
        frame.started = sent > 0
        self.sent_bytes += sent
        if sent < len(frame.data):
            self._offset = sent
            self.put(frame)

    def withdraw(self, frame: OutgoingFrame) -> bool:
        """Remove a frame; return False if it has started or is not queued."""
        if frame.started:
            return False
        try:
            self._frames.remove(frame)
        except ValueError:
            return False
        self.queued_bytes -= len(frame.data)
        return True

    def move_to(self, other: "Outbox") -> None:
        """Move all frames to another outbox; none of them has started."""
        while self._frames:
            other.put(self._frames.popleft())
        self.queued_bytes = 0

    def flush(self, sock: socket.socket) -> None:
        """Write until the socket would block; raise OSError if it fails."""
        while self._frames:
            try:
                sent = self._write(sock)
            except (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError):
                break
            self._advance(sent)
            self.sent_bytes += sent

    def _write(self, sock: socket.socket) -> int:
        head = self._frames[0]
        if isinstance(sock, ssl.SSLSocket):
            # Part of a TLS record may be written even if the socket would block.
            head.started = True
            return sock.send(memoryview(head.data)[self._offset :])
        if len(self._frames) == 1:
            return sock.send(memoryview(head.data)[self._offset :])
        count = min(FRAMES_PER_SEND, len(self._frames))
        parts = [memoryview(self._frames[index].data) for index in range(count)]
        parts[0] = parts[0][self._offset :]
        return sock.sendmsg(parts)

    def _advance(self, sent: int) -> None:
        while sent:
            head = self._frames[0]
            head.started = True
            left = len(head.data) - self._offset
            if sent < left:
                self._offset += sent
                return
            sent -= left
            self._offset = 0
            self._frames.popleft()
            self.queued_bytes -= len(head.data)
