"""A handful of daemons of each failure domain, by which others find them."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

import msgpack
from pydantic import TypeAdapter, ValidationError

from damaskbay.core.membership.const import DIGEST_BYTES, MAX_NAME_CHARS
from damaskbay.ports.peer import PeerAddress

CONTACT_PREFIX = "damaskbay/contacts/"
MAX_CONTACTS = 200


@dataclass(frozen=True, slots=True)
class Contact:
    """
    Where to reach one daemon of a failure domain.

    A domain has a few, one in each `slot`. `revision` is that of the platform's
    entry.
    """

    failure_domain: str
    slot: int
    revision: int
    address: PeerAddress
    gossip: PeerAddress

    @property
    def place(self) -> tuple[str, int]:
        """Return what no two contacts have in common."""
        return (self.failure_domain, self.slot)


_Values = tuple[str, int, int, str, int, str, int]
_LIST_ADAPTER: TypeAdapter[list[_Values]] = TypeAdapter(list[_Values])


class ContactBook:
    """
    The newest reading of all contacts.

    `addresses_by_domain` is empty while nothing was ever read.
    """

    def __init__(self) -> None:
        self.addresses_by_domain: dict[str, tuple[PeerAddress, ...]] = {}
        self._contacts: tuple[Contact, ...] = ()
        self._digest = b""

    def take(self, contacts: Iterable[Contact]) -> None:
        """
        Take a whole reading if it is newer than the one at hand.

        The one with the highest revision is newer: the platform counts up with
        each write of any contact, and each is written again and again.
        """
        reading = tuple(sorted(contacts, key=lambda item: item.place))
        if _newest(reading) <= _newest(self._contacts):
            return
        self._contacts = reading
        packed = pack_contacts(reading)
        self._digest = hashlib.blake2b(packed, digest_size=DIGEST_BYTES).digest()
        by_domain: dict[str, list[PeerAddress]] = {}
        for contact in reading:
            by_domain.setdefault(contact.failure_domain, []).append(contact.address)
        self.addresses_by_domain = {
            domain: tuple(addresses) for domain, addresses in by_domain.items()
        }

    def all(self) -> tuple[Contact, ...]:
        """Return all contacts in a fixed order."""
        return self._contacts

    def digest(self) -> bytes:
        """Return what tells two readings apart."""
        return self._digest


def _newest(contacts: Iterable[Contact]) -> int:
    return max((contact.revision for contact in contacts), default=0)


def pack_contacts(contacts: Iterable[Contact]) -> bytes:
    """Encode contacts for a message or a platform value."""
    return msgpack.packb([_values(contact) for contact in contacts])  # type: ignore[no-any-return]


def unpack_contacts(data: bytes) -> tuple[Contact, ...] | None:
    """Decode contacts; None where the bytes are none."""
    try:
        rows = _LIST_ADAPTER.validate_python(msgpack.unpackb(data))
    except (ValidationError, ValueError, msgpack.exceptions.UnpackException):
        return None
    if len(rows) > MAX_CONTACTS or any(len(row[0]) > MAX_NAME_CHARS for row in rows):
        return None
    return tuple(
        Contact(
            domain,
            slot,
            revision,
            PeerAddress(host, port),
            PeerAddress(gossip_host, gossip_port),
        )
        for domain, slot, revision, host, port, gossip_host, gossip_port in rows
    )


def _values(contact: Contact) -> _Values:
    return (
        contact.failure_domain,
        contact.slot,
        contact.revision,
        contact.address.host,
        contact.address.port,
        contact.gossip.host,
        contact.gossip.port,
    )
