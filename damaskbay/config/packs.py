"""Packing of the parts of a set into values of the platform's store."""

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from damaskbay.config.canonical import Part, read_part
from damaskbay.config.check_changed import check_changed
from damaskbay.config.const import MAX_SINGLE_VALUE_BYTES, PART_COUNT
from damaskbay.config.document import EMPTY_DOCUMENT, Change, Document, apply_changes
from damaskbay.config.exceptions import LoadFailure, LoadProblem
from damaskbay.config.objects import Kind
from damaskbay.config.parsing import read_object

_SEPARATOR = b"\n"


@dataclass(frozen=True, slots=True)
class Pack:
    """One stored value: the bodies of one or all parts, with its SHA-256 in hex."""

    digest: str
    body: bytes


def make_packs(document: Document) -> tuple[Pack, ...]:
    """Return the values to store for a document: one, or one for each part."""
    if document.size_bytes > MAX_SINGLE_VALUE_BYTES:
        return tuple(Pack(part.digest, part.body) for part in document.parts)
    body = _SEPARATOR.join(part.body for part in document.parts)
    return (Pack(hashlib.sha256(body).hexdigest(), body),)


def read_packs(bodies: Sequence[bytes]) -> tuple[Part, ...] | LoadFailure:
    """Return the parts in these values, in order."""
    part_bodies = [part_body for body in bodies for part_body in body.split(_SEPARATOR)]
    if len(part_bodies) != PART_COUNT:
        detail = f"{len(part_bodies)} parts, not {PART_COUNT}"
        return LoadFailure(LoadProblem.DAMAGED_PART, detail)
    return tuple(
        Part(hashlib.sha256(part_body).hexdigest(), part_body)
        for part_body in part_bodies
    )


def assemble(
    parts: Sequence[Part], digest: str, held: Document | None
) -> Document | LoadFailure:
    """
    Return the checked document of these parts, or a failure.

    The document must have the given digest. Only parts that differ from those of
    `held` are parsed.
    """
    base = held or EMPTY_DOCUMENT
    changes: list[Change] = []
    try:
        for old, new in zip(base.parts, parts, strict=True):
            if old.digest != new.digest:
                changes.extend(_part_changes(old, new))
    except _InvalidObjectError as error:
        return LoadFailure(LoadProblem.INVALID, str(error))
    except (ValueError, AttributeError, RecursionError) as error:
        detail = f"not a part: {type(error).__name__}"
        return LoadFailure(LoadProblem.DAMAGED_PART, detail)
    document = apply_changes(base, changes)
    if document.digest != digest:
        detail = f"the parts give {document.digest}, not {digest}"
        return LoadFailure(LoadProblem.DAMAGED_PART, detail)
    problems = check_changed(base, document, changes)
    if problems:
        return LoadFailure(LoadProblem.INVALID, str(problems[0]), problems)
    return document


class _InvalidObjectError(Exception):
    """A part contains an invalid object."""


def _part_changes(old: Part, new: Part) -> Iterator[Change]:
    old_kinds, new_kinds = read_part(old), read_part(new)
    for kind_name in old_kinds.keys() | new_kinds.keys():
        kind = Kind(kind_name)
        before, after = old_kinds.get(kind_name, {}), new_kinds.get(kind_name, {})
        for name in before.keys() - after.keys():
            yield Change(kind, name, None)
        for name, plain in after.items():
            if before.get(name) == plain:
                continue
            item = read_object(kind, name, plain)
            if isinstance(item, tuple):
                raise _InvalidObjectError(str(item[0]))
            yield Change(kind, name, item)
