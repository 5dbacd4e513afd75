"""Keeps the records of the members up to date, through relays or from the store."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.helpers.backoff import Backoff
from damaskbay.mesh.directory import Directory, MemberRecord
from damaskbay.mesh.member_log import MemberLog, StoredRecord
from damaskbay.mesh.messages import MembersReply, MembersRequest, PeerStatus
from damaskbay.mesh.records import decode_record
from damaskbay.mesh.registry import rewrite_window_s
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import (
    Store,
    StoreFailure,
    StoreItem,
    StoreProblem,
    StoreSnapshot,
    epoch_of,
)

_LOGGER = logging.getLogger(__name__)

RETRY_DELAY_S = 0.4
"""Delay before a failed store request of a relay is repeated, seconds."""

MAX_RETRY_DELAY_S = 6.0
"""Longest delay before a daemon that is no relay repeats a failed request, seconds."""

WATCH_TIMEOUT_S = 2.0
"""Timeout of a watch, seconds; a watch without changes proves the records current."""

CHANGE_BATCH_DELAY_S = 1.0
"""Delay from a change to the next watch, seconds; notes announce daemons sooner."""

NEEDED_CHECK_INTERVAL_S = 0.1
"""Seconds between checks whether this daemon needs to watch the store."""

MAX_AGE_S = 6.0
"""Age of the last proof, seconds, from which a daemon watches the store itself.

A relay's proof is up to a watch and a batch delay old when a status carries it.
"""

REMOTE_AFTER_AGE_S = 4.0
"""Age of the last proof, seconds, from which remote domains are asked for changes."""

REQUEST_TIMEOUT_S = 1.0
"""Timeout of a request to a peer, seconds."""

RESTORED_KEEP_S = 7.0
"""Time in which daemons hear of a restored store and retry their writes, seconds."""


@dataclass(frozen=True, slots=True)
class MembersParts:
    """
    Dependencies of Members.

    `watches_store` is whether this daemon watches the store for its domain. This
    daemon's record goes to `on_local_record` as the records are read for the first
    time, None if there is none. After each change, `on_listing` gets whether there is a
    record of this daemon, and the revision up to which that is known; also as soon as a
    peer knows of a later epoch.
    """

    instance: str
    failure_domain: str
    store: Store
    prefix: str
    directory: Directory
    links: PeerLinks
    backoff: Backoff
    watches_store: Callable[[], bool]
    on_change: Callable[[], None]
    on_local_record: Callable[[MemberRecord | None], None]
    on_listing: Callable[[bool, int], None]
    clock: Callable[[], float]


class Members:
    """
    Applies changes of the members' records to the directory.

    Each daemon reads the records once. Then the relays watch the store; the status of
    a daemon tells the revision that it knows and how long ago it was proven the last,
    and a daemon with an older one requests the changes. The records of a new epoch are
    read again; daemons that lack there are kept while they write theirs.
    """

    def __init__(self, parts: MembersParts) -> None:
        self._parts = parts
        self._log = MemberLog()
        self._proven_at: float | None = None
        self._request: asyncio.Task[None] | None = None

    @property
    def has_read(self) -> bool:
        """Return whether the records have been read."""
        return self._proven_at is not None

    @property
    def revision(self) -> int:
        """Return the store's revision of the last known change."""
        return self._log.revision

    @property
    def epoch(self) -> int:
        """Return the epoch of the known records: it rises with each restore."""
        return epoch_of(self._log.revision)

    def age_s(self, now: float) -> float:
        """Return how long ago the records were proven current, in seconds."""
        return now - self._proven_at if self._proven_at is not None else MAX_AGE_S

    async def run(self) -> None:
        """Read the records, and watch them while that is needed, until cancelled."""
        parts = self._parts
        while True:
            if not self._watch_needed():
                await asyncio.sleep(NEEDED_CHECK_INTERVAL_S)
                continue
            started_at = parts.clock()
            reading = await parts.store.read(parts.prefix)
            if isinstance(reading, StoreFailure):
                await asyncio.sleep(self._retry_delay_s())
                continue
            parts.backoff.reset()
            self._apply_reading(reading, started_at)
            await self._watch_changes(reading.revision)

    def handle_request(self, request: MembersRequest) -> MembersReply:
        """Return the changes that a peer does not know yet."""
        return self._log.changes_after(request.after)

    def handle_status(self, peer: PeerAddress, status: PeerStatus) -> None:
        """Take the proof in a peer's status, or request the changes that it knows."""
        now = self._parts.clock()
        proven_at = now - status.members_age_ms / 1000.0
        if epoch_of(status.members_revision) > self.epoch:
            # The records may come later, as they are only requested from some peers.
            self._parts.on_listing(True, status.members_revision)
        if status.members_revision == self._log.revision:
            if self._proven_at is not None:
                self._proven_at = max(self._proven_at, proven_at)
        elif status.members_revision > self._log.revision and self._may_request(peer):
            loop = asyncio.get_running_loop()
            self._request = loop.create_task(self._fetch(peer, proven_at))

    def _may_request(self, peer: PeerAddress) -> bool:
        """Return whether to request changes: one at a time, in the local domain."""
        parts = self._parts
        if not self.has_read or not (self._request is None or self._request.done()):
            return False
        domain = parts.directory.failure_domain_of(peer)
        is_local = domain == parts.failure_domain
        return is_local or self.age_s(parts.clock()) > REMOTE_AFTER_AGE_S

    async def _fetch(self, peer: PeerAddress, proven_at: float) -> None:
        request = MembersRequest(self._log.revision)
        reply = await self._parts.links.request(
            peer, request, timeout_s=REQUEST_TIMEOUT_S
        )
        if not isinstance(reply, MembersReply) or reply.revision < self._log.revision:
            _LOGGER.info(
                "members: peer has no changes.",
                extra={"peer": str(peer), "why": str(reply)[:200]},
            )
            return
        is_overtaken = not reply.complete and self._log.revision != request.after
        if is_overtaken and epoch_of(reply.revision) > epoch_of(request.after):
            # The reply can't tell which of the changes since the request are lost.
            return
        self._begin_epoch(reply.revision)
        if reply.complete:
            records = {
                instance: StoredRecord(value, reply.revision)
                for instance, value in reply.records_by_instance.items()
            }
            self._replace(records, reply.revision)
        else:
            for instance, value in reply.records_by_instance.items():
                self._apply_change(instance, value, reply.revision)
            for instance in reply.removed:
                self._apply_change(instance, None, reply.revision)
        self._log.revision = max(self._log.revision, reply.revision)
        if self._proven_at is not None:
            self._proven_at = max(self._proven_at, proven_at)
        self._report_change()

    def _watch_needed(self) -> bool:
        parts = self._parts
        return (
            not self.has_read
            or parts.watches_store()
            or self.age_s(parts.clock()) > MAX_AGE_S
        )

    def _retry_delay_s(self) -> float:
        """Return the delay: short for a relay, and until the records were read once."""
        parts = self._parts
        if parts.watches_store() or not self.has_read:
            return RETRY_DELAY_S
        return parts.backoff.next_delay_s()

    async def _watch_changes(self, revision: int) -> None:
        """Apply changes until another daemon does, or the history is dropped."""
        parts = self._parts
        while self._watch_needed():
            started_at = parts.clock()
            outcome = await parts.store.watch(
                parts.prefix, after=revision, wait_s=WATCH_TIMEOUT_S
            )
            if isinstance(outcome, StoreSnapshot):
                parts.backoff.reset()
                revision = max(revision, outcome.revision)
                for item in outcome.items:
                    self._apply_item(item)
                self._proven_at = started_at
                if outcome.items:
                    self._report_change()
                    await asyncio.sleep(CHANGE_BATCH_DELAY_S)
                continue
            _LOGGER.info(
                "members: watch has ended.",
                extra={"why": outcome.problem.value, "detail": outcome.detail},
            )
            if parts.store.epoch > epoch_of(revision):
                return
            await asyncio.sleep(self._retry_delay_s())
            if outcome.problem is StoreProblem.COMPACTED:
                return

    def _apply_reading(self, reading: StoreSnapshot, started_at: float) -> None:
        prefix = self._parts.prefix
        records = {
            item.key.removeprefix(prefix): StoredRecord(item.value, item.revision)
            for item in reading.items
            if item.value is not None
        }
        local = records.get(self._parts.instance)
        local_record = decode_record(local.value) if local is not None else None
        if not self.has_read:
            self._parts.on_local_record(local_record)
        self._begin_epoch(reading.revision)
        self._replace(records, reading.revision)
        self._proven_at = started_at
        self._report_change()

    def _report_change(self) -> None:
        parts = self._parts
        parts.on_change()
        parts.on_listing(parts.instance in self._log, self._log.revision)

    def _begin_epoch(self, revision: int) -> None:
        """If an epoch begins, keep the known daemons while they write their records."""
        if not self._log.begin_epoch(revision):
            return
        directory, now = self._parts.directory, self._parts.clock()
        count = len(directory.instances())
        directory.keep_unlisted(now + rewrite_window_s(count) + RESTORED_KEEP_S)
        _LOGGER.warning(
            "members: store was restored.",
            extra={"epoch": epoch_of(revision), "daemons": count},
        )

    def _replace(
        self, records_by_instance: dict[str, StoredRecord], revision: int
    ) -> None:
        directory, now = self._parts.directory, self._parts.clock()
        if not self._log.replace(records_by_instance, revision):
            return
        found = [decode_record(item.value) for item in records_by_instance.values()]
        records = [record for record in found if record is not None]
        directory.replace_listing(records, now)

    def _apply_item(self, item: StoreItem) -> None:
        instance = item.key.removeprefix(self._parts.prefix)
        self._apply_change(instance, item.value, item.revision)

    def _apply_change(self, instance: str, value: bytes | None, revision: int) -> None:
        directory, now = self._parts.directory, self._parts.clock()
        if not self._log.record_change(instance, value, revision):
            return
        if value is None:
            directory.mark_unlisted(instance, now)
            return
        record = decode_record(value)
        if record is None:
            _LOGGER.warning("members: record is not read.", extra={"peer": instance})
            return
        directory.put(record, now)
