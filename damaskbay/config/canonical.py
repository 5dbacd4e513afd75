"""The canonical JSON form in which objects are hashed, stored and sent."""

import hashlib
import json
from collections.abc import Iterable
from dataclasses import MISSING, dataclass, fields
from enum import Enum
from typing import Any

from damaskbay.config.const import PART_COUNT
from damaskbay.config.models import CLASSES_BY_KIND
from damaskbay.config.objects import ConfigObject, Kind

Plain = dict[str, Any]
"""The JSON form of an object, without its name."""

_DEFAULTS_BY_CLASS = {
    cls: tuple((item.name, item.default) for item in fields(cls) if item.name != "name")
    for cls in CLASSES_BY_KIND.values()
}


@dataclass(frozen=True, slots=True)
class Part:
    """The canonical bytes of one part of a set, with their SHA-256 in hex."""

    digest: str
    body: bytes


def to_plain(item: ConfigObject) -> Plain:
    """
    Return the JSON form of an object, without fields at their default.

    Omitting defaults keeps the digest of an older set when a field is added.
    """
    plain: Plain = {}
    for name, default in _DEFAULTS_BY_CLASS[type(item)]:
        value = getattr(item, name)
        if default is MISSING or value != default:
            plain[name] = _plain_value(value)
    return plain


def to_text(plain: Any) -> str:
    """Return canonical JSON: sorted keys, no spaces, ASCII only."""
    return json.dumps(plain, sort_keys=True, separators=(",", ":"))


def part_index(kind: Kind, name: str) -> int:
    """Return the index of the part that holds an object."""
    digest = hashlib.sha256(f"{kind.value}/{name}".encode()).digest()
    return digest[0] % PART_COUNT


def make_part(plain_by_kind: dict[str, dict[str, Plain]]) -> Part:
    """Return the part that holds these objects, given by kind and name."""
    filled = {kind: objects for kind, objects in plain_by_kind.items() if objects}
    body = to_text(filled).encode()
    return Part(hashlib.sha256(body).hexdigest(), body)


def read_part(part: Part) -> dict[str, dict[str, Plain]]:
    """Return the objects of a part made by `make_part`, by kind and name."""
    result: dict[str, dict[str, Plain]] = json.loads(part.body)
    return result


def digest_of(parts: Iterable[Part]) -> str:
    """Return the digest of a set: SHA-256 over the digests of its parts, in hex."""
    joined = "\n".join(part.digest for part in parts)
    return hashlib.sha256(joined.encode()).hexdigest()


def _plain_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, tuple):
        return list(value)
    return value
