"""One whole set of valid objects with its digest."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from damaskbay.config.canonical import (
    Part,
    Plain,
    bucket_of,
    digest_of,
    make_part,
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
from damaskbay.config.parsing import ObjectsByKind, read_shape


@dataclass(frozen=True, slots=True)
class Document:
    """
    One whole set; each object is valid in itself.

    Whether the objects fit together is told by config.check. Collections are
    named by their key and never changed. `parts` holds the canonical bytes of
    all objects, spread over a fixed count of buckets; `digest` is in hex.
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
        """Return the size of the canonical form."""
        return sum(len(part.body) for part in self.parts)


@dataclass(frozen=True, slots=True)
class Change:
    """An object put in place of what stood there; None removes it."""

    kind: Kind
    name: str
    item: ConfigObject | None


def parse_document(data: bytes | dict[str, Any]) -> Document | Problems:
    """
    Read a document from JSON bytes or from what JSON decodes to.

    Returns every fault of shape at once. Whether the objects fit together is not
    looked at: see `config.check.read_checked`.
    """
    shape = read_shape(data)
    return tuple(shape.problems) if shape.problems else make_document(shape.objects)


def make_document(objects: ObjectsByKind) -> Document:
    """Return the document of valid objects by kind and name."""
    buckets: list[dict[str, dict[str, Plain]]] = [
        defaultdict(dict) for _ in range(PART_COUNT)
    ]
    for kind, by_name in objects.items():
        for name, item in by_name.items():
            buckets[bucket_of(kind, name)][kind.value][name] = to_plain(item)
    return _assemble(objects, tuple(make_part(bucket) for bucket in buckets))


def change_document(document: Document, changes: Iterable[Change]) -> Document:
    """
    Return the document after some changes.

    Only the parts that hold changed objects are made anew; collections of kinds
    without a change stay the same objects.
    """
    objects: ObjectsByKind = {kind: dict_of(document, kind) for kind in Kind}
    copied: set[Kind] = set()
    buckets: dict[int, dict[str, dict[str, Plain]]] = {}
    for change in changes:
        if change.kind not in copied:
            copied.add(change.kind)
            objects[change.kind] = dict(objects[change.kind])
        number = bucket_of(change.kind, change.name)
        if number not in buckets:
            buckets[number] = read_part(document.parts[number])
        _change_bucket(buckets[number], change)
        _change_objects(objects[change.kind], change)
    parts = list(document.parts)
    for number, bucket in buckets.items():
        parts[number] = make_part(bucket)
    return _assemble(objects, tuple(parts))


def build(document: Document, version: int) -> ConfigSet:
    """Return the set that daemons decide by. The document must have been checked."""
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
    """Return the document as JSON has it, in the order of the kinds, names sorted."""
    result: dict[str, Any] = {"format": DOCUMENT_FORMAT}
    for kind in Kind:
        by_name = document.objects(kind)
        result[kind.value] = {name: to_plain(by_name[name]) for name in sorted(by_name)}
    return result


def canonical_bytes(document: Document) -> bytes:
    """Return the whole document in its canonical form."""
    return to_text(to_json(document)).encode()


def dict_of(document: Document, kind: Kind) -> dict[str, Any]:
    """Return the collection of one kind itself: copy it before changing it."""
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


def _assemble(objects: ObjectsByKind, parts: tuple[Part, ...]) -> Document:
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


EMPTY: Document = make_document({kind: {} for kind in Kind})
"""The set before the first publish."""
