"""The holder of one group: its buckets, its part of the ledger, its next write."""

from collections.abc import Callable
from dataclasses import dataclass, field

from damaskbay.core.rates.bucket import NO_SHARE, HolderBucket, Share
from damaskbay.core.rates.const import (
    CONTACT_POLLS,
    GRANT_PART,
    MILLIS,
    NEED_CHANGE,
)
from damaskbay.core.rates.demand import Demand
from damaskbay.core.rates.holding import Claims, Proposal, Settled
from damaskbay.core.rates.ledger import GroupLedger, LedgerDraft
from damaskbay.core.rates.names import Total, newer, same_terms
from damaskbay.core.rates.options import ShareOptions
from damaskbay.core.rates.planner import (
    Need,
    need_share,
    silent_holders,
    target_share,
)
from damaskbay.core.rates.view import LedgerView

TotalOf = Callable[[str], Total | None]


@dataclass(slots=True)
class _Held:
    """
    One bucket at this holder.

    `total` is the newest known, `sized_for` the one that the confirmed share was
    sized for. A claim at `vain_revision` of the ledger would bring nothing.
    """

    bucket: HolderBucket
    demand: Demand
    total: Total | None = None
    sized_for: Total | None = None
    unmet_by_grant: dict[str, int] = field(default_factory=dict)
    vain_revision: int = -1

    @property
    def unmet_tokens(self) -> int:
        """Return the tokens asked for in vain since the last write."""
        return sum(self.unmet_by_grant.values())


class _Writing:
    """A draft and what goes with it."""

    def __init__(self, draft: LedgerDraft) -> None:
        self.draft = draft
        self.handed_by_bucket: dict[str, int] = {}
        self.taken_by_bucket: dict[str, int] = {}
        self.totals_by_bucket: dict[str, Total] = {}
        self.worth_it = False


class GroupHolder:
    """Grants tokens of one group's buckets and keeps its shares in the ledger."""

    def __init__(self, holder_id: str, options: ShareOptions) -> None:
        self.holder_id = holder_id
        self.view = LedgerView(contact_s=options.poll_s * CONTACT_POLLS)
        self.claims = Claims(holder_id, self.view, options.validity_s)
        self._options = options
        self._held_by_bucket: dict[str, _Held] = {}
        self._leaving = False

    def holds_any(self) -> bool:
        """Tell whether the ledger shows this holder."""
        return self.holder_id in self.view.ledger.holders_by_id

    def in_use(self) -> bool:
        """Tell whether any daemon ever asked this holder."""
        return bool(self._held_by_bucket)

    def claimable(self, bucket: str) -> bool:
        """Tell whether tokens that were asked for in vain may be free."""
        held = self._held_by_bucket.get(bucket)
        if held is None or not held.unmet_tokens:
            return False
        if self.view.revision == 0:
            return True
        if held.vain_revision == self.view.revision:
            return False
        record = self.view.ledger.buckets_by_name.get(bucket)
        if record is None:
            return True
        lacks_rate = record.share_of(self.holder_id).rate_millis == 0
        free = record.free
        return free.burst_millis >= MILLIS or (lacks_rate and free.rate_millis > 0)

    def any_claimable(self) -> bool:
        """Tell whether a write now may bring what was asked for in vain."""
        return any(self.claimable(name) for name in self._held_by_bucket)

    def surely_exceeded(self, bucket: str, now: float) -> bool:
        """Tell whether a lack of tokens here means that the rate is exceeded."""
        if not self.claims.valid(now):
            return False
        record = self.view.ledger.buckets_by_name.get(bucket)
        if record is None:
            return False
        total = Share(record.total.rate_millis, record.total.burst_millis)
        return self.view.in_contact(now) or self.claims.share(bucket) == total

    def rate_per_s(self, bucket: str) -> float:
        """Return the rate of the holder's share."""
        return self.claims.share(bucket).rate_millis / MILLIS

    def grant(
        self, bucket: str, grant_id: str, needed: int, wanted: int, now: float
    ) -> int:
        """
        Move tokens to a daemon: what it needs now, more only of a good level.

        The daemon must drop them `token_validity_s` after it asked.
        """
        held = self._held(bucket, now)
        granted = 0
        if self.claims.valid(now) and not self._leaving:
            spread = int(held.bucket.level(now)) // GRANT_PART
            lapses_at = now + self._options.token_validity_s
            lapses_at += self._options.token_margin_s
            count = max(needed, min(wanted, spread))
            granted = held.bucket.grant(grant_id, count, lapses_at, now)
        held.unmet_by_grant.pop(grant_id, None)
        if granted < needed:
            held.unmet_by_grant[grant_id] = needed - granted
        return granted

    def count(self, bucket: str, requests: int, now: float) -> None:
        """Take note of requests that asked for the bucket at some daemon."""
        held = self._held(bucket, now)
        drain_per_s = held.bucket.share.rate_millis / MILLIS
        most = held.total.burst_millis / MILLIS if held.total else requests
        held.demand.add(requests, drain_per_s, most, now)

    def close(self, bucket: str, grant_id: str, unused: int, now: float) -> None:
        """Take unused tokens of a grant back."""
        held = self._held_by_bucket.get(bucket)
        if held is not None:
            held.bucket.close(grant_id, unused, now)

    def rescale(self, total_of: TotalOf, now: float) -> None:
        """Scale shares down at once where the set in force says less."""
        for name, held in self._held_by_bucket.items():
            held.total = newer(held.total, total_of(name))
            held.bucket.set_share(self._sure_share(name), now)

    def renewal_due(self, now: float) -> bool:
        """Tell whether the last confirmed renewal is old."""
        renewed_at = self.claims.valid_until - self._options.validity_s
        return now - renewed_at >= self._options.renew_s

    def plan(self, total_of: TotalOf, now: float) -> Proposal | None:
        """
        Return what to write next, or None where no write is worth it.

        That is the same again while the last write's fate is not known.
        """
        self._leaving = False
        self.rescale(total_of, now)
        if self.claims.open_proposal is not None:
            return self.claims.open_proposal
        writing = self._writing(now)
        writing.worth_it = self.renewal_due(now)
        for holder in self.view.lapsed(self._options.margin_s, now):
            if holder != self.holder_id:
                writing.draft.remove_holder(holder)
                writing.worth_it = True
        silent = silent_holders(self.view, self._options, now) - {self.holder_id}
        names = set(self.view.ledger.buckets_by_name) | set(self._held_by_bucket)
        for name in sorted(names):
            self._plan_total(writing, name, total_of(name))
            if name in self._held_by_bucket and writing.draft.record(name):
                self._plan_share(writing, name, silent, now)
        if not writing.worth_it:
            return None
        for held in self._held_by_bucket.values():
            held.unmet_by_grant.clear()
        sequence = self.claims.next_sequence()
        validity_s = self._options.validity_s
        writing.draft.renew(self.holder_id, sequence, validity_s)
        return self._propose(writing, sequence, now)

    def leave(self, now: float) -> Proposal | None:
        """
        Give up all shares; return what to write, None while nothing is to do.

        No grant is made any more. Shares go back once no granted token can be
        spent any more, so call again until `holds_any` is false.
        """
        self._leaving = True
        outstanding = 0
        for name, held in self._held_by_bucket.items():
            held.bucket.set_share(self._sure_share(name), now)
            held.bucket.level(now)
            outstanding += held.bucket.outstanding
        if self.claims.open_proposal is not None:
            return self.claims.open_proposal
        if outstanding or not self.holds_any():
            return None
        writing = self._writing(now)
        for name, held in self._held_by_bucket.items():
            if writing.draft.record(name) is not None:
                self._lower(writing, name, held, NO_SHARE, now)
        writing.draft.remove_holder(self.holder_id)
        return self._propose(writing, self.claims.next_sequence(), now)

    def written(self, proposal: Proposal, revision: int, now: float) -> None:
        """Take in that a write took effect."""
        self.settle(proposal.ledger, revision, now)

    def failed(self, proposal: Proposal, now: float) -> None:
        """Take in that a write surely took and takes no effect."""
        self._settled(self.claims.without_effect(proposal), now)

    def settle(self, ledger: GroupLedger, revision: int, now: float) -> None:
        """Take in the ledger as it stands."""
        self._settled(self.claims.settle(ledger, revision, now), now)

    def _settled(self, settled: Settled, now: float) -> None:
        for name, held in self._held_by_bucket.items():
            held.sized_for = settled.totals_by_bucket.get(name, held.sized_for)
            record = self.view.ledger.buckets_by_name.get(name)
            held.total = newer(held.total, record.total if record else None)
            held.bucket.set_share(self._sure_share(name), now)
            tokens = settled.tokens_by_bucket.get(name, 0)
            held.bucket.add_tokens(tokens / MILLIS, now)

    def _held(self, bucket: str, now: float) -> _Held:
        held = self._held_by_bucket.get(bucket)
        if held is None:
            options = self._options
            demand = Demand(options.demand_decay_s, options.keep_decay_s, now)
            held = _Held(HolderBucket(NO_SHARE, 0, now), demand)
            self._held_by_bucket[bucket] = held
        return held

    def _sure_share(self, bucket: str) -> Share:
        """Return the sure share, less in proportion where the total is less."""
        share = self.claims.share(bucket)
        if self._leaving:
            return Share(0, share.burst_millis)
        held = self._held_by_bucket[bucket]
        if held.total is None or held.sized_for is None:
            return share
        return Share(
            _scaled(
                share.rate_millis, held.total.rate_millis, held.sized_for.rate_millis
            ),
            _scaled(
                share.burst_millis, held.total.burst_millis, held.sized_for.burst_millis
            ),
        )

    def _writing(self, now: float) -> _Writing:
        def observed_s(bucket: str) -> float:
            return self.view.observed_s(bucket, now)

        return _Writing(LedgerDraft(self.view.ledger, observed_s))

    def _plan_total(self, writing: _Writing, name: str, said: Total | None) -> None:
        """Bring the record's total up to the newest set that is known here."""
        record = writing.draft.record(name)
        known = record.total if record else None
        total = newer(known, said)
        if total is None or (record is None and total.burst_millis == 0):
            return
        if record is None or not same_terms(record.total, total):
            first_tokens = not self.view.lost
            writing.draft.adopt_total(name, total, first_tokens=first_tokens)
            writing.worth_it = True
        writing.totals_by_bucket[name] = total

    def _plan_share(
        self, writing: _Writing, name: str, silent: frozenset[str], now: float
    ) -> None:
        held = self._held_by_bucket[name]
        record = writing.draft.record(name)
        assert record is not None
        sure = record.share_of(self.holder_id).within(self._sure_share(name))
        need = self._need(held, record.total, now)
        chosen = target_share(
            record, self.holder_id, need, silent=silent, options=self._options
        )
        target = chosen.share
        outstanding = held.bucket.outstanding * MILLIS
        lowered = sure.within(
            Share(target.rate_millis, max(target.burst_millis, outstanding))
        )
        if lowered != record.share_of(self.holder_id):
            self._lower(writing, name, held, lowered, now)
            writing.worth_it = True
        brought = False
        missing = Share(
            max(0, target.rate_millis - lowered.rate_millis),
            max(0, target.burst_millis - lowered.burst_millis),
        )
        if missing != NO_SHARE:
            moved, tokens = writing.draft.claim(name, self.holder_id, missing)
            writing.taken_by_bucket[name] = tokens
            writing.worth_it = writing.worth_it or moved != NO_SHARE
            brought = brought or moved != NO_SHARE
        held.vain_revision = -1 if brought else self.view.revision
        told = writing.draft.need_of(name, self.holder_id)
        writing.draft.set_need(name, self.holder_id, need.now)
        if chosen.pressed and _differ(told, need.now):
            writing.worth_it = True

    def _need(self, held: _Held, total: Total, now: float) -> Need:
        demand, options = held.demand, self._options
        lately = (demand.rate_per_s(now), demand.spike_tokens(now))
        kept = (demand.kept_rate_per_s(now), demand.kept_spike_tokens(now))
        return Need(
            need_share(*lately, total, options),
            need_share(*kept, total, options),
            held.unmet_tokens,
            used_lately=now - demand.last_at < options.floor_idle_s,
        )

    def _lower(
        self, writing: _Writing, name: str, held: _Held, share: Share, now: float
    ) -> None:
        """Give up part of a share, with its part of the tokens."""
        old = held.bucket.share.burst_millis
        freed = max(0, old - share.burst_millis)
        level = held.bucket.level(now)
        above = level + held.bucket.outstanding - share.burst_millis / MILLIS
        wanted = max(above, level * freed / max(1, old))
        limit = min(wanted, freed / MILLIS)
        handed = int(held.bucket.remove_tokens(max(0.0, limit), now) * MILLIS)
        writing.draft.lower(name, self.holder_id, share, handed)
        writing.handed_by_bucket[name] = handed

    def _propose(self, writing: _Writing, sequence: int, now: float) -> Proposal:
        proposal = Proposal(
            writing.draft.finish(),
            self.view.revision,
            sequence,
            now,
            leaving=self._leaving,
            handed_by_bucket=writing.handed_by_bucket,
            taken_by_bucket=writing.taken_by_bucket,
            totals_by_bucket=writing.totals_by_bucket,
        )
        self.claims.propose(proposal)
        for name, held in self._held_by_bucket.items():
            held.bucket.set_share(self._sure_share(name), now)
        return proposal


def _scaled(value: int, total: int, sized_for: int) -> int:
    if total >= sized_for:
        return value
    return value * total // sized_for


def _differ(told: Share, need: Share) -> bool:
    """Tell whether a need differs enough from what was told to cost a write."""
    rates = (told.rate_millis, need.rate_millis)
    bursts = (told.burst_millis, need.burst_millis)
    return any(max(pair) > min(pair) * NEED_CHANGE for pair in (rates, bursts))
