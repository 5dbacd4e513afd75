"""Values and history around one publication, and the removal of old ones."""

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

_Call = Callable[[float], Entry | Conflict | PlatformFailure]
_Retry = Callable[[_Call, float], Entry | Conflict | PlatformFailure]


@dataclass(frozen=True, slots=True)
class _Stale:
    """An entry that may go, at the revision seen before the head was swapped."""

    key: str
    revision: int


class Housekeeping:
    """
    Writes what a new head needs and removes what no kept version needs.

    Safe among racing publishers: what may go is looked up before the swap of the
    head and removed only after it succeeded, at the revision seen before. A
    publisher who needs such a value again writes it again first, which changes
    its revision; had it done so before the swap, its own swap fails. What a
    publication that lost or broke off left behind is told by its pending record.
    """

    def __init__(self, platform: Platform, retry: _Retry, deadline: float) -> None:
        self._platform = platform
        self._retry = retry
        self._deadline = deadline
        self._stale: list[_Stale] = []

    def prepare(
        self, document: Document, record: HeadRecord, head: Head | None
    ) -> PublishFailure | None:
        """Store the values of the new set and the record of the one before."""
        pending = _pending_key(record)
        result = self._write(pending, record.to_bytes(), 0)
        if isinstance(result, PlatformFailure):
            return _failure(result)
        standing = set() if head is None else set(head.record.packs)
        for pack in {pack.digest: pack for pack in make_packs(document)}.values():
            if pack.digest not in standing:
                failure = self._write_pack(pack)
                if failure is not None:
                    return failure
        if head is not None:
            result = self._write(
                history_key(head.record.version), head.record.to_bytes(), 0
            )
            if isinstance(result, PlatformFailure):
                return _failure(result)
        self._stale = self._find_stale(record)
        return None

    def clean_up(self) -> None:
        """Remove what no kept version needs; what fails is left for the next time."""
        for item in self._stale:
            result = self._platform.delete(
                item.key, expected_revision=item.revision, timeout_s=CALL_TIMEOUT_S
            )
            if isinstance(result, PlatformFailure):
                return

    def _write_pack(self, pack: Pack) -> PublishFailure | None:
        """Write a value, again where it stands, so that nobody removes it now."""
        key = f"{PARTS_PREFIX}{pack.digest}"
        revision = 0
        while True:
            result = self._write(key, pack.body, revision)
            if isinstance(result, Entry):
                return None
            if isinstance(result, PlatformFailure):
                return _failure(result)
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

    def _find_stale(self, record: HeadRecord) -> list[_Stale]:
        """Return what only versions beyond the kept history and losers need."""
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
                stale.append(_Stale(entry.key, entry.revision))
                unneeded.update(old.packs)
        return [*self._stale_packs(unneeded - needed), *stale]

    def _stale_packs(self, digests: set[str]) -> list[_Stale]:
        found = []
        for digest in sorted(digests):
            key = f"{PARTS_PREFIX}{digest}"
            entry = self._platform.get(key, timeout_s=CALL_TIMEOUT_S)
            if isinstance(entry, Entry):
                found.append(_Stale(key, entry.revision))
        return found


def _pending_key(record: HeadRecord) -> str:
    return f"{PENDING_PREFIX}{record.publish_id}"


def _failure(failure: PlatformFailure) -> PublishFailure:
    if failure.problem is PlatformProblem.VALUE_TOO_LARGE:
        return PublishFailure(PublishProblem.TOO_LARGE, failure.detail)
    return PublishFailure(PublishProblem.UNAVAILABLE, failure.detail)
