"""Writes the values and history of a publication and removes obsolete ones."""

from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.config.const import (
    CALL_TIMEOUT_S,
    HISTORY_PREFIX,
    HISTORY_VERSIONS,
    PARTS_PREFIX,
    PENDING_PREFIX,
)
from damaskbay.config.document import Document
from damaskbay.config.exceptions import PublishFailure, PublishProblem
from damaskbay.config.head import HeadRecord, history_key, read_record
from damaskbay.config.packs import Pack, make_packs
from damaskbay.config.store import Head
from damaskbay.ports.platform import (
    Conflict,
    Entry,
    Platform,
    PlatformFailure,
    PlatformProblem,
)

_Write = Callable[[float], Entry | Conflict | PlatformFailure]
_Retry = Callable[[_Write, float], Entry | Conflict | PlatformFailure]


@dataclass(frozen=True, slots=True)
class _StaleEntry:
    """An obsolete entry with its revision before the swap of the head."""

    key: str
    revision: int


class Housekeeping:
    """
    Writes the values that a new head needs; removes those that no kept version needs.

    Racing publishers are safe: obsolete entries are looked up before the swap of
    the head and deleted only after the swap succeeded, at the revision seen
    before it. Another publisher that needs such a value again rewrites it first,
    which changes its revision, so the delete fails. If it rewrote the value
    before this publisher's swap, its own swap fails, as the head has changed. The
    pending record of a publication that lost the race or was aborted lists the
    values that it wrote.
    """

    def __init__(self, platform: Platform, retry: _Retry, deadline: float) -> None:
        self._platform = platform
        self._retry = retry
        self._deadline = deadline
        self._stale: list[_StaleEntry] = []

    def write_values(
        self, document: Document, record: HeadRecord, head: Head | None
    ) -> PublishFailure | None:
        """Write the values of the new set and the history record of the old version."""
        pending = _pending_key(record)
        result = self._write(pending, record.to_bytes(), 0)
        if isinstance(result, PlatformFailure):
            return _publish_failure(result)
        stored = set() if head is None else set(head.record.packs)
        for pack in {pack.digest: pack for pack in make_packs(document)}.values():
            if pack.digest not in stored:
                failure = self._write_pack(pack)
                if failure is not None:
                    return failure
        if head is not None:
            result = self._write(
                history_key(head.record.version), head.record.to_bytes(), 0
            )
            if isinstance(result, PlatformFailure):
                return _publish_failure(result)
        self._stale = self._find_stale_entries(record)
        return None

    def remove_stale(self) -> None:
        """Delete obsolete entries; after a failure the next publication continues."""
        for item in self._stale:
            result = self._platform.delete(
                item.key, expected_revision=item.revision, timeout_s=CALL_TIMEOUT_S
            )
            if isinstance(result, PlatformFailure):
                return

    def _write_pack(self, pack: Pack) -> PublishFailure | None:
        """Write a value, even if it exists: the new revision prevents its removal."""
        key = f"{PARTS_PREFIX}{pack.digest}"
        revision = 0
        while True:
            result = self._write(key, pack.body, revision)
            if isinstance(result, Entry):
                return None
            if isinstance(result, PlatformFailure):
                return _publish_failure(result)
            revision = 0 if result.current is None else result.current.revision

    def _write(
        self, key: str, value: bytes, revision: int
    ) -> Entry | Conflict | PlatformFailure:
        return self._retry(
            lambda timeout_s: self._platform.compare_and_swap(
                key, value, expected_revision=revision, timeout_s=timeout_s
            ),
            self._deadline,
        )

    def _find_stale_entries(self, record: HeadRecord) -> list[_StaleEntry]:
        """
        Return entries used only by expired versions and by failed publications.

        The result is empty if the entries cannot be listed.
        """
        history = self._platform.list(HISTORY_PREFIX, timeout_s=CALL_TIMEOUT_S)
        pending = self._platform.list(PENDING_PREFIX, timeout_s=CALL_TIMEOUT_S)
        if isinstance(history, PlatformFailure) or isinstance(pending, PlatformFailure):
            return []
        oldest_kept = record.version - HISTORY_VERSIONS
        needed = set(record.packs)
        unneeded: set[str] = set()
        stale = []
        for entry in (*history, *pending):
            old = read_record(entry)
            if not isinstance(old, HeadRecord):
                continue
            in_history = entry.key.startswith(HISTORY_PREFIX)
            if in_history and old.version >= oldest_kept:
                needed.update(old.packs)
            else:
                stale.append(_StaleEntry(entry.key, entry.revision))
                unneeded.update(old.packs)
        return [*self._stale_packs(unneeded - needed), *stale]

    def _stale_packs(self, digests: set[str]) -> list[_StaleEntry]:
        found = []
        for digest in sorted(digests):
            key = f"{PARTS_PREFIX}{digest}"
            entry = self._platform.get(key, timeout_s=CALL_TIMEOUT_S)
            if isinstance(entry, Entry):
                found.append(_StaleEntry(key, entry.revision))
        return found


def _pending_key(record: HeadRecord) -> str:
    return f"{PENDING_PREFIX}{record.publish_id}"


def _publish_failure(failure: PlatformFailure) -> PublishFailure:
    if failure.problem is PlatformProblem.VALUE_TOO_LARGE:
        return PublishFailure(PublishProblem.TOO_LARGE, failure.detail)
    return PublishFailure(PublishProblem.UNAVAILABLE, failure.detail)
