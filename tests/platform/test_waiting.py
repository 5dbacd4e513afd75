"""
Pattern: what a daemon process needs is missing as it starts, and comes later.

The process waits, says so in its log, and ends by nothing but a signal.
"""

import asyncio
import contextlib
import json
import resource
import socket
import time
import unittest
from pathlib import Path

from damaskbay.adapters.http1.server import HttpServer
from damaskbay.config.objects import CallerLimits
from damaskbay.platform.const import CONFIG_KEY
from damaskbay.platform.settings import METRICS_PORT
from tests.common import function_suite, reserve_address
from tests.mesh.common import manifest
from tests.platform.kv_stand_in import KvStandIn
from tests.platform.processes import DaemonProcess, daemon_process

OTHER_HOST = "192.0.2.1"
"""An address for documentation, which no machine has."""

MISSING_S = 3.0
STORE_FAULT_S = 0.5
LONG_REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 7000000\r\n\r\n" + bytes(
    200_000
)
FEW_DESCRIPTORS = (5, 19)
ENDLESS_STACK_BYTES = 1 << 60


# Any other error than an address in use ended a start.
def test_a_start_waits_for_an_address_that_the_machine_does_not_have() -> None:
    """It is stopped meanwhile."""
    with daemon_process() as daemon:
        daemon.callers_host = OTHER_HOST
        daemon.start()
        daemon.until(lambda: f"{OTHER_HOST}:{daemon.port}" in daemon.log())
        time.sleep(MISSING_S)
        daemon.stop()


# Metrics whose address was in use at the start were never served.
def test_metrics_are_served_once_their_address_is_free() -> None:
    """The process before may just be ending."""
    with daemon_process() as daemon, socket.socket() as earlier:
        earlier.bind((daemon.host, METRICS_PORT))
        earlier.listen()
        daemon.start()
        daemon.until(daemon.listens)
        earlier.close()
        daemon.until(lambda: daemon.get(METRICS_PORT, "/metrics")[0] == 200)
        daemon.stop()


# A start without a descriptor ended, with a status that depended on the moment.
def test_a_start_waits_for_descriptors() -> None:
    """They are missing before the event loop is made, and after that."""
    for count in FEW_DESCRIPTORS:
        with daemon_process() as daemon:
            daemon.max_descriptors = count
            daemon.start(limits={resource.RLIMIT_NOFILE: count})
            assert daemon.process is not None
            daemon.until(lambda d=daemon: "daemon: " in d.log() or "edge: " in d.log())  # type: ignore[misc]
            hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, (hard, hard))
            daemon.until(daemon.listens)
            daemon.stop()


# An exception that nobody expected ended a process.
def test_a_start_that_fails_unexpectedly_is_tried_again() -> None:
    """A name of a host has no empty part; the settings are corrected later."""
    with daemon_process() as daemon:
        daemon.callers_host = "\u00e4..b"
        daemon.start()
        daemon.until(lambda: "has failed and starts again" in daemon.log())
        daemon.callers_host = daemon.host
        daemon.settings_path.write_text(daemon.settings())
        daemon.until(daemon.listens)
        daemon.stop()


# A start that found no thread for its log ended.
def test_a_start_needs_no_threads() -> None:
    """The stacks of threads have no room in the address space."""
    with daemon_process() as daemon:
        daemon.start(limits={resource.RLIMIT_STACK: ENDLESS_STACK_BYTES})
        daemon.until(daemon.listens)
        daemon.stop()


# After MemoryErrors, a daemon that was ready accepted no more callers.
def test_a_daemon_serves_again_after_memory_was_missing() -> None:
    """Callers with long requests come meanwhile."""
    with daemon_process() as daemon, contextlib.ExitStack() as callers:
        daemon.start()
        daemon.until(daemon.listens)
        assert daemon.process is not None
        pid = daemon.process.pid
        limits = resource.prlimit(pid, resource.RLIMIT_AS)
        resource.prlimit(pid, resource.RLIMIT_AS, (daemon.address_space(), limits[1]))
        ends_at = time.monotonic() + MISSING_S
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError):
                caller = callers.enter_context(
                    socket.create_connection((daemon.host, daemon.port), timeout=0.5)
                )
                caller.sendall(LONG_REQUEST)
        resource.prlimit(pid, resource.RLIMIT_AS, limits)
        callers.close()
        daemon.until(lambda: daemon.get(daemon.port)[0] == 503)
        daemon.stop()


# libuv aborted a process whose socket had the number of a standard stream.
def test_closed_standard_streams_do_not_end_a_process() -> None:
    """Connections are made and closed meanwhile."""
    for closed in ((0,), (1,), (2,), (0, 1, 2)):
        with daemon_process() as daemon:
            daemon.start(closed=closed)
            daemon.until(daemon.listens)
            for _ in range(20):
                daemon.get(daemon.readiness_port, "/ready")
            daemon.stop()


def test_a_bare_environment_and_a_full_log_do_not_end_a_process() -> None:
    """There is no PATH, HOME nor LANG, and each line of the log fails."""
    with daemon_process() as daemon:
        daemon.start(environment={}, stdout=Path("/dev/full"))
        daemon.until(daemon.listens)
        daemon.stop()


# Settings that stayed invalid for 2 s ended a start.
def test_a_start_waits_for_settings_to_be_corrected() -> None:
    """The log names the field; a folder in place of the file is waited for, too."""
    with daemon_process() as daemon:
        daemon.settings_path.mkdir()
        daemon.start()
        daemon.until(lambda: "Is a directory" in daemon.log())
        daemon.settings_path.rmdir()
        daemon.settings_path.write_text("Node = 1\n")
        daemon.until(lambda: "Listen: expected a table" in daemon.log())
        time.sleep(MISSING_S)
        daemon.settings_path.write_text("a = " + "[" * 100_000)
        time.sleep(0.5)
        daemon.settings_path.write_text(daemon.settings())
        daemon.until(daemon.listens)
        daemon.stop()


def test_a_daemon_gets_ready_once_the_store_is_back() -> None:
    """It refuses, answers garbage, is silent, has an error, and is empty before."""

    async def answer_garbage(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n[[[[[[[")
        writer.close()

    async def be_silent(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        await reader.read()

    async def run(daemon: DaemonProcess) -> None:
        address = reserve_address()
        daemon.store = str(address)
        daemon.start()

        async def until_status(status: int) -> None:
            port = daemon.readiness_port
            await asyncio.to_thread(daemon.until, lambda: daemon.get(port)[0] == status)

        await until_status(503)
        for serve in (answer_garbage, be_silent):
            server = await asyncio.start_server(serve, address.host, address.port)
            await asyncio.sleep(STORE_FAULT_S)
            server.close()
            await until_status(503)
        kv = KvStandIn()
        async with HttpServer(address, kv.serve, CallerLimits()):
            kv.faults.status = 500
            await asyncio.sleep(STORE_FAULT_S)
            kv.faults.status = None
            await asyncio.sleep(STORE_FAULT_S)
            await until_status(503)
            await kv.put(CONFIG_KEY, json.dumps(manifest(1, ("k1",), 5, {})).encode())
            await until_status(200)
            await asyncio.to_thread(daemon.stop)

    with daemon_process() as daemon:
        asyncio.run(run(daemon))


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
