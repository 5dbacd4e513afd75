"""
Model of shares and leases: two holders, the platform, time in integer ticks.

Holders write the ledger with the drafts and claims of damaskbay. A write may be
lost or applied late. Its reply may be lost, or report a conflict although the
write took effect. Holders may pause (take no step while time passes), stop, and
restart without state. Counters are replaced by their ranks, which keeps the
state space finite without a bound on the number of writes.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from minicheck import Protocol

from damaskbay.core.rates.bucket import HolderBucket, Share
from damaskbay.core.rates.ledger import GroupLedger, LedgerDraft
from damaskbay.core.rates.view import LedgerView
from spec.renaming import renumber_by_rank
from spec.state import (
    BUCKET,
    BURST_MILLIS,
    MAX_AGE_TICKS,
    MAX_TOKENS,
    UNITS,
    UNLIMITED,
    VALIDITY_TICKS,
    Holder,
    Ledger,
    World,
    Write,
    confirmed_share,
    from_ledger,
    new_holder,
    ordered,
    share_in,
    share_of_units,
    to_ledger,
    total_of,
    view_and_claims,
)


class Broken(Enum):
    """A rule that the model omits; the checker must then find a violation."""

    NOTHING = "nothing"
    RECLAIM_AT_ONCE = "a silent holder's share is taken without waiting"
    VALID_FROM_ANSWER = "validity counts from the answer, not from the sending"
    SPEND_WHEN_LAPSED = "the holder does not look at the clock before it spends"
    COUNT_ON_LARGEST = "a share counts before its claim is confirmed"
    LOWER_WHEN_CONFIRMED = "a share is lowered only when the write is confirmed"
    FORGET_OPEN = "after a re-read an open write is taken for lost"
    FULL_BURST = "a new share starts with its full burst"
    MARK_STANDS = "a change of the free part is not marked"
    FIRST_TOKENS_AGAIN = "a bucket without shares counts as new"
    ANY_VERSION = "an older set's total replaces a newer one's"
    NEVER_RECLAIM = "a crashed holder's share is never taken back"


@dataclass(frozen=True)
class Model:
    """Transitions of the protocol, with at most one rule omitted."""

    broken: Broken = Broken.NOTHING
    versions: tuple[int, ...] = (1,)
    crashes: int = 1
    faults: int = 1
    writes: int = 4
    units: tuple[int, ...] = (0, UNITS)

    def protocol(self) -> Protocol:
        """Return the protocol for minicheck."""
        first = new_holder(1, self.versions[0])
        second = new_holder(2, self.versions[-1])
        start = World(
            None, 0, (), (first, second), 0, 0, self.crashes, self.faults, self.writes
        )
        return Protocol(
            name=f"shares, {self.broken.value} left out",
            candidate=False,
            fields=World._fields,
            initial=tuple(start),
            transitions=lambda state: list(self.steps(World(*state))),
            invariants={
                "window": lambda state: state["spent"] <= MAX_TOKENS,
                "tokens fit the burst": _tokens_fit,
                "one holder of each share": self._valid_shares_fit,
                "versions only grow": _version_is_newest,
            },
            goal=self._first_holds_full_bucket,
        )

    def steps(self, world: World) -> Iterator[tuple[str, tuple[Any, ...]]]:
        """Yield a label and the state of each successor."""
        yield "tick", self._canonical(self._tick(world))
        for index, holder in enumerate(world.holders):
            for label, next_world in self._holder_steps(world, index, holder):
                yield f"{index}: {label}", self._canonical(next_world)
        for name, write in world.in_flight:
            for label, next_world in self._late_write_steps(world, name, write):
                yield f"of {name}: {label}", self._canonical(next_world)

    def _holder_steps(
        self, world: World, index: int, holder: Holder
    ) -> Iterator[tuple[str, World]]:
        if holder.tokens >= 1 and self._may_spend(holder):
            spent = holder._replace(tokens=holder.tokens - 1)
            counted = world._replace(spent=min(world.spent, MAX_TOKENS) + 1)
            yield "spend", _with_holder(counted, index, spent)
        if world.crashes_left and index == 1:
            restarted = new_holder(holder.name + 2, holder.version)
            after = world._replace(crashes_left=world.crashes_left - 1)
            yield "crash and restart", _with_holder(after, index, restarted)
        if holder.must_read:
            yield "read", _with_holder(world, index, self._after_read(world, holder))
        elif not world.writes_left:
            return
        elif holder.open is not None:
            yield from self._write_steps(
                world, index, holder, holder.open, "write again"
            )
        else:
            for units in self.units:
                proposed, write = self._propose(holder, units)
                label = f"write {units}"
                yield from self._write_steps(world, index, proposed, write, label)

    def _write_steps(
        self, world: World, index: int, holder: Holder, write: Write, label: str
    ) -> Iterator[tuple[str, World]]:
        """Send a write: it is confirmed, its reply is lost, or it is delayed."""
        if world.writes_left < UNLIMITED:
            world = world._replace(writes_left=world.writes_left - 1)
        after = _after_write(world, write)
        read_back = self._after_read(after, holder)
        yield label, _with_holder(after, index, read_back)
        if not world.faults_left:
            return
        after = after._replace(faults_left=world.faults_left - 1)
        unconfirmed = holder._replace(must_read=True)
        yield f"{label}, no answer", _with_holder(after, index, unconfirmed)
        if not any(name == holder.name for name, _ in world.in_flight):
            in_flight = ordered((*world.in_flight, (holder.name, write)))
            faults_left = world.faults_left - 1
            late = world._replace(in_flight=in_flight, faults_left=faults_left)
            yield f"{label}, on its way", _with_holder(late, index, unconfirmed)

    def _late_write_steps(
        self, world: World, name: int, write: Write
    ) -> Iterator[tuple[str, World]]:
        rest = tuple(item for item in world.in_flight if item != (name, write))
        yield "late write is lost", world._replace(in_flight=rest)
        if world.revision == write.expected:
            yield (
                "late write lands",
                _after_write(world._replace(in_flight=rest), write),
            )

    def _tick(self, world: World) -> World:
        holders = [self._after_tick(holder) for holder in world.holders]
        in_flight = ordered(
            (owner, _aged_write(write)) for owner, write in world.in_flight
        )
        return world._replace(
            holders=(holders[0], holders[1]),
            in_flight=in_flight,
            spent=max(0, world.spent - 1),
        )

    def _after_tick(self, holder: Holder) -> Holder:
        bucket = HolderBucket(self._share(holder), holder.tokens, 0.0)
        ages = tuple(
            (name, sequence, min(age + 1, MAX_AGE_TICKS))
            for name, sequence, age in holder.ages
        )
        return holder._replace(
            tokens=int(bucket.level(1.0)),
            ages=ages,
            mark_age=min(holder.mark_age + 1, UNITS),
            ticks_left=max(0, holder.ticks_left - 1),
            open=_aged_write(holder.open) if holder.open else None,
        )

    def _may_spend(self, holder: Holder) -> bool:
        if self.broken is Broken.SPEND_WHEN_LAPSED:
            return True
        return view_and_claims(holder)[1].valid(0.0)

    def _share(self, holder: Holder) -> Share:
        if self.broken is Broken.LOWER_WHEN_CONFIRMED:
            return confirmed_share(holder)
        if self.broken is Broken.COUNT_ON_LARGEST:
            proposed = holder.open.ledger if holder.open else None
            shares = (confirmed_share(holder), share_in(proposed, holder.name))
            return max(shares, key=lambda item: item.burst_millis)
        return view_and_claims(holder)[1].share(BUCKET)

    def _after_read(self, world: World, holder: Holder) -> Holder:
        """Return the holder after a ledger read, by the rules of damaskbay."""
        _, claims = view_and_claims(holder)
        ledger = to_ledger(world.ledger) if world.ledger else GroupLedger()
        tokens = claims.settle(ledger, world.revision, 0.0).tokens_by_bucket
        left = int(max(0.0, claims.valid_until))
        if self.broken is Broken.VALID_FROM_ANSWER and _took_effect(holder, world):
            left = VALIDITY_TICKS
        still_open = holder.open if claims.open_proposal else None
        if self.broken is Broken.FORGET_OPEN:
            still_open = None
        same_mark = (
            holder.known is not None
            and world.ledger is not None
            and holder.known.mark == world.ledger.mark
        )
        ages = _updated_ages(holder, world.ledger)
        updated = holder._replace(
            known=world.ledger,
            revision=world.revision,
            mark_age=holder.mark_age if same_mark else 0,
            ages=ages,
            ticks_left=left,
            open=still_open,
            must_read=False,
        )
        return self._with_tokens(updated, holder.tokens, tokens.get(BUCKET, 0))

    def _with_tokens(self, holder: Holder, tokens: int, tokens_millis: int) -> Holder:
        bucket = HolderBucket(self._share(holder), tokens, 0.0)
        bucket.add_tokens(tokens_millis / 1000, 0.0)
        return holder._replace(tokens=int(bucket.level(0.0)))

    def _propose(self, holder: Holder, units: int) -> tuple[Holder, Write]:
        """Return the holder and its next write, built with a draft of damaskbay."""
        view, _ = view_and_claims(holder)
        base = self._draft_base(view.ledger)
        draft = LedgerDraft(base, lambda bucket: view.observed_s(bucket, 0.0))
        for name in self._reclaimable(holder, view):
            draft.remove_holder(name)
        total = total_of(holder.version)
        draft.set_limit(BUCKET, total, first_tokens=True)
        name = str(holder.name)
        record = draft.record(BUCKET)
        assert record is not None
        own = record.share_of(name).minimum(self._share(holder))
        target = share_of_units(units).minimum(
            Share(record.total.rate_millis, record.total.burst_millis)
        )
        lowered = own.minimum(target)
        handed = taken = 0
        if lowered != record.share_of(name):
            freed = own.burst_millis - lowered.burst_millis
            handed = min(holder.tokens * 1000, freed)
            draft.lower(BUCKET, name, lowered, handed)
        missing = Share(
            target.rate_millis - lowered.rate_millis,
            target.burst_millis - lowered.burst_millis,
        )
        if missing.burst_millis:
            moved, taken = draft.claim(BUCKET, name, missing)
            if self.broken is Broken.FULL_BURST:
                taken = moved.burst_millis
        sequence = holder.sequence + 1
        draft.renew(name, sequence, VALIDITY_TICKS)
        ledger = from_ledger(draft.finish())
        if self.broken is Broken.ANY_VERSION:
            ledger = ledger._replace(version=holder.version)
        if self.broken is Broken.MARK_STANDS and holder.known is not None:
            ledger = ledger._replace(mark=holder.known.mark)
        write = Write(ledger, holder.revision, sequence, VALIDITY_TICKS, handed, taken)
        proposed = holder._replace(
            open=write,
            sequence=sequence,
        )
        left_tokens = holder.tokens - handed // 1000
        return self._with_tokens(proposed, left_tokens, 0), write

    def _reclaimable(self, holder: Holder, view: LedgerView) -> tuple[str, ...]:
        others = tuple(str(item[0]) for item in holder.ages)
        if self.broken is Broken.RECLAIM_AT_ONCE:
            return others
        if self.broken is Broken.NEVER_RECLAIM:
            return ()
        lapsed = view.lapsed(0.0, 0.0)
        return tuple(name for name in lapsed if name in others)

    def _draft_base(self, ledger: GroupLedger) -> GroupLedger:
        record = ledger.buckets_by_name.get(BUCKET)
        again = self.broken is Broken.FIRST_TOKENS_AGAIN
        if not again or record is None or record.free != share_of_units(UNITS):
            return ledger
        full = replace(record, spare_millis=UNITS * BURST_MILLIS)
        return GroupLedger(ledger.holders_by_id, {BUCKET: full})

    def _valid_shares_fit(self, state: dict[str, Any]) -> bool:
        valid = [item for item in state["holders"] if item.ticks_left > 0]
        burst = sum(self._share(item).burst_millis for item in valid)
        return burst <= UNITS * BURST_MILLIS

    def _first_holds_full_bucket(self, state: dict[str, Any]) -> bool:
        first = state["holders"][0]
        whole = self._share(first).burst_millis == UNITS * BURST_MILLIS
        return bool(whole and first.ticks_left and first.tokens == MAX_TOKENS)

    def _canonical(self, world: World) -> tuple[Any, ...]:
        return tuple(renumber_by_rank(world))


def _after_write(world: World, write: Write) -> World:
    """Apply a write by compare-and-swap on the revision."""
    if world.revision != write.expected:
        return world
    newest = max(world.newest, write.ledger.version)
    return world._replace(
        ledger=write.ledger, revision=world.revision + 1, newest=newest
    )


def _took_effect(holder: Holder, world: World) -> bool:
    holdings = world.ledger.holdings if world.ledger else ()
    written = {(name, sequence) for name, sequence, _ in holdings}
    return bool(holder.open and (holder.name, holder.open.sequence) in written)


def _tokens_fit(state: dict[str, Any]) -> bool:
    """Return whether spendable and recently spent tokens stay within the burst."""
    valid = sum(item.tokens for item in state["holders"] if item.ticks_left > 0)
    return bool(valid + state["spent"] <= MAX_TOKENS)


def _version_is_newest(state: dict[str, Any]) -> bool:
    ledger = state["ledger"]
    return ledger is None or ledger.version == state["newest"]


def _with_holder(world: World, index: int, holder: Holder) -> World:
    holders = list(world.holders)
    holders[index] = holder
    return world._replace(holders=(holders[0], holders[1]))


def _aged_write(write: Write) -> Write:
    return write._replace(ticks_left=max(0, write.ticks_left - 1))


def _updated_ages(
    holder: Holder, ledger: Ledger | None
) -> tuple[tuple[int, int, int], ...]:
    known = {(name, sequence): age for name, sequence, age in holder.ages}
    holdings = ledger.holdings if ledger else ()
    return tuple(
        (name, sequence, known.get((name, sequence), 0))
        for name, sequence, _ in holdings
    )
