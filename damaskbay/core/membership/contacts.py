"""Contact daemons of each failure domain, through which other domains reach it."""

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
    Addresses of one contact daemon of a failure domain.

    A domain has a few contacts, one in each `slot`. `revision` is the revision of
    its entry in the platform's store.
    """

    failure_domain: str
    slot: int
    revision: int
    address: PeerAddress
    gossip: PeerAddress

    @property
    def key(self) -> tuple[str, int]:
        """Return the unique key of the contact: failure domain and slot."""
        return (self.failure_domain, self.slot)


_ContactValues = tuple[str, int, int, str, int, str, int]
_LIST_ADAPTER: TypeAdapter[list[_ContactValues]] = TypeAdapter(list[_ContactValues])


class ContactList:
    """
    Newest snapshot of the contacts of all failure domains.

    `addresses_by_domain` is empty until the first snapshot.
    """

    def __init__(self) -> None:
        self.addresses_by_domain: dict[str, tuple[PeerAddress, ...]] = {}
        self._contacts: tuple[Contact, ...] = ()
        self._digest = b""

    def update(self, contacts: Iterable[Contact]) -> None:
        """
        Replace all contacts if the snapshot is newer than the current one.

        The snapshot with the highest revision is the newer one, since the platform
        increases the revision with every write and contacts are renewed regularly.
        """
        snapshot = tuple(sorted(contacts, key=lambda item: item.key))
        if _newest_revision(snapshot) <= _newest_revision(self._contacts):
            return
        self._contacts = snapshot
        packed = pack_contacts(snapshot)
        self._digest = hashlib.blake2b(packed, digest_size=DIGEST_BYTES).digest()
        by_domain: dict[str, list[PeerAddress]] = {}
        for contact in snapshot:
            by_domain.setdefault(contact.failure_domain, []).append(contact.address)
        self.addresses_by_domain = {
            domain: tuple(addresses) for domain, addresses in by_domain.items()
        }

    def all(self) -> tuple[Contact, ...]:
        """Return all contacts in a fixed order."""
        return self._contacts

    def digest(self) -> bytes:
        """Return the digest of the snapshot, empty before the first one."""
        return self._digest


def _newest_revision(contacts: Iterable[Contact]) -> int:
    return max((contact.revision for contact in contacts), default=0)


def pack_contacts(contacts: Iterable[Contact]) -> bytes:
    """Encode contacts for a peer message or a platform entry."""
    return msgpack.packb([_contact_values(contact) for contact in contacts])  # type: ignore[no-any-return]


def unpack_contacts(data: bytes) -> tuple[Contact, ...] | None:
    """Decode contacts; return None if the bytes are invalid."""
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


def _contact_values(contact: Contact) -> _ContactValues:
    return (
        contact.failure_domain,
        contact.slot,
        contact.revision,
        contact.address.host,
        contact.address.port,
        contact.gossip.host,
        contact.gossip.port,
    )
