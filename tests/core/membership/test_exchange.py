"""Tests of the exchange of server samples between failure domains."""

import unittest
from dataclasses import replace
from random import Random

from damaskbay.core.dissemination.order import MemberOrder
from damaskbay.core.membership.contacts import (
    Contact,
    ContactList,
    pack_contacts,
    unpack_contacts,
)
from damaskbay.core.membership.directory import SAMPLE_SERVERS
from damaskbay.core.membership.entry import MemberEntry, Status
from damaskbay.core.membership.exchange import Exchange
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.core.membership.sync import ServersRequest
from damaskbay.core.membership.wire import unpack_entries
from damaskbay.ports.fleet import MemberView, ServerState
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

SUBSCRIBER_ADDRESS = PeerAddress("127.0.0.2", 1)
OPTIONS = MembershipOptions()


def _entry(name: str, domain: str = "d1") -> MemberEntry:
    address = PeerAddress("127.0.0.1", 2)
    return MemberEntry(
        name, 1, 0, Status.ALIVE, domain, address, address, "p", ServerState.READY, 4
    )


class Domain:
    """The only daemon, and therefore a delegate, of a domain with some servers."""

    def __init__(self, name: str, servers: int) -> None:
        own = _entry(f"{name}-0", name)
        self.entries = [_entry(f"{name}-{index}", name) for index in range(servers)]
        self.book = ContactList()
        order = MemberOrder(own.instance, "x", 3)
        order.update((MemberView(own.instance, 1, name, own.address),))
        self.exchange = Exchange(
            own, lambda _: self.entries, order, self.book, OPTIONS, Random(1)
        )
        self.exchange.own_revisions.mark_changed(["p"])


def _request(source: str = "", since: int = 0) -> ServersRequest:
    return ServersRequest("d2", SUBSCRIBER_ADDRESS, (), source, since)


def test_sample_is_bounded_and_differs_by_asker() -> None:
    """A reply has a fixed number of servers, different ones for each domain."""
    exchange = Domain("d1", 200).exchange
    first = exchange.handle_request(_request(), 0)
    other = exchange.handle_request(replace(_request(), failure_domain="d3"), 0)
    assert len(unpack_entries(first.entries) or ()) == SAMPLE_SERVERS
    assert first.entries != other.entries


def test_only_changes_are_told() -> None:
    """A subscriber gets changes at once, and a later reply has only changed pools."""
    domain = Domain("d1", 3)
    first = domain.exchange.handle_request(_request(), 0)
    assert first.pools == ("p",)
    assert not domain.exchange.handle_request(
        _request(first.source, first.revision), 1
    ).pools
    assert not domain.exchange.due_updates(1)
    domain.entries.pop()
    domain.exchange.own_revisions.mark_changed(["p"])
    [update] = domain.exchange.due_updates(2)
    assert update.address == SUBSCRIBER_ADDRESS
    assert len(unpack_entries(update.servers.entries) or ()) == 2
    assert not domain.exchange.due_updates(2)
    again = domain.exchange.handle_request(_request(first.source, first.revision), 3)
    assert again.pools == ("p",)
    domain.exchange.own_revisions.mark_changed(["p"])
    assert not domain.exchange.due_updates(3 + OPTIONS.subscription_s)


def test_complete_answer_leaves_out_what_is_gone() -> None:
    """A complete reply of a restarted process removes the pools that it omits."""
    subscriber = Domain("d2", 1)
    old = Domain("d1", 1).exchange.handle_request(_request(), 0)
    subscriber.exchange.apply_servers(old, 0, answered=True)
    assert len(subscriber.exchange.remote.entries("p")) == 1
    fresh = replace(old, pools=(), entries=b"\x90", source="d1-9/2")
    assert subscriber.exchange.apply_servers(fresh, 1, answered=True) == ("p",)
    assert not subscriber.exchange.remote.entries("p")


def test_silent_domain_is_left_out() -> None:
    """Servers of an unresponsive domain are removed after the domain timeout."""
    subscriber = Domain("d2", 1)
    reply = Domain("d1", 1).exchange.handle_request(_request(), 0)
    subscriber.exchange.apply_servers(reply, 0, answered=True)
    assert not subscriber.exchange.drop_unresponsive(OPTIONS.domain_timeout_s - 1)
    assert subscriber.exchange.drop_unresponsive(OPTIONS.domain_timeout_s) == ("p",)


def test_delegate_asks_one_contact_of_each_domain() -> None:
    """A request after a failed one goes to the next contact."""
    domain = Domain("d1", 1)
    addresses = [PeerAddress("127.0.0.3", port) for port in (1, 2)]
    domain.book.update(
        Contact("d2", slot, 5, address, address)
        for slot, address in enumerate(addresses)
    )
    [first] = domain.exchange.due_requests(0)
    domain.exchange.request_failed("d2", 0)
    [second] = domain.exchange.due_requests(10)
    assert {first.address, second.address} == set(addresses)


def test_newer_reading_of_contacts_replaces_the_older() -> None:
    """A domain missing in a newer snapshot is removed; an older snapshot is ignored."""
    book = ContactList()
    one, other = (PeerAddress("127.0.0.4", port) for port in (1, 2))
    older = [Contact("d2", 0, 6, other, other), Contact("d3", 0, 5, other, other)]
    book.update(older)
    book.update([Contact("d2", 0, 7, one, one)])
    book.update(older)
    assert book.addresses_by_domain == {"d2": (one,)}
    assert unpack_contacts(pack_contacts(book.all())) == book.all()
    assert unpack_contacts(b"\xc1") is None
    assert unpack_contacts(b"\x91\x01") is None


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
