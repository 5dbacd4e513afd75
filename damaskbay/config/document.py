"""A complete set of valid objects with its digest."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from damaskbay.config.canonical import (
    Part,
    Plain,
    digest_of,
    make_part,
    part_index,
    read_part,
    to_plain,
    to_text,
)
from damaskbay.config.const import DOCUMENT_FORMAT, PART_COUNT
from damaskbay.config.exceptions import Problems
from damaskbay.config.objects import (
    ConfigObject,
    ConfigSet,
    Key,
    Kind,
    Limit,
    Pool,
    Priority,
    Route,
    Workspace,
)
from damaskbay.config.parsing import ObjectsByKind, parse_objects


@dataclass(frozen=True, slots=True)
class Document:
    """
    A complete set in which each object is valid by itself.

    config.check reports inconsistencies between objects. Collections are never
    modified. `parts` holds the canonical bytes of all objects in
    PART_COUNT parts; `digest` is in hex.
    """

    workspaces_by_name: Mapping[str, Workspace]
    keys_by_name: Mapping[str, Key]
    priorities_by_name: Mapping[str, Priority]
    limits_by_name: Mapping[str, Limit]
    pools_by_name: Mapping[str, Pool]
    routes_by_name: Mapping[str, Route]
    parts: tuple[Part, ...]
    digest: str

    def objects(self, kind: Kind) -> Mapping[str, ConfigObject]:
        """Return the objects of one kind by name."""
        result: Mapping[str, ConfigObject] = getattr(self, f"{kind.value}_by_name")
        return result

    @property
    def size_bytes(self) -> int:
        """Return the size of all parts in bytes."""
        return sum(len(part.body) for part in self.parts)


@dataclass(frozen=True, slots=True)
class Change:
    """A new or replaced object; None removes it."""

    kind: Kind
    name: str
    item: ConfigObject | None


def parse_document(data: bytes | dict[str, Any]) -> Document | Problems:
    """
    Parse a document from JSON bytes or from decoded JSON.

    Returns all problems of single objects at once. References between objects
    are not checked: see `config.check.read_checked`.
    """
    parsed = parse_objects(data)
    return tuple(parsed.problems) if parsed.problems else make_document(parsed.objects)


def make_document(objects: ObjectsByKind) -> Document:
    """Return the document of valid objects, given by kind and name."""
    buckets: list[dict[str, dict[str, Plain]]] = [
        defaultdict(dict) for _ in range(PART_COUNT)
    ]
    for kind, by_name in objects.items():
        for name, item in by_name.items():
            buckets[part_index(kind, name)][kind.value][name] = to_plain(item)
    return _document_of(objects, tuple(make_part(bucket) for bucket in buckets))


def apply_changes(document: Document, changes: Iterable[Change]) -> Document:
    """
    Return a copy of the document with the changes applied.

    Only parts with changed objects are rebuilt; the collections of kinds without
    a change are shared with the old document.
    """
    objects: ObjectsByKind = {kind: objects_dict(document, kind) for kind in Kind}
    copied: set[Kind] = set()
    buckets: dict[int, dict[str, dict[str, Plain]]] = {}
    for change in changes:
        if change.kind not in copied:
            copied.add(change.kind)
            objects[change.kind] = dict(objects[change.kind])
        index = part_index(change.kind, change.name)
        if index not in buckets:
            buckets[index] = read_part(document.parts[index])
        _change_bucket(buckets[index], change)
        _change_objects(objects[change.kind], change)
    parts = list(document.parts)
    for index, bucket in buckets.items():
        parts[index] = make_part(bucket)
    return _document_of(objects, tuple(parts))


def build(document: Document, version: int) -> ConfigSet:
    """Return the set that daemons apply; the document must have been checked."""
    keys = document.keys_by_name.values()
    return ConfigSet(
        version=version,
        digest=document.digest,
        workspaces_by_name=document.workspaces_by_name,
        keys_by_digest={key.digest: key for key in keys},
        routes_by_name=document.routes_by_name,
        priorities_by_name=document.priorities_by_name,
        limits_by_name=document.limits_by_name,
        pools_by_name=document.pools_by_name,
    )


def to_json(document: Document) -> dict[str, Any]:
    """Return the JSON form of the document: kinds in order, names sorted."""
    result: dict[str, Any] = {"format": DOCUMENT_FORMAT}
    for kind in Kind:
        by_name = document.objects(kind)
        result[kind.value] = {name: to_plain(by_name[name]) for name in sorted(by_name)}
    return result


def canonical_bytes(document: Document) -> bytes:
    """Return the complete document as canonical JSON."""
    return to_text(to_json(document)).encode()


def objects_dict(document: Document, kind: Kind) -> dict[str, Any]:
    """Return the shared dict of one kind; copy it before a modification."""
    objects = document.objects(kind)
    return objects if isinstance(objects, dict) else dict(objects)


def _change_bucket(bucket: dict[str, dict[str, Plain]], change: Change) -> None:
    by_name = bucket.setdefault(change.kind.value, {})
    if change.item is None:
        by_name.pop(change.name, None)
    else:
        by_name[change.name] = to_plain(change.item)


def _change_objects(by_name: dict[str, Any], change: Change) -> None:
    if change.item is None:
        by_name.pop(change.name, None)
    else:
        by_name[change.name] = change.item


def _document_of(objects: ObjectsByKind, parts: tuple[Part, ...]) -> Document:
    return Document(
        workspaces_by_name=objects[Kind.WORKSPACES],
        keys_by_name=objects[Kind.KEYS],
        priorities_by_name=objects[Kind.PRIORITIES],
        limits_by_name=objects[Kind.LIMITS],
        pools_by_name=objects[Kind.POOLS],
        routes_by_name=objects[Kind.ROUTES],
        parts=parts,
        digest=digest_of(parts),
    )


EMPTY_DOCUMENT: Document = make_document({kind: {} for kind in Kind})
"""The empty set, which precedes the first published version."""
