"""Compact encoding of entries as lists without field names, validated on receipt."""

from collections.abc import Iterable
from typing import Annotated, Any

import msgpack
from pydantic import Field, TypeAdapter, ValidationError

from damaskbay.core.membership.const import MAX_MEMBERS, MAX_NAME_CHARS
from damaskbay.core.membership.entry import MemberEntry, Status
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

_Name = Annotated[str, Field(max_length=MAX_NAME_CHARS)]
_Host = Annotated[str, Field(min_length=2, max_length=45)]
_Port = Annotated[int, Field(ge=1, le=65_535)]
_Count = Annotated[int, Field(ge=0, lt=2**63)]
_Load = Annotated[float, Field(ge=0, le=1_000, allow_inf_nan=False)]
_EntryValues = tuple[
    _Name,
    _Count,
    _Count,
    Status,
    _Name,
    _Host,
    _Port,
    _Host,
    _Port,
    _Name,
    ServerState,
    _Count,
    _Load,
]
_ENTRY_ADAPTER: TypeAdapter[Any] = TypeAdapter(_EntryValues)
_LIST_ADAPTER: TypeAdapter[Any] = TypeAdapter(
    Annotated[list[_EntryValues], Field(max_length=MAX_MEMBERS)]
)


def entry_values(entry: MemberEntry) -> list[Any]:
    """Return an entry as a list of values for msgpack."""
    return [
        entry.instance,
        entry.incarnation,
        entry.version,
        int(entry.status),
        entry.failure_domain,
        entry.address.host,
        entry.address.port,
        entry.gossip.host,
        entry.gossip.port,
        entry.pool,
        entry.state.value,
        entry.slots,
        round(entry.load, 3),
    ]


def entry_from(values: Any) -> MemberEntry:
    """Build an entry from a list of values; raise ValueError if it is invalid."""
    return _entry(_ENTRY_ADAPTER.validate_python(values))


def pack_entries(entries: Iterable[MemberEntry]) -> bytes:
    """Encode entries for a message over a peer stream."""
    return msgpack.packb([entry_values(entry) for entry in entries])  # type: ignore[no-any-return]


def unpack_entries(data: bytes) -> tuple[MemberEntry, ...] | None:
    """Decode entries; return None if the bytes are invalid."""
    try:
        rows = _LIST_ADAPTER.validate_python(msgpack.unpackb(data))
    except (ValidationError, ValueError, msgpack.exceptions.UnpackException):
        return None
    return tuple(_entry(row) for row in rows)


def _entry(row: Any) -> MemberEntry:
    (
        instance,
        incarnation,
        version,
        status,
        failure_domain,
        host,
        port,
        gossip_host,
        gossip_port,
        pool,
        state,
        slots,
        load,
    ) = row
    return MemberEntry(
        instance,
        incarnation,
        version,
        status,
        failure_domain,
        PeerAddress(host, port),
        PeerAddress(gossip_host, gossip_port),
        pool,
        state,
        slots,
        load,
    )
