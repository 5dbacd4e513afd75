"""The cause of a failed request can be found from log lines alone."""

import asyncio
import contextlib
import io
import logging
import tempfile
import unittest
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

from pythonjsonlogger.json import JsonFormatter

from damaskbay.cli.main import main
from damaskbay.core.call import Request, Response
from damaskbay.helpers.logs import JSON_FORMAT
from tests.common import function_suite
from tests.mesh.common import Fleet, run_fleet, wait_until


@contextlib.contextmanager
def _captured_logs() -> Iterator[io.StringIO]:
    """Yield the log lines of all daemons."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(JSON_FORMAT))
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    try:
        yield stream
    finally:
        root.handlers[:], root.level = handlers, level


def _trace(
    request_id: str, check: Callable[[Fleet], Awaitable[None]], **nodes: str
) -> list[str]:
    """Return the output of `damaskbay trace` for a request."""

    async def run() -> None:
        async with run_fleet(**nodes) as fleet:
            await check(fleet)

    with _captured_logs() as lines:
        asyncio.run(run())
    out = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "lines"
        path.write_text(lines.getvalue())
        with contextlib.redirect_stdout(out):
            assert main(["trace", request_id, str(path)]) == 0
    return out.getvalue().splitlines()


def test_a_request_over_its_rate() -> None:
    """The line contains the rate limit and the configuration version."""

    async def check(fleet: Fleet) -> None:
        await fleet.publish(rate=1)
        node = fleet.nodes["a"]
        await wait_until(lambda: node.daemon.configuration.version == 2)
        for _ in range(60):
            await node.request("/safe/")
        answer = await node.request("/safe/", request_id="over")
        assert answer.status == 429

    trace = "\n".join(_trace("over", check, a="one", b="two"))
    assert "why=rate_exceeded" in trace
    assert "of 1/s" in trace
    assert "version=2" in trace


def test_a_request_of_unknown_outcome() -> None:
    """The target daemon's line says why the response was not accepted."""

    async def check(fleet: Fleet) -> None:
        async def garble(_request: Request) -> Response | None:
            return Response(200, (), b"no stamp and no id")

        fleet.nodes["a"].backend.override_response = garble
        answer = await fleet.nodes["b"].request(
            "/unsafe/", method="POST", request_id="lost"
        )
        assert answer.status == 502

    trace = _trace("lost", check, a="one", b="two")
    assert "target: server gave no answer." in trace[0]
    assert "why=garbled" in trace[0]
    assert "server=i-a" in trace[0]
    assert "outcome=unknown" in trace[-1]


def test_a_request_that_failed_below() -> None:
    """A line of the nested call names the overloaded server that refused it."""

    async def check(fleet: Fleet) -> None:
        async def full(request: Request) -> Response | None:
            named = ("X-Request-Id", dict(request.headers)["X-Request-Id"])
            return Response(503, (named, ("X-Not-Executed", "1")))

        async def nested(request: Request) -> Response | None:
            own = dict(request.headers)["X-Request-Id"]
            nested_response = await fleet.nodes["a"].request(
                "/open/", key=None, request_id=f"{own}.n1"
            )
            assert nested_response.status == 503
            stamp = ("X-Server-Stamp", "s")
            return Response(500, (("X-Request-Id", own), stamp))

        fleet.nodes["a"].backend.override_response = nested
        fleet.nodes["b"].backend.override_response = full
        answer = await fleet.nodes["b"].request("/safe/", request_id="deep")
        assert answer.status == 500

    trace = _trace("deep", check, a="one", b="two")
    assert any("target: server refused." in line for line in trace[:-1])
    assert "nested_failed=True" in trace[-1]


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
