"""Failed requests whose cause is found from log lines alone."""

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
from damaskbay.core.call import Answer, Request
from damaskbay.helpers.logs import JSON_FORMAT
from tests.common import function_suite
from tests.mesh.common import Fleet, fleet, until


@contextlib.contextmanager
def _collected() -> Iterator[io.StringIO]:
    """Yield the lines that all daemons write."""
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


def _story(
    request_id: str, check: Callable[[Fleet], Awaitable[None]], **nodes: str
) -> list[str]:
    """Return what `damaskbay trace` tells of a request."""

    async def run() -> None:
        async with fleet(**nodes) as made:
            await check(made)

    with _collected() as lines:
        asyncio.run(run())
    out = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "lines"
        path.write_text(lines.getvalue())
        with contextlib.redirect_stdout(out):
            assert main(["trace", request_id, str(path)]) == 0
    return out.getvalue().splitlines()


def test_a_request_over_its_rate() -> None:
    """The line tells the share that the daemon held, and the version."""

    async def check(made: Fleet) -> None:
        await made.publish(rate=1)
        node = made.nodes["a"]
        await until(lambda: node.daemon.configuration.version == 2)
        for _ in range(60):
            await node.request("/safe/")
        answer = await node.request("/safe/", request_id="over")
        assert answer.status == 429

    story = "\n".join(_story("over", check, a="one", b="two"))
    assert "why=rate_exceeded" in story
    assert "of 1/s" in story
    assert "version=2" in story


def test_a_request_of_unknown_outcome() -> None:
    """The line of the daemon beside the server tells what came back."""

    async def check(made: Fleet) -> None:
        async def garble(_request: Request) -> Answer | None:
            return Answer(200, (), b"no stamp and no id")

        made.nodes["a"].backend.behave = garble
        answer = await made.nodes["b"].request(
            "/unsafe/", method="POST", request_id="lost"
        )
        assert answer.status == 502

    story = _story("lost", check, a="one", b="two")
    assert "target: server gave no answer." in story[0]
    assert "why=garbled" in story[0]
    assert "server=i-a" in story[0]
    assert "outcome=unknown" in story[-1]


def test_a_request_that_failed_below() -> None:
    """The nested call's line names the server that was full."""

    async def check(made: Fleet) -> None:
        async def full(request: Request) -> Answer | None:
            named = ("X-Request-Id", dict(request.headers)["X-Request-Id"])
            return Answer(503, (named, ("X-Not-Executed", "1")))

        async def nested(request: Request) -> Answer | None:
            own = dict(request.headers)["X-Request-Id"]
            below = await made.nodes["a"].request(
                "/open/", key=None, request_id=f"{own}.n1"
            )
            assert below.status == 503
            stamp = ("X-Server-Stamp", "s")
            return Answer(500, (("X-Request-Id", own), stamp))

        made.nodes["a"].backend.behave = nested
        made.nodes["b"].backend.behave = full
        answer = await made.nodes["b"].request("/safe/", request_id="deep")
        assert answer.status == 500

    story = _story("deep", check, a="one", b="two")
    assert any("target: server refused." in line for line in story[:-1])
    assert "nested_failed=True" in story[-1]


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
