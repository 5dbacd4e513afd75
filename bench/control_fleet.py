"""Fleet of control worker processes and a platform stand-in."""

import json
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

from bench.fleet import HOST, ROOT, free_port
from damaskbay.stand_ins.memory_platform import MemoryPlatform
from damaskbay.stand_ins.platform import PlatformServer

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.2
DOMAINS = ("d1", "d2", "d3")
POOLS = 5
LOOPBACK_NET = 77
"""Second part of the daemons' loopback addresses, whose ports no other process uses."""
PLATFORM_THREADS = 64


@dataclass(slots=True)
class Daemon:
    """A worker process."""

    instance: str
    failure_domain: str
    process: "subprocess.Popen[str]"

    def figures(self) -> dict[str, Any]:
        """Request and return the figures of the worker."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write("\n")
        self.process.stdin.flush()
        figures: dict[str, Any] = json.loads(self.process.stdout.readline())
        return figures


@dataclass(slots=True)
class ControlFleet:
    """Context manager for workers spread over failure domains."""

    count: int
    seed: int
    domains: int = len(DOMAINS)
    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    daemons: list[Daemon] = field(default_factory=list)
    _stack: ExitStack = field(default_factory=ExitStack)

    def __enter__(self) -> Self:
        server = PlatformServer(self.platform, host=HOST, threads=PLATFORM_THREADS)
        self._stack.enter_context(server)
        try:
            for index in range(self.count):
                self.daemons.append(self._start(index, server.port))
            self.wait_until(self._is_converged)
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
        for daemon in self.daemons:
            daemon.process.kill()
        for daemon in self.daemons:
            daemon.process.communicate(timeout=STOP_TIMEOUT_S)
        self._stack.close()

    def figures(self) -> list[dict[str, Any]]:
        """Return the figures of all workers."""
        return [daemon.figures() for daemon in self.daemons]

    def kill(self, daemon: Daemon) -> None:
        """Kill one worker."""
        self.daemons.remove(daemon)
        daemon.process.kill()
        daemon.process.communicate(timeout=STOP_TIMEOUT_S)

    def wait_until(
        self, condition: Callable[[Sequence[dict[str, Any]]], bool]
    ) -> list[dict[str, Any]]:
        """Poll all workers until a condition holds and return their figures."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            figures = self.figures()
            if condition(figures):
                return figures
            if time.monotonic() > deadline:
                raise TimeoutError("the fleet did not reach the expected state in time")
            time.sleep(POLL_S)

    def _is_converged(self, figures: Sequence[dict[str, Any]]) -> bool:
        members = sum(item["members"] for item in figures)
        per_domain = [
            sum(daemon.failure_domain == domain for daemon in self.daemons)
            for domain in DOMAINS
        ]
        expected_members = sum(count * count for count in per_domain)
        domains = min(self.domains, self.count)
        all_domains_known = all(item["domains"] == domains for item in figures)
        return members == expected_members and all_domains_known

    def _start(self, index: int, platform_port: int) -> Daemon:
        domain = DOMAINS[index % self.domains]
        plan = {
            "instance": f"{domain}-{index}",
            "failure_domain": domain,
            "host": f"127.0.{LOOPBACK_NET}.{index + 1}",
            "platform_host": HOST,
            "peer_port": free_port(),
            "gossip_port": free_port(),
            "platform_port": platform_port,
            "pool": f"p{index % POOLS}",
            "seed": self.seed + index,
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.control_worker"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert process.stdin is not None
        process.stdin.write(json.dumps(plan) + "\n")
        process.stdin.flush()
        return Daemon(str(plan["instance"]), domain, process)
