"""The task that keeps the own failure domain's contacts in the platform."""

import logging
from collections.abc import Callable
from random import Random
from typing import Any

from damaskbay.core.dissemination.order import LEADER_PURPOSE, FleetOrder
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
_TIMEOUT_S = 2.0


class ContactKeeper(Task):
    """
    Reads all contacts and writes the own one, while this daemon is a delegate.

    A daemon that knows nobody reads them too, so that it can join. Contacts are
    hints: nothing breaks where one is old. Their lease is long and lets those of a
    failure domain go that is no more.
    """

    def __init__(
        self,
        own: MemberEntry,
        *,
        platform: Platform,
        members: Callable[[], tuple[MemberView, ...]],
        post_up: Callable[[Any], bool],
        options: MembershipOptions,
        rng: Random,
    ) -> None:
        super().__init__("contacts", tick_s=_TICK_S)
        self._own = own
        self._platform = platform
        self._members = members
        self._post_up = post_up
        self._options = options
        self._rng = rng
        self._order = FleetOrder(own.instance, LEADER_PURPOSE, options.delegates)
        self._next_read = 0.0
        self._next_renewal = 0.0
        self._was_leading = False

    def handle(self, message: Any, now: float) -> None:
        """Take no messages."""

    def tick(self, now: float) -> None:
        """Read and write when that is due."""
        self._order.update(self._members())
        began_to_lead = self._order.leads and not self._was_leading
        self._was_leading = self._order.leads
        if not self._order.leads or (now < self._next_read and not began_to_lead):
            return
        jitter = self._rng.uniform(0.9, 1.1)
        self._next_read = now + self._options.contact_period_s * jitter
        before = self._read()
        contacts = before
        if before is not None and self._refresh_own(before, now):
            contacts = self._read()
        if before is None or contacts is None:
            self._next_read = now + 2 * _TICK_S
            return
        self._post_up(ContactsRead(contacts, seeds=before))

    def _read(self) -> tuple[Contact, ...] | None:
        found = self._platform.list(CONTACT_PREFIX, timeout_s=_TIMEOUT_S)
        if isinstance(found, PlatformFailure):
            return None
        contacts = (_contact_of(entry) for entry in found)
        return tuple(contact for contact in contacts if contact is not None)

    def _refresh_own(self, contacts: tuple[Contact, ...], now: float) -> bool:
        """
        Put the own contact in its slot where that is due; tell whether it was.

        A reading counts only as it was read: one with the own entry put in could
        lack what others wrote in between, and yet look newer.
        """
        domain = self._own.failure_domain
        leaders = [member.instance for member in self._order.leaders]
        slot = leaders.index(self._own.instance)
        own = Contact(domain, slot, 0, self._own.address, self._own.gossip)
        current = [item for item in contacts if item.place == own.place]
        if current and _same(current[0], own) and now < self._next_renewal:
            return False
        if self._write(own, current[0].revision if current else 0):
            self._next_renewal = now + self._options.contact_renew_s
        return True

    def _write(self, own: Contact, revision: int) -> bool:
        result = self._platform.compare_and_swap(
            f"{CONTACT_PREFIX}{own.failure_domain}/{own.slot}",
            pack_contacts([own]),
            expected_revision=revision,
            lease_s=self._options.contact_lease_s,
            timeout_s=_TIMEOUT_S,
        )
        return isinstance(result, Entry)


def _contact_of(entry: Entry) -> Contact | None:
    contacts = unpack_contacts(entry.value)
    if not contacts:
        _LOGGER.warning("membership: malformed contact %s left out.", entry.key)
        return None
    [first, *_] = contacts
    return Contact(
        first.failure_domain, first.slot, entry.revision, first.address, first.gossip
    )


def _same(one: Contact, other: Contact) -> bool:
    return (one.address, one.gossip) == (other.address, other.gossip)
