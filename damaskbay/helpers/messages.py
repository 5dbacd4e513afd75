"""Registry of the typed messages that daemons exchange as msgpack."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from functools import cached_property
from operator import attrgetter
from typing import Any, TypeVar, get_type_hints

import msgspec

T = TypeVar("T")


class _MessageType:
    """How one kind of message is encoded: its kind, then its fields in order."""

    def __init__(self, kind: str, cls: type[Any]) -> None:
        self.kind = kind
        self.cls = cls
        names = [item.name for item in fields(cls)]
        self._values = attrgetter(*names)
        self._names = names

    @cached_property
    def decoder(self) -> msgspec.msgpack.Decoder[Any]:
        """Decodes and validates the fields; made on first use."""
        hints = get_type_hints(self.cls)
        types = tuple(hints[name] for name in self._names)
        return msgspec.msgpack.Decoder(tuple[types])  # type: ignore[valid-type]

    def values(self, item: Any) -> tuple[Any, ...]:
        """Return the fields of a message."""
        found = self._values(item)
        return found if len(self._names) > 1 else (found,)


@dataclass(frozen=True, slots=True)
class BadMessage:
    """Bytes that are no message of a known kind."""

    detail: str


_types_by_kind: dict[str, _MessageType] = {}
_types_by_class: dict[type[Any], _MessageType] = {}
_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


def message(kind: str) -> Callable[[type[T]], type[T]]:
    """Register a frozen data class as the message of one kind."""

    def register(cls: type[T]) -> type[T]:
        if kind in _types_by_kind:
            raise ValueError(f"message kind {kind!r} is registered twice")
        entry = _MessageType(kind, cls)
        _types_by_kind[kind] = entry
        _types_by_class[cls] = entry
        return cls

    return register


def pack(item: Any) -> bytes:
    """Encode a registered message."""
    entry = _types_by_class[type(item)]
    return _encoder.encode((entry.kind, entry.values(item)))


def unpack(data: bytes, *, max_bytes: int) -> Any | BadMessage:
    """Decode and validate one message of at most `max_bytes`."""
    if len(data) > max_bytes:
        return BadMessage(f"{len(data)} bytes exceed the limit of {max_bytes}")
    try:
        kind, values = _envelope_decoder.decode(data)
        entry = _types_by_kind[kind]
        return entry.cls(*entry.decoder.decode(values))
    except KeyError:
        return BadMessage("not a message: unknown kind")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return BadMessage(f"not a message: {error}")
