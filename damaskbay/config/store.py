"""Reads published sets from the platform's key-value store."""

import hashlib
from dataclasses import dataclass

from damaskbay.config.const import (
    CALL_TIMEOUT_S,
    HEAD_KEY,
    HISTORY_PREFIX,
    PARTS_PREFIX,
)
from damaskbay.config.delta import apply_delta
from damaskbay.config.document import Document
from damaskbay.config.exceptions import LoadFailure, LoadProblem
from damaskbay.config.head import HeadRecord, history_key, read_record
from damaskbay.config.packs import assemble, read_packs
from damaskbay.ports.platform import Entry, Platform, PlatformFailure


@dataclass(frozen=True, slots=True)
class Head:
    """The record of the active version, with its revision in the store."""

    revision: int
    record: HeadRecord


class ConfigStore:
    """Reads heads and complete sets. Methods block and are thread-safe."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def read_head(
        self, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> Head | LoadFailure | None:
        """Return the head, or None if nothing was ever published."""
        return _head_of(self._platform.get(HEAD_KEY, timeout_s=timeout_s))

    def watch_head(
        self, *, after_revision: int, timeout_s: float
    ) -> Head | LoadFailure | None:
        """Wait for a head with a newer revision; return None after the timeout."""
        return _head_of(
            self._platform.watch(
                HEAD_KEY, after_revision=after_revision, timeout_s=timeout_s
            )
        )

    def read_version(
        self, version: int, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> HeadRecord | LoadFailure | None:
        """Return the record of a version, or None if it is not kept."""
        head = self.read_head(timeout_s=timeout_s)
        if isinstance(head, Head) and head.record.version == version:
            return head.record
        if isinstance(head, LoadFailure) and head.problem is LoadProblem.UNAVAILABLE:
            return head
        entry = self._platform.get(history_key(version), timeout_s=timeout_s)
        if entry is None:
            return None
        return (
            _unavailable(entry)
            if isinstance(entry, PlatformFailure)
            else read_record(entry)
        )

    def read_history(
        self, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[HeadRecord, ...] | LoadFailure:
        """
        Return the records of the kept versions, oldest first, the head last.

        A damaged head is omitted.
        """
        entries = self._platform.list(HISTORY_PREFIX, timeout_s=timeout_s)
        if isinstance(entries, PlatformFailure):
            return _unavailable(entries)
        head = self.read_head(timeout_s=timeout_s)
        if isinstance(head, LoadFailure) and head.problem is LoadProblem.UNAVAILABLE:
            return head
        records = [read_record(entry) for entry in entries]
        kept = [item for item in records if isinstance(item, HeadRecord)]
        if isinstance(head, Head):
            kept = [item for item in kept if item.version < head.record.version]
            kept.append(head.record)
        return tuple(kept)

    def load(
        self,
        record: HeadRecord,
        held: Document | None = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Document | LoadFailure:
        """
        Return the complete, checked set of a record, or a failure.

        Nothing is read if the record's delta applies to the `held` set; otherwise
        only the values that differ from it. `timeout_s` applies to each request.
        """
        if held is not None and held.digest == record.digest:
            return held
        if held is not None and record.delta is not None:
            result = apply_delta(held, record.delta.to_delta())
            if isinstance(result, Document) and result.digest == record.digest:
                return result
        return self._load_packs(record, held, timeout_s)

    def _load_packs(
        self, record: HeadRecord, held: Document | None, timeout_s: float
    ) -> Document | LoadFailure:
        known = {} if held is None else {part.digest: part.body for part in held.parts}
        for digest in record.packs:
            if digest in known:
                continue
            body = self._read_pack(digest, timeout_s)
            if isinstance(body, LoadFailure):
                return body
            known[digest] = body
        parts = read_packs([known[digest] for digest in record.packs])
        if isinstance(parts, LoadFailure):
            return parts
        return assemble(parts, record.digest, held)

    def _read_pack(self, digest: str, timeout_s: float) -> bytes | LoadFailure:
        entry = self._platform.get(f"{PARTS_PREFIX}{digest}", timeout_s=timeout_s)
        if isinstance(entry, PlatformFailure):
            return _unavailable(entry)
        if entry is None:
            return LoadFailure(LoadProblem.MISSING_PART, f"no value {digest}")
        if hashlib.sha256(entry.value).hexdigest() != digest:
            return LoadFailure(
                LoadProblem.DAMAGED_PART, f"the value {digest} has another digest"
            )
        return entry.value


def _head_of(entry: Entry | PlatformFailure | None) -> Head | LoadFailure | None:
    if entry is None:
        return None
    if isinstance(entry, PlatformFailure):
        return _unavailable(entry)
    record = read_record(entry)
    return record if isinstance(record, LoadFailure) else Head(entry.revision, record)


def _unavailable(failure: PlatformFailure) -> LoadFailure:
    detail = f"{failure.problem.value}: {failure.detail}"
    return LoadFailure(LoadProblem.UNAVAILABLE, detail)
