"""Split of a configuration set into parts; only parts that differ are sent."""

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


def part_digests_of(document: Document | None) -> tuple[str, ...]:
    """Return the digests of a set's parts, empty without a set."""
    return () if document is None else tuple(part.digest for part in document.parts)


def missing_parts(document: Document, version: int, known: Sequence[str]) -> Parts:
    """Return the parts of a set whose digest differs from the known one."""
    numbered_parts = enumerate(document.parts)
    numbers = tuple(
        number
        for number, part in numbered_parts
        if number >= len(known) or known[number] != part.digest
    )
    bodies = tuple(
        zlib.compress(document.parts[number].body, _COMPRESSION_LEVEL)
        for number in numbers
    )
    return Parts(version, document.digest, numbers, bodies)


def join_parts(current: Document | None, parts: Parts) -> Document | str:
    """
    Return the checked set that results from the parts, or an error text.

    The digest of the result must equal the announced one.
    """
    bodies: list[bytes | None] = [None] * PART_COUNT
    if current is not None:
        bodies = [part.body for part in current.parts]
    error = _insert_parts(bodies, parts)
    if error is not None:
        return error
    document = _parse_document(bodies)
    if isinstance(document, str):
        return document
    if document.digest != parts.digest:
        return f"the digest is {document.digest} instead of {parts.digest}"
    return document


def _insert_parts(bodies: list[bytes | None], parts: Parts) -> str | None:
    """Insert received parts into `bodies`; return an error text, None on success."""
    if len(parts.numbers) != len(parts.bodies):
        return "part numbers and part bodies differ in count"
    remaining_bytes = MAX_DOCUMENT_BYTES
    for number, compressed in zip(parts.numbers, parts.bodies, strict=True):
        body = _decompress(compressed, remaining_bytes)
        if body is None or not 0 <= number < PART_COUNT:
            return f"part {number} is malformed"
        remaining_bytes -= len(body)
        bodies[number] = body
    return None


def _decompress(compressed: bytes, max_bytes: int) -> bytes | None:
    stream = zlib.decompressobj()
    try:
        body = stream.decompress(compressed, max(1, max_bytes))
    except zlib.error:
        return None
    return body if stream.eof else None


def _parse_document(bodies: Sequence[bytes | None]) -> Document | str:
    fields: dict[str, Any] = {"format": DOCUMENT_FORMAT}
    by_kind: dict[str, dict[str, Any]] = {kind.value: {} for kind in Kind}
    for number, body in enumerate(bodies):
        if body is None:
            return f"part {number} is missing"
        try:
            for kind, objects in json.loads(body).items():
                by_kind[kind].update(objects)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            return f"part {number} is malformed"
    document = read_checked({**fields, **by_kind})
    return document if isinstance(document, Document) else str(document[0])
