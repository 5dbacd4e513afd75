"""A whole set as parts, of which only those that differ are sent."""

import json
import zlib
from collections.abc import Sequence
from typing import Any

from damaskbay.config.check import read_checked
from damaskbay.config.const import DOCUMENT_FORMAT, MAX_DOCUMENT_BYTES, PART_COUNT
from damaskbay.config.document import Document
from damaskbay.config.objects import Kind
from damaskbay.core.dissemination.messages import Parts

_COMPRESSION_LEVEL = 1


def digests_of(document: Document | None) -> tuple[str, ...]:
    """Return the digests of a set's parts; none without a set."""
    return () if document is None else tuple(part.digest for part in document.parts)


def missing_parts(document: Document, version: int, known: Sequence[str]) -> Parts:
    """Return the parts of a set that are not among the known digests."""
    pairs = enumerate(document.parts)
    numbers = tuple(
        number
        for number, part in pairs
        if number >= len(known) or known[number] != part.digest
    )
    bodies = tuple(
        zlib.compress(document.parts[number].body, _COMPRESSION_LEVEL)
        for number in numbers
    )
    return Parts(version, document.digest, numbers, bodies)


def join_parts(held: Document | None, parts: Parts) -> Document | str:
    """
    Return the checked set that the parts complete, or what is wrong.

    The digest of the result is compared with the promised one.
    """
    bodies: list[bytes | None] = [None] * PART_COUNT
    if held is not None:
        bodies = [part.body for part in held.parts]
    wrong = _fill(bodies, parts)
    if wrong is not None:
        return wrong
    document = _document_of(bodies)
    if isinstance(document, str):
        return document
    if document.digest != parts.digest:
        return f"the digest is {document.digest} instead of {parts.digest}"
    return document


def _fill(bodies: list[bytes | None], parts: Parts) -> str | None:
    """Put received parts in place; return what is wrong, None where nothing."""
    if len(parts.numbers) != len(parts.bodies):
        return "numbers and bodies differ in count"
    left_bytes = MAX_DOCUMENT_BYTES
    for number, packed in zip(parts.numbers, parts.bodies, strict=True):
        body = _unpack(packed, left_bytes)
        if body is None or not 0 <= number < PART_COUNT:
            return f"part {number} is malformed"
        left_bytes -= len(body)
        bodies[number] = body
    return None


def _unpack(packed: bytes, max_bytes: int) -> bytes | None:
    stream = zlib.decompressobj()
    try:
        body = stream.decompress(packed, max(1, max_bytes))
    except zlib.error:
        return None
    return body if stream.eof else None


def _document_of(bodies: Sequence[bytes | None]) -> Document | str:
    plain: dict[str, Any] = {"format": DOCUMENT_FORMAT}
    by_kind: dict[str, dict[str, Any]] = {kind.value: {} for kind in Kind}
    for number, body in enumerate(bodies):
        if body is None:
            return f"part {number} is missing"
        try:
            for kind, objects in json.loads(body).items():
                by_kind[kind].update(objects)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            return f"part {number} is malformed"
    document = read_checked({**plain, **by_kind})
    return document if isinstance(document, Document) else str(document[0])
