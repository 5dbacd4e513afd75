"""States of the shares model and their conversion to the classes of damaskbay."""

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
from damaskbay.core.rates.names import BucketLimit
from damaskbay.core.rates.view import LedgerView, _Seen

BUCKET = "w/a"
UNITS = 1
"""Number of equal shares that a bucket is split into."""
RATE_MILLIS = 1000
BURST_MILLIS = 1000
VALIDITY_TICKS = 1
MAX_AGE_TICKS = VALIDITY_TICKS + 1
MAX_TOKENS = UNITS
UNLIMITED = 1000


class Ledger(NamedTuple):
    """Compact form of the ledger of one bucket."""

    spare: int
    mark: int
    version: int
    holdings: tuple[tuple[int, int, int], ...]
    """Tuples of holder, sequence and units."""


class Write(NamedTuple):
    """A proposed write; its confirmation is valid for `ticks_left` more ticks."""

    ledger: Ledger
    expected: int
    sequence: int
    ticks_left: int
    handed: int
    taken: int


class Holder(NamedTuple):
    """State of one holder process."""

    name: int
    version: int
    known: Ledger | None
    revision: int
    mark_age: int
    ages: tuple[tuple[int, int, int], ...]
    """Tuples of holder, its last sequence and the ticks since that changed."""
    ticks_left: int
    tokens: int
    open: Write | None
    sequence: int
    must_read: bool


class World(NamedTuple):
    """One state of the model."""

    ledger: Ledger | None
    revision: int
    in_flight: tuple[tuple[int, Write], ...]
    holders: tuple[Holder, Holder]
    spent: int
    """Level of a leaky bucket that counts all spent tokens."""
    newest: int
    crashes_left: int
    faults_left: int
    """How many more replies may be lost or writes delayed."""
    writes_left: int
    """How many more writes may be sent."""


def new_holder(name: int, version: int) -> Holder:
    """Return the state of a holder process that has just started."""
    return Holder(name, version, None, 0, 0, (), 0, 0, None, 0, False)


@cache
def share_of_units(units: int) -> Share:
    """Return the share that consists of `units` units."""
    return Share(units * RATE_MILLIS, units * BURST_MILLIS)


def total_of(version: int) -> BucketLimit:
    """Return the total in a configuration version; version 2 removes the bucket."""
    share = share_of_units(UNITS if version == 1 else 0)
    return BucketLimit(share.rate_millis, share.burst_millis, version)


@cache
def to_ledger(ledger: Ledger) -> GroupLedger:
    """Return the ledger as the class of damaskbay."""
    holders = {
        str(name): HolderRecord(sequence, VALIDITY_TICKS)
        for name, sequence, _ in ledger.holdings
    }
    holdings = {
        str(name): Holding(share_of_units(units)) for name, _, units in ledger.holdings
    }
    total = total_of(ledger.version)
    record = BucketRecord(total, ledger.spare, ledger.mark, holdings)
    return GroupLedger(holders, {BUCKET: record})


def from_ledger(ledger: GroupLedger) -> Ledger:
    """Return the compact form of a ledger of damaskbay."""
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
        record.spare_millis, record.free_version, record.total.version, tuple(holdings)
    )


@cache
def to_proposal(write: Write) -> Proposal:
    """Return the proposal as the class of damaskbay; the current time is 0."""
    return Proposal(
        to_ledger(write.ledger),
        write.expected,
        write.sequence,
        float(write.ticks_left - VALIDITY_TICKS),
        released_tokens_by_bucket={BUCKET: write.handed},
        claimed_tokens_by_bucket={BUCKET: write.taken},
    )


def share_in(ledger: Ledger | None, name: int) -> Share:
    """Return a holder's share according to a ledger; empty without a ledger."""
    if ledger is None:
        return share_of_units(0)
    units = sum(item[2] for item in ledger.holdings if item[0] == name)
    return share_of_units(units)


def confirmed_share(holder: Holder) -> Share:
    """Return a holder's share in the ledger that it last read."""
    return share_in(holder.known, holder.name)


def view_and_claims(holder: Holder) -> tuple[LedgerView, Claims]:
    """Return the view and claims of damaskbay for a holder; the current time is 0."""
    view = LedgerView(contact_s=1.0)
    if holder.known is not None:
        view.update(to_ledger(holder.known), holder.revision, 0.0)
        view._marks_by_bucket = {BUCKET: _Seen(holder.known.mark, -holder.mark_age)}
        view._sequences_by_holder = {
            str(name): _Seen(sequence, -age) for name, sequence, age in holder.ages
        }
    claims = Claims(str(holder.name), view, VALIDITY_TICKS)
    claims.valid_until = holder.ticks_left
    if holder.open is not None:
        claims.propose(to_proposal(holder.open))
    return view, claims


def ordered(items: Iterable[tuple[int, Write]]) -> tuple[tuple[int, Write], ...]:
    """Return the writes in flight, sorted, so that equal states compare equal."""
    return tuple(sorted(items))
