"""Loader for test functions, addresses and the command of daemons under test."""

import asyncio
import atexit
import contextlib
import functools
import gc
import socket
import subprocess
import sys
import tomllib
import tracemalloc
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from damaskbay.ports.peer import PeerAddress

ROOT = Path(__file__).resolve().parents[1]

_reservations: list[socket.socket] = []


@atexit.register
def _release_reservations() -> None:
    for sock in _reservations:
        sock.close()


def reserve_address() -> PeerAddress:
    """
    Return a loopback address that stays reserved for a server until the tests end.

    A bound socket that does not listen keeps other processes from getting the port; a
    server that sets SO_REUSEADDR can bind it, also again after a restart.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reservations.append(sock)
    return PeerAddress("127.0.0.1", sock.getsockname()[1])


@functools.cache
def built_interpreter() -> Path:
    """Build the interpreter of the deploy file for the one of the tests."""
    target = ROOT / "target/tests"
    command = [sys.executable, f"{ROOT}/deploy/build.py", "--interpreter-only"]
    subprocess.run([*command, f"--target={target}"], check=True)
    return target / "python3"


def daemon_command() -> list[str]:
    """Return the command of the deploy file, run by the interpreter of the tests."""
    deploy_file = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    interpreter = built_interpreter()
    # A link doesn't find the packages of a virtual environment.
    program = sys.executable if interpreter.is_symlink() else str(interpreter)
    return [program, *deploy_file["roles"]["sidecar"]["run"].split()[1:]]


class _FunctionTestCase(unittest.FunctionTestCase):
    """A test function whose id contains its module."""

    def __init__(self, function: Callable[[], None]) -> None:
        super().__init__(function)
        self._qualified_name = f"{function.__module__}.{function.__name__}"

    def id(self) -> str:
        return self._qualified_name

    def __str__(self) -> str:
        return self._qualified_name

    def shortDescription(self) -> None:  # noqa: N802
        return None


def function_suite(namespace: dict[str, Any]) -> unittest.TestSuite:
    """Return a suite of all functions of a module whose names start with `test_`."""
    functions = [
        item
        for name, item in namespace.items()
        if name.startswith("test_") and callable(item)
    ]
    return unittest.TestSuite(_FunctionTestCase(item) for item in functions)


@contextlib.contextmanager
def without_collection() -> Iterator[None]:
    """Trace memory, and free no cycles."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


async def block_loop(work: Callable[[], None]) -> None:
    """
    Run blocking work in a callback of the loop's poll for sockets.

    Timers that become due meanwhile run before the loop polls again.
    """
    # The timers of tasks that are about to start have to run by then.
    await asyncio.sleep(0.01)
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    reading, writing = socket.socketpair()

    def run() -> None:
        loop.remove_reader(reading)
        work()
        done.set_result(None)

    with reading, writing:
        loop.add_reader(reading, run)
        writing.send(b"x")
        await done


def call_once_connected(
    loop: asyncio.AbstractEventLoop, callback: Callable[[], object]
) -> None:
    """Call back once as soon as a client's connection is made, before it is used."""
    create_connection = loop.create_connection

    async def create(*args: Any, **options: Any) -> Any:
        result = await create_connection(*args, **options)
        loop.create_connection = create_connection  # type: ignore[method-assign]
        loop.call_soon(callback)
        return result

    loop.create_connection = create  # type: ignore[method-assign]
