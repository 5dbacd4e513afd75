"""Evacuations of failure domains: read from the store, passed on to the peers."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.core.evacuation import DomainChange, EvacuatedDomains, EvacuationState
from damaskbay.core.outcome import Reason, not_run
from damaskbay.mesh.const import NOT_READY_RETRY_S
from damaskbay.mesh.directory import Directory
from damaskbay.mesh.gate import Gate
from damaskbay.mesh.local_server import LocalServer
from damaskbay.mesh.messages import EvacuationUpdate
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import StoreItem, StoreSnapshot

_LOGGER = logging.getLogger(__name__)

POLL_INTERVAL_S: Final = 1.0
"""Seconds between exchanges with one random peer during an evacuation."""

REQUEST_TIMEOUT_S: Final = 1.0
"""Timeout of a message to a peer, seconds."""

FORWARD_PEERS: Final = 16
"""Peers that are told of a change that a peer has told; the relays tell all others."""

BATCH: Final = 32
BATCH_PAUSE_S: Final = 0.005
"""Pause after each BATCH of peers: a relay has hundreds, and calls go on meanwhile."""

SEND_ATTEMPTS: Final = 2
"""Attempts to tell a peer of a change; later it hears of it from the exchanges."""

CheckValue = Callable[[bytes], str | None]
"""Returns why a stored value can't be read, None if it can."""


@dataclass(frozen=True, slots=True)
class EvacuationParts:
    """
    Dependencies of Evacuation.

    A key of the store is `prefix` and the name of a domain. `domains` are the names of
    all domains, empty if they aren't known. `on_change` is called after a change.
    """

    failure_domain: str
    prefix: str
    check_value: CheckValue
    domains: Callable[[], frozenset[str]]
    directory: Directory
    links: PeerLinks
    on_change: Callable[[], None]
    rng: Random
    clock: Callable[[], float]


class Evacuation:
    """
    Keeps the state of the evacuations, and passes it on.

    A daemon that learns other domains from the store tells each of its linked peers
    once; one that learns them from a peer tells some. During an evacuation, and a while
    after, it also exchanges the state with a random peer each second, so that either of
    the two catches up. Nothing is sent without evacuations.
    """

    def __init__(self, parts: EvacuationParts) -> None:
        self._parts = parts
        self._known = EvacuatedDomains()
        self._logged_revisions: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def domains(self) -> frozenset[str]:
        """Return the evacuated domains."""
        return self._known.state.domains

    @property
    def is_local(self) -> bool:
        """Return whether the domain of this daemon is evacuated."""
        return self._parts.failure_domain in self.domains

    def register_gauges(self, telemetry: BoundTelemetry) -> None:
        """Register the gauges of the evacuations."""
        gauge = telemetry.gauge
        gauge("evacuated_domains", "Number", lambda: len(self.domains))
        gauge("evacuated", "1: the own domain", lambda: float(self.is_local))
        gauge("evacuation_revision", "Known", lambda: self._known.state.revision)

    def apply(self, local: LocalServer, gate: Gate) -> None:
        """Let the local server get no more calls, also queued ones, or calls again."""
        local.evacuated = self.is_local
        if self.is_local:
            refusal = not_run(
                Reason.BACKEND_SERVER_DRAINING,
                retry_after_s=NOT_READY_RETRY_S,
                detail="failure domain is evacuated",
            )
            gate.refuse_waiting(refusal, self._parts.clock())

    def handle_reading(self, reading: StoreSnapshot, complete: bool) -> None:
        """Take the evacuations in all items of the store, or in its changes."""
        prefix = self._parts.prefix
        items = [item for item in reading.items if item.key.startswith(prefix)]
        if complete:
            self._read_all(items, reading.revision)
        elif items:
            self._read_changes(items)

    def handle_update(self, update: EvacuationUpdate) -> EvacuationUpdate:
        """Take the state of a peer if it is newer; return the state that holds."""
        self._apply_update(update)
        return self._update()

    async def run(self) -> None:
        """Exchange the state with random peers while it matters, until cancelled."""
        parts = self._parts
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self._known.is_active(parts.clock()):
                continue
            peers = parts.links.up_peers()
            if peers:
                await self._exchange(parts.rng.choice(peers))

    def _read_all(self, items: Iterable[StoreItem], revision: int) -> None:
        before = self.domains
        names: set[str] = set()
        for item in items:
            name = self._name_of(item)
            # A value that can't be read changes nothing.
            if self._is_valid(item) or name in before:
                names.add(name)
        if self._known.read_all(names, revision, self._parts.clock()):
            self._changed(before, "store")

    def _read_changes(self, items: Iterable[StoreItem]) -> None:
        before = self.domains
        changes = [
            DomainChange(self._name_of(item), item.revision, item.value is not None)
            for item in items
            if self._is_valid(item)
        ]
        if self._known.read_changes(changes, self._parts.clock()):
            self._changed(before, "store")

    def _name_of(self, item: StoreItem) -> str:
        return item.key.removeprefix(self._parts.prefix)

    def _is_valid(self, item: StoreItem) -> bool:
        """Return whether a key names a domain and has a valid value; log it if not."""
        if item.value is None:
            return True
        known = self._parts.domains()
        why = self._parts.check_value(item.value)
        if known and self._name_of(item) not in known:
            why = "failure domain is unknown"
        if why is None:
            return True
        if self._logged_revisions.get(item.key) != item.revision:
            self._logged_revisions[item.key] = item.revision
            _LOGGER.error(
                "evacuation: key is not taken.",
                extra={"key": item.key, "why": why, "revision": item.revision},
            )
        return False

    def _apply_update(self, update: EvacuationUpdate) -> None:
        before = self.domains
        state = EvacuationState(update.revision, frozenset(update.domains))
        if self._known.replace(state, self._parts.clock()):
            self._changed(before, "peer")

    def _update(self) -> EvacuationUpdate:
        state = self._known.state
        return EvacuationUpdate(state.revision, tuple(sorted(state.domains)))

    def _changed(self, before: frozenset[str], source: str) -> None:
        """Log and apply a change of the domains, and tell the linked peers."""
        extra = {"source": source, "revision": self._known.state.revision}
        for domain in sorted(self.domains - before):
            _LOGGER.warning(
                "evacuation: failure domain is evacuated.",
                extra={"domain": domain, **extra},
            )
        for domain in sorted(before - self.domains):
            _LOGGER.warning(
                "evacuation: failure domain takes calls again.",
                extra={"domain": domain, **extra},
            )
        self._parts.directory.set_evacuated(self.domains)
        self._parts.on_change()
        peers: Sequence[PeerAddress] = self._parts.links.up_peers()
        if source == "peer":
            peers = self._parts.rng.sample(peers, min(FORWARD_PEERS, len(peers)))
        self._start(self._tell_all(peers))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell_all(self, peers: Sequence[PeerAddress]) -> None:
        for number, peer in enumerate(peers, start=1):
            self._start(self._tell(peer))
            if number % BATCH == 0:
                await asyncio.sleep(BATCH_PAUSE_S)

    async def _tell(self, peer: PeerAddress) -> None:
        for _ in range(SEND_ATTEMPTS):
            if await self._exchange(peer):
                return

    async def _exchange(self, peer: PeerAddress) -> bool:
        """Send the state to a peer and take its state; return whether it replied."""
        reply: Any = await self._parts.links.request(
            peer, self._update(), timeout_s=REQUEST_TIMEOUT_S
        )
        if not isinstance(reply, EvacuationUpdate):
            return False
        self._apply_update(reply)
        return True
