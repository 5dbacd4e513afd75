"""Daemon processes of the soak, with their settings and the reports of their server."""

import asyncio
import contextlib
import itertools
import json
import os
import resource
import signal
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions, HttpFailure
from damaskbay.core.call import Request, Response
from damaskbay.platform.const import SETTINGS_VARIABLE
from damaskbay.ports.peer import PeerAddress
from tests.common import ROOT, daemon_command, reserve_address
from tests.soak.limits import COLD_OVERAGE, COLD_SLACK
from tests.soak.processes import (
    ENDED_STATES,
    read_processor_s,
    read_scheduling,
    read_state,
    read_status,
)
from tests.soak.records import Disturbance, Stop
from tests.soak.servers import NestedCalls

SLOTS = 8
DRAIN_S = 2.0
REVOKE_S = 5.0
READY_TIMEOUT_S = 15.0
RESTART_S = 0.2
"""Seconds after which a daemon that ended by itself is started again."""

MEMORY_MB = 300
WATCH_INTERVAL_S = 0.05
TORN_WRITE_RANGE_S = (0.01, 0.3)
"""Seconds for which a settings file that is being written is empty."""

_NETWORK = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
"""Loopback network of this process; the metrics port is fixed, so hosts must differ."""

_hosts = itertools.count(1)


@dataclass(frozen=True)
class MachineOptions:
    """
    Name and place of a machine, grace time in seconds, service times.

    The daemon may have `max_fds` descriptors, None for no limit of its own, and runs
    on `cores`, None for all. Its server takes `slots` requests at a time. With
    `restarts`, a daemon that ended by itself is started again.
    """

    name: str
    failure_domain: str
    pool: str
    grace_s: float
    long_share: float
    nested: NestedCalls | None
    max_fds: int | None = None
    cores: frozenset[int] | None = None
    slots: int = SLOTS
    restarts: bool = False


class MachineDaemon:
    """
    Daemon process of a machine, its settings file and the reports of its server.

    Signals go only to the process that was started here, by its process id. `stops`
    holds the stops of all its daemon processes, `starts` and `hang_ups` when they were
    started and got SIGHUP, `standstills` when they had an allotment of the processor,
    `late_ends` what they did at the end of a grace time that they outlasted,
    `own_ends` how processes ended that were not asked to. As the platform does, it
    kills one that exceeds its memory. The server is `server_id` at `server_address`,
    the store is at `store_address`. Other daemons reach the daemon at `advertised`,
    None for its own address.
    """

    def __init__(self, options: MachineOptions, folder: Path) -> None:
        self.name, self.failure_domain = options.name, options.failure_domain
        self.pool = options.pool
        self.grace_s = options.grace_s
        self.server_id = f"i-{options.name}-1"
        self.server_address: PeerAddress
        self.store_address: PeerAddress
        self.advertised: PeerAddress | None = None
        self.state = "ready"
        self.stops: list[Stop] = []
        self.starts: list[float] = []
        self.hang_ups: list[float] = []
        self.standstills: list[Disturbance] = []
        self.late_ends: list[str] = []
        self.own_ends: list[str] = []
        self.disturbances: list[Disturbance] = []
        self.peak_kib = 0
        self._options = options
        self._asked_to_end: set[int] = set()
        self._killed: set[int] = set()
        self._watch_tasks: set[asyncio.Task[None]] = set()
        self._host = f"{_NETWORK}.{next(_hosts) % 250 + 1}"
        self.caller_address = self._new_address()
        self._control_address = self._new_address()
        self._readiness_address = self._new_address()
        self._first_port = reserve_address().port
        self._quota_slack = 20
        self.log_path = folder / f"{options.name}.log"
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()
        self._closing = False
        self._stopped_process: asyncio.subprocess.Process | None = None
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start the daemon and the reports of its server."""
        stack.push_async_callback(self.kill)
        self._settings_path().write_text(self._settings_toml())
        await self.start_daemon()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        stack.callback(self._heartbeat_task.cancel)

    async def start_daemon(self) -> None:
        """Start the daemon process; its output is appended to a log file."""
        async with self._starting:
            if not self._closing and not self.running:
                await self._start_process()

    async def _start_process(self) -> None:
        log = self.log_path.open("ab")
        self.starts.append(time.monotonic())
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings_path())}
        self._process = await asyncio.create_subprocess_exec(
            *self._command(),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env=environment,
            preexec_fn=self._prepare_process,
        )
        log.close()
        watching = asyncio.create_task(self._watch(self._process))
        self._watch_tasks.add(watching)
        watching.add_done_callback(self._watch_tasks.discard)

    def _command(self) -> Sequence[str]:
        return daemon_command()

    def _prepare_process(self) -> None:
        """Limit the descriptors and cores of the process that is being started."""
        max_fds, cores = self._options.max_fds, self._options.cores
        if max_fds is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds))
        if cores is not None:
            os.sched_setaffinity(0, cores)

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Kill a daemon that exceeds its memory; record how it ended by itself."""
        exceeded = ""
        while process.returncode is None:
            used_kib = read_status(process.pid, "VmRSS", 10)
            self.peak_kib = max(self.peak_kib, used_kib)
            if used_kib > MEMORY_MB * 1024 and not exceeded:
                exceeded = f"used {used_kib} KiB, "
                _signal(process, signal.SIGKILL)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WATCH_INTERVAL_S):
                    await process.wait()
        if process.pid not in self._asked_to_end or exceeded:
            self.own_ends.append(f"{exceeded}exit status {process.returncode}")
            if self._options.restarts:
                await asyncio.sleep(RESTART_S)
                await self.start_daemon()

    @property
    def running(self) -> bool:
        """Return whether the daemon process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def processor_s(self) -> float:
        """Return the processor time of the daemon process, seconds; 0 if none runs."""
        return read_processor_s(self._process.pid) if self._process else 0.0

    @property
    def stopping(self) -> bool:
        """Return whether the running daemon process was asked to stop."""
        return self.running and self._stopped_process is self._process

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon process if it is running."""
        if self._process is not None and self._process.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self._asked_to_end.add(self._process.pid)
            if number is signal.SIGKILL:
                self._killed.add(self._process.pid)
            if number is signal.SIGHUP:
                self.hang_ups.append(time.monotonic())
            _signal(self._process, number)

    def handles_signals(self) -> bool:
        """Return whether the process handles SIGHUP by now, or lets it wait."""
        if self._process is None or self._process.returncode is not None:
            return False
        pid, bit = self._process.pid, 1 << (signal.SIGHUP - 1)
        handled = read_status(pid, "SigBlk", 16) | read_status(pid, "SigCgt", 16)
        return bool(handled & bit)

    def disturbed(self) -> contextlib.AbstractContextManager[None]:
        """Record a disturbance of the machine."""
        return record_disturbance(self.disturbances)

    async def stop_daemon(self) -> bool | None:
        """
        Send SIGTERM, wait until the daemon has exited, kill it after the grace time.

        Return whether it exited in time, None if it was asked to stop before or isn't
        running.
        """
        process = self._process
        if not self.running or self.stopping or process is None:
            return None
        self._stopped_process = process
        handled = self.handles_signals()
        stop = Stop(time.monotonic(), self.grace_s)
        self.stops.append(stop)
        before = read_scheduling(process.pid)
        self.send_signal(signal.SIGTERM)
        in_time = True
        try:
            async with asyncio.timeout(self.grace_s):
                await process.wait()
        except TimeoutError:
            # The process may have ended, though asyncio doesn't know it yet.
            state = read_state(process.pid)
            in_time = state in ENDED_STATES
            if not in_time:
                spent = read_scheduling(process.pid).since(before)
                self.late_ends.append(f"state {state}, {spent} since SIGTERM")
            _signal(process, signal.SIGKILL)
            await process.wait()
        stop.exited_at = time.monotonic()
        was_killed = process.pid in self._killed
        if in_time and handled and process.returncode and not was_killed:
            self.own_ends.append(f"stopped with exit status {process.returncode}")
        return in_time

    def change_settings(self, *, with_signal: bool) -> None:
        """Change the settings file; with a signal, send SIGHUP to the daemon."""
        self._quota_slack += 1
        changed_path = self._settings_path().with_suffix(".new")
        changed_path.write_text(self._settings_toml())
        changed_path.replace(self._settings_path())
        if with_signal:
            self.hang_up()

    def hang_up(self) -> None:
        """Send SIGHUP, unless the interpreter hasn't begun to run the daemon."""
        if self.handles_signals():
            self.send_signal(signal.SIGHUP)

    async def tear_settings(self, empty_s: float) -> None:
        """Write the settings file anew in place; it is empty for a while."""
        self._settings_path().write_text("")
        self.hang_up()
        await asyncio.sleep(empty_s)
        self._settings_path().write_text(self._settings_toml())
        self.hang_up()

    async def wait(self) -> None:
        """Wait until the daemon process has exited."""
        if self._process is not None:
            await self._process.wait()

    async def kill(self) -> None:
        """Kill the daemon process, also a paused one; start none any more."""
        self._closing = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness address responds with status 200."""
        response = await _request(
            self._readiness_address, Request("GET", "c", "/ready")
        )
        return response is not None and response.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until the daemon is ready; raise TimeoutError."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def _send_heartbeats(self) -> None:
        while True:
            if self.state != "gone":
                await self._send_heartbeat()
            await asyncio.sleep(0.5)

    async def _send_heartbeat(self) -> bool:
        cold_ms = self.cold_ms()
        confirmed = await self.send_report(self.make_report())
        if confirmed:
            self.report_confirmed(cold_ms)
        return confirmed

    def make_report(self) -> bytes:
        """Return the next report of the server's state."""
        self._sequence += 1
        report = {
            "Service": self.pool,
            "Address": str(self.server_address),
            "Zone": self.failure_domain,
            "State": self.state,
            "Slots": self._options.slots,
            "Seq": self._sequence,
            "ColdRemaining": f"{self.cold_ms()}ms",
            "born": self._born_ms,
        }
        return json.dumps(report).encode()

    async def send_report(self, body: bytes) -> bool:
        """Send a report; return whether the daemon confirmed it."""
        path = f"/Instances.Heartbeat/{self.server_id}"
        response = await _request(
            self._control_address, Request("POST", "c", path, (), body)
        )
        return response is not None and response.status == 200

    def cold_ms(self) -> int:
        """Return how long the server stays cold, in milliseconds."""
        return 0

    def report_confirmed(self, cold_ms: int) -> None:
        """Take notice of a report that the daemon has confirmed."""

    async def _deregister(self) -> bool:
        path = f"/Instances.Deregister/{self.server_id}"
        body = json.dumps({"born": self._born_ms}).encode()
        response = await _request(
            self._control_address, Request("POST", "c", path, (), body)
        )
        return response is not None and response.status == 200

    def _new_address(self) -> PeerAddress:
        return PeerAddress(self._host, reserve_address().port)

    def _settings_path(self) -> Path:
        return self._folder / f"{self.name}.toml"

    def _settings_toml(self) -> str:
        advertised = f'Advertised = "{self.advertised}"' if self.advertised else ""
        return f"""
Node = "{self.name}"
Ip = "{self._host}"
Zone = "{self.failure_domain}"
Service = "{self.pool}"
AppAddr = "{self.server_address}"
PortRange = [{self._first_port}, {self._first_port + 1}]
[Listen]
Outbound = "{self.caller_address}"
Readiness = "{self._readiness_address}"
Control = "{self._control_address}"
{advertised}
[Limits]
MemoryMb = {MEMORY_MB}
[Bounds]
Drain = "{DRAIN_S}s"
Grace = "{self.grace_s}s"
Revoke = "{REVOKE_S}s"
RetryBudgetRatio = 0.2
RetryBudgetSlack = 50
QuotaOverage = 0.1
QuotaSlack = {self._quota_slack}
ColdOverage = {COLD_OVERAGE}
ColdSlack = {COLD_SLACK}
[Platform]
Address = "{self.store_address}"
"""


def _signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a process, which may have ended before asyncio knows."""
    # Process.send_signal() may reap the process, and its exit status is lost then.
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, number)


@contextlib.contextmanager
def record_disturbance(disturbances: list[Disturbance]) -> Iterator[None]:
    """Record a disturbance from here to the end of the context."""
    disturbance = Disturbance(time.monotonic())
    disturbances.append(disturbance)
    try:
        yield
    finally:
        disturbance.ended_at = time.monotonic()


async def _request(address: PeerAddress, request: Request) -> Response | None:
    client = HttpClient(address, HttpClientOptions(connect_timeout_s=0.5))
    outcome = await client.send(request, timeout_s=1.0)
    client.close()
    return None if isinstance(outcome, HttpFailure) else outcome
