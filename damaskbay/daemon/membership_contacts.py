"""Task that maintains the local failure domain's contacts in the platform."""

import logging
from collections.abc import Callable
from random import Random
from typing import Any

from damaskbay.core.dissemination.order import LEADER_PURPOSE, MemberOrder
from damaskbay.core.membership.contacts import (
    CONTACT_PREFIX,
    Contact,
    pack_contacts,
    unpack_contacts,
)
from damaskbay.core.membership.entry import MemberEntry
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.daemon.membership_messages import ContactsRead
from damaskbay.helpers.task import Task
from damaskbay.ports.fleet import MemberView
from damaskbay.ports.platform import Entry, Platform, PlatformFailure

_LOGGER = logging.getLogger(__name__)

_TICK_S = 0.5
_PLATFORM_TIMEOUT_S = 2.0


class ContactMaintainer(Task):
    """
    Task that reads all contacts and writes the daemon's own while it is a delegate.

    A daemon without known members is its own delegate, so it reads contacts and can
    join. Contacts are hints: an outdated one does no harm. Their long lease removes
    the contacts of a failure domain that no longer exists.
    """

    def __init__(
        self,
        own_entry: MemberEntry,
        *,
        platform: Platform,
        members: Callable[[], tuple[MemberView, ...]],
        post_to_service: Callable[[Any], bool],
        options: MembershipOptions,
        rng: Random,
    ) -> None:
        super().__init__("contacts", tick_s=_TICK_S)
        self._own_entry = own_entry
        self._platform = platform
        self._members = members
        self._post_to_service = post_to_service
        self._options = options
        self._rng = rng
        self._order = MemberOrder(own_entry.instance, LEADER_PURPOSE, options.delegates)
        self._next_read_at = 0.0
        self._next_renewal_at = 0.0
        self._was_delegate = False

    def handle(self, message: Any, now: float) -> None:
        """Ignore messages; this task receives none."""

    def tick(self, now: float) -> None:
        """Read the contacts and renew this daemon's own when due."""
        self._order.update(self._members())
        became_delegate = self._order.is_leader and not self._was_delegate
        self._was_delegate = self._order.is_leader
        if not self._order.is_leader or (
            now < self._next_read_at and not became_delegate
        ):
            return
        jitter = self._rng.uniform(0.9, 1.1)
        self._next_read_at = now + self._options.contact_period_s * jitter
        contacts_before = self._read_contacts()
        contacts = contacts_before
        if contacts_before is not None and self._update_own_contact(
            contacts_before, now
        ):
            contacts = self._read_contacts()
        if contacts_before is None or contacts is None:
            self._next_read_at = now + 2 * _TICK_S
            return
        self._post_to_service(ContactsRead(contacts, seeds=contacts_before))

    def _read_contacts(self) -> tuple[Contact, ...] | None:
        entries = self._platform.list(CONTACT_PREFIX, timeout_s=_PLATFORM_TIMEOUT_S)
        if isinstance(entries, PlatformFailure):
            return None
        contacts = (_decode_contact(entry) for entry in entries)
        return tuple(contact for contact in contacts if contact is not None)

    def _update_own_contact(self, contacts: tuple[Contact, ...], now: float) -> bool:
        """
        Write the own contact if due; return whether a write was attempted.

        The caller reads all contacts again after a write. Adding the written contact
        to the earlier result is not enough: it would look up to date, but lack the
        contacts that other daemons wrote in between.
        """
        domain = self._own_entry.failure_domain
        leaders = [member.instance for member in self._order.leaders]
        slot = leaders.index(self._own_entry.instance)
        own_contact = Contact(
            domain, slot, 0, self._own_entry.address, self._own_entry.gossip
        )
        current = [item for item in contacts if item.key == own_contact.key]
        if (
            current
            and _same_addresses(current[0], own_contact)
            and now < self._next_renewal_at
        ):
            return False
        if self._write_contact(own_contact, current[0].revision if current else 0):
            self._next_renewal_at = now + self._options.contact_renew_s
        return True

    def _write_contact(self, contact: Contact, revision: int) -> bool:
        """Write a contact; return whether the platform confirmed the write."""
        result = self._platform.compare_and_swap(
            f"{CONTACT_PREFIX}{contact.failure_domain}/{contact.slot}",
            pack_contacts([contact]),
            expected_revision=revision,
            lease_s=self._options.contact_lease_s,
            timeout_s=_PLATFORM_TIMEOUT_S,
        )
        return isinstance(result, Entry)


def _decode_contact(entry: Entry) -> Contact | None:
    contacts = unpack_contacts(entry.value)
    if not contacts:
        _LOGGER.warning("membership: malformed contact %s ignored.", entry.key)
        return None
    [first, *_] = contacts
    return Contact(
        first.failure_domain, first.slot, entry.revision, first.address, first.gossip
    )


def _same_addresses(contact: Contact, other: Contact) -> bool:
    return (contact.address, contact.gossip) == (other.address, other.gossip)
