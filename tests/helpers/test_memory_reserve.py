"""Pattern: the process finds no memory; a reserve is released, and requests refused."""

import asyncio
import http
import unittest
from unittest import mock

from damaskbay.adapters.http1.exceptions import BadRequestError
from damaskbay.adapters.http1.request_parser import RequestParser
from damaskbay.config.objects import CallerLimits
from damaskbay.core.memory_account import SMALL_BYTES, MemoryAccount
from damaskbay.helpers.memory_reserve import MemoryReserve
from tests.common import function_suite

LARGE = f"POST / HTTP/1.1\r\nContent-Length: {SMALL_BYTES + 1}\r\n\r\n".encode()
SMALL = b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nsome text"


def _reserve(account: MemoryAccount) -> tuple[MemoryReserve, mock.Mock]:
    """Return a reserve, and what it calls on a change."""
    on_change = mock.Mock()
    return MemoryReserve(account, on_change), on_change


def _status(parser: RequestParser, data: bytes) -> http.HTTPStatus | None:
    """Return the status with which a parser refuses bytes, None if it takes them."""
    try:
        parser.feed(data, CallerLimits(), 0.0)
    except BadRequestError as error:
        return error.status
    return None


# A process went on until an allocation failed, which CPython may not survive.
def test_requests_are_refused_before_memory_is_missing() -> None:
    """They are taken again once there is as much as before."""
    account = MemoryAccount()
    reserve, on_change = _reserve(account)
    reserve.check()
    assert account.admits(1, nested=False)
    with mock.patch("mmap.mmap", side_effect=OSError):
        reserve.check()
        reserve.check()
    assert not account.admits(1, nested=False)
    assert account.admits(1, nested=True)
    reserve.check()
    assert account.admits(1, nested=False)
    assert on_change.call_count == 2


def test_a_memory_error_in_a_callback_releases_the_reserve() -> None:
    """Other exceptions don't; each is logged."""
    account = MemoryAccount()
    reserve, _ = _reserve(account)
    loop = mock.Mock()
    reserve.handle_exception(loop, {"exception": ValueError()})
    assert not account.is_short
    reserve.handle_exception(loop, {"exception": MemoryError()})
    assert account.is_short
    assert loop.default_exception_handler.call_count == 2


def test_a_task_checks_what_is_left() -> None:
    """It handles the exceptions of its loop."""
    account = MemoryAccount()
    reserve, _ = _reserve(account)

    async def run() -> None:
        task = asyncio.create_task(reserve.run())
        await asyncio.sleep(0)
        reserve.release()
        async with asyncio.timeout(10.0):
            while account.is_short:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())


def test_a_request_that_finds_no_memory_releases_the_reserve() -> None:
    """It is refused as not run."""
    account = MemoryAccount()
    _reserve(account)
    receiver = mock.Mock()
    receiver.handle_request.side_effect = MemoryError
    parser = RequestParser(receiver, account, 0.0)
    assert _status(parser, SMALL) is http.HTTPStatus.SERVICE_UNAVAILABLE
    assert account.is_short


def test_only_small_bodies_are_received_while_memory_is_missing() -> None:
    """Running requests need those of their nested calls."""
    account = MemoryAccount()
    account.is_short = True
    receiver = mock.Mock()
    parser = RequestParser(receiver, account, 0.0)
    assert _status(parser, SMALL) is None
    assert receiver.handle_request.call_count == 1
    assert _status(parser, LARGE) is http.HTTPStatus.SERVICE_UNAVAILABLE


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
