"""Registry of the typed messages that daemons exchange as msgpack."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any, TypeVar

import msgpack
from pydantic import TypeAdapter, ValidationError

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _MessageType:
    kind: str
    type: type[Any]
    field_names: tuple[str, ...]
    adapter: TypeAdapter[Any]


@dataclass(frozen=True, slots=True)
class BadMessage:
    """Bytes that are no message of a known kind."""

    detail: str


_types_by_kind: dict[str, _MessageType] = {}
_types_by_class: dict[type[Any], _MessageType] = {}


def message(kind: str) -> Callable[[type[T]], type[T]]:
    """Register a frozen data class as the message of one kind."""

    def register(cls: type[T]) -> type[T]:
        names = tuple(item.name for item in fields(cls))  # type: ignore[arg-type]
        entry = _MessageType(kind, cls, names, TypeAdapter(cls))
        if kind in _types_by_kind:
            raise ValueError(f"message kind {kind!r} is registered twice")
        _types_by_kind[kind] = entry
        _types_by_class[cls] = entry
        return cls

    return register


def pack(item: Any) -> bytes:
    """Encode a registered message."""
    entry = _types_by_class[type(item)]
    values = [getattr(item, name) for name in entry.field_names]
    return msgpack.packb([entry.kind, values], default=_plain)  # type: ignore[no-any-return]


def unpack(data: bytes, *, max_bytes: int) -> Any | BadMessage:
    """Decode and validate one message of at most `max_bytes`."""
    if len(data) > max_bytes:
        return BadMessage(f"{len(data)} bytes exceed the limit of {max_bytes}")
    try:
        kind, values = msgpack.unpackb(data)
        entry = _types_by_kind[kind]
        named = dict(zip(entry.field_names, values, strict=True))
        return entry.adapter.validate_python(named)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        return BadMessage(f"field {first['loc']}: {first['msg']}")
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        return BadMessage(f"not a message: {type(error).__name__}")
    except msgpack.exceptions.UnpackException as error:
        return BadMessage(f"not msgpack: {type(error).__name__}")


def _plain(value: Any) -> Any:
    """Turn nested data classes, enums and sets into what msgpack knows."""
    if hasattr(value, "__dataclass_fields__"):
        return {item.name: getattr(value, item.name) for item in fields(value)}
    if hasattr(value, "value"):
        return value.value
    if isinstance(value, (set, frozenset)):
        return sorted(value)
    raise TypeError(f"{type(value).__name__} does not go into a message")
