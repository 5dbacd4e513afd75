"""Test which requests the account of memory takes while others hold a part of it."""

import unittest

from damaskbay.core.descriptors import divide_descriptors, status_connections
from damaskbay.core.memory_account import (
    BODY_COPIES,
    SMALL_BYTES,
    Holding,
    MemoryAccount,
    account_limit_bytes,
    status_limit_bytes,
)
from tests.common import function_suite

LIMIT_BYTES = 100 * SMALL_BYTES
LARGE_BYTES = 2 * SMALL_BYTES
MEGABYTE = 1024 * 1024


def test_large_bodies_leave_room_for_calls_that_begin() -> None:
    """Guards against bodies that never end and keep out all calls."""
    account = MemoryAccount(LIMIT_BYTES)
    holdings = []
    while account.takes(LARGE_BYTES, LARGE_BYTES):
        holdings.append(Holding(account))
        assert holdings[-1].grow(LARGE_BYTES)
    assert len(holdings) > 30
    assert account.admits(10 * SMALL_BYTES, nested=False)
    assert account.is_scarce
    assert account.takes(SMALL_BYTES, SMALL_BYTES)


def test_a_single_large_body_gets_what_it_got_before() -> None:
    """A daemon of 300 MB takes 64 MB, also as its parts arrive."""
    account = MemoryAccount(account_limit_bytes(300 * MEGABYTE))
    body_bytes, holding = 64 * MEGABYTE, Holding(account)
    assert account.takes(BODY_COPIES * body_bytes, body_bytes)
    for _ in range(64):
        count = BODY_COPIES * MEGABYTE
        assert account.takes(count, body_bytes, holding.held_bytes)
        assert holding.grow(count)


def test_status_servers_have_a_small_part() -> None:
    """Guards against status servers that take what callers and peers need."""
    for count in (100, 250, 4096, 65_536):
        callers, status = divide_descriptors(count), status_connections(count)
        assert status.served >= 2
        assert callers.most + callers.accepts_at_close + 3 * status.most < count
    assert status_limit_bytes(LIMIT_BYTES) <= LIMIT_BYTES / 10


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
