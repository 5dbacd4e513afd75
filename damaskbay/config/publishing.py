"""Publishing of sets: writes the values, then swaps the head atomically."""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace

from damaskbay.config.check import check
from damaskbay.config.const import (
    CALL_TIMEOUT_S,
    HEAD_KEY,
    MAX_INLINE_DELTA_BYTES,
    PUBLISH_TIMEOUT_S,
    RETRY_PAUSE_S,
)
from damaskbay.config.delta import ObjectChange, make_delta
from damaskbay.config.document import EMPTY_DOCUMENT, Document
from damaskbay.config.exceptions import (
    LoadFailure,
    LoadProblem,
    PublishFailure,
    PublishProblem,
    PublishUnknown,
)
from damaskbay.config.head import HeadRecord, delta_to_model, read_record
from damaskbay.config.housekeeping import Housekeeping
from damaskbay.config.packs import make_packs
from damaskbay.config.store import ConfigStore, Head
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.platform import (
    Conflict,
    Entry,
    Platform,
    PlatformFailure,
    PlatformProblem,
)


@dataclass(frozen=True, slots=True)
class Published:
    """The set was published; `newest` is False if a newer version followed it."""

    record: HeadRecord
    newest: bool = True


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The set equals the active one; no version was created."""

    record: HeadRecord


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """
    The current version is not the expected one; nothing was published.

    `changes` are the object changes from the expected version to the current one;
    None if the expected version is no longer kept.
    """

    expected_version: int
    current: HeadRecord | None
    changes: tuple[ObjectChange, ...] | None


PublishResult = (
    Published | Unchanged | PublishConflict | PublishFailure | PublishUnknown
)


@dataclass(frozen=True, slots=True)
class Publication:
    """
    A set to publish as the successor of the expected version (0: none).

    `is_retry` means that this publish id may have been sent before. `base` is the
    set of the expected version if the caller has it, which saves reading it.
    `onto_empty` means that the platform has lost its data: if there is no head,
    the expected version is the one that the daemons still hold.
    """

    document: Document
    author: str
    expected_version: int
    publish_id: str
    is_retry: bool = False
    base: Document | None = None
    onto_empty: bool = False


def new_publish_id() -> str:
    """Return a unique id for a publication."""
    return uuid.uuid4().hex


class Publisher:
    """
    Publishes sets; each publication blocks for up to `timeout_s`.

    One of several racing publishers wins each version; the others get a
    PublishConflict. After a lost reply the same compare-and-swap is sent again,
    so a delayed first request cannot take effect too, and the publish id shows whether
    the write took effect.

    `progress` is called after each write request with the number of them so far.
    """

    def __init__(
        self,
        platform: Platform,
        *,
        timeout_s: float = PUBLISH_TIMEOUT_S,
        clock: Callable[[], float] = monotonic_s,
        wall_clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
        progress: Callable[[int], None] = lambda calls: None,
    ) -> None:
        self._platform = platform
        self._store = ConfigStore(platform)
        self._timeout_s = timeout_s
        self._clock = clock
        self._wall_clock = wall_clock
        self._sleep = sleep
        self._progress = progress
        self._write_count = 0

    def publish(self, publication: Publication) -> PublishResult:
        """Check and store a set and make it the active version."""
        problems = check(publication.document)
        if problems:
            return PublishFailure(PublishProblem.INVALID, str(problems[0]), problems)
        deadline = self._clock() + self._timeout_s
        head = self._read_head(deadline)
        if isinstance(head, PublishFailure):
            return head
        known_result = self._result_without_write(publication, head)
        if known_result is not None:
            return known_result
        record = self._make_record(publication, head)
        housekeeping = Housekeeping(self._platform, self._retry, deadline)
        failure = housekeeping.write_values(publication.document, record, head)
        if failure is not None:
            return failure
        revision = 0 if head is None else head.revision
        result = self._swap(publication, record, revision, deadline)
        if isinstance(result, Published):
            housekeeping.remove_stale()
        return result

    def replace_damaged_head(self, publication: Publication) -> PublishResult:
        """
        Publish a set in place of a damaged head record.

        The new version follows the one that the damaged record must have had, so
        every daemon accepts it. A readable head is not replaced.
        """
        problems = check(publication.document)
        if problems:
            return PublishFailure(PublishProblem.INVALID, str(problems[0]), problems)
        deadline = self._clock() + self._timeout_s
        head = self._store.read_head()
        history = self._store.read_history()
        if not isinstance(head, LoadFailure):
            current = None if head is None else head.record
            return self._conflict(publication, current)
        if isinstance(history, LoadFailure) or not head.revision:
            return PublishFailure(PublishProblem.UNAVAILABLE, head.detail)
        damaged_version = max((item.version for item in history), default=0) + 1
        adjusted = replace(publication, expected_version=damaged_version)
        record = self._make_record(adjusted, None)
        housekeeping = Housekeeping(self._platform, self._retry, deadline)
        failure = housekeeping.write_values(publication.document, record, None)
        if failure is not None:
            return failure
        return self._swap(adjusted, record, head.revision, deadline)

    def _read_head(self, deadline: float) -> Head | PublishFailure | None:
        while True:
            head = self._store.read_head(timeout_s=self._request_timeout_s(deadline))
            if not isinstance(head, LoadFailure):
                return head
            if head.problem is not LoadProblem.UNAVAILABLE:
                return PublishFailure(PublishProblem.UNREADABLE_HEAD, head.detail)
            if not self._pause_before_retry(deadline):
                return PublishFailure(PublishProblem.UNAVAILABLE, head.detail)

    def _result_without_write(
        self, publication: Publication, head: Head | None
    ) -> PublishResult | None:
        """Return the result if it is known without a write, else None."""
        if head is None and publication.onto_empty:
            return None
        version = 0 if head is None else head.record.version
        if version != publication.expected_version:
            current = None if head is None else head.record
            if publication.is_retry:
                return self._outcome_by_publish_id(publication, current)
            return self._conflict(publication, current)
        if head is not None and head.record.digest == publication.document.digest:
            return Unchanged(head.record)
        return None

    def _outcome_by_publish_id(
        self, publication: Publication, current: HeadRecord | None
    ) -> PublishResult:
        """Return the outcome; the publish id shows whether our write took effect."""
        next_version = publication.expected_version + 1
        candidate: HeadRecord | LoadFailure | None = current
        if current is not None and current.version > next_version:
            candidate = self._store.read_version(next_version)
            if not isinstance(candidate, HeadRecord):
                detail = "no longer kept" if candidate is None else candidate.detail
                what = f"the record of version {next_version}: {detail}"
                return PublishUnknown(publication.publish_id, what)
        if (
            isinstance(candidate, HeadRecord)
            and candidate.version == next_version
            and candidate.publish_id == publication.publish_id
        ):
            return Published(candidate, newest=candidate == current)
        return self._conflict(publication, current)

    def _conflict(
        self, publication: Publication, current: HeadRecord | None
    ) -> PublishConflict:
        changes = self._changes_since(publication.expected_version, current)
        return PublishConflict(publication.expected_version, current, changes)

    def _changes_since(
        self, version: int, current: HeadRecord | None
    ) -> tuple[ObjectChange, ...] | None:
        before = self._document_of(version)
        after = EMPTY_DOCUMENT if current is None else self._store.load(current)
        if not isinstance(before, Document) or not isinstance(after, Document):
            return None
        return make_delta(before, after).changes

    def _document_of(self, version: int) -> Document | LoadFailure | None:
        if version == 0:
            return EMPTY_DOCUMENT
        record = self._store.read_version(version)
        return self._store.load(record) if isinstance(record, HeadRecord) else record

    def _make_record(self, publication: Publication, head: Head | None) -> HeadRecord:
        """Return the new head record; it includes the delta if that is small."""
        document = publication.document
        before: Document | LoadFailure | None = EMPTY_DOCUMENT
        if head is not None:
            before = self._store.load(head.record, publication.base)
        delta = None
        if isinstance(before, Document):
            new_delta = make_delta(before, document)
            if new_delta.size_bytes <= MAX_INLINE_DELTA_BYTES:
                delta = delta_to_model(new_delta)
        return HeadRecord(
            version=publication.expected_version + 1,
            digest=document.digest,
            publish_id=publication.publish_id,
            author=publication.author,
            published_at=self._wall_clock(),
            size_bytes=document.size_bytes,
            packs=tuple(pack.digest for pack in make_packs(document)),
            delta=delta,
        )

    def _swap(
        self,
        publication: Publication,
        record: HeadRecord,
        revision: int,
        deadline: float,
    ) -> PublishResult:
        """Swap the head; retry after a lost reply until the outcome is known."""
        reply_lost = False
        while True:
            result = self._platform.compare_and_swap(
                HEAD_KEY,
                record.to_bytes(),
                expected_revision=revision,
                timeout_s=self._request_timeout_s(deadline),
            )
            match result:
                case Entry():
                    return Published(record)
                case Conflict():
                    return self._result_of_conflict(publication, result)
                case PlatformFailure(problem=PlatformProblem.VALUE_TOO_LARGE):
                    return PublishFailure(PublishProblem.TOO_LARGE, result.detail)
            reply_lost = reply_lost or result.problem is PlatformProblem.ANSWER_LOST
            if self._pause_before_retry(deadline):
                continue
            if reply_lost:
                return PublishUnknown(publication.publish_id, result.detail)
            return PublishFailure(PublishProblem.UNAVAILABLE, result.detail)

    def _result_of_conflict(
        self, publication: Publication, conflict: Conflict
    ) -> PublishResult:
        if conflict.current is None:
            return self._outcome_by_publish_id(publication, None)
        current = read_record(conflict.current)
        if isinstance(current, LoadFailure):
            return PublishUnknown(publication.publish_id, current.detail)
        return self._outcome_by_publish_id(publication, current)

    def _retry(
        self,
        write: Callable[[float], Entry | Conflict | PlatformFailure],
        deadline: float,
    ) -> Entry | Conflict | PlatformFailure:
        """Send an idempotent write, with retries while the platform does not reply."""
        while True:
            result = write(self._request_timeout_s(deadline))
            self._write_count += 1
            self._progress(self._write_count)
            if not isinstance(result, PlatformFailure):
                return result
            if result.problem is PlatformProblem.VALUE_TOO_LARGE:
                return result
            if not self._pause_before_retry(deadline):
                return result

    def _request_timeout_s(self, deadline: float) -> float:
        return min(CALL_TIMEOUT_S, max(RETRY_PAUSE_S, deadline - self._clock()))

    def _pause_before_retry(self, deadline: float) -> bool:
        """Wait before the next attempt; return False if the deadline is too close."""
        if self._clock() + RETRY_PAUSE_S >= deadline:
            return False
        self._sleep(RETRY_PAUSE_S)
        return True
