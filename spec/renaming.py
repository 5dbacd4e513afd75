"""Replaces counters by their ranks, which keeps the state space finite."""

from dataclasses import dataclass
from typing import Any

from spec.state import Holder, Ledger, World, Write, ordered


def renumber_by_rank(world: World) -> World:
    """Return an equivalent state whose counters are replaced by their ranks."""
    ledgers = [
        item
        for item in (
            world.ledger,
            *(holder.known for holder in world.holders),
            *(holder.open.ledger for holder in world.holders if holder.open),
            *(write.ledger for _, write in world.in_flight),
        )
        if item is not None
    ]
    writes = [holder.open for holder in world.holders if holder.open]
    writes += [write for _, write in world.in_flight]
    revisions = {world.revision, *(item.revision for item in world.holders)}
    revisions |= {write.expected for write in writes}
    return _RankMaps(
        marks=_ranks(item.mark for item in ledgers),
        revisions=_ranks(revisions),
        sequences=_sequence_ranks(world, ledgers),
    ).world(world)


def _ranks(values: Any, first: int = 0) -> dict[int, int]:
    distinct = sorted(set(values) | {0})
    return {value: rank + first for rank, value in enumerate(distinct)}


def _sequence_ranks(world: World, ledgers: list[Ledger]) -> dict[int, dict[int, int]]:
    values_by_holder: dict[int, set[int]] = {}
    for ledger in ledgers:
        for name, sequence, _ in ledger.holdings:
            values_by_holder.setdefault(name, set()).add(sequence)
    for holder in world.holders:
        values = values_by_holder.setdefault(holder.name, set())
        values.add(holder.sequence)
        if holder.open is not None:
            values.add(holder.open.sequence)
        for name, sequence, _ in holder.ages:
            values_by_holder.setdefault(name, set()).add(sequence)
    for name, write in world.in_flight:
        values_by_holder.setdefault(name, set()).add(write.sequence)
    return {name: _ranks(values) for name, values in values_by_holder.items()}


@dataclass(frozen=True)
class _RankMaps:
    marks: dict[int, int]
    revisions: dict[int, int]
    sequences: dict[int, dict[int, int]]

    def world(self, world: World) -> World:
        first, second = (self._holder(item) for item in world.holders)
        in_flight = (
            (name, self._write(write, name)) for name, write in world.in_flight
        )
        return world._replace(
            ledger=self._optional_ledger(world.ledger),
            revision=self.revisions[world.revision],
            in_flight=ordered(in_flight),
            holders=(first, second),
        )

    def _holder(self, holder: Holder) -> Holder:
        sequences = self.sequences[holder.name]
        return holder._replace(
            known=self._optional_ledger(holder.known),
            revision=self.revisions[holder.revision],
            ages=tuple(
                (name, self.sequences[name][sequence], age)
                for name, sequence, age in holder.ages
            ),
            open=self._write(holder.open, holder.name) if holder.open else None,
            sequence=sequences[holder.sequence],
        )

    def _write(self, write: Write, owner: int) -> Write:
        ranks = self.sequences[owner]
        return write._replace(
            ledger=self._ledger(write.ledger),
            expected=self.revisions[write.expected],
            sequence=ranks[write.sequence],
        )

    def _optional_ledger(self, ledger: Ledger | None) -> Ledger | None:
        return None if ledger is None else self._ledger(ledger)

    def _ledger(self, ledger: Ledger) -> Ledger:
        return replace_counters(ledger, self.marks, self.sequences)


def replace_counters(
    ledger: Ledger, marks: dict[int, int], sequences: dict[int, dict[int, int]]
) -> Ledger:
    """Return the ledger with its mark and sequences replaced by their ranks."""
    holdings = tuple(
        (name, sequences[name][sequence], units)
        for name, sequence, units in ledger.holdings
    )
    return ledger._replace(mark=marks[ledger.mark], holdings=holdings)
