"""States of the model of shares, and the product's objects that they stand for."""

from collections.abc import Iterable
from functools import cache
from typing import NamedTuple

from damaskbay.core.rates.bucket import Share
from damaskbay.core.rates.holding import Claims, Proposal
from damaskbay.core.rates.ledger import (
    BucketRecord,
    GroupLedger,
    HolderRecord,
    Holding,
)
from damaskbay.core.rates.names import Total
from damaskbay.core.rates.view import LedgerView, _Seen

BUCKET = "w/a"
UNITS = 1
"""A bucket is split into this many equal parts of rate and burst."""
RATE_MILLIS = 1000
BURST_MILLIS = 1000
VALIDITY_TICKS = 1
OLDEST = VALIDITY_TICKS + 1
MOST_TOKENS = UNITS
UNLIMITED = 1000


class Ledger(NamedTuple):
    """The ledger of one bucket in small numbers."""

    spare: int
    mark: int
    version: int
    holdings: tuple[tuple[int, int, int], ...]
    """Holder, sequence, units."""


class Write(NamedTuple):
    """A proposal; `left` is the validity that its confirmation would give."""

    ledger: Ledger
    expected: int
    sequence: int
    left: int
    handed: int
    taken: int


class Holder(NamedTuple):
    """One holder process and what it knows."""

    name: int
    version: int
    known: Ledger | None
    revision: int
    mark_age: int
    ages: tuple[tuple[int, int, int], ...]
    """Of each holder seen: name, sequence, ticks without a change."""
    left: int
    tokens: int
    open: Write | None
    sequence: int
    must_read: bool


class World(NamedTuple):
    """One state of the model."""

    ledger: Ledger | None
    revision: int
    flying: tuple[tuple[int, Write], ...]
    holders: tuple[Holder, Holder]
    spent: int
    """Depth of the bucket that all spending fills, in tokens."""
    newest: int
    crashes_left: int
    faults_left: int
    """Answers that may still be lost or come late."""
    writes_left: int
    """Writes that may still be begun."""


def new_holder(name: int, version: int) -> Holder:
    """Return a holder process that has just started."""
    return Holder(name, version, None, 0, 0, (), 0, 0, None, 0, False)


@cache
def units_share(units: int) -> Share:
    """Return a share of so many units."""
    return Share(units * RATE_MILLIS, units * BURST_MILLIS)


def total_of(version: int) -> Total:
    """Return the total that a version says: the second withdraws the bucket."""
    share = units_share(UNITS if version == 1 else 0)
    return Total(share.rate_millis, share.burst_millis, version)


@cache
def to_ledger(ledger: Ledger) -> GroupLedger:
    """Return the product's ledger."""
    holders = {
        str(name): HolderRecord(sequence, VALIDITY_TICKS)
        for name, sequence, _ in ledger.holdings
    }
    holdings = {
        str(name): Holding(units_share(units)) for name, _, units in ledger.holdings
    }
    total = total_of(ledger.version)
    record = BucketRecord(total, ledger.spare, ledger.mark, holdings)
    return GroupLedger(holders, {BUCKET: record})


def from_ledger(ledger: GroupLedger) -> Ledger:
    """Return the small numbers of a ledger."""
    record = ledger.buckets_by_name[BUCKET]
    holdings = sorted(
        (
            int(name),
            item.sequence,
            record.share_of(name).burst_millis // BURST_MILLIS,
        )
        for name, item in ledger.holders_by_id.items()
    )
    return Ledger(
        record.spare_millis, record.mark, record.total.version, tuple(holdings)
    )


@cache
def to_proposal(write: Write) -> Proposal:
    """Return the product's proposal; now is 0."""
    return Proposal(
        to_ledger(write.ledger),
        write.expected,
        write.sequence,
        float(write.left - VALIDITY_TICKS),
        handed_by_bucket={BUCKET: write.handed},
        taken_by_bucket={BUCKET: write.taken},
    )


def share_in(ledger: Ledger | None, name: int) -> Share:
    """Return a holder's share as a ledger says."""
    if ledger is None:
        return units_share(0)
    units = sum(item[2] for item in ledger.holdings if item[0] == name)
    return units_share(units)


def confirmed(holder: Holder) -> Share:
    """Return the share that the ledger known to a holder gives it."""
    return share_in(holder.known, holder.name)


def claims_of(holder: Holder) -> tuple[LedgerView, Claims]:
    """Rebuild the product's view and claims; now is 0."""
    view = LedgerView(contact_s=1.0)
    if holder.known is not None:
        view.update(to_ledger(holder.known), holder.revision, 0.0)
        view._marks_by_bucket = {BUCKET: _Seen(holder.known.mark, -holder.mark_age)}
        view._sequences_by_holder = {
            str(name): _Seen(sequence, -age) for name, sequence, age in holder.ages
        }
    claims = Claims(str(holder.name), view, VALIDITY_TICKS)
    claims.valid_until = holder.left
    if holder.open is not None:
        claims.propose(to_proposal(holder.open))
    return view, claims


def ordered(items: Iterable[tuple[int, Write]]) -> tuple[tuple[int, Write], ...]:
    """Return writes on their way in one order."""
    return tuple(sorted(items))
