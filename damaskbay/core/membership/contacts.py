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

    A domain has a few, one in each `slot`; of one slot the higher `revision`, that
    of the platform's entry, is the newer one.
    """

    failure_domain: str
    slot: int
    revision: int
    address: PeerAddress
    gossip: PeerAddress


_Values = tuple[str, int, int, str, int, str, int]
_LIST_ADAPTER: TypeAdapter[list[_Values]] = TypeAdapter(list[_Values])


class ContactBook:
    """The newest contact of each slot of each failure domain."""

    def __init__(self, own_domain: str) -> None:
        self._own_domain = own_domain
        self._by_slot: dict[tuple[str, int], Contact] = {}
        self._digest = b""
        self.addresses_by_domain: dict[str, tuple[PeerAddress, ...]] = {}

    def merge(self, contacts: Iterable[Contact]) -> None:
        """Take the newer ones."""
        changed = False
        for contact in contacts:
            place = (contact.failure_domain, contact.slot)
            known = self._by_slot.get(place)
            if known is None and len(self._by_slot) >= MAX_CONTACTS:
                continue
            if known is None or contact.revision > known.revision:
                self._by_slot[place] = contact
                changed = True
        if changed:
            self._refresh()

    def all(self) -> tuple[Contact, ...]:
        """Return all contacts in a fixed order."""
        return tuple(self._by_slot[place] for place in sorted(self._by_slot))

    def digest(self) -> bytes:
        """Return what tells two books apart."""
        return self._digest

    def _refresh(self) -> None:
        packed = pack_contacts(self.all())
        self._digest = hashlib.blake2b(packed, digest_size=DIGEST_BYTES).digest()
        by_domain: dict[str, list[PeerAddress]] = {}
        for contact in self.all():
            if contact.failure_domain != self._own_domain:
                by_domain.setdefault(contact.failure_domain, []).append(contact.address)
        self.addresses_by_domain = {
            domain: tuple(addresses) for domain, addresses in by_domain.items()
        }


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
