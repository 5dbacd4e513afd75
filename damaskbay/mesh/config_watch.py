"""Watches the operator's configuration set in the store, or at peers if that fails."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Sequence
from random import Random
from typing import Any, Protocol

from damaskbay.config.objects import ConfigSet
from damaskbay.helpers.backoff import Backoff
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.messages import ConfigReply, ConfigRequest
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import (
    Store,
    StoreFailure,
    StoreItem,
    StoreProblem,
    StoreSnapshot,
)

_LOGGER = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 0.4
"""Timeout of one watch, seconds; each proves freshness as of its start."""

NEEDED_CHECK_INTERVAL_S = 0.1
"""Seconds between checks whether this daemon needs to watch the store."""

RETRY_DELAY_S = 0.3
"""Delay before a failed store request of a relay is repeated, seconds."""

DECODE_RETRY_DELAY_S = 1.0
"""Delay before a set whose decoding failed unexpectedly is read again, seconds."""

MAX_RETRY_DELAY_S = 2.4
"""Longest delay before a daemon that is no relay repeats a failed request, seconds."""

PEER_POLL_INTERVAL_S = 0.4
"""Seconds between requests to peers while the proof is old."""

PEER_POLL_PROOF_AGE_S = 1.2
"""Age of the proof, seconds, from which peers are polled: the relay's watch failed.

Relays of other domains most likely have a fresh one, so that the daemons of a domain
whose relay has lost the store need not ask it themselves.
"""

REMOTE_FETCH_DELAY_S = 0.4
"""Delay before a newer set is fetched from another failure domain, seconds.

By then the local relay usually has it, and a set crosses domains once, if at all.
"""

PEERS_PER_POLL = 2
"""Peers that are polled at once."""

PEER_TIMEOUT_S = 1.0
"""Timeout of a request to a peer, seconds; an unresponsive link is suspect by then."""

OnReading = Callable[[StoreSnapshot, bool], None]
"""Takes a complete reading of the prefix, or the changes that a watch has returned."""

DecodeConfig = Callable[[bytes], Awaitable[ConfigSet | str]]
"""
Returns the configuration set in a stored value, or why the value is invalid.

Values given to it at the same time are decoded in their order.
"""


class ConfigWatch:
    """Activates the configuration set in the store; skips invalid values."""

    def __init__(
        self,
        store: Store,
        *,
        prefix: str,
        key: str,
        decode: DecodeConfig,
        configuration: Configuration,
        needed: Callable[[], bool],
        watches_store: Callable[[], bool],
        backoff: Backoff,
        clock: Callable[[], float],
        on_reading: OnReading | None = None,
    ) -> None:
        self._store = store
        self._on_reading = on_reading
        self._watches_store = watches_store
        self._backoff = backoff
        self._needed = needed
        self._prefix = prefix
        self._key = key
        self._decode = decode
        self._configuration = configuration
        self._clock = clock
        self._activations_by_document: dict[bytes, asyncio.Task[bool]] = {}
        self._older_document: bytes | None = None
        self.store_reached = True

    async def run(self) -> None:
        """Read, then watch the store while that is needed, until cancelled."""
        while True:
            if not self._needed():
                await asyncio.sleep(NEEDED_CHECK_INTERVAL_S)
                continue
            started_at = self._clock()
            reading = await self._store.read(self._prefix)
            if isinstance(reading, StoreFailure):
                self._record_store_failure(reading)
                await asyncio.sleep(self._retry_delay_s())
                continue
            self._record_store_success()
            if self._on_reading is not None:
                self._on_reading(reading, True)
            if await self._apply_items(reading.items, started_at):
                await self._watch_changes(reading.revision)
            else:
                await asyncio.sleep(DECODE_RETRY_DELAY_S)

    async def _watch_changes(self, revision: int) -> None:
        while self._needed():
            started_at = self._clock()
            reading = await self._store.watch(
                self._prefix, after=revision, wait_s=WATCH_TIMEOUT_S
            )
            if isinstance(reading, StoreFailure):
                if reading.problem is not StoreProblem.COMPACTED:
                    self._record_store_failure(reading)
                    await asyncio.sleep(self._retry_delay_s())
                return
            self._record_store_success()
            revision = max(revision, reading.revision)
            if self._on_reading is not None:
                self._on_reading(reading, False)
            if not await self._apply_items(reading.items, started_at):
                await asyncio.sleep(DECODE_RETRY_DELAY_S)
                return
            if not any(item.key == self._key for item in reading.items):
                self._configuration.record_proof(
                    self._configuration.version, started_at
                )

    async def activate_document(self, document: bytes, source: str) -> bool:
        """
        Activate a stored value if it is a newer configuration set.

        Return False if it is to be tried again, since it could not be decoded for a
        reason that does not lie in the value. A value that arrives again while it is
        decoded is not decoded twice. It is activated even if the caller is cancelled.
        """
        task = self._activations_by_document.get(document)
        if task is None:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._activate(document, source))
            self._activations_by_document[document] = task
        return await asyncio.shield(task)

    async def _activate(self, document: bytes, source: str) -> bool:
        try:
            decoded = await self._decode(document)
        except Exception:
            # The next set must find a watch that still runs.
            _LOGGER.exception("config: stored set can't be decoded.")
            return False
        finally:
            del self._activations_by_document[document]
        if isinstance(decoded, str):
            _LOGGER.error(
                "config: stored set is not taken.",
                extra={"why": decoded, "version": self._configuration.version},
            )
            return True
        if not self._configuration.activate(decoded, document, source):
            self._older_document = document
        return True

    async def _apply_items(self, items: Iterable[StoreItem], started_at: float) -> bool:
        """Activate the stored sets; return whether none is to be tried again."""
        done = True
        for item in items:
            if item.key == self._key and item.value is not None:
                done = await self._apply_stored(item.value, started_at)
        return done

    async def _apply_stored(self, document: bytes, started_at: float) -> bool:
        """
        Activate a stored set if it is newer; a set that is not proves the active one.

        A store that was restored may hold an older set, but then nothing newer.
        """
        done = True
        if document not in (self._configuration.document, self._older_document):
            done = await self.activate_document(document, "store")
        if document in (self._configuration.document, self._older_document):
            self._configuration.record_proof(self._configuration.version, started_at)
        return done

    def _retry_delay_s(self) -> float:
        """Return the delay before the next request; it grows, except for a relay."""
        return RETRY_DELAY_S if self._watches_store() else self._backoff.next_delay_s()

    def _record_store_failure(self, failure: StoreFailure) -> None:
        if self.store_reached:
            _LOGGER.warning(
                "config: store is lost.",
                extra={"why": failure.problem.value, "detail": failure.detail},
            )
        self.store_reached = False

    def _record_store_success(self) -> None:
        if not self.store_reached:
            _LOGGER.info("config: store is reachable again.")
        self.store_reached = True
        self._backoff.reset()


class SendRequest(Protocol):
    """Sends a message to a peer and returns its reply or a PeerFailure."""

    async def __call__(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> Any:
        """Wait at most `timeout_s` seconds."""
        ...


class PeerConfig:
    """Fetches newer configuration sets and proofs from peers, not the store."""

    def __init__(
        self,
        watch: ConfigWatch,
        configuration: Configuration,
        *,
        peers: Callable[[], Sequence[PeerAddress]],
        request: SendRequest,
        rng: Random,
        clock: Callable[[], float],
    ) -> None:
        self._watch = watch
        self._configuration = configuration
        self._peers = peers
        self._request = request
        self._rng = rng
        self._clock = clock
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        self._fetching_until = 0.0
        self._arriving_version = 0
        self._remote_fetch: asyncio.TimerHandle | None = None

    def handle_config_request(self, wanted: ConfigRequest) -> ConfigReply:
        """Return the reply to a peer, with the document only if the peer needs it."""
        configuration = self._configuration
        newer = configuration.version > wanted.newer_than
        age_s = configuration.proof_age_s(self._clock())
        document = configuration.document if newer else b""
        return ConfigReply(configuration.version, document, age_s)

    async def run(self) -> None:
        """Poll a few peers while the proof is old, until cancelled."""
        while True:
            await asyncio.sleep(PEER_POLL_INTERVAL_S)
            age_s = self._configuration.proof_age_s(self._clock())
            if age_s is not None and age_s < PEER_POLL_PROOF_AGE_S:
                continue
            peers = list(self._peers())
            for peer in self._rng.sample(peers, min(PEERS_PER_POLL, len(peers))):
                self.fetch(peer)

    def fetch_newer(self, peer: PeerAddress, version: int, *, remote: bool) -> None:
        """
        Fetch a version that a peer has, unless it is known or already being fetched.

        From a remote failure domain it is fetched after a delay, if still needed.
        """
        if version <= self._fetched_version():
            return
        if not remote:
            now = self._clock()
            if now >= self._fetching_until:
                self._fetching_until = now + PEER_TIMEOUT_S
                self.fetch(peer)
        elif self._remote_fetch is None:
            loop = asyncio.get_running_loop()
            self._remote_fetch = loop.call_later(
                REMOTE_FETCH_DELAY_S, self._fetch_remote, peer, version
            )

    def _fetch_remote(self, peer: PeerAddress, version: int) -> None:
        self._remote_fetch = None
        if version > self._fetched_version():
            self.fetch(peer)

    def fetch(self, peer: PeerAddress) -> None:
        """Start a request for the configuration to one peer."""
        task = asyncio.get_running_loop().create_task(self._fetch(peer))
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    async def _fetch(self, peer: PeerAddress) -> None:
        started_at = self._clock()
        wanted = ConfigRequest(self._fetched_version())
        reply = await self._request(peer, wanted, timeout_s=PEER_TIMEOUT_S)
        self._fetching_until = 0.0
        if not isinstance(reply, ConfigReply):
            return
        if reply.document and reply.version > self._fetched_version():
            self._arriving_version = reply.version
            try:
                await self._watch.activate_document(reply.document, str(peer))
            finally:
                if self._arriving_version == reply.version:
                    self._arriving_version = 0
        if reply.proof_age_s is not None:
            self._configuration.record_proof(
                reply.version, started_at - reply.proof_age_s
            )

    def _fetched_version(self) -> int:
        """Return the highest version that is active or being decoded."""
        return max(self._configuration.version, self._arriving_version)
