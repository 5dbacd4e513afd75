"""Pattern: something that is no daemon sends bytes without end on a peer link."""

import asyncio
import tracemalloc
import unittest

import msgpack

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.adapters.peer_link.const import MAX_FRAME_BYTES
from damaskbay.mesh.messages import ConfigRequest
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite, reserve_address

BLOCK_BYTES = 64 * 1024
WAIT_S = 20.0
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024


async def _write_until_closed(address: PeerAddress, start: bytes, block: bytes) -> int:
    """Return the bytes written until the daemon closed the connection."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    written = 0
    try:
        writer.write(start)
        while not reader.at_eof():
            writer.write(block)
            await writer.drain()
            written += len(block)
            await asyncio.sleep(0)
    except OSError:
        pass
    finally:
        writer.close()
    return written


def _check(start: bytes, block: bytes, max_bytes: int) -> None:
    async def run() -> int:
        address = reserve_address()
        links = PeerLinks(
            address,
            on_links_change=lambda: None,
            on_request=lambda _message: asyncio.sleep(0),
            on_note=lambda _note: None,
            note=lambda: ConfigRequest(1),
        )
        async with links, asyncio.timeout(WAIT_S):
            return await _write_until_closed(address, start, block)

    tracemalloc.start()
    try:
        written = asyncio.run(run())
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert written <= max_bytes + SOCKET_BUFFER_BYTES + BLOCK_BYTES
    assert peak_bytes <= 3 * MAX_FRAME_BYTES


def test_bytes_of_another_protocol() -> None:
    """Text of another protocol is refused with its first bytes."""
    _check(b"", b"HTTP/1.1 200 OK\r\n" * 4096, BLOCK_BYTES)


def test_a_frame_that_claims_to_be_huge() -> None:
    """A payload above the limit is refused before it is read."""
    _check(b"\x93\x01\x01\xc6\xff\xff\xff\xff", bytes(BLOCK_BYTES), MAX_FRAME_BYTES)


def test_an_array_without_end() -> None:
    """An array of more values than a frame has is refused at its first byte."""
    _check(b"\xdd\xff\xff\xff\xff", b"\x01" * BLOCK_BYTES, BLOCK_BYTES)


def test_nested_arrays_without_end() -> None:
    """Arrays in arrays are refused once they are too deep."""
    _check(b"", b"\x91" * BLOCK_BYTES, BLOCK_BYTES)


def test_valid_frames_without_meaning() -> None:
    """Frames of an unknown kind are refused one by one."""
    _check(b"", msgpack.packb((99, 0, b"")) * 4096, BLOCK_BYTES)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
