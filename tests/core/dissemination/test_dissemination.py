"""Tests of relay election, activation of sets and freshness proofs."""

import unittest
from dataclasses import replace
from functools import partial

from hypothesis import given, settings, strategies as st

from damaskbay.config.delta import make_delta
from damaskbay.config.document import Document, parse_document
from damaskbay.core.dissemination.freshness import (
    Freshness,
    PlatformReachability,
    Proof,
)
from damaskbay.core.dissemination.holder import ActiveConfig, OfferResult
from damaskbay.core.dissemination.lease import HeldLease
from damaskbay.core.dissemination.messages import Parts, Push
from damaskbay.core.dissemination.order import MemberOrder
from damaskbay.core.dissemination.parts import missing_parts
from damaskbay.ports.fleet import MemberView
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite
from tests.config.common import document, sample


def _members(count: int) -> tuple[MemberView, ...]:
    names = sorted(f"i{index}" for index in range(count))
    ports = enumerate(names, start=1_000)
    return tuple(
        MemberView(name, 1, "d1", PeerAddress("127.0.0.1", port))
        for port, name in ports
    )


def _orders(count: int) -> dict[str, MemberOrder]:
    members = _members(count)
    orders = {item.instance: MemberOrder(item.instance, "x", 2) for item in members}
    for order in orders.values():
        order.update(members)
    return orders


@settings(derandomize=True, max_examples=30)
@given(st.integers(1, 90), st.integers(1, 5), st.randoms(use_true_random=False))
def test_tree_reaches_each_member_once(count: int, fanout: int, rng: object) -> None:
    """From any root, each other member is the child of one member, its parent."""
    orders = _orders(count)
    root = f"i{count // 2}"
    reached = [
        (name, child.instance)
        for name, order in orders.items()
        for child in order.children(root, fanout)
    ]
    assert sorted(child for _, child in reached) == sorted(set(orders) - {root})
    for parent, child in reached:
        found_parent = orders[child].parent(root, fanout)
        assert found_parent is not None
        assert found_parent.instance == parent
    assert orders[root].parent(root, fanout) is None


def test_all_agree_on_the_leaders() -> None:
    """Leaders depend on the members alone; a removed leader is replaced."""
    orders = _orders(20)
    leaders = {tuple(item.instance for item in o.leaders) for o in orders.values()}
    assert len(leaders) == 1
    assert sum(order.is_leader for order in orders.values()) == 2
    first, second = leaders.pop()
    order = orders["i3"]
    order.update(tuple(item for item in _members(20) if item.instance != first))
    assert order.leaders[0].instance == second


def test_lease_counts_from_the_request() -> None:
    """A lease is valid from the time of its request, minus the margin."""
    lease = HeldLease(lease_s=10, margin_s=1)
    assert not lease.is_held(0)
    lease.record_grant(asked_at=5)
    assert lease.is_held(13.9)
    assert not lease.is_held(14)


def _holder(version: int = 1) -> ActiveConfig:
    holder = ActiveConfig()
    assert holder.offer(version, document()) is OfferResult.ACTIVATED
    return holder


def _changed(rate: int) -> Document:
    return document(workspaces__north__rate_per_s=rate)


def test_version_never_goes_back() -> None:
    """An older version is not activated by any of the three ways to offer it."""
    holder = _holder(5)
    older = _changed(7)
    push = Push("i1", 4, make_delta(document(), older))
    assert holder.offer(5, older) is OfferResult.OLD
    assert holder.offer_push(push) is OfferResult.OLD
    assert holder.offer_parts(missing_parts(older, 3, ())) is OfferResult.OLD
    assert holder.config is not None
    assert holder.config.workspaces_by_name["north"].rate_per_s == 100


def test_push_of_what_changed() -> None:
    """A delta for the active set is activated; one for another set needs a pull."""
    holder = _holder()
    delta = make_delta(document(), _changed(7))
    assert holder.offer_push(Push("i1", 2, delta)) is OfferResult.ACTIVATED
    assert holder.config is not None
    assert holder.config.workspaces_by_name["north"].rate_per_s == 7
    assert holder.offer_push(Push("i1", 3, delta)) is OfferResult.OTHER_BASE
    assert ActiveConfig().offer_push(Push("i1", 3, delta)) is OfferResult.OTHER_BASE


def test_digest_is_verified() -> None:
    """A set with another digest than announced is rejected and reported."""
    holder = _holder()
    delta = make_delta(document(), _changed(7))
    wrong = replace(delta, digest="0" * 64)
    assert holder.offer_push(Push("i1", 2, wrong)) is OfferResult.INVALID
    parts = missing_parts(_changed(7), 2, ())
    assert holder.offer_parts(replace(parts, digest="0" * 64)) is OfferResult.INVALID
    assert holder.version == 1
    assert "version 2" in holder.problem


def test_set_is_checked_again() -> None:
    """A set with a dangling reference is rejected although its digest is right."""
    holder = _holder()
    dangling = parse_document(sample(**{"keys__north-1__workspace": "nobody"}))
    assert isinstance(dangling, Document)
    complete_parts = missing_parts(dangling, 2, ())
    assert holder.offer_parts(complete_parts) is OfferResult.INVALID
    push = Push("i1", 2, make_delta(document(), dangling))
    assert holder.offer_push(push) is OfferResult.INVALID
    assert holder.version == 1


def test_half_a_set_is_refused() -> None:
    """A daemon without a set rejects an incomplete one."""
    complete_parts = missing_parts(document(), 2, ())
    incomplete_parts = replace(
        complete_parts,
        numbers=complete_parts.numbers[:-1],
        bodies=complete_parts.bodies[:-1],
    )
    assert ActiveConfig().offer_parts(incomplete_parts) is OfferResult.INVALID


def test_only_missing_parts_are_sent() -> None:
    """One changed object leads to one sent part."""
    holder = _holder()
    parts = missing_parts(_changed(7), 2, holder.part_digests())
    assert len(parts.numbers) == 1
    assert holder.offer_parts(parts) is OfferResult.ACTIVATED


@settings(derandomize=True, max_examples=50)
@given(st.lists(st.tuples(st.integers(-5, 70), st.binary(max_size=20)), max_size=4))
def test_hostile_parts_are_refused(items: list[tuple[int, bytes]]) -> None:
    """Arbitrary parts cause no exception and leave the active set unchanged."""
    holder = _holder()
    numbers = tuple(number for number, _ in items)
    bodies = tuple(body for _, body in items)
    holder.offer_parts(Parts(2, "d", numbers, bodies))
    assert holder.version == 1


def test_proof_of_an_older_set_counts_only_with_it() -> None:
    """A proof for a version above the active one is not recorded."""
    freshness = Freshness()
    assert not freshness.record_proof(Proof(3, 50.0), held_version=2)
    assert freshness.proof_age_s(60) is None
    assert freshness.record_proof(Proof(2, 40.0), held_version=3)
    freshness.record_proof(Proof(2, 30.0), held_version=3)
    assert freshness.proof_age_s(60) == 20


def test_outage_ends_with_a_newer_proof() -> None:
    """An outage report expires after a time or with a newer proof."""
    freshness = Freshness()
    freshness.record_outage(10)
    assert freshness.outage_age_s(12, valid_s=5) == 2
    assert freshness.outage_age_s(15, valid_s=5) is None
    freshness.record_proof(Proof(0, 11), held_version=0)
    assert freshness.outage_age_s(12, valid_s=5) is None


def test_silent_domain_is_no_outage_for_all() -> None:
    """An outage for all requires a recent report from every known domain."""
    board = PlatformReachability(outage_after_s=1.5, valid_s=3)
    for_all = partial(board.all_domains_report_outage, proven_at=5)
    assert for_all([], 10)
    assert not for_all(["d2"], 10)
    board.record_status("d2", 9, proof_age_s=None)
    assert not for_all(["d2"], 10)
    board.record_status("d2", 9, proof_age_s=4)
    board.record_status("d3", 9, proof_age_s=0.2)
    assert for_all(["d2"], 10)
    assert not for_all(["d2", "d3"], 10)
    board.record_status("d3", 10, proof_age_s=2)
    assert for_all(["d2", "d3"], 11)
    assert not board.all_domains_report_outage(["d2", "d3"], 11, proven_at=9)
    assert not board.all_domains_report_outage(
        ["d2", "d3"], 11, proven_at=float("-inf")
    )
    assert not for_all(["d2", "d3"], 12.5)
    assert board.unresponsive_domains(["d2", "d3"], 12.5) == ("d2",)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
