"""Tests of adapters.peer_stream over TLS."""

import socket
import ssl
import unittest
from contextlib import ExitStack
from pathlib import Path

from damaskbay.ports.peer import PeerAddress, PeerProblem
from tests.adapters.peer_stream.common import (
    WAIT_S,
    Reply,
    Request,
    eventually,
    link,
    raw_initiator,
)
from tests.common import function_suite

DATA = Path(__file__).parent / "data"


def context(side: int, own: str = "peer.pem") -> ssl.SSLContext:
    """Return a context that presents one certificate and trusts only `peer.pem`."""
    tls_context = ssl.SSLContext(side)
    tls_context.load_cert_chain(DATA / own)
    tls_context.load_verify_locations(DATA / "peer.pem")
    tls_context.verify_mode = ssl.CERT_REQUIRED
    return tls_context


def test_requests_of_any_size_pass_over_tls() -> None:
    """Bodies larger than a TLS record or the socket's buffers arrive complete."""
    server = context(ssl.PROTOCOL_TLS_SERVER)
    client = context(ssl.PROTOCOL_TLS_CLIENT)
    with link("a", client_tls=client) as a, link("b", server_tls=server) as b:
        requests = [Request(number, bytes(number**3 * 10)) for number in range(40)]
        futures = [a.request(b.address, item, timeout_s=WAIT_S) for item in requests]
        replies = [future.result() for future in futures]
        assert replies == [Reply(item.number, item.body) for item in requests]


def test_a_stranger_is_refused() -> None:
    """A peer with an unknown certificate or without TLS is refused."""
    server = context(ssl.PROTOCOL_TLS_SERVER)
    stranger = context(ssl.PROTOCOL_TLS_CLIENT, "stranger.pem")
    with link("b", server_tls=server) as b, link("a", client_tls=stranger) as a:
        result = a.request(b.address, Request(1), timeout_s=WAIT_S).result()
        assert result.problem is PeerProblem.NOT_SENT
        with raw_initiator(b) as plain:
            plain.sock.sendall(plain.handshake.start() * 10)
            assert eventually(lambda: b.stats().streams_failed == 2)
        assert b.stats().requests_received == 0


def test_a_connect_that_takes_its_time() -> None:
    """The TLS handshake starts even if connecting takes a while."""
    tls = context(ssl.PROTOCOL_TLS_CLIENT)
    with ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        listener.listen(0)
        listener.settimeout(WAIT_S)
        name = listener.getsockname()
        stack.enter_context(socket.create_connection(name))
        a = stack.enter_context(link("a", client_tls=tls))
        a.request(PeerAddress(*name), Request(1), timeout_s=WAIT_S)
        assert eventually(lambda: a.stats().streams == 1)
        stack.enter_context(listener.accept()[0])
        late = stack.enter_context(listener.accept()[0])
        server = context(ssl.PROTOCOL_TLS_SERVER)
        late.settimeout(WAIT_S)
        secured = stack.enter_context(server.wrap_socket(late, server_side=True))
        assert secured.getpeercert()


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
