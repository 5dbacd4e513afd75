"""Holder of one group: its buckets, its shares in the ledger, its next write."""

from collections.abc import Callable
from dataclasses import dataclass, field

from damaskbay.core.rates.bucket import NO_SHARE, HolderBucket, Share
from damaskbay.core.rates.const import (
    CONTACT_TIMEOUT_POLLS,
    MILLIS,
    NEED_CHANGE_FACTOR,
    PREFETCH_LEVEL_DIVISOR,
)
from damaskbay.core.rates.demand import DemandEstimator
from damaskbay.core.rates.holding import Claims, Proposal, ProposalOutcome
from damaskbay.core.rates.ledger import GroupLedger, LedgerDraft
from damaskbay.core.rates.names import BucketLimit, equal_limits, newer_limit
from damaskbay.core.rates.options import ShareOptions
from damaskbay.core.rates.planner import (
    Need,
    needed_share,
    target_share,
    unresponsive_holders,
)
from damaskbay.core.rates.view import LedgerView

TotalOf = Callable[[str], BucketLimit | None]


@dataclass(slots=True)
class _BucketState:
    """
    State of one bucket at this holder.

    `total` is the newest known limit, `sized_for` the limit that the confirmed share
    was sized for. A plan at revision `exhausted_revision` of the ledger claimed
    nothing, so no claim is expected to succeed until the ledger changes.
    """

    bucket: HolderBucket
    demand: DemandEstimator
    total: BucketLimit | None = None
    sized_for: BucketLimit | None = None
    unmet_by_grant: dict[str, int] = field(default_factory=dict)
    exhausted_revision: int = -1

    @property
    def unmet_tokens(self) -> int:
        """Return the number of needed tokens not granted since the last write."""
        return sum(self.unmet_by_grant.values())


class _PlannedWrite:
    """A draft of the ledger, its effects, and whether it is worth a write."""

    def __init__(self, draft: LedgerDraft) -> None:
        self.draft = draft
        self.released_tokens_by_bucket: dict[str, int] = {}
        self.claimed_tokens_by_bucket: dict[str, int] = {}
        self.totals_by_bucket: dict[str, BucketLimit] = {}
        self.is_due = False


class GroupHolder:
    """Holder of one group, which grants tokens and keeps its shares in the ledger."""

    def __init__(self, holder_id: str, options: ShareOptions) -> None:
        self.holder_id = holder_id
        self.view = LedgerView(contact_s=options.poll_s * CONTACT_TIMEOUT_POLLS)
        self.claims = Claims(holder_id, self.view, options.validity_s)
        self._options = options
        self._states_by_bucket: dict[str, _BucketState] = {}
        self._releasing = False

    def in_ledger(self) -> bool:
        """Return whether the ledger contains this holder."""
        return self.holder_id in self.view.ledger.holders_by_id

    def in_use(self) -> bool:
        """Return whether any daemon ever sent a request to this holder."""
        return bool(self._states_by_bucket)

    def may_claim(self, bucket: str) -> bool:
        """Return whether a claim may yield tokens that were needed but not granted."""
        state = self._states_by_bucket.get(bucket)
        if state is None or not state.unmet_tokens:
            return False
        if self.view.revision == 0:
            return True
        if state.exhausted_revision == self.view.revision:
            return False
        record = self.view.ledger.buckets_by_name.get(bucket)
        if record is None:
            return True
        lacks_rate = record.share_of(self.holder_id).rate_millis == 0
        free = record.free
        return free.burst_millis >= MILLIS or (lacks_rate and free.rate_millis > 0)

    def may_claim_any(self) -> bool:
        """Return whether a claim for any bucket may yield tokens not granted before."""
        return any(self.may_claim(name) for name in self._states_by_bucket)

    def rate_exceeded(self, bucket: str, now: float) -> bool:
        """Return whether a lack of tokens here proves that the rate is exceeded."""
        if not self.claims.valid(now):
            return False
        record = self.view.ledger.buckets_by_name.get(bucket)
        if record is None:
            return False
        total = Share(record.total.rate_millis, record.total.burst_millis)
        return self.view.in_contact(now) or self.claims.share(bucket) == total

    def rate_per_s(self, bucket: str) -> float:
        """Return the rate of the holder's share, tokens per second."""
        return self.claims.share(bucket).rate_millis / MILLIS

    def grant(
        self, bucket: str, grant_id: str, needed: int, wanted: int, now: float
    ) -> int:
        """
        Grant up to `needed` tokens, up to `wanted` at a high level; return how many.

        The daemon must drop them `token_validity_s` after it sent the request.
        """
        state = self._state(bucket, now)
        granted = 0
        if self.claims.valid(now) and not self._releasing:
            prefetch_limit = int(state.bucket.level(now)) // PREFETCH_LEVEL_DIVISOR
            lapses_at = now + self._options.token_validity_s
            lapses_at += self._options.token_margin_s
            count = max(needed, min(wanted, prefetch_limit))
            granted = state.bucket.grant(grant_id, count, lapses_at, now)
        state.unmet_by_grant.pop(grant_id, None)
        if granted < needed:
            state.unmet_by_grant[grant_id] = needed - granted
        return granted

    def count(self, bucket: str, requests: int, now: float) -> None:
        """Count calls that needed tokens of the bucket at some daemon."""
        state = self._state(bucket, now)
        drain_per_s = state.bucket.share.rate_millis / MILLIS
        max_spike = state.total.burst_millis / MILLIS if state.total else requests
        state.demand.add(requests, drain_per_s, max_spike, now)

    def close(self, bucket: str, grant_id: str, unused: int, now: float) -> None:
        """Close a grant and put its unused tokens back."""
        state = self._states_by_bucket.get(bucket)
        if state is not None:
            state.bucket.close(grant_id, unused, now)

    def rescale(self, total_of: TotalOf, now: float) -> None:
        """Scale shares down at once if the active configuration set lowers limits."""
        for name, state in self._states_by_bucket.items():
            state.total = newer_limit(state.total, total_of(name))
            state.bucket.set_share(self._confirmed_share(name), now)

    def renewal_due(self, now: float) -> bool:
        """Return whether the last confirmed renewal is older than `renew_s`."""
        renewed_at = self.claims.valid_until - self._options.validity_s
        return now - renewed_at >= self._options.renew_s

    def plan(self, total_of: TotalOf, now: float) -> Proposal | None:
        """
        Return the next proposal to write, or None if no write is needed.

        While the outcome of the last write is unknown, the same proposal is returned.
        """
        self._releasing = False
        self.rescale(total_of, now)
        if self.claims.open_proposal is not None:
            return self.claims.open_proposal
        write = self._start_write(now)
        write.is_due = self.renewal_due(now)
        for holder in self.view.lapsed(self._options.margin_s, now):
            if holder != self.holder_id:
                write.draft.remove_holder(holder)
                write.is_due = True
        unresponsive = unresponsive_holders(self.view, self._options, now) - {
            self.holder_id
        }
        names = set(self.view.ledger.buckets_by_name) | set(self._states_by_bucket)
        for name in sorted(names):
            self._plan_total(write, name, total_of(name))
            if name in self._states_by_bucket and write.draft.record(name):
                self._plan_share(write, name, unresponsive, now)
        if not write.is_due:
            return None
        for state in self._states_by_bucket.values():
            state.unmet_by_grant.clear()
        sequence = self.claims.next_sequence()
        validity_s = self._options.validity_s
        write.draft.renew(self.holder_id, sequence, validity_s)
        return self._propose(write, sequence, now)

    def release_all(self, now: float) -> Proposal | None:
        """
        Stop granting and give up all shares; return the proposal to write, if any.

        Shares are given back once no granted token can be spent any more, so call
        this again until `in_ledger` returns False.
        """
        self._releasing = True
        outstanding = 0
        for name, state in self._states_by_bucket.items():
            state.bucket.set_share(self._confirmed_share(name), now)
            state.bucket.level(now)
            outstanding += state.bucket.outstanding
        if self.claims.open_proposal is not None:
            return self.claims.open_proposal
        if outstanding or not self.in_ledger():
            return None
        write = self._start_write(now)
        for name, state in self._states_by_bucket.items():
            if write.draft.record(name) is not None:
                self._lower(write, name, state, NO_SHARE, now)
        write.draft.remove_holder(self.holder_id)
        return self._propose(write, self.claims.next_sequence(), now)

    def write_succeeded(self, proposal: Proposal, revision: int, now: float) -> None:
        """Record that a write succeeded."""
        self.settle(proposal.ledger, revision, now)

    def write_failed(self, proposal: Proposal, now: float) -> None:
        """Record that a write certainly has no effect."""
        self._apply_outcome(self.claims.discard(proposal), now)

    def settle(self, ledger: GroupLedger, revision: int, now: float) -> None:
        """Record the ledger as read."""
        self._apply_outcome(self.claims.settle(ledger, revision, now), now)

    def _apply_outcome(self, outcome: ProposalOutcome, now: float) -> None:
        """Update limits, shares and tokens of the buckets after a read or write."""
        for name, state in self._states_by_bucket.items():
            state.sized_for = outcome.totals_by_bucket.get(name, state.sized_for)
            record = self.view.ledger.buckets_by_name.get(name)
            state.total = newer_limit(state.total, record.total if record else None)
            state.bucket.set_share(self._confirmed_share(name), now)
            tokens = outcome.tokens_by_bucket.get(name, 0)
            state.bucket.add_tokens(tokens / MILLIS, now)

    def _state(self, bucket: str, now: float) -> _BucketState:
        state = self._states_by_bucket.get(bucket)
        if state is None:
            options = self._options
            demand = DemandEstimator(options.demand_decay_s, options.peak_decay_s, now)
            state = _BucketState(HolderBucket(NO_SHARE, 0, now), demand)
            self._states_by_bucket[bucket] = state
        return state

    def _confirmed_share(self, bucket: str) -> Share:
        """Return the confirmed share, scaled down if the limit was lowered."""
        share = self.claims.share(bucket)
        if self._releasing:
            return Share(0, share.burst_millis)
        state = self._states_by_bucket[bucket]
        if state.total is None or state.sized_for is None:
            return share
        return Share(
            _scaled(
                share.rate_millis, state.total.rate_millis, state.sized_for.rate_millis
            ),
            _scaled(
                share.burst_millis,
                state.total.burst_millis,
                state.sized_for.burst_millis,
            ),
        )

    def _start_write(self, now: float) -> _PlannedWrite:
        def observed_s(bucket: str) -> float:
            return self.view.observed_s(bucket, now)

        return _PlannedWrite(LedgerDraft(self.view.ledger, observed_s))

    def _plan_total(
        self, write: _PlannedWrite, name: str, configured: BucketLimit | None
    ) -> None:
        """Update the limit in the record to the newest version known here."""
        record = write.draft.record(name)
        known = record.total if record else None
        total = newer_limit(known, configured)
        if total is None or (record is None and total.burst_millis == 0):
            return
        if record is None or not equal_limits(record.total, total):
            first_tokens = not self.view.lost
            write.draft.set_limit(name, total, first_tokens=first_tokens)
            write.is_due = True
        write.totals_by_bucket[name] = total

    def _plan_share(
        self, write: _PlannedWrite, name: str, unresponsive: frozenset[str], now: float
    ) -> None:
        """Draft the holder's next share of a bucket: lower it, claim more, or both."""
        state = self._states_by_bucket[name]
        record = write.draft.record(name)
        assert record is not None
        confirmed = record.share_of(self.holder_id).minimum(self._confirmed_share(name))
        need = self._need(state, record.total, now)
        chosen = target_share(
            record,
            self.holder_id,
            need,
            unresponsive=unresponsive,
            options=self._options,
        )
        target = chosen.share
        outstanding = state.bucket.outstanding * MILLIS
        lowered = confirmed.minimum(
            Share(target.rate_millis, max(target.burst_millis, outstanding))
        )
        if lowered != record.share_of(self.holder_id):
            self._lower(write, name, state, lowered, now)
            write.is_due = True
        has_claimed = False
        missing = Share(
            max(0, target.rate_millis - lowered.rate_millis),
            max(0, target.burst_millis - lowered.burst_millis),
        )
        if missing != NO_SHARE:
            moved, tokens = write.draft.claim(name, self.holder_id, missing)
            write.claimed_tokens_by_bucket[name] = tokens
            write.is_due = write.is_due or moved != NO_SHARE
            has_claimed = has_claimed or moved != NO_SHARE
        state.exhausted_revision = -1 if has_claimed else self.view.revision
        published = write.draft.need_of(name, self.holder_id)
        write.draft.set_need(name, self.holder_id, need.current)
        if chosen.is_scarce and _differs(published, need.current):
            write.is_due = True

    def _need(self, state: _BucketState, total: BucketLimit, now: float) -> Need:
        demand, options = state.demand, self._options
        recent = (demand.rate_per_s(now), demand.spike_tokens(now))
        peak = (demand.peak_rate_per_s(now), demand.peak_spike_tokens(now))
        return Need(
            needed_share(*recent, total, options),
            needed_share(*peak, total, options),
            state.unmet_tokens,
            used_recently=now - demand.last_call_at < options.floor_idle_s,
        )

    def _lower(
        self,
        write: _PlannedWrite,
        name: str,
        state: _BucketState,
        share: Share,
        now: float,
    ) -> None:
        """Reduce a share to `share`; release tokens in proportion, or all above it."""
        old_burst = state.bucket.share.burst_millis
        freed = max(0, old_burst - share.burst_millis)
        level = state.bucket.level(now)
        above_burst = level + state.bucket.outstanding - share.burst_millis / MILLIS
        wanted = max(above_burst, level * freed / max(1, old_burst))
        limit = min(wanted, freed / MILLIS)
        released = int(state.bucket.remove_tokens(max(0.0, limit), now) * MILLIS)
        write.draft.lower(name, self.holder_id, share, released)
        write.released_tokens_by_bucket[name] = released

    def _propose(self, write: _PlannedWrite, sequence: int, now: float) -> Proposal:
        """Return the draft as a proposal and apply its limits to the buckets."""
        proposal = Proposal(
            write.draft.finish(),
            self.view.revision,
            sequence,
            now,
            leaving=self._releasing,
            released_tokens_by_bucket=write.released_tokens_by_bucket,
            claimed_tokens_by_bucket=write.claimed_tokens_by_bucket,
            totals_by_bucket=write.totals_by_bucket,
        )
        self.claims.propose(proposal)
        for name, state in self._states_by_bucket.items():
            state.bucket.set_share(self._confirmed_share(name), now)
        return proposal


def _scaled(value: int, total: int, sized_for: int) -> int:
    """Return a value scaled down in proportion if the limit was lowered."""
    if total >= sized_for:
        return value
    return value * total // sized_for


def _differs(published: Share, need: Share) -> bool:
    """Return whether a need differs enough from the published one for a write."""
    rates = (published.rate_millis, need.rate_millis)
    bursts = (published.burst_millis, need.burst_millis)
    return any(max(pair) > min(pair) * NEED_CHANGE_FACTOR for pair in (rates, bursts))
