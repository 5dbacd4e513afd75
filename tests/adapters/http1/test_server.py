"""Tests of the HTTP/1.1 server over real sockets."""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable

from damaskbay.adapters.http1.const import KEEPALIVE_IDLE_S, KEEPALIVE_PROBES
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

Exchange = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, HttpServer], Awaitable[None]
]


class _Service:
    """Responds with the path; `/slow` takes 0.05 s, `/stuck` never responds."""

    def __init__(self) -> None:
        self.cancelled: list[str] = []
        self.seen: list[ReceivedRequest] = []

    async def serve(self, arrival: ReceivedRequest) -> Response:
        self.seen.append(arrival)
        target = arrival.request.target
        try:
            if target == "/slow":
                await asyncio.sleep(0.05)
            if target == "/stuck":
                await asyncio.sleep(60)
        except asyncio.CancelledError:
            self.cancelled.append(target)
            raise
        return Response(200, (), target.encode())


def _run(exchange: Exchange, limits: CallerLimits | None = None) -> _Service:
    service = _Service()

    async def run() -> None:
        address = PeerAddress("127.0.0.1", 0)
        async with HttpServer(address, service.serve, limits or CallerLimits()) as http:
            reader, writer = await asyncio.open_connection(
                http.address.host, http.address.port
            )
            async with asyncio.timeout(5):
                await exchange(reader, writer, http)
            writer.close()
            await asyncio.sleep(0.02)

    asyncio.run(run())
    return service


def _get(path: str, *headers: str) -> bytes:
    lines = [f"GET {path} HTTP/1.1", "Host: a", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _post(path: str, body: bytes, *headers: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: a", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, *headers]).encode() + b"\r\n\r\n" + body


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return int(head.split()[1]), head, await reader.readexactly(length)


# Guards against UNASKED: an offered upgrade dropped the body of a request.
def test_an_offered_upgrade_is_ignored() -> None:
    """The request is served with its body, and so is the one behind it."""

    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: HttpServer
    ) -> None:
        offer = (
            "Connection: Upgrade, HTTP2-Settings",
            "Upgrade: h2c",
            "HTTP2-Settings: a",
        )
        request = _post("/a", b"body", *offer)
        for start in range(0, len(request), 7):
            writer.write(request[start : start + 7])
            await asyncio.sleep(0.001)
        writer.write(_post("/b", b"other", "Connection: upgrade", "Upgrade: h2c"))
        writer.write(_get("/c", "Upgrade: h2c", "Connection: Upgrade"))
        bodies = [(await _read_response(reader))[2] for _ in range(3)]
        assert bodies == [b"/a", b"/b", b"/c"]

    seen = [arrival.request for arrival in _run(exchange).seen]
    assert [request.body for request in seen] == [b"body", b"other", b""]
    assert not any(name == "Upgrade" for request in seen for name, _ in request.headers)


def test_a_tunnel_is_refused() -> None:
    """CONNECT gets 400."""

    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: HttpServer
    ) -> None:
        writer.write(b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n")
        assert (await _read_response(reader))[0] == 400

    assert not _run(exchange).seen


def test_pipelined_requests_are_answered_in_order() -> None:
    """A slow first request delays the responses to later ones."""

    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: HttpServer
    ) -> None:
        writer.write(_get("/slow") + _get("/b") + _get("/c"))
        bodies = [(await _read_response(reader))[2] for _ in range(3)]
        assert bodies == [b"/slow", b"/b", b"/c"]

    _run(exchange)


def test_a_chunked_body_arrives_whole() -> None:
    """Chunks are joined, and the next request on the connection is served."""

    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: HttpServer
    ) -> None:
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" + _get("/y"))
        assert (await _read_response(reader))[2] == b"/x"
        assert (await _read_response(reader))[2] == b"/y"

    assert _run(exchange).seen[0].request.body == b"abcde"


def test_requests_behind_a_closing_answer_are_not_run() -> None:
    """`Connection: close` closes the connection after its response."""

    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: HttpServer
    ) -> None:
        writer.write(_get("/a", "Connection: close") + _get("/b"))
        status, head, _body = await _read_response(reader)
        assert status == 200
        assert b"connection: close" in head.lower()
        assert await reader.read() == b""

    _run(exchange)


def test_a_caller_that_leaves_cancels_its_request() -> None:
    """The handler is cancelled when the connection closes."""

    async def exchange(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: HttpServer
    ) -> None:
        writer.write(_get("/stuck"))
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)

    assert _run(exchange).cancelled == ["/stuck"]


def test_what_exceeds_the_limits_is_refused() -> None:
    """Large bodies, large or slow headers and invalid syntax get distinct statuses."""
    limits = CallerLimits(max_header_bytes=400, max_body_bytes=10, header_timeout_s=0.1)
    for data, status in (
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n12345678901", 413),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 500, 431),
        (b"GET / HTTP/1.1\r\nHost", 408),
        (b"GE T / HTTP/1.1\r\n\r\n", 400),
    ):

        async def exchange(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            _: HttpServer,
            data: bytes = data,
            status: int = status,
        ) -> None:
            writer.write(data)
            assert (await _read_response(reader))[0] == status
            assert await reader.read() == b""

        assert not _run(exchange, limits).seen


def test_idle_connections_are_closed_after_their_time() -> None:
    """A connection is closed `idle_timeout_s` after its last response."""

    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: HttpServer
    ) -> None:
        writer.write(_get("/a"))
        await _read_response(reader)
        assert await reader.read() == b""

    _run(exchange, CallerLimits(idle_timeout_s=0.1))


def test_a_draining_server_ends_connections_with_an_answer() -> None:
    """A request in flight gets its response, then the connection closes."""

    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: HttpServer
    ) -> None:
        writer.write(_get("/slow"))
        await asyncio.sleep(0.01)
        server.draining = True
        server.close_idle()
        _status, head, body = await _read_response(reader)
        assert body == b"/slow"
        assert b"connection: close" in head.lower()
        assert await reader.read() == b""

    _run(exchange)


def test_accepted_connections_inherit_how_callers_are_watched() -> None:
    """
    Accepted connections inherit the TCP options; this saves five system calls.

    They have no user timeout: it would end a caller that reads nothing for a while.
    """
    values_by_option = {
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
        (socket.IPPROTO_TCP, socket.TCP_NODELAY): 1,
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): KEEPALIVE_IDLE_S,
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT): KEEPALIVE_PROBES,
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): 0,
    }

    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: HttpServer
    ) -> None:
        writer.write(_get("/a"))
        await _read_response(reader)
        (connection,) = server.connections
        assert connection._transport is not None
        sock = connection._transport.get_extra_info("socket")
        inherited = {option: sock.getsockopt(*option) for option in values_by_option}
        assert inherited == values_by_option

    _run(exchange)


# Guards against DENIED: bytes of a body counted as bytes of the head behind it.
def test_bytes_of_a_body_do_not_count_as_those_of_the_next_head() -> None:
    """Pipelined requests arrive in pieces that end within a head."""
    limits = CallerLimits(max_header_bytes=1024)
    request = _post("/a", bytes(24_000), f"X-Long: {'x' * 600}")

    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: HttpServer
    ) -> None:
        count = 5
        stream = count * request
        end = 0
        for number in range(1, count + 1):
            start, end = end, min(number * len(request) + 300, len(stream))
            writer.write(stream[start:end])
            await asyncio.sleep(0.02)
        statuses = [(await _read_response(reader))[0] for _ in range(count)]
        assert statuses == count * [200]

    _run(exchange, limits)


def test_a_head_above_the_limit_is_refused() -> None:
    """It is refused before it ends, whatever came before it."""
    limits = CallerLimits(max_header_bytes=1024)
    long_head = _get("/b", *(f"X-{number}: {'x' * 100}" for number in range(20)))

    async def exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: HttpServer
    ) -> None:
        writer.write(_post("/a", bytes(2_000)) + long_head[:1500])
        statuses = [(await _read_response(reader))[0] for _ in range(2)]
        assert statuses == [200, 431]

    _run(exchange, limits)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
