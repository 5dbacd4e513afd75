"""Tests of races between the threads that send and the one that reads."""

import socket
import threading
import time
import unittest
from typing import Any
from unittest import mock

from damaskbay.adapters.peer_stream.stream import PeerStream
from tests.adapters.peer_stream.common import WAIT_S, Ask, Tell, link
from tests.common import function_suite

POLL_S = 0.001
PEEK_BYTES = 65_536


def test_answer_that_comes_while_the_loop_reads_is_not_dropped() -> None:
    """A request written after the loop woke up gets the answer of the same read."""
    futures: list[Any] = []
    armed = threading.Event()
    original = PeerStream.pump

    with link("a") as a, link("b") as b:

        def send_and_wait_for_bytes(sock: socket.socket) -> None:
            before = len(sock.recv(PEEK_BYTES, socket.MSG_PEEK))
            futures.append(a.request(b.address, Ask(2), timeout_s=WAIT_S))
            limit = time.monotonic() + WAIT_S
            while time.monotonic() < limit:
                if len(sock.recv(PEEK_BYTES, socket.MSG_PEEK)) > before:
                    return
                time.sleep(POLL_S)

        def pump(stream: PeerStream, *arguments: Any) -> Any:
            if armed.is_set() and stream.sock.getpeername()[1] == b.address.port:
                armed.clear()
                caller = threading.Thread(
                    target=send_and_wait_for_bytes, args=(stream.sock,)
                )
                caller.start()
                caller.join(WAIT_S)
            return original(stream, *arguments)

        with mock.patch.object(PeerStream, "pump", pump):
            first = a.request(b.address, Ask(0), timeout_s=WAIT_S).result()
            armed.set()
            second = a.request(b.address, Ask(1), timeout_s=WAIT_S).result()
            third = futures[0].result()
        assert [first, second, third] == [Tell(0), Tell(1), Tell(2)]
        assert a.stats().answers_stray == 0


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
