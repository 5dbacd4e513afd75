"""Tests of what failure domains tell each other of their servers."""

import unittest
from dataclasses import replace
from random import Random

from damaskbay.core.dissemination.order import FleetOrder
from damaskbay.core.membership.contacts import (
    Contact,
    ContactBook,
    pack_contacts,
    unpack_contacts,
)
from damaskbay.core.membership.directory import SAMPLE_SERVERS
from damaskbay.core.membership.entry import MemberEntry, Status
from damaskbay.core.membership.exchange import Exchange
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.core.membership.sync import AskServers
from damaskbay.core.membership.wire import unpack_entries
from damaskbay.ports.fleet import MemberView, ServerState
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

ASKER = PeerAddress("127.0.0.2", 1)
OPTIONS = MembershipOptions()


def _entry(name: str, domain: str = "d1") -> MemberEntry:
    address = PeerAddress("127.0.0.1", 2)
    return MemberEntry(
        name, 1, 0, Status.ALIVE, domain, address, address, "p", ServerState.READY, 4
    )


class Domain:
    """The only daemon, and so a delegate, of a domain with some servers."""

    def __init__(self, name: str, servers: int) -> None:
        own = _entry(f"{name}-0", name)
        self.entries = [_entry(f"{name}-{index}", name) for index in range(servers)]
        self.book = ContactBook()
        order = FleetOrder(own.instance, "x", 3)
        order.update((MemberView(own.instance, 1, name, own.address),))
        self.exchange = Exchange(
            own, lambda _: self.entries, order, self.book, OPTIONS, Random(1)
        )
        self.exchange.own_revisions.touch(["p"])


def _ask(source: str = "", since: int = 0) -> AskServers:
    return AskServers("d2", ASKER, (), source, since)


def test_sample_is_bounded_and_differs_by_asker() -> None:
    """However many servers, few are told, and not the same ones to everybody."""
    entries = Domain("d1", 200).exchange
    first = entries.answer(_ask(), 0)
    other = entries.answer(replace(_ask(), failure_domain="d3"), 0)
    assert len(unpack_entries(first.entries) or ()) == SAMPLE_SERVERS
    assert first.entries != other.entries


def test_only_changes_are_told() -> None:
    """Who asked before is told at once, and asked again only of what is new."""
    domain = Domain("d1", 3)
    first = domain.exchange.answer(_ask(), 0)
    assert first.pools == ("p",)
    assert not domain.exchange.answer(_ask(first.source, first.revision), 1).pools
    assert not domain.exchange.tellings(1)
    domain.entries.pop()
    domain.exchange.own_revisions.touch(["p"])
    [telling] = domain.exchange.tellings(2)
    assert telling.address == ASKER
    assert len(unpack_entries(telling.servers.entries) or ()) == 2
    assert not domain.exchange.tellings(2)
    again = domain.exchange.answer(_ask(first.source, first.revision), 3)
    assert again.pools == ("p",)
    domain.exchange.own_revisions.touch(["p"])
    assert not domain.exchange.tellings(3 + OPTIONS.subscription_s)


def test_complete_answer_leaves_out_what_is_gone() -> None:
    """A fresh process at the other end tells all, and so what is no more."""
    asker = Domain("d2", 1)
    old = Domain("d1", 1).exchange.answer(_ask(), 0)
    asker.exchange.take(old, 0, answered=True)
    assert len(asker.exchange.remote.entries("p")) == 1
    fresh = replace(old, pools=(), entries=b"\x90", source="d1-9/2")
    assert asker.exchange.take(fresh, 1, answered=True) == ("p",)
    assert not asker.exchange.remote.entries("p")


def test_silent_domain_is_left_out() -> None:
    """Servers of a domain that gives no answer for long are not named."""
    asker = Domain("d2", 1)
    answer = Domain("d1", 1).exchange.answer(_ask(), 0)
    asker.exchange.take(answer, 0, answered=True)
    assert not asker.exchange.drop_silent(OPTIONS.domain_lost_s - 1)
    assert asker.exchange.drop_silent(OPTIONS.domain_lost_s) == ("p",)


def test_delegate_asks_one_contact_of_each_domain() -> None:
    """A contact that gives no answer is followed by the next one."""
    domain = Domain("d1", 1)
    addresses = [PeerAddress("127.0.0.3", port) for port in (1, 2)]
    domain.book.take(
        Contact("d2", slot, 5, address, address)
        for slot, address in enumerate(addresses)
    )
    [first] = domain.exchange.questions(0)
    domain.exchange.lost("d2", 0)
    [second] = domain.exchange.questions(10)
    assert {first.address, second.address} == set(addresses)


def test_newer_reading_of_contacts_replaces_the_older() -> None:
    """A failure domain that is no more goes; an older reading changes nothing."""
    book = ContactBook()
    one, other = (PeerAddress("127.0.0.4", port) for port in (1, 2))
    older = [Contact("d2", 0, 6, other, other), Contact("d3", 0, 5, other, other)]
    book.take(older)
    book.take([Contact("d2", 0, 7, one, one)])
    book.take(older)
    assert book.addresses_by_domain == {"d2": (one,)}
    assert unpack_contacts(pack_contacts(book.all())) == book.all()
    assert unpack_contacts(b"\xc1") is None
    assert unpack_contacts(b"\x91\x01") is None


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
