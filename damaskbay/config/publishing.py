"""Publishing: values first, then one compare-and-swap of the head."""

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
from damaskbay.config.document import EMPTY, Document
from damaskbay.config.exceptions import (
    LoadFailure,
    LoadProblem,
    PublishFailure,
    PublishProblem,
    PublishUnknown,
)
from damaskbay.config.head import HeadRecord, read_record, to_model
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
    """The set is the accepted version; `newest` is False where a newer one is."""

    record: HeadRecord
    newest: bool = True


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The set at hand is the one in force; no version was made."""

    record: HeadRecord


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """
    Another version stands where the expected one was; nothing was published.

    `changes` tells, object by object, what leads from the expected version to
    the current one; None where the expected version is no longer kept.
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
    What one operator publishes, on top of which version (0: on nothing).

    `again` tells that this publish id may have been sent before. `base` is the
    set of the expected version where it is at hand, which spares reading it.
    `onto_empty` tells that the platform has lost its data: where no head stands,
    the expected version is that which the daemons still hold.
    """

    document: Document
    author: str
    expected_version: int
    publish_id: str
    again: bool = False
    base: Document | None = None
    onto_empty: bool = False


def new_publish_id() -> str:
    """Return an id that no other publication has."""
    return uuid.uuid4().hex


class Publisher:
    """
    Publishes sets. Blocks up to `timeout_s` for each publication.

    One of several racing publishers wins each version; the others get a
    PublishConflict. A lost answer is settled by the publish id: the same
    compare-and-swap is sent again, so that a late first copy cannot win as well.

    `progress` is told after each storing call how many there were so far.
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
        self._calls = 0

    def publish(self, publication: Publication) -> PublishResult:
        """Check, store and put in force; see the result's types."""
        problems = check(publication.document)
        if problems:
            return PublishFailure(PublishProblem.INVALID, str(problems[0]), problems)
        deadline = self._clock() + self._timeout_s
        head = self._read_head(deadline)
        if isinstance(head, PublishFailure):
            return head
        settled = self._settled(publication, head)
        if settled is not None:
            return settled
        record = self._make_record(publication, head)
        housekeeping = Housekeeping(self._platform, self._retry, deadline)
        failure = housekeeping.prepare(publication.document, record, head)
        if failure is not None:
            return failure
        revision = 0 if head is None else head.revision
        result = self._swap(publication, record, revision, deadline)
        if isinstance(result, Published):
            housekeeping.clean_up()
        return result

    def replace_damaged_head(self, publication: Publication) -> PublishResult:
        """
        Publish in place of a head record that can't be read.

        The version follows the one that the damaged record must have had, so that
        every daemon takes it. A head that can be read is left alone.
        """
        problems = check(publication.document)
        if problems:
            return PublishFailure(PublishProblem.INVALID, str(problems[0]), problems)
        deadline = self._clock() + self._timeout_s
        damaged = self._store.read_head()
        history = self._store.read_history()
        if not isinstance(damaged, LoadFailure):
            current = None if damaged is None else damaged.record
            return self._conflict(publication, current)
        if isinstance(history, LoadFailure) or not damaged.revision:
            return PublishFailure(PublishProblem.UNAVAILABLE, damaged.detail)
        lost_version = max((item.version for item in history), default=0) + 1
        following = replace(publication, expected_version=lost_version)
        record = self._make_record(following, None)
        housekeeping = Housekeeping(self._platform, self._retry, deadline)
        failure = housekeeping.prepare(publication.document, record, None)
        if failure is not None:
            return failure
        return self._swap(following, record, damaged.revision, deadline)

    def _read_head(self, deadline: float) -> Head | PublishFailure | None:
        while True:
            head = self._store.read_head(timeout_s=self._call_timeout_s(deadline))
            if not isinstance(head, LoadFailure):
                return head
            if head.problem is not LoadProblem.UNAVAILABLE:
                return PublishFailure(PublishProblem.UNREADABLE_HEAD, head.detail)
            if not self._pause(deadline):
                return PublishFailure(PublishProblem.UNAVAILABLE, head.detail)

    def _settled(
        self, publication: Publication, head: Head | None
    ) -> PublishResult | None:
        """Return the result where no write is needed to know it."""
        if head is None and publication.onto_empty:
            return None
        version = 0 if head is None else head.record.version
        if version != publication.expected_version:
            current = None if head is None else head.record
            if publication.again:
                return self._outcome(publication, current)
            return self._conflict(publication, current)
        if head is not None and head.record.digest == publication.document.digest:
            return Unchanged(head.record)
        return None

    def _outcome(
        self, publication: Publication, current: HeadRecord | None
    ) -> PublishResult:
        """Tell by the publish id whether the version after the expected one is ours."""
        following = publication.expected_version + 1
        ours: HeadRecord | LoadFailure | None = current
        if current is not None and current.version > following:
            ours = self._store.read_version(following)
            if not isinstance(ours, HeadRecord):
                detail = "no longer kept" if ours is None else ours.detail
                what = f"the record of version {following}: {detail}"
                return PublishUnknown(publication.publish_id, what)
        if (
            isinstance(ours, HeadRecord)
            and ours.version == following
            and ours.publish_id == publication.publish_id
        ):
            return Published(ours, newest=ours == current)
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
        after = EMPTY if current is None else self._store.load(current)
        if not isinstance(before, Document) or not isinstance(after, Document):
            return None
        return make_delta(before, after).changes

    def _document_of(self, version: int) -> Document | LoadFailure | None:
        if version == 0:
            return EMPTY
        record = self._store.read_version(version)
        return self._store.load(record) if isinstance(record, HeadRecord) else record

    def _make_record(self, publication: Publication, head: Head | None) -> HeadRecord:
        document = publication.document
        before: Document | LoadFailure | None = EMPTY
        if head is not None:
            before = self._store.load(head.record, publication.base)
        delta = None
        if isinstance(before, Document):
            made = make_delta(before, document)
            if made.size_bytes <= MAX_INLINE_DELTA_BYTES:
                delta = to_model(made)
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
        """Swap the head, again after a lost answer, until the outcome is known."""
        lost = False
        while True:
            result = self._platform.compare_and_swap(
                HEAD_KEY,
                record.to_bytes(),
                expected_revision=revision,
                timeout_s=self._call_timeout_s(deadline),
            )
            match result:
                case Entry():
                    return Published(record)
                case Conflict():
                    return self._lost_swap(publication, result)
                case PlatformFailure(problem=PlatformProblem.VALUE_TOO_LARGE):
                    return PublishFailure(PublishProblem.TOO_LARGE, result.detail)
            lost = lost or result.problem is PlatformProblem.ANSWER_LOST
            if self._pause(deadline):
                continue
            if lost:
                return PublishUnknown(publication.publish_id, result.detail)
            return PublishFailure(PublishProblem.UNAVAILABLE, result.detail)

    def _lost_swap(self, publication: Publication, conflict: Conflict) -> PublishResult:
        if conflict.current is None:
            return self._outcome(publication, None)
        current = read_record(conflict.current)
        if isinstance(current, LoadFailure):
            return PublishUnknown(publication.publish_id, current.detail)
        return self._outcome(publication, current)

    def _retry(
        self,
        call: Callable[[float], Entry | Conflict | PlatformFailure],
        deadline: float,
    ) -> Entry | Conflict | PlatformFailure:
        """Repeat an idempotent call while the platform gives no answer."""
        while True:
            result = call(self._call_timeout_s(deadline))
            self._calls += 1
            self._progress(self._calls)
            if not isinstance(result, PlatformFailure):
                return result
            if result.problem is PlatformProblem.VALUE_TOO_LARGE:
                return result
            if not self._pause(deadline):
                return result

    def _call_timeout_s(self, deadline: float) -> float:
        return min(CALL_TIMEOUT_S, max(RETRY_PAUSE_S, deadline - self._clock()))

    def _pause(self, deadline: float) -> bool:
        """Wait before another try; False: the time is up."""
        if self._clock() + RETRY_PAUSE_S >= deadline:
            return False
        self._sleep(RETRY_PAUSE_S)
        return True
