"""Fleet of real processes on loopback, for measurements and the demo."""

import atexit
import contextlib
import http.client
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Self

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
SECRET_VARIABLE = "DAMASKBAY_PEER_SECRET"


class FleetError(RuntimeError):
    """A process did not start or a publication failed."""


_reservations: list[socket.socket] = []


@atexit.register
def _release_reservations() -> None:
    for reservation in _reservations:
        reservation.close()


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """Plan of a backend server and its daemon."""

    instance: str
    failure_domain: str
    pool: str
    slots: int = 8
    connections: int = 150
    work_ms: float = 0.0
    with_daemon: bool = True
    caller_threads: int = 128


@dataclass(slots=True)
class Server:
    """Ports and processes of a backend server and its daemon."""

    plan: ServerPlan
    backend_port: int
    caller_port: int
    peer_port: int
    gossip_port: int
    operator_port: int
    backend: "subprocess.Popen[bytes] | None" = None
    daemon: "subprocess.Popen[bytes] | None" = None


@dataclass(slots=True)
class Fleet:
    """
    Platform, backend servers and daemons as processes; a context manager.

    Logs are written to a temporary folder, which is deleted on exit.
    """

    plans: Sequence[ServerPlan]
    daemon_settings: Mapping[str, Any] = field(default_factory=dict)
    servers_by_instance: dict[str, Server] = field(default_factory=dict)
    platform_port: int = 0
    version: int = 0
    _stack: contextlib.ExitStack = field(default_factory=contextlib.ExitStack)
    _folder: Path = Path()
    _secret: str = ""
    _platform: "subprocess.Popen[bytes] | None" = None

    def __enter__(self) -> Self:
        self._folder = Path(
            self._stack.enter_context(tempfile.TemporaryDirectory(prefix="damaskbay-"))
        )
        self._secret = secrets.token_urlsafe(32)
        try:
            self.platform_port = free_port()
            self._platform = self._start(
                "platform", "platform", "--port", str(self.platform_port)
            )
            _wait_for_port(self.platform_port)
            for plan in self.plans:
                self.start_server(plan)
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        processes = [
            process
            for server in self.servers_by_instance.values()
            for process in (server.daemon, server.backend)
        ]
        processes.append(self._platform)
        for process in processes:
            if process is not None and process.poll() is None:
                process.kill()
        for process in processes:
            if process is not None:
                process.wait(STOP_TIMEOUT_S)
        self._stack.close()

    def start_server(self, plan: ServerPlan) -> Server:
        """Start a backend server and its daemon."""
        server = Server(
            plan,
            backend_port=free_port(),
            caller_port=free_port(),
            peer_port=free_port(),
            gossip_port=free_port(),
            operator_port=free_port(),
        )
        self.servers_by_instance[plan.instance] = server
        self.start_backend(server)
        if plan.with_daemon:
            self.start_daemon(server)
        return server

    def start_backend(self, server: Server) -> None:
        """Start the backend server's process."""
        plan = server.plan
        server.backend = self._start(
            f"{plan.instance}.backend",
            "backend",
            *("--port", str(server.backend_port)),
            *("--name", plan.instance),
            *("--slots", str(plan.slots)),
            *("--threads", str(min(plan.connections, plan.slots * 2 + 4))),
            *("--work-ms", str(plan.work_ms)),
            *("--daemon", f"{HOST}:{server.caller_port}"),
        )
        _wait_for_port(server.backend_port)

    def start_daemon(self, server: Server) -> None:
        """Start the daemon's process."""
        path = self._folder / f"{server.plan.instance}.json"
        path.write_text(json.dumps(self._settings(server)))
        server.daemon = self._start(
            f"{server.plan.instance}.daemon", "daemon", "--settings", str(path)
        )
        _wait_for_port(server.operator_port)

    def wait_ready(self, *, version: int = 1) -> None:
        """Wait until every daemon is ready with this version of the set or newer."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for server in self.servers_by_instance.values():
            while server.daemon is not None and not self._is_ready(server, version):
                if time.monotonic() > deadline:
                    raise FleetError(
                        f"{server.plan.instance} is not ready: {self.log_of(server)}"
                    )
                time.sleep(POLL_S)

    def cli(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Run a damaskbay command and return its result."""
        return subprocess.run(
            [sys.executable, "-m", "damaskbay", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def publish(self, document: Mapping[str, Any]) -> None:
        """Publish a set from a file with the command line."""
        path = self._folder / "set.json"
        path.write_text(json.dumps(document))
        result = self.cli(
            *("publish", str(path)),
            *("--platform", f"{HOST}:{self.platform_port}"),
            *("--expect-version", str(self.version)),
        )
        if result.returncode != 0:
            raise FleetError(f"publish failed: {result.stdout}{result.stderr}")
        self.version += 1

    def get_json(self, server: Server, path: str) -> Any:
        """Return the JSON response of a daemon's operator listener."""
        connection = http.client.HTTPConnection(HOST, server.operator_port, timeout=5)
        try:
            connection.request("GET", path)
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def log_of(self, server: Server) -> str:
        """Return the end of a daemon's log."""
        path = self._folder / f"{server.plan.instance}.daemon.log"
        return path.read_text()[-2000:]

    def signal_daemon(self, instance: str, number: signal.Signals) -> None:
        """Send a signal to one daemon of this fleet."""
        process = self.servers_by_instance[instance].daemon
        if process is not None:
            process.send_signal(number)

    def _is_ready(self, server: Server, version: int) -> bool:
        try:
            health = self.get_json(server, "/health")
            status = self.get_json(server, "/status")
        except (OSError, ValueError, http.client.HTTPException):
            return False
        return bool(health["ready"]) and status["set_version"] >= version

    def _settings(self, server: Server) -> dict[str, Any]:
        plan = server.plan
        document: dict[str, Any] = {
            "instance": plan.instance,
            "failure_domain": plan.failure_domain,
            "caller_listen": _address(server.caller_port),
            "peer_listen": _address(server.peer_port),
            "gossip_listen": _address(server.gossip_port),
            "operator_listen": _address(server.operator_port),
            "platform": _address(self.platform_port),
            "peer_secrets": [{"environment": SECRET_VARIABLE}],
            "backend_server": {
                **_address(server.backend_port),
                "pool": plan.pool,
                "slots": plan.slots,
                "connections": plan.connections,
            },
            "limits": {"caller_threads": plan.caller_threads},
        }
        return {**document, **self.daemon_settings}

    def _start(self, name: str, *arguments: str) -> "subprocess.Popen[bytes]":
        with (self._folder / f"{name}.log").open("wb") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "damaskbay", *arguments],
                cwd=ROOT,
                env={**os.environ, SECRET_VARIABLE: self._secret},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )


@contextlib.contextmanager
def fleet(plans: Sequence[ServerPlan], document: Mapping[str, Any]) -> Iterator[Fleet]:
    """Yield a fleet that is ready with a published set."""
    with Fleet(plans) as running:
        running.publish(document)
        running.wait_ready()
        yield running


def free_port() -> int:
    """
    Return a port that is free for UDP, and for a TCP server that sets SO_REUSEADDR.

    A bound socket that does not listen keeps the port from being used by an outgoing
    connection until this process ends.
    """
    tcp = socket.socket()
    tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    tcp.bind((HOST, 0))
    _reservations.append(tcp)
    port: int = tcp.getsockname()[1]
    with socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            udp.bind((HOST, port))
        except OSError:
            return free_port()
    return port


def _address(port: int) -> dict[str, Any]:
    return {"host": HOST, "port": port}


def _wait_for_port(port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with socket.create_connection((HOST, port), 1.0):
                return
        except OSError:
            time.sleep(POLL_S)
    raise FleetError(f"nothing listens on port {port}")
