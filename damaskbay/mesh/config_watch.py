"""Follows the operator's set in the store, and through peers where that fails."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Protocol

from damaskbay.config.objects import ConfigSet
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.messages import ConfigHeld, ConfigWanted
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import Store, StoreFailure, StoreProblem

_LOGGER = logging.getLogger(__name__)

WATCH_S = 0.4
"""Wait of one watch, seconds: each is a proof of freshness, dated from its start."""

LOOK_S = 0.1
"""Seconds between looks whether an own watch has become needed."""

RETRY_S = 0.3
"""Seconds before a failed store call is tried again."""

ASK_PEERS_S = 0.4
"""Seconds between questions to peers while the own proof ages."""

ASK_PEERS_AFTER_S = 2.2
"""Age of the own proof, seconds, from which peers are asked: a watch has failed."""

PEERS_ASKED = 2
"""Peers asked at once."""

ASK_TIMEOUT_S = 1.0
"""Longest wait for a peer's answer, seconds; a silent link is found as soon."""

Decode = Callable[[bytes], ConfigSet | str]
"""Returns the set in a stored value, or what is wrong with it."""


class ConfigWatch:
    """Puts what the operator stored in force; what can't be read is passed over."""

    def __init__(
        self,
        store: Store,
        *,
        prefix: str,
        key: str,
        decode: Decode,
        configuration: Configuration,
        needed: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._needed = needed
        self._prefix = prefix
        self._key = key
        self._decode = decode
        self._configuration = configuration
        self._clock = clock
        self.store_reached = True

    async def run(self) -> None:
        """Read, then watch while that is needed, again and again until cancelled."""
        while True:
            if not self._needed():
                await asyncio.sleep(LOOK_S)
                continue
            began_at = self._clock()
            reading = await self._store.read(self._prefix)
            if isinstance(reading, StoreFailure):
                self._lost(reading)
                await asyncio.sleep(RETRY_S)
                continue
            self._found()
            for item in reading.items:
                if item.key == self._key and item.value is not None:
                    self._take(item.value, began_at)
            await self._follow(reading.revision)

    async def _follow(self, revision: int) -> None:
        while self._needed():
            began_at = self._clock()
            reading = await self._store.watch(
                self._prefix, after=revision, wait_s=WATCH_S
            )
            if isinstance(reading, StoreFailure):
                if reading.problem is not StoreProblem.COMPACTED:
                    self._lost(reading)
                    await asyncio.sleep(RETRY_S)
                return
            self._found()
            revision = max(revision, reading.revision)
            values = [item.value for item in reading.items if item.key == self._key]
            for value in values:
                if value is not None:
                    self._take(value, began_at)
            if not values:
                self._configuration.record_proof(self._configuration.version, began_at)

    def take_document(self, document: bytes, source: str) -> None:
        """Put a stored value in force if it is a newer set."""
        decoded = self._decode(document)
        if isinstance(decoded, str):
            _LOGGER.error(
                "config: stored set is not taken.",
                extra={"why": decoded, "version": self._configuration.version},
            )
            return
        self._configuration.activate(decoded, document, source)

    def _take(self, document: bytes, began_at: float) -> None:
        if document != self._configuration.document:
            self.take_document(document, "store")
        if document == self._configuration.document:
            self._configuration.record_proof(self._configuration.version, began_at)

    def _lost(self, failure: StoreFailure) -> None:
        if self.store_reached:
            _LOGGER.warning(
                "config: store is lost.",
                extra={"why": failure.problem.value, "detail": failure.detail},
            )
        self.store_reached = False

    def _found(self) -> None:
        if not self.store_reached:
            _LOGGER.info("config: store is back.")
        self.store_reached = True


class AskPeer(Protocol):
    """Sends a message to a peer and returns its answer or a PeerFailure."""

    async def __call__(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> Any:
        """Wait at most `timeout_s` seconds."""
        ...


class PeerConfig:
    """Asks peers for newer sets and for proofs while the store can't be reached."""

    def __init__(
        self,
        watch: ConfigWatch,
        configuration: Configuration,
        *,
        peers: Callable[[], Sequence[PeerAddress]],
        request: AskPeer,
        rng: Random,
        clock: Callable[[], float],
    ) -> None:
        self._watch = watch
        self._configuration = configuration
        self._peers = peers
        self._request = request
        self._rng = rng
        self._clock = clock
        self._asking: set[asyncio.Task[None]] = set()

    def handle_request(self, wanted: ConfigWanted) -> ConfigHeld:
        """Answer a peer that asks."""
        configuration = self._configuration
        newer = configuration.version > wanted.newer_than
        age_s = configuration.proof_age_s(self._clock())
        document = configuration.document if newer else b""
        return ConfigHeld(configuration.version, document, age_s)

    async def run(self) -> None:
        """Ask a few peers whenever the own proof has grown old."""
        while True:
            await asyncio.sleep(ASK_PEERS_S)
            age_s = self._configuration.proof_age_s(self._clock())
            if age_s is not None and age_s < ASK_PEERS_AFTER_S:
                continue
            peers = list(self._peers())
            for peer in self._rng.sample(peers, min(PEERS_ASKED, len(peers))):
                self.fetch(peer)

    def fetch(self, peer: PeerAddress) -> None:
        """Ask one peer."""
        task = asyncio.get_running_loop().create_task(self._ask(peer))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def _ask(self, peer: PeerAddress) -> None:
        began_at = self._clock()
        wanted = ConfigWanted(self._configuration.version)
        reply = await self._request(peer, wanted, timeout_s=ASK_TIMEOUT_S)
        if not isinstance(reply, ConfigHeld):
            return
        if reply.document:
            self._watch.take_document(reply.document, str(peer))
        if reply.proof_age_s is not None:
            self._configuration.record_proof(
                reply.version, began_at - reply.proof_age_s
            )
