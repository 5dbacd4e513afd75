"""Contract tests of both platform clients, and failure tests of the HTTP client."""

import json
import socket
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import asdict
from http.client import HTTPConnection

from hypothesis import given, settings, strategies as st

from damaskbay.adapters.platform_http.client import HttpPlatform
from damaskbay.adapters.platform_http.connections import ConnectionPool, RawRequest
from damaskbay.const import MAX_PLATFORM_VALUE_BYTES
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.platform import (
    Conflict,
    Entry,
    Platform,
    PlatformFailure,
    PlatformProblem,
)
from damaskbay.stand_ins.memory_platform import MemoryPlatform
from damaskbay.stand_ins.platform import PlatformServer
from damaskbay.stand_ins.platform_faults import Faults
from tests.common import function_suite

TIMEOUT_S = 5.0
HOST = "127.0.0.1"


@contextmanager
def _platforms() -> Iterator[list[tuple[MemoryPlatform, Platform]]]:
    """Yield each platform client with its store."""
    with ExitStack() as stack:
        memory = MemoryPlatform()
        server = stack.enter_context(PlatformServer())
        http = stack.enter_context(HttpPlatform(HOST, server.port, name="c"))
        yield [(memory, memory.client("c")), (server.platform, http)]


def _put(platform: Platform, key: str, value: bytes, revision: int = 0) -> object:
    return platform.compare_and_swap(
        key, value, expected_revision=revision, timeout_s=TIMEOUT_S
    )


def _problem(result: object) -> PlatformProblem:
    assert isinstance(result, PlatformFailure), result
    return result.problem


def test_compare_and_swap() -> None:
    """A write needs the current revision; revisions only grow, also after a delete."""
    with _platforms() as platforms:
        for _, platform in platforms:
            key = "a/b ü?&"
            first = _put(platform, key, b"\x001")
            assert isinstance(first, Entry)
            assert platform.get(key, timeout_s=TIMEOUT_S) == first
            assert _put(platform, key, b"2") == Conflict(first)
            second = _put(platform, key, b"2", first.revision)
            assert isinstance(second, Entry) and second.revision > first.revision
            assert _put(platform, "none", b"", 7) == Conflict(None)
            for revision, result in (
                (first.revision, Conflict(second)),
                (second.revision, second),
                (second.revision, None),
            ):
                assert result == platform.delete(
                    key, expected_revision=revision, timeout_s=TIMEOUT_S
                )
            third = _put(platform, key, b"")
            assert isinstance(third, Entry) and third.revision > second.revision


def test_list_and_sizes() -> None:
    """Entries are listed in key order; a value over the limit is rejected."""
    with _platforms() as platforms:
        for _, platform in platforms:
            largest = b"x" * MAX_PLATFORM_VALUE_BYTES
            written = [_put(platform, key, largest) for key in ("p/a", "p/b", "q")]
            assert platform.list("p/", timeout_s=TIMEOUT_S) == tuple(written[:2])
            result = _put(platform, "p/c", largest + b"x")
            assert _problem(result) is PlatformProblem.VALUE_TOO_LARGE


def test_a_lease_lapses() -> None:
    """An entry is deleted when its lease expires."""
    with _platforms() as platforms:
        for _, platform in platforms:
            for lease_s, exists in ((0.01, False), (60.0, True)):
                written = platform.compare_and_swap(
                    f"lease/{lease_s}",
                    b"1",
                    expected_revision=0,
                    lease_s=lease_s,
                    timeout_s=TIMEOUT_S,
                )
                assert isinstance(written, Entry)
                time.sleep(0.02)
                entry = platform.get(written.key, timeout_s=TIMEOUT_S)
                assert (entry is not None) is exists


def test_watch() -> None:
    """A watch returns at once, on the next change or on timeout."""
    with _platforms() as platforms, ThreadPoolExecutor(1) as pool:
        for store, platform in platforms:
            first = _put(platform, "a", b"1")
            assert isinstance(first, Entry)
            seen = platform.watch("a", after_revision=0, timeout_s=TIMEOUT_S)
            assert seen == first
            assert platform.watch("a", after_revision=1, timeout_s=0.05) is None
            waiting = pool.submit(
                platform.watch, "a", after_revision=1, timeout_s=TIMEOUT_S
            )
            while store.counters.waiting == 0:
                time.sleep(0.001)
            second = _put(platform, "a", b"2", first.revision)
            assert waiting.result() == second
            assert store.counters.watches == 3


def test_faults_mean_the_same_over_http() -> None:
    """Each fault gives the same problem over HTTP as in memory."""
    with _platforms() as platforms:
        for store, platform in platforms:
            unreachable = (Faults(outage=True), Faults(cut_clients=frozenset({"c"})))
            for faults in unreachable:
                with store.fault(**asdict(faults)):
                    result = _put(platform, "a", b"1")
                    assert _problem(result) is PlatformProblem.UNAVAILABLE
            for name, exists in (("lose_answers", True), ("drop_writes", False)):
                store.inject(**{name: 1})
                result = _put(platform, name, b"1")
                assert _problem(result) is PlatformProblem.ANSWER_LOST
                entry = platform.get(name, timeout_s=TIMEOUT_S)
                assert isinstance(entry, Entry) is exists
            with store.fault(max_writes_per_s=0):
                assert _problem(_put(platform, "b", b"1")) is PlatformProblem.BUSY
            with store.fault(delay_s=0.1):
                result = platform.compare_and_swap(
                    "c", b"1", expected_revision=0, timeout_s=0.03
                )
                assert _problem(result) is PlatformProblem.ANSWER_LOST
                read = platform.get("c", timeout_s=0.03)
                assert _problem(read) is PlatformProblem.UNAVAILABLE
            time.sleep(0.1)
            assert isinstance(platform.get("c", timeout_s=TIMEOUT_S), Entry)


def test_nobody_listens() -> None:
    """A refused TCP connection is reported as no effect, also for a write."""
    with socket.socket() as unused:
        unused.bind((HOST, 0))
        with HttpPlatform(HOST, unused.getsockname()[1]) as platform:
            assert _problem(_put(platform, "a", b"1")) is PlatformProblem.UNAVAILABLE


def test_a_restarted_service_is_found_again() -> None:
    """A kept-alive connection that the service has closed is not reused."""
    store = MemoryPlatform()
    with ExitStack() as first:
        port = first.enter_context(PlatformServer(store)).port
        with HttpPlatform(HOST, port) as platform:
            assert isinstance(_put(platform, "a", b"1"), Entry)
            first.close()
            with PlatformServer(store, port=port):
                assert isinstance(_put(platform, "b", b"1"), Entry)


class _Script:
    """Listener that sends the next scripted response on each connection."""

    def __init__(self, responses: list[bytes | None]) -> None:
        self.responses = responses
        self.listener = socket.create_server((HOST, 0))
        self.listener.settimeout(TIMEOUT_S)
        self.port = self.listener.getsockname()[1]
        self.connections: list[socket.socket] = []

    def run(self) -> None:
        """Send one response per connection and close it; send nothing for None."""
        for response in self.responses:
            connection = self.listener.accept()[0]
            self.connections.append(connection)
            connection.settimeout(TIMEOUT_S)
            connection.recv(65_536)
            if response is not None:
                connection.sendall(response)
                connection.shutdown(socket.SHUT_WR)


@contextmanager
def _scripted(responses: list[bytes | None]) -> Iterator[HttpPlatform]:
    script = _Script(responses)
    with script.listener, ThreadPoolExecutor(1) as pool:
        running = pool.submit(script.run)
        with HttpPlatform(HOST, script.port) as platform:
            yield platform
        running.result()
    for connection in script.connections:
        connection.close()


def test_a_silent_connection_is_replaced() -> None:
    """A request on an unresponsive connection times out; the next one reconnects."""
    complete = b"HTTP/1.1 200 OK\r\nPlatform-Revision: 4\r\nContent-Length: 1\r\n\r\nx"
    with _scripted([None, complete]) as platform:
        read = platform.get("a", timeout_s=0.05)
        assert _problem(read) is PlatformProblem.UNAVAILABLE
        assert platform.get("a", timeout_s=TIMEOUT_S) == Entry("a", b"x", 4)


def test_a_timeout_gives_up_every_idle_connection() -> None:
    """A timeout closes all idle connections, which may be unresponsive as well."""
    with PlatformServer() as server, ThreadPoolExecutor(1) as pool:
        connection_pool = ConnectionPool(HOST, server.port, monotonic_s)
        watch = RawRequest("GET", "/v1/watch?key=a&timeout_s=0.1", {})
        get = RawRequest("GET", "/v1/entry?key=a", {})
        waiting = pool.submit(connection_pool.send, watch, monotonic_s() + TIMEOUT_S)
        while server.platform.counters.waiting == 0:
            time.sleep(0.001)
        connection_pool.send(get, monotonic_s() + TIMEOUT_S)
        waiting.result()
        assert connection_pool.idle_count == 2
        server.platform.inject(delay_s=0.2)
        try:
            connection_pool.send(get, monotonic_s() + 0.02)
        except TimeoutError:
            assert connection_pool.idle_count == 0
        else:
            raise AssertionError("response arrived before the timeout")


def test_an_answer_that_is_not_whole_is_no_answer() -> None:
    """A cut response, no revision or an error without `no effect` is a failure."""
    for response in (
        b"HTTP/1.1 200 OK\r\nPlatform-Revision: 4\r\nContent-Length: 9\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nPlatform-Revision: -4\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
        b"",
    ):
        with _scripted([response]) as platform:
            read = platform.get("a", timeout_s=TIMEOUT_S)
            assert _problem(read) is PlatformProblem.UNAVAILABLE, response
        with _scripted([response]) as platform:
            written = _put(platform, "a", b"1")
            assert _problem(written) is PlatformProblem.ANSWER_LOST, response


_PIECES = st.sampled_from(
    [b"HTTP/1.1 ", b"200 ", b"404 ", b"409 ", b"\r\n", b"\r\n\r\n", b"Content-Length: ",
     b"Platform-Revision: ", b"Transfer-Encoding: chunked\r\n", b"5", b"-1", b"zz"]
)  # fmt: skip


@settings(derandomize=True, max_examples=80, deadline=None)
@given(st.lists(st.one_of(_PIECES, st.binary(max_size=10)), max_size=12).map(b"".join))
def test_any_answer_gives_a_value(response: bytes) -> None:
    """The client raises no exception whatever bytes the service sends."""
    with _scripted([response]) as platform:
        platform.list("a", timeout_s=1.0)
    with _scripted([response]) as platform:
        written = _put(platform, "a", b"1")
        assert isinstance(written, Entry | Conflict | PlatformFailure)


def test_faults_and_counters_by_the_operator_endpoint() -> None:
    """Faults are set as JSON; requests are counted by client."""
    with PlatformServer() as server, HttpPlatform(HOST, server.port, name="c") as one:
        connection = HTTPConnection(HOST, server.port, timeout=TIMEOUT_S)
        connection.request("PUT", "/v1/faults", b'{"cut_clients": ["d"]}')
        assert connection.getresponse().read()
        assert server.platform.faults == Faults(cut_clients=frozenset({"d"}))
        assert isinstance(_put(one, "a", b"1"), Entry)
        connection.request("GET", "/v1/counters")
        counters = json.loads(connection.getresponse().read())
        connection.close()
        assert counters["by_client"] == {"c": 1} and counters["writes"] == 1


def test_bad_requests_get_a_clear_answer() -> None:
    """The stand-in rejects unknown requests and keeps serving."""
    with PlatformServer() as server, HttpPlatform(HOST, server.port) as platform:
        for target in ("/", "/v1/entry?key=a&expected_revision=x", "/v1/entry?other=1"):
            connection = HTTPConnection(HOST, server.port, timeout=TIMEOUT_S)
            connection.request("PUT", target, b"1")
            assert connection.getresponse().status in {400, 404}
            connection.close()
        assert platform.get("a", timeout_s=TIMEOUT_S) is None


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
