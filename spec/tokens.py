"""
Model of granted tokens: a holder, its daemons and a second holder.

The holder uses the bucket of damaskbay. Requests for tokens, grants and closes
may be lost, duplicated and reordered. The holder may hand half of its share to
the second holder.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from minicheck import Protocol

from damaskbay.core.rates.bucket import HolderBucket, Share

BURST_TOKENS = 2
FULL_SHARE = Share(1000, 2000)
HALF_SHARE = Share(500, 1000)
VALIDITY_TICKS = 2
MAX_AGE_TICKS = VALIDITY_TICKS + 1


class Broken(Enum):
    """A rule that the model omits; the checker must then find a violation."""

    NOTHING = "nothing"
    GRANTS_NOT_COUNTED = "granted tokens leave room for new ones at once"
    VALID_FROM_RECEIPT = "a daemon counts validity from the receipt of a grant"
    CLOSED_TWICE = "a repeated close gives tokens back again"
    LOWERED_BELOW_GRANTED = "a share is handed on while its tokens are out"


class Kind(Enum):
    """Kind of a message."""

    ASK = "ask"
    GRANT = "grant"
    CLOSE = "close"


class Message(NamedTuple):
    """A message in flight; `age` is the number of ticks since the request."""

    kind: str
    number: int
    age: int
    tokens: int


class Lot(NamedTuple):
    """Granted tokens that a daemon has."""

    number: int
    tokens: int
    age: int


class World(NamedTuple):
    """One state of the model; levels of holders are in half tokens."""

    has_full_share: bool
    level: int
    grants: tuple[tuple[int, int, int], ...]
    """Tuples of request number, token count and ticks until the grant lapses."""
    taker_level: int
    in_flight: tuple[Message, ...]
    lots: tuple[Lot, ...]
    closed: tuple[int, ...]
    next_number: int
    spent: int
    duplicates_left: int
    """How many more messages may be duplicated."""


@dataclass(frozen=True)
class Model:
    """Transitions of the protocol, with at most one rule omitted."""

    broken: Broken = Broken.NOTHING
    asks: int = 2
    doubles: int = 1

    def protocol(self) -> Protocol:
        """Return the protocol for minicheck."""
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
                "tokens fit the burst": self._tokens_fit,
            },
        )

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield a label and the state of each successor."""
        yield "tick", self._tick(world)
        if world.next_number < self.asks:
            ask = Message(Kind.ASK.value, world.next_number, 0, 0)
            sent = _send(world, ask)
            yield "ask", sent._replace(next_number=world.next_number + 1)
        for message in world.in_flight:
            rest = tuple(item for item in world.in_flight if item != message)
            yield (
                f"{message.kind} arrives",
                self._deliver(world._replace(in_flight=rest), message),
            )
            if world.duplicates_left:
                doubled = world._replace(duplicates_left=world.duplicates_left - 1)
                yield f"{message.kind} is doubled", self._deliver(doubled, message)
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
        if world.has_full_share and free_to_lower:
            bucket.set_share(HALF_SHARE, 0.0)
            kept = int(2 * bucket.level(0.0))
            handed = min(world.level - kept, 2)
            yield (
                "hand half on",
                world._replace(has_full_share=False, level=kept, taker_level=handed),
            )
        if world.taker_level >= 2:
            taken = world._replace(taker_level=world.taker_level - 2)
            yield "other holder spends", _spend(taken)

    def _deliver(self, world: World, message: Message) -> World:
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
        """Accept a grant, once for each request."""
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
        if not world.has_full_share:
            taker = HolderBucket(HALF_SHARE, world.taker_level / 2, 0.0)
            taker_level = int(2 * taker.level(1.0))
        return world._replace(
            level=level,
            grants=grants,
            taker_level=taker_level,
            in_flight=_aged_messages(world.in_flight),
            lots=tuple(
                lot._replace(age=min(lot.age + 1, MAX_AGE_TICKS)) for lot in world.lots
            ),
            spent=max(0, world.spent - 2),
        )

    def _bucket(self, world: World) -> HolderBucket:
        """Return the bucket as the class of damaskbay; the current time is 0."""
        bucket = HolderBucket(FULL_SHARE, BURST_TOKENS, 0.0)
        for number, count, left in world.grants:
            bucket.grant(str(number), count, float(left), 0.0)
        bucket.remove_tokens(BURST_TOKENS, 0.0)
        bucket.add_tokens(world.level / 2, 0.0)
        bucket.set_share(FULL_SHARE if world.has_full_share else HALF_SHARE, 0.0)
        return bucket

    def _tokens_fit(self, state: dict[str, Any]) -> bool:
        """Return whether spendable and recently spent tokens stay within the burst."""
        in_lots = sum(lot.tokens for lot in state["lots"] if lot.age < VALIDITY_TICKS)
        halves = state["level"] + state["taker_level"] + 2 * in_lots
        return bool(halves + state["spent"] <= 2 * BURST_TOKENS)


def _send(world: World, message: Message) -> World:
    in_flight = {*world.in_flight, message}
    return world._replace(in_flight=tuple(sorted(in_flight)))


def _aged_messages(messages: tuple[Message, ...]) -> tuple[Message, ...]:
    """Return the messages one tick older, without those above the maximum age."""
    older = {item._replace(age=item.age + 1) for item in messages}
    return tuple(sorted(item for item in older if item.age <= MAX_AGE_TICKS))


def _with_lot(world: World, lot: Lot, changed: Lot) -> World:
    lots = tuple(changed if item == lot else item for item in world.lots)
    return world._replace(lots=lots)


def _spend(world: World) -> World:
    return world._replace(spent=min(world.spent + 2, 2 * BURST_TOKENS + 2))
