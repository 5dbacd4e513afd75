"""Tests of core.rates.holder and the modules that it uses."""

import unittest

from damaskbay.core.rates.bucket import NO_SHARE, Share
from damaskbay.core.rates.codec import BadLedger, decode_ledger, encode_ledger
from damaskbay.core.rates.demand import max_min_fair_shares
from damaskbay.core.rates.holder import GroupHolder
from damaskbay.core.rates.holding import Claims, Proposal
from damaskbay.core.rates.ledger import GroupLedger, LedgerDraft
from damaskbay.core.rates.names import BucketLimit
from damaskbay.core.rates.options import ShareOptions
from damaskbay.core.rates.view import LedgerView
from tests.common import function_suite

BUCKET = "w/a"
OPTIONS = ShareOptions(validity_s=30.0)
TOTAL = BucketLimit(10_000, 10_000, 1)


def total_of(_bucket: str) -> BucketLimit:
    """Return the configured limit."""
    return TOTAL


def holder_with_share(written_at: float = 0.0) -> GroupHolder:
    """Return a holder whose first claim was planned at time 0."""
    holder = GroupHolder("a/1", OPTIONS)
    holder.count(BUCKET, 4, 0.0)
    holder.grant(BUCKET, "g0", 4, 4, 0.0)
    proposal = holder.plan(total_of, 0.0)
    assert proposal is not None
    holder.write_succeeded(proposal, 1, written_at)
    return holder


def draft(ledger: GroupLedger, observed_s: float = 0.0) -> LedgerDraft:
    """Return a draft of a writer that saw all marks unchanged for `observed_s`."""
    return LedgerDraft(ledger, lambda _: observed_s)


def test_grants_end_with_the_validity() -> None:
    """A holder checks its validity at each grant."""
    holder = holder_with_share()
    assert holder.grant(BUCKET, "g1", 1, 1, 29.9) == 1
    assert holder.grant(BUCKET, "g2", 1, 1, 30.0) == 0


def test_validity_counts_from_before_the_write() -> None:
    """A slow reply does not extend the validity."""
    holder = holder_with_share(written_at=20.0)
    assert holder.grant(BUCKET, "g1", 1, 1, 29.9) == 1
    assert holder.grant(BUCKET, "g2", 1, 1, 30.0) == 0


def test_lower_total_holds_at_once() -> None:
    """A lower limit scales the share down before any write."""
    holder = holder_with_share()
    before = holder.grant(BUCKET, "g1", 1, 1, 5.0)
    holder.rescale(lambda _: BucketLimit(10_000, 0, 2), 5.0)
    assert before == 1
    assert holder.grant(BUCKET, "g2", 1, 1, 5.0) == 0


def test_claim_brings_only_the_tokens_that_were_free() -> None:
    """A claimed share comes only with tokens that its last holder did not spend."""
    ledger = draft(GroupLedger())
    ledger.set_limit(BUCKET, TOTAL, first_tokens=True)
    full_share = Share(10_000, 10_000)
    assert ledger.claim(BUCKET, "a/1", full_share) == (full_share, 10_000)
    ledger.lower(BUCKET, "a/1", NO_SHARE, 1_500)
    assert ledger.claim(BUCKET, "b/1", full_share) == (full_share, 1_500)


def test_free_part_accrues_once() -> None:
    """The mark ensures that tokens accrued by the free share count only once."""
    first = draft(GroupLedger())
    first.set_limit(BUCKET, TOTAL, first_tokens=False)
    second = draft(first.finish(), observed_s=0.5)
    assert second.claim(BUCKET, "a/1", Share(0, 8_000))[1] == 5_000
    assert second.claim(BUCKET, "a/1", Share(0, 2_000))[1] == 0


def test_older_total_changes_nothing() -> None:
    """An older version of a limit is ignored."""
    ledger = draft(GroupLedger())
    ledger.set_limit(BUCKET, BucketLimit(5_000, 5_000, 2), first_tokens=True)
    ledger.set_limit(BUCKET, TOTAL, first_tokens=True)
    record = ledger.record(BUCKET)
    assert record is not None
    assert record.total.version == 2


def test_open_write_counts_for_the_smaller_share() -> None:
    """While a write is open, the holder uses the smaller of both shares."""
    full = draft(GroupLedger())
    full.set_limit(BUCKET, TOTAL, first_tokens=True)
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
    """Small needs are met in full; the remainder is split evenly."""
    shares = max_min_fair_shares(10, {"a": 1, "b": 20, "c": 20})
    assert shares == {"a": 1, "b": 4, "c": 5}


def test_ledger_comes_back_as_it_went() -> None:
    """Decoding an encoded ledger restores it; invalid bytes give `BadLedger`."""
    proposal = holder_with_share().plan(total_of, 100.0)
    assert proposal is not None
    data = encode_ledger(proposal.ledger)
    assert decode_ledger(data) == proposal.ledger
    for bad in (b"", b"\x90", data[:-1], encode_ledger(GroupLedger())[1:]):
        assert isinstance(decode_ledger(bad), BadLedger)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
