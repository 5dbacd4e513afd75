"""How the parts of a set lie in the platform's values."""

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from damaskbay.config.canonical import Part, read_part
from damaskbay.config.check_changed import check_changed
from damaskbay.config.const import MAX_WHOLE_BYTES, PART_COUNT
from damaskbay.config.document import EMPTY, Change, Document, change_document
from damaskbay.config.exceptions import LoadFailure, LoadProblem
from damaskbay.config.objects import Kind
from damaskbay.config.parsing import read_object

_SEPARATOR = b"\n"


@dataclass(frozen=True, slots=True)
class Pack:
    """One value: the bodies of some parts, with the SHA-256 of it all in hex."""

    digest: str
    body: bytes


def make_packs(document: Document) -> tuple[Pack, ...]:
    """Return the values that hold a document: one, or one for each part."""
    if document.size_bytes > MAX_WHOLE_BYTES:
        return tuple(Pack(part.digest, part.body) for part in document.parts)
    body = _SEPARATOR.join(part.body for part in document.parts)
    return (Pack(hashlib.sha256(body).hexdigest(), body),)


def read_packs(bodies: Sequence[bytes]) -> tuple[Part, ...] | LoadFailure:
    """Return the parts that lie in these values, in order."""
    pieces = [piece for body in bodies for piece in body.split(_SEPARATOR)]
    if len(pieces) != PART_COUNT:
        detail = f"{len(pieces)} parts, not {PART_COUNT}"
        return LoadFailure(LoadProblem.DAMAGED_PART, detail)
    return tuple(Part(hashlib.sha256(piece).hexdigest(), piece) for piece in pieces)


def assemble(
    parts: Sequence[Part], digest: str, held: Document | None
) -> Document | LoadFailure:
    """
    Return the checked document of these parts, if it has the promised digest.

    Only parts that differ from those of `held` are read.
    """
    base = held or EMPTY
    changes: list[Change] = []
    try:
        for old, new in zip(base.parts, parts, strict=True):
            if old.digest != new.digest:
                changes.extend(_changes(old, new))
    except _InvalidObjectError as error:
        return LoadFailure(LoadProblem.INVALID, str(error))
    except (ValueError, AttributeError, RecursionError) as error:
        detail = f"not a part: {type(error).__name__}"
        return LoadFailure(LoadProblem.DAMAGED_PART, detail)
    document = change_document(base, changes)
    if document.digest != digest:
        detail = f"the parts give {document.digest}, not {digest}"
        return LoadFailure(LoadProblem.DAMAGED_PART, detail)
    problems = check_changed(base, document, changes)
    if problems:
        return LoadFailure(LoadProblem.INVALID, str(problems[0]), problems)
    return document


class _InvalidObjectError(Exception):
    """An object in a part is not valid."""


def _changes(old: Part, new: Part) -> Iterator[Change]:
    before, after = read_part(old), read_part(new)
    for kind_name in before.keys() | after.keys():
        kind = Kind(kind_name)
        was, now = before.get(kind_name, {}), after.get(kind_name, {})
        for name in was.keys() - now.keys():
            yield Change(kind, name, None)
        for name, plain in now.items():
            if was.get(name) == plain:
                continue
            item = read_object(kind, name, plain)
            if isinstance(item, tuple):
                raise _InvalidObjectError(str(item[0]))
            yield Change(kind, name, item)
