"""Tests of core.rates.holder and what it rests on."""

import unittest

from damaskbay.core.rates.bucket import NO_SHARE, Share
from damaskbay.core.rates.codec import BadLedger, decode_ledger, encode_ledger
from damaskbay.core.rates.demand import fair_parts
from damaskbay.core.rates.holder import GroupHolder
from damaskbay.core.rates.holding import Claims, Proposal
from damaskbay.core.rates.ledger import GroupLedger, LedgerDraft
from damaskbay.core.rates.names import Total
from damaskbay.core.rates.options import ShareOptions
from damaskbay.core.rates.view import LedgerView
from tests.common import function_suite

BUCKET = "w/a"
OPTIONS = ShareOptions(validity_s=30.0)
TOTAL = Total(10_000, 10_000, 1)


def total_of(_bucket: str) -> Total:
    """Return the set's total."""
    return TOTAL


def holder_with_share(written_at: float = 0.0) -> GroupHolder:
    """Return a holder whose first claim was planned at 0."""
    holder = GroupHolder("a/1", OPTIONS)
    holder.count(BUCKET, 4, 0.0)
    holder.grant(BUCKET, "g0", 4, 4, 0.0)
    proposal = holder.plan(total_of, 0.0)
    assert proposal is not None
    holder.written(proposal, 1, written_at)
    return holder


def draft(ledger: GroupLedger, observed_s: float = 0.0) -> LedgerDraft:
    """Return a draft by a writer who knows all marks for some time."""
    return LedgerDraft(ledger, lambda _: observed_s)


def test_grants_end_with_the_validity() -> None:
    """A holder looks at the clock at each grant."""
    holder = holder_with_share()
    assert holder.grant(BUCKET, "g1", 1, 1, 29.9) == 1
    assert holder.grant(BUCKET, "g2", 1, 1, 30.0) == 0


def test_validity_counts_from_before_the_write() -> None:
    """A slow answer makes the validity no longer."""
    holder = holder_with_share(written_at=20.0)
    assert holder.grant(BUCKET, "g1", 1, 1, 29.9) == 1
    assert holder.grant(BUCKET, "g2", 1, 1, 30.0) == 0


def test_lower_total_holds_at_once() -> None:
    """A newer set scales the share down before anything is written."""
    holder = holder_with_share()
    before = holder.grant(BUCKET, "g1", 1, 1, 5.0)
    holder.rescale(lambda _: Total(10_000, 0, 2), 5.0)
    assert before == 1
    assert holder.grant(BUCKET, "g2", 1, 1, 5.0) == 0


def test_claim_brings_only_the_tokens_that_were_free() -> None:
    """Tokens that were spent elsewhere do not come back with the share."""
    ledger = draft(GroupLedger())
    ledger.adopt_total(BUCKET, TOTAL, first_tokens=True)
    whole = Share(10_000, 10_000)
    assert ledger.claim(BUCKET, "a/1", whole) == (whole, 10_000)
    ledger.lower(BUCKET, "a/1", NO_SHARE, 1_500)
    assert ledger.claim(BUCKET, "b/1", whole) == (whole, 1_500)


def test_free_part_accrues_once() -> None:
    """What the free part accrued is counted by the mark, never twice."""
    first = draft(GroupLedger())
    first.adopt_total(BUCKET, TOTAL, first_tokens=False)
    second = draft(first.finish(), observed_s=0.5)
    assert second.claim(BUCKET, "a/1", Share(0, 8_000))[1] == 5_000
    assert second.claim(BUCKET, "a/1", Share(0, 2_000))[1] == 0


def test_older_total_changes_nothing() -> None:
    """No version goes back."""
    ledger = draft(GroupLedger())
    ledger.adopt_total(BUCKET, Total(5_000, 5_000, 2), first_tokens=True)
    ledger.adopt_total(BUCKET, TOTAL, first_tokens=True)
    record = ledger.record(BUCKET)
    assert record is not None
    assert record.total.version == 2


def test_open_write_counts_for_the_smaller_share() -> None:
    """A write that may still land leaves no more than it would leave."""
    full = draft(GroupLedger())
    full.adopt_total(BUCKET, TOTAL, first_tokens=True)
    full.claim(BUCKET, "a/1", Share(10_000, 10_000))
    full.renew("a/1", 1, 30.0)
    view = LedgerView(contact_s=4.0)
    claims = Claims("a/1", view, 30.0)
    claims.settle(full.finish(), 1, 0.0)
    lowered = draft(full.finish())
    lowered.lower(BUCKET, "a/1", Share(1_000, 1_000), 0)
    lowered.renew("a/1", 2, 30.0)
    claims.propose(Proposal(lowered.finish(), 1, 2, 0.0))
    claims.settle(full.finish(), 1, 1.0)
    assert claims.share(BUCKET) == Share(1_000, 1_000)
    claims.settle(full.finish(), 2, 2.0)
    assert claims.share(BUCKET) == Share(10_000, 10_000)


def test_fair_parts() -> None:
    """Small needs are met in full, the rest is split evenly."""
    parts = fair_parts(10, {"a": 1, "b": 20, "c": 20})
    assert parts == {"a": 1, "b": 4, "c": 5}


def test_ledger_comes_back_as_it_went() -> None:
    """A ledger survives its bytes; other bytes are told apart."""
    proposal = holder_with_share().plan(total_of, 100.0)
    assert proposal is not None
    data = encode_ledger(proposal.ledger)
    assert decode_ledger(data) == proposal.ledger
    for bad in (b"", b"\x90", data[:-1], encode_ledger(GroupLedger())[1:]):
        assert isinstance(decode_ledger(bad), BadLedger)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
