"""A daemon process with what the platform controls, seen from outside."""

import contextlib
import http.client
import os
import resource
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path

from damaskbay.platform.const import SETTINGS_VARIABLE
from tests.common import ROOT, daemon_command, reserve_address

WAIT_S = 20.0
POLL_S = 0.02
Limits = Mapping[int, int]
"""Soft limits by resource."""


class DaemonProcess:
    """A process, its settings file and its log; a `store` has to be started apart."""

    def __init__(self, folder: Path) -> None:
        number = os.getpid()
        self.host = f"127.201.{number // 250 % 250 + 1}.{number % 250 + 1}"
        self.callers_host = self.host
        self.port = reserve_address().port
        self.readiness_port = reserve_address().port
        self.max_descriptors = 0
        self.store = f"{self.host}:2"
        self.settings_path = folder / "node.toml"
        self.log_path = folder / "log"
        self.process: subprocess.Popen[bytes] | None = None

    def settings(self) -> str:
        """Return valid settings."""
        control, peers = (reserve_address().port for _ in range(2))
        return f"""
Node = "n1"
Ip = "{self.host}"
Zone = "a"
Service = "one"
AppAddr = "{self.host}:1"
PortRange = [{peers}, {peers + 1}]
[Listen]
Outbound = "{self.callers_host}:{self.port}"
Readiness = "{self.host}:{self.readiness_port}"
Control = "{self.host}:{control}"
[Limits]
MaxFds = {self.max_descriptors}
[Bounds]
Grace = "1s"
[Platform]
Address = "{self.store}"
"""

    def start(
        self,
        *,
        limits: Limits | None = None,
        closed: Sequence[int] = (),
        environment: Mapping[str, str] | None = None,
        stdout: Path | None = None,
    ) -> None:
        """Start the process, with settings unless the file exists."""
        if not self.settings_path.exists():
            self.settings_path.write_text(self.settings())
        variables = os.environ if environment is None else environment

        def prepare() -> None:
            for number, soft in (limits or {}).items():
                resource.setrlimit(number, (soft, resource.getrlimit(number)[1]))
            for descriptor in closed:
                os.close(descriptor)

        with (stdout or self.log_path).open("ab") as log:
            self.process = subprocess.Popen(
                daemon_command(),
                cwd=ROOT,
                env={**variables, SETTINGS_VARIABLE: str(self.settings_path)},
                stdout=log,
                stderr=log,
                preexec_fn=prepare,
            )

    def log(self) -> str:
        """Return what the process has written."""
        return self.log_path.read_text() if self.log_path.exists() else ""

    def address_space(self) -> int:
        """Return the bytes of the address space of the process."""
        assert self.process is not None
        statm = Path(f"/proc/{self.process.pid}/statm").read_text()
        return int(statm.split()[0]) * resource.getpagesize()

    def listens(self) -> bool:
        """Return whether the process accepts callers."""
        with contextlib.suppress(OSError):
            socket.create_connection((self.host, self.port), timeout=1.0).close()
            return True
        return False

    def get(self, port: int, path: str = "/") -> tuple[int, bytes]:
        """Return status and body of a response; status 0 without one."""
        connection = http.client.HTTPConnection(self.host, port, timeout=1.0)
        with contextlib.closing(connection):
            try:
                connection.request("GET", path)
                response = connection.getresponse()
                return response.status, response.read()
            except (OSError, http.client.HTTPException):
                return 0, b""

    def until(self, holds: Callable[[], bool]) -> None:
        """Wait until a condition holds, while the process runs."""
        assert self.process is not None
        ends_at = time.monotonic() + WAIT_S
        while not holds():
            status = self.process.poll()
            assert status is None, f"ended with status {status}: {self.log()}"
            assert time.monotonic() < ends_at, f"waited in vain: {self.log()}"
            time.sleep(POLL_S)

    def stop(self) -> None:
        """Send SIGTERM; the process ends as one that was stopped."""
        assert self.process is not None
        assert self.process.poll() is None, (self.process.returncode, self.log())
        self.process.send_signal(signal.SIGTERM)
        status = self.process.wait(WAIT_S)
        assert status == 0, (status, self.log())

    def kill(self) -> None:
        """End the process if it is still there."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


@contextlib.contextmanager
def daemon_process() -> Iterator[DaemonProcess]:
    """Yield a daemon that is not started yet; end it."""
    with tempfile.TemporaryDirectory() as folder:
        daemon = DaemonProcess(Path(folder))
        try:
            yield daemon
        finally:
            daemon.kill()
