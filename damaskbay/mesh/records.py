"""Encoding of a daemon's record in the platform's store: msgpack."""

from typing import Any

import msgpack

from damaskbay.mesh.directory import MemberRecord
from damaskbay.mesh.messages import Note
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

_FORMAT = 1


def encode_record(record: MemberRecord) -> bytes:
    """Return the stored form of a record."""
    value: bytes = msgpack.packb(
        (
            _FORMAT,
            record.instance,
            record.incarnation,
            record.failure_domain,
            record.address.host,
            record.address.port,
            record.pool,
            record.state.value,
            record.slots,
            record.server,
            record.born_ms,
        )
    )
    return value


def decode_record(value: bytes) -> MemberRecord | None:
    """Return the record in a stored value, None if the value is invalid."""
    try:
        fields: Any = msgpack.unpackb(value)
        (
            format_version,
            instance,
            incarnation,
            domain,
            host,
            port,
            pool,
            state,
            slots,
            server,
            born,
        ) = fields
        if format_version != _FORMAT:
            return None
        return MemberRecord(
            str(instance),
            int(incarnation),
            str(domain),
            PeerAddress(str(host), int(port)),
            str(pool),
            ServerState(state),
            int(slots),
            str(server),
            int(born),
        )
    except (ValueError, TypeError, msgpack.exceptions.UnpackException):
        return None


def note_of(
    record: MemberRecord, slots: int, config_version: int, evacuated: bool
) -> Note:
    """
    Return the note with a daemon's record and the slots that it announces.

    An evacuated server is announced as draining, so that senders leave it out before
    they hear of the evacuation, or if they don't know of evacuations at all.
    """
    is_left_out = evacuated and record.state is ServerState.READY
    return Note(
        record.instance,
        record.incarnation,
        record.failure_domain,
        record.address.host,
        record.address.port,
        record.pool,
        ServerState.DRAINING if is_left_out else record.state,
        slots,
        0.0,
        config_version,
    )
