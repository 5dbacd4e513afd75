"""The event-driven daemon: its components, their start and the graceful shutdown."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from damaskbay.adapters.http1.server import Handler
from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.config.objects import ConfigSet
from damaskbay.core.fatal_calls import FatalCalls
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.memory_account import MemoryAccount, account_limit_bytes
from damaskbay.core.quota.shares import DemandShares, QuotaOptions
from damaskbay.core.quota.token_pool import TokenPool
from damaskbay.core.time_average import TimeAverage
from damaskbay.daemon.messages import (
    CallMessage,
    context_of,
    request_of,
    to_result_message,
)
from damaskbay.helpers.arrivals import read_new_connections
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.memory_reserve import MemoryReserve
from damaskbay.helpers.supervision import keep_running
from damaskbay.mesh.assembly import (
    PlatformParts,
    SharedParts,
    make_caller_server,
    make_ingress,
    make_retry_budget,
    make_status_servers,
    make_target,
)
from damaskbay.mesh.cold_server import ColdServer
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import EXPIRY_INTERVAL_S, LOAD_AVERAGE_S
from damaskbay.mesh.control_plane import NOT_HANDLED, ControlPlane, ControlPlaneParts
from damaskbay.mesh.departures import Departures
from damaskbay.mesh.directory import Directory, MemberRecord
from damaskbay.mesh.gate import Gate
from damaskbay.mesh.listeners import Listeners
from damaskbay.mesh.local_server import Heartbeat, LocalServer
from damaskbay.mesh.messages import Departure, Note, PeerStatus, ServerEnd
from damaskbay.mesh.neighbours import wanted_neighbours
from damaskbay.mesh.observing import StatusEndpoints, StatusParts
from damaskbay.mesh.processor_gate import ProcessorGate
from damaskbay.mesh.records import note_of
from damaskbay.mesh.registry import DRAIN_WRITE_TIMEOUT_S
from damaskbay.mesh.running import RunningCalls
from damaskbay.mesh.server_check import ServerCheck
from damaskbay.mesh.server_confirmation import ConfirmationParts, ServerConfirmation
from damaskbay.mesh.settings import (
    MeshSettings,
    SettingsHistory,
    fields_that_need_a_restart,
    with_applied_fields,
)
from damaskbay.mesh.stopping import GracefulStop, finish_messages
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)


MakeControlHandler = Callable[["MeshDaemon"], Handler]
"""Returns the HTTP handler for reports of the local server."""


class MeshDaemon:
    """One daemon; `run` serves until `stop` is called, then shuts down gracefully."""

    def __init__(
        self,
        settings: MeshSettings,
        platform_parts: PlatformParts,
        make_control_handler: MakeControlHandler,
    ) -> None:
        self.settings = settings
        self._platform_parts = platform_parts
        self._rng = Random()
        self._incarnation = time.time_ns() // 1_000_000
        self.settings_history = SettingsHistory(settings.digest)
        self._stopping = asyncio.Event()
        self._lifetime = Lifetime()
        self._tasks: list[asyncio.Task[None]] = []
        now = monotonic_s()
        self.configuration = Configuration()
        self._mean_load = TimeAverage(LOAD_AVERAGE_S, now)
        self.local = LocalServer(settings.drain_s, self._server_changed)
        self._known_start = self.local.start
        self._gate = Gate(1, self._rng, now)
        self._processor = ProcessorGate(self._rng, monotonic_s)
        memory = MemoryAccount(account_limit_bytes(settings.memory_bytes))
        self._links = PeerLinks(
            settings.peers,
            on_links_change=lambda: self._directory.invalidate(),
            on_request=self._handle_request,
            on_note=self._handle_note,
            note=self._make_note,
            status=self._make_status,
            on_status=self._handle_status,
            memory=memory,
        )
        self._directory = Directory(settings.instance, self._links.up)
        options = QuotaOptions(settings.quota_overage, settings.quota_slack)
        self._shares = DemandShares(options)
        self._token_pool = TokenPool(settings.failure_domain, options)
        self._control_plane = ControlPlane(
            ControlPlaneParts(
                settings,
                platform_parts,
                self.configuration,
                self._directory,
                self._links,
                self._shares,
                self._token_pool,
                self._rng,
                stored_record=self._stored_record,
                on_local_record=self._restore_server,
                on_members_change=self._members_changed,
                on_evacuation_change=self._evacuation_changed,
            )
        )
        self._server_check = ServerCheck(
            settings, platform_parts.dialect, self.configuration, self.local, self._gate
        )
        self._departures = Departures(settings.instance, self._links)
        self._confirmation = ServerConfirmation(
            ConfirmationParts(
                self.local,
                self._server_check,
                self._departures,
                self._links,
                monotonic_s,
            )
        )
        self._cold_server = ColdServer(
            settings, self._server_check, self._links.broadcast_note, monotonic_s
        )
        self._repeats = make_retry_budget(settings, self._directory)
        self._telemetry = BoundTelemetry()
        self._confirmation.register_gauges(self._telemetry)
        self._cold_server.register_gauges(self._telemetry)
        self._control_plane.evacuation.register_gauges(self._telemetry)
        self._fatal_calls = FatalCalls()
        shared_parts = SharedParts(
            self.configuration,
            self.local,
            self._gate,
            self._cold_server,
            self._processor,
            self._links,
            self._directory,
            self._shares,
            self._control_plane.tokens,
            RunningCalls(),
            self._repeats,
            self._telemetry,
            memory,
            self._fatal_calls,
            self._lifetime,
            self._rng,
        )
        dialect = platform_parts.dialect
        self._target = make_target(
            settings,
            dialect,
            shared_parts,
            self.configuration.weight_of,
            on_capacity_change=self._links.broadcast_note,
        )
        self._ingress = make_ingress(settings, dialect, shared_parts, self._target)
        self._status = StatusEndpoints(
            StatusParts(
                self.configuration,
                self._gate,
                self._processor.guard,
                self._directory,
                self._links,
                self._repeats,
                self._control_plane.members,
                memory,
                self.settings_history,
                monotonic_s,
            ),
            self._telemetry,
            lambda: self.ready,
        )
        self._control, self._readiness, self._metrics = make_status_servers(
            settings, self._status, make_control_handler(self), memory
        )
        parts = settings, dialect, shared_parts
        self._callers = make_caller_server(*parts, self._ingress)
        self._reserve = MemoryReserve(memory, self._callers.update_accepting)
        self._status.observe_callers(self._callers)
        self._status.loop_monitor.subscribe(self._processor.record_lateness)
        self._listeners = Listeners(
            (self._links, self._control, self._readiness, self._callers), self._metrics
        )
        self.configuration.subscribe(self._config_changed)
        self.configuration.subscribe(self._cold_server.config_changed)

    @property
    def ready(self) -> bool:
        """Return whether the daemon accepts callers."""
        return self.configuration.config is not None and not self._stopping.is_set()

    async def run(self) -> None:
        """Serve until `stop` is called, then shut down gracefully."""
        async with contextlib.AsyncExitStack() as stack:
            if await self._listeners.open(stack, self._stopping):
                self._start_tasks()
                await self._stopping.wait()
                await self._finish_calls()
            else:
                _LOGGER.info("daemon: is stopped before it serves.")
                # Peers and the local server send as soon as their listener is open.
                await read_new_connections()
                if self._target.in_flight or self._ingress.in_flight:
                    await self._finish_calls()
                self._target.draining = True
            await finish_messages(
                self._links,
                self._control,
                (self._callers, self._readiness),
                self._lifetime.require_plan(),
            )
            self._lifetime.ended = True
        for task in self._tasks:
            task.cancel()
        _LOGGER.info("daemon: has stopped.")

    def _start_tasks(self) -> None:
        for run in (
            *self._control_plane.tasks(),
            self._remove_expired_members,
            self._expire_waiting_calls,
            self._status.loop_monitor.run,
            self._cold_server.run,
            self._confirmation.run,
            self._reserve.run,
        ):
            self._tasks.append(asyncio.create_task(keep_running(run)))
        _LOGGER.info(
            "daemon: has started.",
            extra={
                "instance": self.settings.instance,
                "pool": self.settings.pool,
                "incarnation": self._incarnation,
                "digest": self.settings.digest,
            },
        )

    async def _finish_calls(self) -> None:
        stop = GracefulStop(self._callers, self._ingress, self._target, self._links)
        await stop.run(self._lifetime.require_plan())

    def reload(self, settings: MeshSettings) -> None:
        """Apply changed limits; log the other changes, which need a restart."""
        names = fields_that_need_a_restart(self.settings, settings)
        if names:
            _LOGGER.warning(
                "daemon: changed settings need a restart.", extra={"fields": names}
            )
        self.local.drain_s = settings.drain_s
        options = QuotaOptions(settings.quota_overage, settings.quota_slack)
        self._shares.options = options
        self._token_pool.options = options
        self._ingress.set_proof_valid(settings.revoke_s)
        self._control_plane.failure_domains = settings.failure_domains
        self._cold_server.set_bounds(settings.cold_overage, settings.cold_slack)
        self.settings = with_applied_fields(self.settings, settings)
        self.settings_history.record_applied(settings.digest)

    def stop(self, asked_at: float | None = None) -> None:
        """Start the graceful shutdown, whose grace time began at `asked_at`."""
        began_at = asked_at if asked_at is not None else monotonic_s()
        self._lifetime.begin_stop(self.settings.grace_s, began_at)
        self._stopping.set()

    async def record_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat of the local server; return whether to confirm it."""
        now = monotonic_s()
        if self._confirmation.hold(heartbeat, now):
            await self._confirmation.wait()
            return True
        self.local.record_heartbeat(heartbeat, now)
        self._confirmation.drop_known()
        return self.local.state is ServerState.READY or await self._store_drain()

    async def record_deregistration(self, server: str, born_ms: int | None) -> bool:
        """Record that the local server leaves; return whether to confirm it."""
        if born_ms is None:
            born_ms = self._confirmation.held_born_ms(server)
        if not self.local.deregister(server, born_ms, monotonic_s()):
            return True
        self._confirmation.drop_known()
        if self.local.state is ServerState.STARTING:
            # The stored record can't name a server whose start is unknown.
            return False
        return await self._store_drain()

    async def _store_drain(self) -> bool:
        """
        Store that the server takes no calls; return whether to confirm its report.

        This daemon obeys the report in any case. The next one at this address knows
        the stored record and what peers have been told, and asks the server; so a
        stopping daemon, whose successor starts soon, confirms only what is stored.
        """
        telling = self._departures.tell(self.local.start)
        now = monotonic_s()
        timeout_s = self._lifetime.limit(now + DRAIN_WRITE_TIMEOUT_S) - now
        stored = await self._control_plane.registration.write_now(max(0.0, timeout_s))
        if stored or self._lifetime.plan is not None:
            return stored
        told = await telling
        _LOGGER.warning(
            "backend: departure is confirmed, but not stored.",
            extra={"server": self.local.server, "peer_knows": told},
        )
        return True

    def _stored_record(self) -> MemberRecord:
        """Return the record with the server's own state, for the next daemon start."""
        record = replace(self._make_record(), state=self.local.state)
        if self.local.restored_draining is None:
            return record
        server, born_ms = self.local.restored_draining
        return replace(
            record, state=ServerState.DRAINING, server=server, born_ms=born_ms
        )

    def _restore_server(self, record: MemberRecord | None) -> None:
        """Restore the server's state from the record of an earlier daemon start."""
        if record is None or record.incarnation == self._incarnation:
            self._confirmation.record_first_reading(is_successor=False)
            return
        if record.incarnation > self._incarnation:
            # The wall clock has been set back since; peers ignore what seems older.
            self._incarnation = record.incarnation + 1
            self._server_changed()
        known = Heartbeat(record.server, record.state, record.slots, 0, record.born_ms)
        now = monotonic_s()
        if known.state is ServerState.READY:
            self._confirmation.hold(known, now, stored=True)
        else:
            self.local.restore(known, now)
            self._confirmation.drop_known()
        self._control_plane.registration.schedule_write()

    def _make_record(self) -> MemberRecord:
        settings = self.settings
        state = ServerState.DRAINING if self._target.draining else self.local.state
        return MemberRecord(
            settings.instance,
            self._incarnation,
            settings.failure_domain,
            settings.advertised or settings.peers,
            settings.pool,
            state,
            self.local.slots,
            self.local.server,
            self.local.born_ms,
        )

    def _make_note(self) -> Note:
        """Return the note for peers; the local router learns the same slots."""
        record = self._make_record()
        slots = min(record.slots, self._gate.announced_slots(monotonic_s()))
        self._directory.set_local_slots(slots)
        version = self.configuration.version
        return note_of(record, slots, version, self.local.evacuated)

    def _make_status(self) -> PeerStatus:
        now, members = monotonic_s(), self._control_plane.members
        load = self._gate.load() + self._processor.guard.excess_load
        mean_load = self._mean_load.add(load, now)
        return PeerStatus(
            load_permille=round(1000.0 * mean_load),
            cold_ms=round(1000.0 * max(0.0, self.local.slow_until - now)),
            members_revision=members.revision,
            members_age_ms=round(1000.0 * members.age_s(now)),
        )

    def _handle_note(self, note: Any) -> None:
        if not isinstance(note, Note):
            return
        now = monotonic_s()
        known = note.instance in self._directory.instances()
        self._directory.put_note(note, now)
        if not known:
            self._members_changed()
        self._control_plane.peer_config.fetch_newer(
            PeerAddress(note.host, note.port),
            note.config_version,
            remote=note.failure_domain != self.settings.failure_domain,
        )

    def _handle_status(self, peer: PeerAddress, status: Any) -> None:
        if not isinstance(status, PeerStatus):
            return
        self._directory.put_status(peer, status, monotonic_s())
        self._control_plane.members.handle_status(peer, status)

    async def _handle_request(self, message: Any) -> Any:
        if isinstance(message, CallMessage):
            context = context_of(message, now=monotonic_s())
            self._lifetime.peer_calls += 1
            try:
                result = await self._target.run(context, request_of(message))
            finally:
                self._lifetime.peer_calls -= 1
            return to_result_message(result, message)
        if isinstance(message, ServerEnd):
            self._fatal_calls.record_end(message.digests, monotonic_s())
            return self._make_status()
        if isinstance(message, Departure):
            return self._departures.handle(message)
        reply = await self._control_plane.handle_request(message)
        if reply is NOT_HANDLED:
            raise TypeError(f"no handler for message {type(message).__name__}")
        return reply

    def _members_changed(self) -> None:
        """Remove expired daemons; update the wanted links and the first shares."""
        self._directory.remove_expired(monotonic_s())
        record, evacuated = self._make_record(), self._control_plane.evacuation.domains
        wanted = wanted_neighbours(self._directory.records(), record, evacuated)
        self._links.set_wanted_links(self._directory.addresses(wanted))
        self._control_plane.exchange.members_changed()

    def _evacuation_changed(self) -> None:
        self._control_plane.evacuation.apply(self.local, self._gate)
        self._members_changed()
        self._links.broadcast_note()

    def _server_changed(self) -> None:
        now = monotonic_s()
        if self.local.start != self._known_start:
            self._known_start = self.local.start
            self._gate.server_restarted(now)
        if self.local.slots and self.local.slots != self._gate.slots:
            self._gate.set_slots(self.local.slots, now)
        self._directory.put_local(self._make_record(), now)
        self._control_plane.registration.schedule_write()
        self._links.broadcast_note()

    def _config_changed(self, config: ConfigSet) -> None:
        self._callers.limits = config.caller_limits
        if self._control_plane.exchange.is_relay:
            self._links.broadcast_note()

    async def _expire_waiting_calls(self) -> None:
        await self._gate.run_expiry(monotonic_s)

    async def _remove_expired_members(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._members_changed()
