"""The holders of all groups at one daemon: who is asked, what is written when."""

import random
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from damaskbay.core.rates.const import (
    BLOCK_MAX_S,
    BLOCK_MIN_S,
    CALL_RETRY_S,
    CONFLICT_SPREAD_S,
)
from damaskbay.core.rates.holder import GroupHolder, TotalOf
from damaskbay.core.rates.holding import Proposal
from damaskbay.core.rates.ledger import GroupLedger
from damaskbay.core.rates.messages import (
    BucketAsk,
    BucketGrant,
    GrantClose,
    TokenAsk,
    TokenGrants,
)
from damaskbay.core.rates.names import Total
from damaskbay.core.rates.options import ShareOptions
from damaskbay.helpers.hashing import stable_digest


def group_of(bucket: str, groups: int) -> int:
    """Return the group whose ledger holds a bucket."""
    return _hash(bucket) % groups


def rank(group: int, instance: str) -> int:
    """Return a daemon's rank for a group; the highest is its holder."""
    return _hash(f"{group}/{instance}")


def _is_known(total: Total | None) -> bool:
    return total is not None and total.burst_millis > 0


def _hash(text: str) -> int:
    return int.from_bytes(stable_digest(text))


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to the ask that came with this key."""

    key: Hashable
    grants: TokenGrants


@dataclass(frozen=True, slots=True)
class WriteLedger:
    """Write a group's ledger by compare-and-swap."""

    group: int
    proposal: Proposal


@dataclass(frozen=True, slots=True)
class ReadLedger:
    """Read a group's ledger."""

    group: int


@dataclass(frozen=True, slots=True)
class Wrote:
    """The write took effect."""

    revision: int


@dataclass(frozen=True, slots=True)
class Stands:
    """What stands in the platform; after a lost race or a read."""

    ledger: GroupLedger
    revision: int


@dataclass(frozen=True, slots=True)
class NoEffect:
    """The call surely had no effect."""


@dataclass(frozen=True, slots=True)
class Unresolved:
    """The call may have taken effect or may still do so."""


CallResult = Wrote | Stands | NoEffect | Unresolved
LedgerCall = WriteLedger | ReadLedger


@dataclass(slots=True)
class _Group:
    holder: GroupHolder
    calling: bool = False
    must_read: bool = False
    not_before: float = float("-inf")
    polled_at: float = float("-inf")
    asked_at: float = float("-inf")
    writes_left: float = 1.0
    writes_at: float = float("-inf")


@dataclass(slots=True)
class _Pending:
    """An ask that waits for a claim to come through."""

    key: Hashable
    daemon: str
    asks: tuple[BucketAsk, ...]
    until: float
    grants_by_bucket: dict[str, BucketGrant] = field(default_factory=dict)


class HolderNode:
    """
    Answers asks for tokens and keeps the shares behind them.

    `stop` gives everything back; `calls` returns what to do at the platform,
    each call's result comes back through `call_done`.
    """

    def __init__(
        self, holder_id: str, options: ShareOptions, rng: random.Random
    ) -> None:
        self._holder_id = holder_id
        self._options = options
        self._rng = rng
        self._groups_by_number: dict[int, _Group] = {}
        self._roles: frozenset[int] = frozenset()
        self._pending: list[_Pending] = []
        self._stopping = False

    def set_roles(self, groups: Iterable[int]) -> None:
        """Take the groups that this daemon is the holder of."""
        self._roles = frozenset(groups)

    def stop(self) -> None:
        """Start giving all shares back."""
        self._stopping = True

    def stopped(self) -> bool:
        """Tell whether all shares are surely given back."""
        return self._stopping and not any(
            item.calling or item.holder.holds_any() or item.holder.claims.open_proposal
            for item in self._groups_by_number.values()
        )

    def rescale(self, total_of: TotalOf, now: float) -> None:
        """Take in a newer set."""
        for item in self._groups_by_number.values():
            item.holder.rescale(total_of, now)

    def ask(
        self,
        key: Hashable,
        daemon: str,
        ask: TokenAsk,
        total_of: TotalOf,
        now: float,
    ) -> list[Answer]:
        """
        Answer an ask, or keep it for a short time while a claim is made.

        Buckets that the set in force does not know get nothing.
        """
        self.close(daemon, ask.closes, now)
        if not all(_is_known(total_of(item.bucket)) for item in ask.asks):
            none = (BucketGrant(i.bucket, i.grant_number, 0) for i in ask.asks)
            return [Answer(key, TokenGrants(tuple(none)))]
        until = now + self._options.claim_wait_s
        pending = _Pending(key, daemon, ask.asks, until)
        for item in ask.asks:
            group = self._group(item.bucket)
            group.asked_at = now
            group.holder.count(item.bucket, item.requests, now)
        return self._try([pending], now)

    def close(self, daemon: str, closes: Iterable[GrantClose], now: float) -> None:
        """Take back what a daemon did not spend."""
        for item in closes:
            grant_id = f"{daemon}/{item.grant_number}"
            holder = self._group(item.bucket).holder
            holder.close(item.bucket, grant_id, item.unused, now)

    def due_answers(self, now: float) -> list[Answer]:
        """Answer the asks that have waited long enough."""
        pending, self._pending = self._pending, []
        return self._try(pending, now)

    def calls(self, total_of: TotalOf, now: float) -> list[LedgerCall]:
        """Return the platform calls that are due."""
        calls: list[LedgerCall] = []
        for number, group in self._groups_by_number.items():
            if group.calling or now < group.not_before:
                continue
            call = self._call(number, group, total_of, now)
            if call is not None:
                group.calling = True
                group.writes_left -= isinstance(call, WriteLedger)
                group.not_before = now + self._options.write_gap_s
                calls.append(call)
        return calls

    def call_done(
        self, call: LedgerCall, result: CallResult, now: float
    ) -> list[Answer]:
        """Take in the result of a platform call and answer who waited for it."""
        group = self._groups_by_number[call.group]
        group.calling = False
        proposal = call.proposal if isinstance(call, WriteLedger) else None
        if isinstance(result, Stands):
            group.holder.settle(result.ledger, result.revision, now)
            if proposal is not None:
                group.writes_left += 1
                group.not_before = now + self._rng.uniform(0, CONFLICT_SPREAD_S)
        elif isinstance(result, Wrote) and proposal is not None:
            group.holder.written(proposal, result.revision, now)
        elif isinstance(result, NoEffect) and proposal is not None:
            group.holder.failed(proposal, now)
        if isinstance(result, (Stands, Wrote)):
            group.must_read = False
            group.polled_at = now
        else:
            group.must_read = group.must_read or isinstance(result, Unresolved)
            group.not_before = now + CALL_RETRY_S
        return self.due_answers(now)

    def _group(self, bucket: str) -> _Group:
        number = group_of(bucket, self._options.groups)
        group = self._groups_by_number.get(number)
        if group is None:
            group = _Group(GroupHolder(self._holder_id, self._options))
            self._groups_by_number[number] = group
        return group

    def _call(
        self, number: int, group: _Group, total_of: TotalOf, now: float
    ) -> LedgerCall | None:
        holder = group.holder
        if group.must_read:
            return ReadLedger(number)
        if self._stopping or self._has_stepped_down(number, group, now):
            proposal = holder.leave(now)
            return WriteLedger(number, proposal) if proposal else None
        poll_due = now - group.polled_at >= self._options.poll_s
        if poll_due and holder.view.revision and not holder.any_claimable():
            return ReadLedger(number)
        if not self._may_write(group, now):
            return None
        proposal = holder.plan(total_of, now)
        return WriteLedger(number, proposal) if proposal else None

    def _may_write(self, group: _Group, now: float) -> bool:
        """Keep the platform's writes bounded however demand moves."""
        refilled = (now - group.writes_at) / self._options.write_refill_s
        group.writes_at = now
        most = float(self._options.write_reserve)
        group.writes_left = min(group.writes_left + refilled, most)
        return group.writes_left >= 1

    def _has_stepped_down(self, number: int, group: _Group, now: float) -> bool:
        if number in self._roles:
            return False
        return now - group.asked_at > self._options.step_down_s

    def _try(self, pending: list[_Pending], now: float) -> list[Answer]:
        answers = []
        for item in pending:
            if self._grant(item, now):
                grants = tuple(item.grants_by_bucket[ask.bucket] for ask in item.asks)
                answers.append(Answer(item.key, TokenGrants(grants)))
            else:
                self._pending.append(item)
        return answers

    def _grant(self, pending: _Pending, now: float) -> bool:
        """Grant what can be granted; tell whether the ask is to be answered."""
        complete = True
        for ask in pending.asks:
            known = pending.grants_by_bucket.get(ask.bucket)
            if known is not None and known.count > 0:
                continue
            holder = self._group(ask.bucket).holder
            grant_id = f"{pending.daemon}/{ask.grant_number}"
            count = holder.grant(ask.bucket, grant_id, ask.needed, ask.wanted, now)
            pending.grants_by_bucket[ask.bucket] = self._answer(ask, count, now)
            waits = count == 0 and ask.needed > 0 and holder.claimable(ask.bucket)
            complete = complete and not waits
        return complete or now >= pending.until or self._stopping

    def _answer(self, ask: BucketAsk, count: int, now: float) -> BucketGrant:
        if count > 0:
            return BucketGrant(ask.bucket, ask.grant_number, count)
        holder = self._group(ask.bucket).holder
        rate = holder.rate_per_s(ask.bucket)
        wait_s = max(BLOCK_MIN_S, 1 / rate) if rate > 0 else BLOCK_MAX_S
        exceeded = holder.surely_exceeded(ask.bucket, now)
        return BucketGrant(ask.bucket, ask.grant_number, 0, exceeded, wait_s)
