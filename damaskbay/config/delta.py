"""Deltas: the object changes between two configuration sets."""

import json
from collections.abc import Iterator
from dataclasses import dataclass

from damaskbay.config.canonical import to_plain, to_text
from damaskbay.config.check_changed import check_changed
from damaskbay.config.document import Change, Document, apply_changes
from damaskbay.config.exceptions import DeltaFailure, DeltaProblem, Problems
from damaskbay.config.objects import Kind
from damaskbay.config.parsing import read_object


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """One changed object: its canonical JSON, or None if it was removed."""

    kind: str
    name: str
    body: str | None


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes from the set with `base_digest` to that with `digest` (in hex)."""

    base_digest: str
    digest: str
    changes: tuple[ObjectChange, ...]

    @property
    def size_bytes(self) -> int:
        """Return the approximate size of the delta in a message."""
        texts = (
            len(change.kind) + len(change.name) + len(change.body or "")
            for change in self.changes
        )
        return len(self.base_digest) + len(self.digest) + sum(texts)


def make_delta(old: Document, new: Document) -> Delta:
    """Return the delta from one set to another."""
    changes = (_to_wire(change) for change in changes_between(old, new))
    return Delta(old.digest, new.digest, tuple(changes))


def apply_delta(old: Document, delta: Delta) -> Document | DeltaFailure:
    """
    Return the checked document after the delta, or why it was rejected.

    A delta is rejected if it was made for another set, if an object or the
    resulting set is invalid, or if the resulting digest does not match.
    """
    if delta.base_digest != old.digest:
        return DeltaFailure(DeltaProblem.OTHER_BASE, f"local set: {old.digest}")
    changes = _read_changes(delta)
    if isinstance(changes, DeltaFailure):
        return changes
    new = apply_changes(old, changes)
    if new.digest != delta.digest:
        return DeltaFailure(DeltaProblem.DIGEST_MISMATCH, f"got {new.digest}")
    problems = check_changed(old, new, changes)
    if problems:
        return _invalid(problems)
    return new


def changes_between(old: Document, new: Document) -> Iterator[Change]:
    """Yield each added, changed or removed object, ordered by kind and name."""
    for kind in Kind:
        before, after = old.objects(kind), new.objects(kind)
        if before is after:
            continue
        for name in sorted(before.keys() | after.keys()):
            item = after.get(name)
            if before.get(name) != item:
                yield Change(kind, name, item)


def _to_wire(change: Change) -> ObjectChange:
    body = None if change.item is None else to_text(to_plain(change.item))
    return ObjectChange(change.kind.value, change.name, body)


def _read_changes(delta: Delta) -> tuple[Change, ...] | DeltaFailure:
    changes = []
    for wire in delta.changes:
        change = _read_change(wire)
        if isinstance(change, DeltaFailure):
            return change
        changes.append(change)
    return tuple(changes)


def _read_change(wire: ObjectChange) -> Change | DeltaFailure:
    try:
        kind = Kind(wire.kind)
        plain = None if wire.body is None else json.loads(wire.body)
    except (ValueError, RecursionError) as error:
        return DeltaFailure(DeltaProblem.INVALID, str(error))
    if wire.body is None:
        return Change(kind, wire.name, None)
    item = read_object(kind, wire.name, plain)
    if isinstance(item, tuple):
        return _invalid(item)
    return Change(kind, wire.name, item)


def _invalid(problems: Problems) -> DeltaFailure:
    return DeltaFailure(DeltaProblem.INVALID, str(problems[0]), problems)
