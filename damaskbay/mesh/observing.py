"""Status endpoints of the daemon: readiness and metrics."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.core.call import Response
from damaskbay.core.memory_account import MemoryAccount
from damaskbay.core.processor_guard import ProcessorGuard
from damaskbay.core.retry.repeats import ServerRetryBudget
from damaskbay.helpers.loop_monitor import LoopMonitor, take_sample
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.directory import Directory
from damaskbay.mesh.gate import Gate
from damaskbay.mesh.members import Members
from damaskbay.mesh.settings import SettingsHistory

NO_LIMIT = -1.0
"""Value of a limit metric while there is none."""

NO_PROOF = -1.0
"""Value of the proof age metric while there is no proof."""


@dataclass(frozen=True, slots=True)
class StatusParts:
    """Components that the gauges read."""

    configuration: Configuration
    gate: Gate
    processor: ProcessorGuard
    directory: Directory
    links: PeerLinks
    repeats: ServerRetryBudget
    members: Members
    memory: MemoryAccount
    settings: SettingsHistory
    clock: Callable[[], float]


class StatusEndpoints:
    """Serves readiness and metrics over HTTP; `loop_monitor` feeds some of them."""

    def __init__(
        self,
        parts: StatusParts,
        telemetry: BoundTelemetry,
        is_ready: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._telemetry = telemetry
        self._is_ready = is_ready
        self.loop_monitor = LoopMonitor(take_sample())
        self._register_gauges()

    def observe_callers(self, callers: HttpServer) -> None:
        """Register the gauges of the server that callers connect to."""
        limits, gauge = callers.connection_limits, self._telemetry.gauge
        gauge("caller_connections", "Open", lambda: len(callers.connections))
        gauge("caller_connections_limit", "Served", lambda: limits.served)

    async def readiness(self, _arrival: ReceivedRequest) -> Response:
        """Return status 200 if the daemon accepts callers, else 503."""
        status = HTTPStatus.OK if self._is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        return Response(int(status))

    async def metrics(self, _arrival: ReceivedRequest) -> Response:
        """Return the metrics in the Prometheus text format."""
        headers = (("Content-Type", "text/plain; version=0.0.4"),)
        parts = []
        for part in self._telemetry.scrape_parts():
            parts.append(part)
            await asyncio.sleep(0.0)
        return Response(int(HTTPStatus.OK), headers, b"".join(parts))

    def _register_gauges(self) -> None:
        parts, gauge = self._parts, self._telemetry.gauge
        monitor = self.loop_monitor
        gauge("calls_running", "Calls at the server", lambda: parts.gate.running)
        gauge("slots", "Of the server", lambda: parts.gate.slots)
        gauge("slots_useful", "Used at most now", lambda: parts.gate.useful_slots)
        gauge("calls_waiting", "Calls that wait", lambda: parts.gate.waiting)
        gauge("admission_level", "1000 per rank that passes", self._admission_level)
        gauge("server_limit_per_second", "-1: none named", self._named_limit_per_s)
        gauge("server_starts_per_second", "Sent lately", self._starts_per_s)
        gauge("config_version", "In force", lambda: parts.configuration.version)
        gauge("config_proof_age_seconds", "-1: no proof", self._proof_age_s)
        gauge("daemons_known", "Alive", lambda: len(parts.directory.instances()))
        gauge("repeats_left", "For the server now", lambda: parts.repeats.left)
        gauge("links_up", "Opened to peers", lambda: parts.links.up_count)
        gauge("members_age_seconds", "Since the records' proof", self._members_age_s)
        gauge("store_epoch", "Of the records", lambda: parts.members.epoch)
        gauge("held_bytes", "For calls, now", lambda: parts.memory.held_bytes)
        gauge("held_bytes_limit", "For calls", lambda: parts.memory.limit_bytes)
        gauge("settings_applied", "Files read", lambda: parts.settings.applied)
        gauge("settings_refused", "Invalid files", lambda: parts.settings.refused)
        gauge("loop_blocks", "Of the event loop", lambda: monitor.blocks)
        gauge("loop_busy_blocks", "By own work", lambda: monitor.busy_blocks)
        gauge("loop_no_processor_blocks", "Ready", lambda: monitor.no_processor_blocks)
        gauge("loop_longest_block_seconds", "Lately", self._longest_block_s)
        gauge("loop_lateness_seconds", "Mean now", lambda: parts.processor.late_s)
        gauge("root_calls", "In progress", lambda: parts.processor.in_progress)
        gauge("root_calls_waiting", "To begin", lambda: parts.processor.waiting)
        gauge("root_calls_limit", "-1: none", self._root_calls_limit)
        gauge("settings_digest", "First 48 bits of SHA-256", self._settings_digest)

    def _admission_level(self) -> float:
        return self._parts.gate.level(self._parts.clock())

    def _named_limit_per_s(self) -> float:
        limit_per_s = self._parts.gate.named_limit_per_s
        return NO_LIMIT if limit_per_s is None else limit_per_s

    def _root_calls_limit(self) -> float:
        guard = self._parts.processor
        return guard.limit if guard.is_limiting else NO_LIMIT

    def _starts_per_s(self) -> float:
        return self._parts.gate.starts_per_s(self._parts.clock())

    def _members_age_s(self) -> float:
        return self._parts.members.age_s(self._parts.clock())

    def _longest_block_s(self) -> float:
        return self.loop_monitor.longest_s(self._parts.clock())

    def _settings_digest(self) -> int:
        return int(self._parts.settings.digest or "0", 16)

    def _proof_age_s(self) -> float:
        age_s = self._parts.configuration.proof_age_s(self._parts.clock())
        return NO_PROOF if age_s is None else age_s
