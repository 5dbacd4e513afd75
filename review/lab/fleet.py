"""A small deployment on loopback: store, servers, daemons, and the platform's part."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import DEVNULL
from types import TracebackType
from typing import Any, Self

from lab.wire import call

REPOSITORY = Path(__file__).resolve().parents[2]
MEMORY_MB = 300
"""Memory of a process, as in the settings of the pages."""

RESTART_DELAY_S = 0.5
WATCH_INTERVAL_S = 0.02


class CannotRunError(Exception):
    """The case could not be run, so nothing is said about the rule."""


@dataclass
class Machine:
    """A machine: its addresses, its server and its daemon."""

    name: str
    zone: str
    service: str
    host: str
    base: int
    server_id: str
    slots: int
    environment: dict[str, str] = field(default_factory=dict)
    daemon: asyncio.subprocess.Process | None = None
    server: asyncio.subprocess.Process | None = None
    most_kib: int = 0
    own_ends: list[float] = field(default_factory=list)
    stopped_at: float | None = None

    @property
    def outbound(self) -> int:
        """Return the port for clients."""
        return self.base

    @property
    def control(self) -> int:
        """Return the port for heartbeats."""
        return self.base + 1

    @property
    def readiness(self) -> int:
        """Return the port for readiness checks."""
        return self.base + 2

    @property
    def app(self) -> int:
        """Return the port of the server."""
        return self.base + 3

    def settings(self, store: str) -> str:
        """Return the settings file, as `fleetbench wire` shows it."""
        host = self.host
        return f"""
Node = "{self.name}"
Role = "sidecar"
MachineClass = "sidecar"
Serves = ["sidecar"]
Ip = "{host}"
Zone = "{self.zone}"
Region = "steppe-north"
PortRange = [{self.base + 4},{self.base + 9}]
Seeds = []
Bootstrap = true
Heartbeat = "1500ms"
AppAddr = "{host}:{self.app}"
Service = "{self.service}"
[Listen]
Inbound = "{host}:{self.base + 10}"
Outbound = "{host}:{self.outbound}"
Readiness = "{host}:{self.readiness}"
Control = "{host}:{self.control}"
[Limits]
CpuShare = 0.86
Cores = 2
MemoryMb = {MEMORY_MB}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
Contact = "3000ms"
Ack = "4000ms"
Drain = "2000ms"
Grace = "6s"
LossSlack = "200ms"
ConfigApply = "2000ms"
RollbackSlack = "250ms"
Revoke = "5000ms"
StrictRevoke = true
RetryBudgetRatio = 0.2
BudgetWindow = "10s"
RetryBudgetSlack = 50
QuotaWindow = "5s"
QuotaOverage = 0.1
QuotaSlack = 20
[Platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
History = "20s"
ValueBytes = 1048576
MinTtl = "1000ms"
"""


class Fleet:
    """
    Starts a deployment and ends all of its processes; an async context manager.

    As the platform does, it kills a daemon whose memory is over MEMORY_MB, and starts a
    daemon that has ended again after a short delay.
    """

    def __init__(self, record: Path, folder: Path, **server_options: object) -> None:
        self.machines: list[Machine] = []
        self._folder = folder
        self._server_options = server_options
        self._record = record.open("w", buffering=1)
        self._started_at = time.monotonic()
        self._network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._hosts = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        self._store: asyncio.subprocess.Process | None = None
        self._store_address = ("", 0)

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")

    def add(self, zone: str, service: str, slots: int) -> Machine:
        """Add a machine with a server of a service."""
        number = next(self._hosts)
        host = f"{self._network}.{number}"
        machine = Machine(
            f"sidecar-{zone}-{number}",
            zone,
            service,
            host,
            _free_ports(host, 11),
            f"i-{random.getrandbits(32):08x}",
            slots,
        )
        self.machines.append(machine)
        return machine

    async def __aenter__(self) -> Self:
        try:
            await self._start_all()
        except BaseException:
            await self._end_all()
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._end_all()

    async def _start_all(self) -> None:
        host = f"{self._network}.{next(self._hosts)}"
        self._store_address = (host, _free_ports(host, 1))
        store = [sys.executable, "-m", "lab.store", host, str(self._store_address[1])]
        self._store = await self._start(store, self._tool_environment())
        for machine in self.machines:
            machine.environment = self._daemon_environment(machine)
            options = {
                "id": machine.server_id,
                "service": machine.service,
                "zone": machine.zone,
                "host": machine.host,
                "port": machine.app,
                "control": machine.control,
                "slots": machine.slots,
                "log": str(self._folder / f"{machine.name}.log"),
                "spoil_every": 33,
                **self._server_options,
            }
            run = [sys.executable, "-m", "lab.server", json.dumps(options)]
            machine.server = await self._start(run, self._tool_environment())
            await self._start_daemon(machine)
            self._tasks.append(asyncio.create_task(self._keep_running(machine)))

    async def _end_all(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        processes = [self._store]
        for machine in self.machines:
            processes += [machine.daemon, machine.server]
        for process in processes:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        self._record.close()

    async def publish(self, manifest: dict[str, Any]) -> None:
        """Write a manifest as the operator; wait until all daemons are ready."""
        host, port = self._store_address
        body = json.dumps(manifest).encode()
        for _ in range(100):
            reply = await call(host, port, "POST", "/operator", body)
            if reply is not None and reply.status == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRunError("the store does not start")
        for machine in self.machines:
            await self._wait_until_ready(machine)
        self.note("all daemons are ready")

    def server_events(self) -> list[dict[str, Any]]:
        """Return what the servers have logged, in order of time."""
        events: list[dict[str, Any]] = []
        for machine in self.machines:
            path = self._folder / f"{machine.name}.log"
            if path.exists():
                for line in path.read_text().splitlines():
                    with contextlib.suppress(ValueError):
                        events.append(json.loads(line))
        return sorted(events, key=lambda event: float(event["t"]))

    def stop_daemon(self, machine: Machine) -> None:
        """Send SIGTERM to the daemon of a machine, once; it is started again."""
        assert machine.daemon is not None
        machine.stopped_at = time.monotonic()
        machine.daemon.terminate()
        self.note(f"platform: SIGTERM for {machine.name}")

    def signal_server(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the server of a machine."""
        assert machine.server is not None
        machine.server.send_signal(number)

    async def _wait_until_ready(self, machine: Machine) -> None:
        for _ in range(200):
            reply = await call(machine.host, machine.readiness, "GET", "/ready")
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{machine.name} does not become ready")

    async def _keep_running(self, machine: Machine) -> None:
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            daemon = machine.daemon
            assert daemon is not None
            if daemon.returncode is None:
                used = _resident_kib(daemon.pid)
                machine.most_kib = max(machine.most_kib, used)
                if used <= MEMORY_MB * 1024:
                    continue
                self.note(f"platform: {machine.name} uses {used} KiB and is killed")
                daemon.kill()
            await daemon.wait()
            if machine.stopped_at is None:
                machine.own_ends.append(time.monotonic())
            self.note(f"platform: {machine.name} has ended: {daemon.returncode}")
            await asyncio.sleep(RESTART_DELAY_S)
            await self._start_daemon(machine)

    async def _start_daemon(self, machine: Machine) -> None:
        run = [sys.executable, "-m", "damaskbay.platform"]
        path = self._folder / f"{machine.name}.daemon.log"
        with path.open("ab") as log:
            machine.daemon = await asyncio.create_subprocess_exec(
                *run,
                cwd=REPOSITORY,
                env=machine.environment,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def _start(
        self, run: list[str], environment: dict[str, str]
    ) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            *run, env=environment, stdin=DEVNULL, stdout=DEVNULL
        )

    def _tool_environment(self) -> dict[str, str]:
        return {"PATH": os.environ["PATH"], "PYTHONPATH": str(REPOSITORY / "review")}

    def _daemon_environment(self, machine: Machine) -> dict[str, str]:
        path = self._folder / f"{machine.name}.toml"
        path.write_text(machine.settings("{}:{}".format(*self._store_address)))
        return {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "DAMASKBAY_BOOT": str(path),
        }


def manifest(
    version: int, routes: Iterable[dict[str, Any]], services: Iterable[str]
) -> dict[str, Any]:
    """Return a manifest without tenants, with the limits that the pages show."""
    resources: list[dict[str, Any]] = [
        {"Type": "Routes", "Metadata": {"Name": f"r-{number}"}, "Spec": route}
        for number, route in enumerate(routes)
    ]
    for name in services:
        spec = {
            "HealthCheckPath": "/healthz",
            "MaxConnections": 1336,
            "Protocol": "h1",
            "Tls": False,
        }
        resources.append({"Type": "Services", "Metadata": {"Name": name}, "Spec": spec})
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    }
    resources.append({"Type": "Limits", "Metadata": {}, "Spec": limits})
    return {"Version": version, "Resources": resources}


def route(
    host: str, prefix: str, kind: str, service: str, priority: int
) -> dict[str, Any]:
    """Return a route that needs no key."""
    return {
        "Host": host,
        "Prefix": prefix,
        "Kind": kind,
        "Timeout": "6000ms",
        "TargetLatency": "1500ms",
        "Priority": priority,
        "Service": service,
        "NumAttempts": 2,
        "AuthExempt": False,
    }


def _free_ports(host: str, count: int) -> int:
    """Return the first of some ports that are free at an address."""
    for _ in range(50):
        first = random.randint(20_000, 32_000)
        sockets = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRunError("no free ports")


def _resident_kib(pid: int) -> int:
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    except OSError:
        pass
    return 0
