"""Tests of config.publishing, config.store and config.housekeeping."""

import random
import threading
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from damaskbay.config.const import HEAD_KEY, HISTORY_VERSIONS, PARTS_PREFIX
from damaskbay.config.document import Document, parse_document
from damaskbay.config.exceptions import (
    LoadFailure,
    LoadProblem,
    PublishFailure,
    PublishProblem,
    PublishUnknown,
)
from damaskbay.config.publishing import (
    Publication,
    PublishConflict,
    Published,
    Publisher,
    PublishResult,
    Unchanged,
    new_publish_id,
)
from damaskbay.config.store import ConfigStore, Head
from damaskbay.daemon.config_source import PlatformSetSource
from damaskbay.ports.platform import Entry
from damaskbay.stand_ins.memory_platform import MemoryPlatform
from tests.common import function_suite
from tests.config.common import digest, document, large_plain, sample

TIMEOUT_S = 2.0


def _publish(
    platform: MemoryPlatform,
    item: Document,
    expected: int,
    publish_id: str = "",
    timeout_s: float = TIMEOUT_S,
) -> PublishResult:
    publisher = Publisher(platform, timeout_s=timeout_s, sleep=lambda _: None)
    is_retry = bool(publish_id)
    name = publish_id or new_publish_id()
    return publisher.publish(Publication(item, "ann", expected, name, is_retry))


def _head(platform: MemoryPlatform) -> Head:
    head = ConfigStore(platform).read_head()
    assert isinstance(head, Head), head
    return head


def _load(platform: MemoryPlatform, held: Document | None = None) -> Document:
    result = ConfigStore(platform).load(_head(platform).record, held)
    assert isinstance(result, Document), result
    return result


def _version(number: int) -> Document:
    return document(routes__file__deadline_s=3 + number)


def _large(**changes: Any) -> Document:
    plain = large_plain(pools=50, routes=400, keys=500)
    plain["keys"].update(changes)
    result = parse_document(plain)
    assert isinstance(result, Document)
    return result


def test_publish_and_read_back() -> None:
    """Small and large sets round-trip; an unchanged set creates no version."""
    for one, two in (
        (_version(0), _version(1)),
        (_large(), _large(extra={"digest": digest("x"), "workspace": "w1"})),
    ):
        platform = MemoryPlatform()
        assert isinstance(_publish(platform, one, 0), Published)
        assert _load(platform) == one
        assert isinstance(_publish(platform, one, 1), Unchanged)
        assert isinstance(_publish(platform, two, 1), Published)
        assert _load(platform) == two == _load(platform, one)
        assert _head(platform).record.version == 2


def test_a_small_change_of_a_large_set_is_read_from_the_head_alone() -> None:
    """A relay with the previous version applies the head's delta, no other read."""
    platform = MemoryPlatform()
    one = _large()
    _publish(platform, one, 0)
    held = _load(platform)
    two = _large(extra={"digest": digest("x"), "workspace": "w1"})
    writes_before = platform.counters.writes
    _publish(platform, two, 1)
    assert platform.counters.writes - writes_before < 10
    record = _head(platform).record
    with platform.fault(outage=True):
        assert ConfigStore(platform).load(record, held) == two


def test_two_publishers_race_200_times() -> None:
    """One publisher wins each version; the other gets a conflict with the changes."""
    platform = MemoryPlatform()
    _publish(platform, _version(0), 0)
    start = threading.Barrier(2)

    def race(publisher_index: int, number: int) -> PublishResult:
        item = document(workspaces__north__burst=100 + 2 * number + publisher_index)
        start.wait(TIMEOUT_S)
        return _publish(platform, item, number)

    with ThreadPoolExecutor(2) as pool:
        for number in range(1, 201):
            results = list(pool.map(race, (0, 1), (number, number)))
            kinds = Counter(type(result) for result in results)
            assert kinds == {Published: 1, PublishConflict: 1}, results
            conflict = next(
                item for item in results if isinstance(item, PublishConflict)
            )
            assert conflict.changes is not None
            assert [change.name for change in conflict.changes] == ["north"]
            assert _load(platform).digest == _head(platform).record.digest
    assert _head(platform).record.version == 201


def test_a_lost_answer_is_settled() -> None:
    """After lost replies or lost writes the set is published exactly once."""
    for fault in ("lose_answers", "drop_writes"):
        for count in range(1, 8):
            platform = MemoryPlatform()
            _publish(platform, _version(0), 0)
            platform.inject(**{fault: count})
            result = _publish(platform, _version(1), 1)
            assert isinstance(result, Published), (fault, count, result)
            assert _head(platform).record == result.record
            assert result.record.version == 2


class _HeadFaults(MemoryPlatform):
    """Runs a step after one swap of the head; optionally loses the reply."""

    after_swap: Any = None
    lose_answer = True

    def compare_and_swap(self, key: str, value: bytes, **options: Any) -> Any:
        if key != HEAD_KEY or self.after_swap is None:
            return super().compare_and_swap(key, value, **options)
        step, self.after_swap = self.after_swap, None
        self.inject(lose_answers=int(self.lose_answer))
        result = super().compare_and_swap(key, value, **options)
        step()
        return result


def test_a_lost_answer_under_a_newer_version() -> None:
    """A publication with a lost reply is reported even if a newer one followed."""
    platform = _HeadFaults()
    _publish(platform, _version(0), 0)
    platform.after_swap = lambda: _publish(platform, _version(2), 2)
    result = _publish(platform, _version(1), 1)
    assert isinstance(result, Published) and not result.newest
    assert result.record.version == 2 and _head(platform).record.version == 3


def test_an_answer_that_stays_lost_is_unknown_and_settled_later() -> None:
    """An outage right after the swap gives PublishUnknown, resolved by a retry."""
    platform = _HeadFaults()
    _publish(platform, _version(0), 0)
    platform.after_swap = lambda: platform.inject(outage=True)
    result = _publish(platform, _version(1), 1, "p1", timeout_s=0.3)
    assert isinstance(result, PublishUnknown)
    platform.inject(outage=False)
    retried = _publish(platform, _version(1), 1, result.publish_id)
    assert isinstance(retried, Published) and retried.record.version == 2
    assert _head(platform).record.version == 2


def test_an_outage_publishes_nothing() -> None:
    """A publication during an outage fails without effect; the next succeeds."""
    platform = MemoryPlatform()
    _publish(platform, _version(0), 0)
    with platform.fault(outage=True):
        result = _publish(platform, _version(1), 1, timeout_s=0.2)
        assert isinstance(result, PublishFailure)
        assert result.problem is PublishProblem.UNAVAILABLE
    assert _load(platform) == _version(0)
    assert isinstance(_publish(platform, _version(1), 1), Published)


def test_an_old_base_is_a_conflict() -> None:
    """An old base gives a conflict; without changes if the base is not kept."""
    platform = MemoryPlatform()
    for number in range(HISTORY_VERSIONS + 5):
        assert isinstance(_publish(platform, _version(number), number), Published)
    recent = _publish(platform, _version(99), HISTORY_VERSIONS)
    assert isinstance(recent, PublishConflict) and recent.changes
    expired = _publish(platform, _version(99), 1)
    assert isinstance(expired, PublishConflict) and expired.changes is None
    assert isinstance(_publish(platform, _version(99), 1, "p"), PublishUnknown)


def test_what_no_kept_version_needs_is_removed() -> None:
    """Values and history stay bounded; leftovers of lost races are removed."""
    platform = MemoryPlatform()
    for number in range(HISTORY_VERSIONS + 20):
        assert isinstance(_publish(platform, _version(number), number), Published)
        assert isinstance(_publish(platform, _version(400), number), PublishConflict)
    records = ConfigStore(platform).read_history()
    assert isinstance(records, tuple)
    versions = [record.version for record in records]
    newest = HISTORY_VERSIONS + 20
    assert versions == list(range(newest - HISTORY_VERSIONS, newest + 1))
    entries = platform.list("damaskbay/config/", timeout_s=TIMEOUT_S)
    assert isinstance(entries, tuple) and len(entries) <= 2 * HISTORY_VERSIONS + 6
    for record in records:
        assert isinstance(ConfigStore(platform).load(record), Document)


def test_removal_among_racing_publishers_never_takes_a_needed_value() -> None:
    """Three publishers race with few contents, so old values are reused often."""
    platform = MemoryPlatform()
    contents = [_version(number) for number in range(4)]

    def work(seed: int) -> None:
        rng = random.Random(seed)
        for _ in range(60):
            head = ConfigStore(platform).read_head()
            version = head.record.version if isinstance(head, Head) else 0
            _publish(platform, rng.choice(contents), version)
            _load(platform)

    _publish(platform, contents[0], 0)
    with ThreadPoolExecutor(3) as pool:
        for running in [pool.submit(work, seed) for seed in range(3)]:
            running.result()
    assert _load(platform) in contents


def test_an_old_value_is_not_removed_once_it_is_needed_again() -> None:
    """Another publisher reuses an old set between the swap and the removal."""
    platform = _HeadFaults()
    for number in range(HISTORY_VERSIONS + 2):
        _publish(platform, _version(number), number)
    newest = HISTORY_VERSIONS + 2
    platform.lose_answer = False
    platform.after_swap = lambda: _publish(platform, _version(1), newest + 1)
    assert isinstance(_publish(platform, _version(400), newest), Published)
    assert _head(platform).record.version == newest + 2
    assert _load(platform) == _version(1)


def test_a_head_whose_values_are_another_set_gives_none() -> None:
    """A record whose set digest does not match its values is rejected."""
    platform = MemoryPlatform()
    _publish(platform, _version(0), 0)
    record = _head(platform).record
    other = record.model_copy(update={"digest": digest("other")})
    result = ConfigStore(platform).load(other)
    assert isinstance(result, LoadFailure)
    assert result.problem is LoadProblem.DAMAGED_PART


def _damage(platform: MemoryPlatform, key: str, value: bytes | None) -> None:
    entry = platform.get(key, timeout_s=TIMEOUT_S)
    assert isinstance(entry, Entry)
    revision = entry.revision
    if value is None:
        platform.delete(key, expected_revision=revision, timeout_s=TIMEOUT_S)
    else:
        platform.compare_and_swap(
            key, value, expected_revision=revision, timeout_s=TIMEOUT_S
        )


def test_a_missing_or_changed_value_gives_no_set() -> None:
    """A missing or changed value gives a failure, also in the relay's source."""
    for item in (_version(0), _large()):
        for value, problem in (
            (None, LoadProblem.MISSING_PART),
            (b"{}", LoadProblem.DAMAGED_PART),
        ):
            platform = MemoryPlatform()
            _publish(platform, item, 0)
            source = PlatformSetSource(platform)
            seen = source.watch(after_revision=0, timeout_s=TIMEOUT_S)
            record = _head(platform).record
            _damage(platform, f"{PARTS_PREFIX}{record.packs[-1]}", value)
            result = ConfigStore(platform).load(record)
            assert isinstance(result, LoadFailure) and result.problem is problem
            failure = source.load(seen, None, timeout_s=TIMEOUT_S)  # type: ignore[arg-type]
            assert problem.value in failure.detail  # type: ignore[union-attr]


def test_a_half_written_head_is_told_with_its_revision() -> None:
    """The failure holds the revision, so a relay does not read the head again."""
    platform = MemoryPlatform()
    _publish(platform, _version(0), 0)
    whole = _head(platform).record.to_bytes()
    for value in (whole[: len(whole) // 2], b"", b"[]", b"\xff"):
        _damage(platform, HEAD_KEY, value)
        entry = platform.get(HEAD_KEY, timeout_s=TIMEOUT_S)
        assert isinstance(entry, Entry)
        seen = PlatformSetSource(platform).watch(after_revision=0, timeout_s=TIMEOUT_S)
        assert seen is not None and seen.problem  # type: ignore[union-attr]
        assert seen.revision == entry.revision  # type: ignore[union-attr]
        result = _publish(platform, _version(1), 1)
        assert isinstance(result, PublishFailure)
        assert result.problem is PublishProblem.UNREADABLE_HEAD


def test_a_damaged_head_is_replaced_by_a_higher_version() -> None:
    """Only a damaged head is replaced, by a version above the lost one."""
    platform = MemoryPlatform()
    for number in range(3):
        _publish(platform, _version(number), number)
    publisher = Publisher(platform, sleep=lambda _: None)
    publication = Publication(_version(5), "ann", 0, new_publish_id())
    assert isinstance(publisher.replace_damaged_head(publication), PublishConflict)
    _damage(platform, HEAD_KEY, b"{")
    platform.inject(lose_answers=5)
    result = publisher.replace_damaged_head(publication)
    assert isinstance(result, Published) and result.record.version == 4
    assert _load(platform) == _version(5)
    assert isinstance(_publish(platform, _version(6), 4), Published)


def test_a_platform_that_lost_its_data_gets_a_version_beyond_the_fleets() -> None:
    """Daemons accept only higher versions; an existing head is never skipped."""
    platform = MemoryPlatform()
    publisher = Publisher(platform, sleep=lambda _: None)
    publication = Publication(_version(1), "ann", 41, new_publish_id(), onto_empty=True)
    platform.inject(lose_answers=4)
    result = publisher.publish(publication)
    assert isinstance(result, Published) and result.record.version == 42
    assert _load(platform) == _version(1)
    second = Publication(_version(2), "ben", 50, new_publish_id(), onto_empty=True)
    assert isinstance(publisher.publish(second), PublishConflict)
    assert isinstance(_publish(platform, _version(2), 42), Published)


def test_a_set_with_a_fault_is_not_published() -> None:
    """The publisher checks sets again and writes nothing for an invalid one."""
    platform = MemoryPlatform()
    inconsistent = parse_document(sample(routes__file__pool="gone"))
    assert isinstance(inconsistent, Document)
    result = _publish(platform, inconsistent, 0)
    assert isinstance(result, PublishFailure) and len(result.problems) == 1
    assert platform.counters.writes == 0


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
