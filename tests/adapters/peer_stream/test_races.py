"""Tests of races between sending threads and the loop's thread."""

import socket
import threading
import time
import unittest
from typing import Any
from unittest import mock

from damaskbay.adapters.peer_stream.stream import PeerStream
from tests.adapters.peer_stream.common import WAIT_S, Reply, Request, link
from tests.common import function_suite

POLL_S = 0.001
PEEK_BYTES = 65_536


def test_answer_that_comes_while_the_loop_reads_is_not_dropped() -> None:
    """A reply that arrives before the loop tracks its request is still matched."""
    futures: list[Any] = []
    armed = threading.Event()
    original = PeerStream.process_events

    with link("a") as a, link("b") as b:

        def send_and_wait_for_bytes(sock: socket.socket) -> None:
            before = len(sock.recv(PEEK_BYTES, socket.MSG_PEEK))
            futures.append(a.request(b.address, Request(2), timeout_s=WAIT_S))
            limit = time.monotonic() + WAIT_S
            while time.monotonic() < limit:
                if len(sock.recv(PEEK_BYTES, socket.MSG_PEEK)) > before:
                    return
                time.sleep(POLL_S)

        def process_events(stream: PeerStream, *arguments: Any) -> Any:
            if armed.is_set() and stream.sock.getpeername()[1] == b.address.port:
                armed.clear()
                caller = threading.Thread(
                    target=send_and_wait_for_bytes, args=(stream.sock,)
                )
                caller.start()
                caller.join(WAIT_S)
            return original(stream, *arguments)

        with mock.patch.object(PeerStream, "process_events", process_events):
            first = a.request(b.address, Request(0), timeout_s=WAIT_S).result()
            armed.set()
            second = a.request(b.address, Request(1), timeout_s=WAIT_S).result()
            third = futures[0].result()
        assert [first, second, third] == [Reply(0), Reply(1), Reply(2)]
        assert a.stats().replies_unmatched == 0


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
