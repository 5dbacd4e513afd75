"""Confirmed shares of a holder, its open proposal and its validity."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from damaskbay.core.rates.bucket import Share
from damaskbay.core.rates.ledger import GroupLedger
from damaskbay.core.rates.names import BucketLimit
from damaskbay.core.rates.view import LedgerView


@dataclass(frozen=True, slots=True)
class Proposal:
    """
    A ledger to be written, with the effects on its writer.

    `released_tokens_by_bucket` are the tokens already removed from the writer's
    buckets, `claimed_tokens_by_bucket` those to be added once the write is confirmed;
    both in thousandths. `totals_by_bucket` are the limits that the writer's shares are
    sized for. `made_at` is a time before the write was sent, in seconds of the
    writer's monotonic clock.
    """

    ledger: GroupLedger
    expected_revision: int
    sequence: int
    made_at: float
    leaving: bool = False
    released_tokens_by_bucket: Mapping[str, int] = field(default_factory=dict)
    claimed_tokens_by_bucket: Mapping[str, int] = field(default_factory=dict)
    totals_by_bucket: Mapping[str, BucketLimit] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ProposalOutcome:
    """
    The outcome of a proposal for the writer's buckets.

    Tokens (thousandths) to add to the buckets, either claimed or given back, and the
    limits that the shares are now sized for.
    """

    tokens_by_bucket: Mapping[str, int] = field(default_factory=dict)
    totals_by_bucket: Mapping[str, BucketLimit] = field(default_factory=dict)


class Claims:
    """
    State of a holder's writes to the ledger, also when their replies are lost.

    A proposal is open until the ledger's revision exceeds the one it expects. Until
    then it may still take effect, so the holder uses only the minimum of the
    confirmed share and the proposed one. While a proposal is open, only this one is
    sent again.
    """

    def __init__(self, holder_id: str, view: LedgerView, validity_s: float) -> None:
        self.holder_id = holder_id
        self.valid_until = float("-inf")
        self._view = view
        self._validity_s = validity_s
        self.open_proposal: Proposal | None = None
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return a new sequence number, unique to one write of this holder."""
        self._sequence += 1
        return self._sequence

    def valid(self, now: float) -> bool:
        """Return whether the holder may grant tokens; check this before each grant."""
        return now < self.valid_until

    def share(self, bucket: str) -> Share:
        """Return the share that is safe to use whatever the result of an open write."""
        share = self._view.ledger.share(bucket, self.holder_id)
        proposal = self.open_proposal
        if proposal is None:
            return share
        return share.minimum(proposal.ledger.share(bucket, self.holder_id))

    def propose(self, proposal: Proposal) -> None:
        """Set the open proposal, which limits the shares from now on."""
        self.open_proposal = proposal

    def discard(self, proposal: Proposal) -> ProposalOutcome:
        """Discard a proposal that certainly has no effect."""
        self.open_proposal = None
        return ProposalOutcome(proposal.released_tokens_by_bucket)

    def settle(self, ledger: GroupLedger, revision: int, now: float) -> ProposalOutcome:
        """
        Record the ledger as read; close the open proposal once its outcome is known.

        Return the outcome, empty if no proposal was closed or the ledger lacks this
        holder.
        """
        if revision < self._view.revision and revision != 0:
            return ProposalOutcome()
        self._view.update(ledger, revision, now)
        own_record = ledger.holders_by_id.get(self.holder_id)
        if own_record is None:
            self.valid_until = float("-inf")
        proposal = self.open_proposal
        if proposal is None or not self._decided(proposal, revision):
            return ProposalOutcome()
        self.open_proposal = None
        if own_record is None:
            return ProposalOutcome()
        if proposal.sequence != own_record.sequence:
            return ProposalOutcome(proposal.released_tokens_by_bucket)
        valid_until = proposal.made_at + self._validity_s
        self.valid_until = max(self.valid_until, valid_until)
        return ProposalOutcome(
            proposal.claimed_tokens_by_bucket, proposal.totals_by_bucket
        )

    def _decided(self, proposal: Proposal, revision: int) -> bool:
        """Return whether the proposal can no longer take effect, or has done so."""
        if revision == 0:
            return proposal.expected_revision > 0
        return revision > proposal.expected_revision
