"""All group holders of one daemon: token requests and requests to the platform."""

import random
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from damaskbay.core.rates.const import (
    BLOCK_MAX_S,
    BLOCK_MIN_S,
    CONFLICT_DELAY_MAX_S,
    REQUEST_RETRY_DELAY_S,
)
from damaskbay.core.rates.holder import GroupHolder, TotalOf
from damaskbay.core.rates.holding import Proposal
from damaskbay.core.rates.ledger import GroupLedger
from damaskbay.core.rates.messages import (
    BucketGrant,
    BucketRequest,
    GrantClose,
    TokenGrants,
    TokenRequest,
)
from damaskbay.core.rates.names import BucketLimit
from damaskbay.core.rates.options import ShareOptions
from damaskbay.helpers.hashing import stable_digest


def group_of(bucket: str, groups: int) -> int:
    """Return the number of the group that a bucket belongs to."""
    return _hash(bucket) % groups


def rank(group: int, instance: str) -> int:
    """Return a daemon's rank for a group, whose holders are the highest-ranked."""
    return _hash(f"{group}/{instance}")


def _has_burst(total: BucketLimit | None) -> bool:
    """Return whether the bucket exists and can ever hold a token."""
    return total is not None and total.burst_millis > 0


def _hash(text: str) -> int:
    return int.from_bytes(stable_digest(text))


@dataclass(frozen=True, slots=True)
class TokenReply:
    """Reply to the token request with this key."""

    key: Hashable
    grants: TokenGrants


@dataclass(frozen=True, slots=True)
class WriteLedger:
    """Request to write a group's ledger by compare-and-swap."""

    group: int
    proposal: Proposal


@dataclass(frozen=True, slots=True)
class ReadLedger:
    """Request to read a group's ledger."""

    group: int


@dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """Result of a write that succeeded."""

    revision: int


@dataclass(frozen=True, slots=True)
class StoredLedger:
    """The ledger stored in the platform; result of a read or a write conflict."""

    ledger: GroupLedger
    revision: int


@dataclass(frozen=True, slots=True)
class NoEffect:
    """Result of a request that certainly had no effect."""


@dataclass(frozen=True, slots=True)
class Unresolved:
    """Result of a request that may have had an effect or may still have one."""


LedgerResult = WriteSucceeded | StoredLedger | NoEffect | Unresolved
LedgerRequest = WriteLedger | ReadLedger


@dataclass(slots=True)
class _GroupState:
    """
    State of one group at this daemon.

    No request is sent to the platform before `not_before`. `write_tokens`, as of
    `write_tokens_at`, limit the rate of writes. If `must_read`, the outcome of a
    request is unknown, and the ledger is read before the next write.
    """

    holder: GroupHolder
    request_in_flight: bool = False
    must_read: bool = False
    not_before: float = float("-inf")
    last_read_at: float = float("-inf")
    last_token_request_at: float = float("-inf")
    write_tokens: float = 1.0
    write_tokens_at: float = float("-inf")


@dataclass(slots=True)
class _PendingRequest:
    """A token request that waits for a claim to succeed."""

    key: Hashable
    daemon: str
    asks: tuple[BucketRequest, ...]
    deadline: float
    grants_by_bucket: dict[str, BucketGrant] = field(default_factory=dict)


class HolderNode:
    """
    Holder of all groups at one daemon, without I/O of its own.

    `request_tokens` handles token requests. `calls` returns the requests to send to the
    platform; pass each result to `call_done`. `stop` gives all shares back.
    """

    def __init__(
        self, holder_id: str, options: ShareOptions, rng: random.Random
    ) -> None:
        self._holder_id = holder_id
        self._options = options
        self._rng = rng
        self._groups_by_number: dict[int, _GroupState] = {}
        self._roles: frozenset[int] = frozenset()
        self._pending: list[_PendingRequest] = []
        self._stopping = False

    def set_roles(self, groups: Iterable[int]) -> None:
        """Set the groups that this daemon is a holder of."""
        self._roles = frozenset(groups)

    def stop(self) -> None:
        """Start to give all shares back."""
        self._stopping = True

    def stopped(self) -> bool:
        """Return whether all shares are confirmed to be given back."""
        return self._stopping and not any(
            item.request_in_flight
            or item.holder.in_ledger()
            or item.holder.claims.open_proposal
            for item in self._groups_by_number.values()
        )

    def rescale(self, total_of: TotalOf, now: float) -> None:
        """Apply the limits of a newer configuration set."""
        for item in self._groups_by_number.values():
            item.holder.rescale(total_of, now)

    def request_tokens(
        self,
        key: Hashable,
        daemon: str,
        ask: TokenRequest,
        total_of: TotalOf,
        now: float,
    ) -> list[TokenReply]:
        """
        Handle a token request; keep it for a short time if a claim may help.

        Return the replies that are ready. If the active configuration set lacks one
        of the buckets, nothing is granted.
        """
        self.close(daemon, ask.closes, now)
        if not all(_has_burst(total_of(item.bucket)) for item in ask.requests):
            empty_grants = (
                BucketGrant(i.bucket, i.grant_number, 0) for i in ask.requests
            )
            return [TokenReply(key, TokenGrants(tuple(empty_grants)))]
        deadline = now + self._options.claim_wait_s
        pending = _PendingRequest(key, daemon, ask.requests, deadline)
        for item in ask.requests:
            group = self._group(item.bucket)
            group.last_token_request_at = now
            group.holder.count(item.bucket, item.calls, now)
        return self._reply_or_keep([pending], now)

    def close(self, daemon: str, closes: Iterable[GrantClose], now: float) -> None:
        """Close grants of a daemon and put their unused tokens back."""
        for item in closes:
            grant_id = f"{daemon}/{item.grant_number}"
            holder = self._group(item.bucket).holder
            holder.close(item.bucket, grant_id, item.unused, now)

    def due_replies(self, now: float) -> list[TokenReply]:
        """Return the replies to waiting requests that are granted or have timed out."""
        pending, self._pending = self._pending, []
        return self._reply_or_keep(pending, now)

    def calls(self, total_of: TotalOf, now: float) -> list[LedgerRequest]:
        """Return the requests to the platform that are due."""
        calls: list[LedgerRequest] = []
        for number, group in self._groups_by_number.items():
            if group.request_in_flight or now < group.not_before:
                continue
            call = self._next_request(number, group, total_of, now)
            if call is not None:
                group.request_in_flight = True
                group.write_tokens -= isinstance(call, WriteLedger)
                group.not_before = now + self._options.write_gap_s
                calls.append(call)
        return calls

    def call_done(
        self, call: LedgerRequest, result: LedgerResult, now: float
    ) -> list[TokenReply]:
        """Record the result of a platform request; return the replies now ready."""
        group = self._groups_by_number[call.group]
        group.request_in_flight = False
        proposal = call.proposal if isinstance(call, WriteLedger) else None
        if isinstance(result, StoredLedger):
            group.holder.settle(result.ledger, result.revision, now)
            if proposal is not None:
                group.write_tokens += 1
                group.not_before = now + self._rng.uniform(0, CONFLICT_DELAY_MAX_S)
        elif isinstance(result, WriteSucceeded) and proposal is not None:
            group.holder.write_succeeded(proposal, result.revision, now)
        elif isinstance(result, NoEffect) and proposal is not None:
            group.holder.write_failed(proposal, now)
        if isinstance(result, (StoredLedger, WriteSucceeded)):
            group.must_read = False
            group.last_read_at = now
        else:
            group.must_read = group.must_read or isinstance(result, Unresolved)
            group.not_before = now + REQUEST_RETRY_DELAY_S
        return self.due_replies(now)

    def _group(self, bucket: str) -> _GroupState:
        number = group_of(bucket, self._options.groups)
        group = self._groups_by_number.get(number)
        if group is None:
            group = _GroupState(GroupHolder(self._holder_id, self._options))
            self._groups_by_number[number] = group
        return group

    def _next_request(
        self, number: int, group: _GroupState, total_of: TotalOf, now: float
    ) -> LedgerRequest | None:
        """Return the platform request that is due for a group, or None."""
        holder = group.holder
        if group.must_read:
            return ReadLedger(number)
        if self._stopping or self._has_stepped_down(number, group, now):
            proposal = holder.release_all(now)
            return WriteLedger(number, proposal) if proposal else None
        poll_due = now - group.last_read_at >= self._options.poll_s
        if poll_due and holder.view.revision and not holder.may_claim_any():
            return ReadLedger(number)
        if not self._may_write(group, now):
            return None
        proposal = holder.plan(total_of, now)
        return WriteLedger(number, proposal) if proposal else None

    def _may_write(self, group: _GroupState, now: float) -> bool:
        """Return whether the write rate allows a write; refill its token bucket."""
        refill = (now - group.write_tokens_at) / self._options.write_interval_s
        group.write_tokens_at = now
        max_tokens = float(self._options.write_burst)
        group.write_tokens = min(group.write_tokens + refill, max_tokens)
        return group.write_tokens >= 1

    def _has_stepped_down(self, number: int, group: _GroupState, now: float) -> bool:
        """Return whether this daemon is no holder and had no request lately."""
        if number in self._roles:
            return False
        return now - group.last_token_request_at > self._options.step_down_s

    def _reply_or_keep(
        self, pending: list[_PendingRequest], now: float
    ) -> list[TokenReply]:
        """Return the replies that are ready; keep the other requests pending."""
        answers = []
        for item in pending:
            if self._grant_available(item, now):
                grants = tuple(item.grants_by_bucket[ask.bucket] for ask in item.asks)
                answers.append(TokenReply(item.key, TokenGrants(grants)))
            else:
                self._pending.append(item)
        return answers

    def _grant_available(self, pending: _PendingRequest, now: float) -> bool:
        """Grant available tokens; return whether the reply is ready."""
        is_ready = True
        for ask in pending.asks:
            earlier = pending.grants_by_bucket.get(ask.bucket)
            if earlier is not None and earlier.count > 0:
                continue
            holder = self._group(ask.bucket).holder
            grant_id = f"{pending.daemon}/{ask.grant_number}"
            count = holder.grant(ask.bucket, grant_id, ask.needed, ask.wanted, now)
            pending.grants_by_bucket[ask.bucket] = self._bucket_grant(ask, count, now)
            may_wait = count == 0 and ask.needed > 0 and holder.may_claim(ask.bucket)
            is_ready = is_ready and not may_wait
        return is_ready or now >= pending.deadline or self._stopping

    def _bucket_grant(self, ask: BucketRequest, count: int, now: float) -> BucketGrant:
        """Return the grant to reply, with a retry delay if `count` is 0."""
        if count > 0:
            return BucketGrant(ask.bucket, ask.grant_number, count)
        holder = self._group(ask.bucket).holder
        rate = holder.rate_per_s(ask.bucket)
        wait_s = max(BLOCK_MIN_S, 1 / rate) if rate > 0 else BLOCK_MAX_S
        exceeded = holder.rate_exceeded(ask.bucket, now)
        return BucketGrant(ask.bucket, ask.grant_number, 0, exceeded, wait_s)
