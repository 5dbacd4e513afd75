"""
Model of granted tokens: one holder, two daemons, and a holder that takes over.

The holder's bucket is the product's own. Asks, grants and closes are lost,
doubled and overtake each other. The holder may hand half of its share on.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from minicheck import Protocol

from damaskbay.core.rates.bucket import HolderBucket, Share

BURST_TOKENS = 2
WHOLE = Share(1000, 2000)
HALF = Share(500, 1000)
VALIDITY_TICKS = 2
OLDEST = VALIDITY_TICKS + 1


class Broken(Enum):
    """A rule that is left out, so that the checker must find what it is for."""

    NOTHING = "nothing"
    GRANTS_NOT_COUNTED = "granted tokens leave room for new ones at once"
    VALID_FROM_RECEIPT = "a daemon counts validity from the receipt of a grant"
    CLOSED_TWICE = "a repeated close gives tokens back again"
    LOWERED_BELOW_GRANTED = "a share is handed on while its tokens are out"


class Kind(Enum):
    """What a message is."""

    ASK = "ask"
    GRANT = "grant"
    CLOSE = "close"


class Message(NamedTuple):
    """A message under way; `age` counts from the sending of the ask."""

    kind: str
    number: int
    age: int
    tokens: int


class Lot(NamedTuple):
    """Tokens at a daemon."""

    number: int
    tokens: int
    age: int


class World(NamedTuple):
    """One state of the model; tokens of the holders in halves."""

    whole: bool
    level: int
    grants: tuple[tuple[int, int, int], ...]
    """Number, count, ticks until it lapses."""
    taker_level: int
    under_way: tuple[Message, ...]
    lots: tuple[Lot, ...]
    closed: tuple[int, ...]
    next_number: int
    spent: int
    doubles_left: int
    """Messages that may still come twice."""


@dataclass(frozen=True)
class Model:
    """The transitions under one choice of rules."""

    broken: Broken = Broken.NOTHING
    asks: int = 2
    doubles: int = 1

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        start = World(True, 2 * BURST_TOKENS, (), 0, (), (), (), 0, 0, self.doubles)
        return Protocol(
            name=f"tokens, {self.broken.value} left out",
            candidate=False,
            fields=World._fields,
            initial=tuple(start),
            transitions=lambda state: [
                (label, tuple(world)) for label, world in self.steps(World(*state))
            ],
            invariants={
                "window": lambda state: state["spent"] <= 2 * BURST_TOKENS,
                "tokens fit the burst": self._fits,
            },
        )

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Return every labelled successor."""
        yield "tick", self._tick(world)
        if world.next_number < self.asks:
            ask = Message(Kind.ASK.value, world.next_number, 0, 0)
            sent = _send(world, ask)
            yield "ask", sent._replace(next_number=world.next_number + 1)
        for message in world.under_way:
            rest = tuple(item for item in world.under_way if item != message)
            yield (
                f"{message.kind} arrives",
                self._arrive(world._replace(under_way=rest), message),
            )
            if world.doubles_left:
                doubled = world._replace(doubles_left=world.doubles_left - 1)
                yield f"{message.kind} is doubled", self._arrive(doubled, message)
        for lot in world.lots:
            yield from self._daemon_steps(world, lot)
        yield from self._holder_steps(world)

    def _daemon_steps(self, world: World, lot: Lot) -> Iterator[tuple[str, World]]:
        if lot.tokens and lot.age < VALIDITY_TICKS:
            spent = lot._replace(tokens=lot.tokens - 1)
            yield "spend", _spend(_with_lot(world, lot, spent))
        rest = tuple(item for item in world.lots if item != lot)
        close = Message(Kind.CLOSE.value, lot.number, 0, lot.tokens)
        yield "close", _send(world._replace(lots=rest), close)

    def _holder_steps(self, world: World) -> Iterator[tuple[str, World]]:
        bucket = self._bucket(world)
        granted_halves = 2 * bucket.outstanding
        free_to_lower = granted_halves <= 2 or (
            self.broken is Broken.LOWERED_BELOW_GRANTED
        )
        if world.whole and free_to_lower:
            bucket.set_share(HALF, 0.0)
            kept = int(2 * bucket.level(0.0))
            handed = min(world.level - kept, 2)
            yield (
                "hand half on",
                world._replace(whole=False, level=kept, taker_level=handed),
            )
        if world.taker_level >= 2:
            taken = world._replace(taker_level=world.taker_level - 2)
            yield "other holder spends", _spend(taken)

    def _arrive(self, world: World, message: Message) -> World:
        if message.kind == Kind.ASK.value:
            return self._on_ask(world, message)
        if message.kind == Kind.GRANT.value:
            return self._on_grant(world, message)
        return self._on_close(world, message)

    def _on_ask(self, world: World, message: Message) -> World:
        bucket = self._bucket(world)
        lapses_at = float(VALIDITY_TICKS)
        count = bucket.grant(str(message.number), BURST_TOKENS, lapses_at, 0.0)
        if not count:
            return world
        grants = world.grants
        if self.broken is not Broken.GRANTS_NOT_COUNTED:
            grants = tuple(sorted((*grants, (message.number, count, VALIDITY_TICKS))))
        after = world._replace(level=int(2 * bucket.level(0.0)), grants=grants)
        grant = Message(Kind.GRANT.value, message.number, message.age, count)
        return _send(after, grant)

    def _on_grant(self, world: World, message: Message) -> World:
        """Take in a grant, once for each ask."""
        known = {lot.number for lot in world.lots} | set(world.closed)
        if message.number in known:
            return world
        age = 0 if self.broken is Broken.VALID_FROM_RECEIPT else message.age
        lots = tuple(sorted((*world.lots, Lot(message.number, message.tokens, age))))
        closed = tuple(sorted((*world.closed, message.number)))
        return world._replace(lots=lots, closed=closed)

    def _on_close(self, world: World, message: Message) -> World:
        bucket = self._bucket(world)
        known = any(number == message.number for number, _, _ in world.grants)
        bucket.close(str(message.number), message.tokens, 0.0)
        if not known and self.broken is Broken.CLOSED_TWICE:
            bucket.add_tokens(message.tokens, 0.0)
        grants = tuple(item for item in world.grants if item[0] != message.number)
        return world._replace(level=int(2 * bucket.level(0.0)), grants=grants)

    def _tick(self, world: World) -> World:
        bucket = self._bucket(world)
        level = int(2 * bucket.level(1.0))
        grants = tuple((n, c, left - 1) for n, c, left in world.grants if left > 1)
        taker_level = 0
        if not world.whole:
            taker = HolderBucket(HALF, world.taker_level / 2, 0.0)
            taker_level = int(2 * taker.level(1.0))
        return world._replace(
            level=level,
            grants=grants,
            taker_level=taker_level,
            under_way=_still_under_way(world.under_way),
            lots=tuple(
                lot._replace(age=min(lot.age + 1, OLDEST)) for lot in world.lots
            ),
            spent=max(0, world.spent - 2),
        )

    def _bucket(self, world: World) -> HolderBucket:
        """Rebuild the product's bucket; now is 0."""
        bucket = HolderBucket(WHOLE, BURST_TOKENS, 0.0)
        for number, count, left in world.grants:
            bucket.grant(str(number), count, float(left), 0.0)
        bucket.remove_tokens(BURST_TOKENS, 0.0)
        bucket.add_tokens(world.level / 2, 0.0)
        bucket.set_share(WHOLE if world.whole else HALF, 0.0)
        return bucket

    def _fits(self, state: dict[str, Any]) -> bool:
        """Tell whether tokens that can be spent fit beside those just spent."""
        in_lots = sum(lot.tokens for lot in state["lots"] if lot.age < VALIDITY_TICKS)
        halves = state["level"] + state["taker_level"] + 2 * in_lots
        return bool(halves + state["spent"] <= 2 * BURST_TOKENS)


def _send(world: World, message: Message) -> World:
    under_way = {*world.under_way, message}
    return world._replace(under_way=tuple(sorted(under_way)))


def _still_under_way(messages: tuple[Message, ...]) -> tuple[Message, ...]:
    """Age the messages; those that are too old are lost."""
    older = {item._replace(age=item.age + 1) for item in messages}
    return tuple(sorted(item for item in older if item.age <= OLDEST))


def _with_lot(world: World, lot: Lot, changed: Lot) -> World:
    lots = tuple(changed if item == lot else item for item in world.lots)
    return world._replace(lots=lots)


def _spend(world: World) -> World:
    return world._replace(spent=min(world.spent + 2, 2 * BURST_TOKENS + 2))
