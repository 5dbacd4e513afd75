"""What a holder surely has: confirmed shares, open proposals, validity."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from damaskbay.core.rates.bucket import Share
from damaskbay.core.rates.ledger import GroupLedger
from damaskbay.core.rates.names import Total
from damaskbay.core.rates.view import LedgerView


@dataclass(frozen=True, slots=True)
class Proposal:
    """
    A ledger to be written, with what it means for its writer.

    `handed_by_bucket` are tokens that left the writer's buckets already,
    `taken_by_bucket` those that come once the write surely took effect; both in
    thousandths. `totals_by_bucket` is what the writer's shares are sized for.
    `made_at` is before the write was sent, in the writer's monotonic seconds.
    """

    ledger: GroupLedger
    expected_revision: int
    sequence: int
    made_at: float
    leaving: bool = False
    handed_by_bucket: Mapping[str, int] = field(default_factory=dict)
    taken_by_bucket: Mapping[str, int] = field(default_factory=dict)
    totals_by_bucket: Mapping[str, Total] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Settled:
    """
    What became of a proposal.

    Tokens (thousandths) that come or come back to the buckets, and the totals
    that the shares are now sized for.
    """

    tokens_by_bucket: Mapping[str, int] = field(default_factory=dict)
    totals_by_bucket: Mapping[str, Total] = field(default_factory=dict)


class Claims:
    """
    Follows a holder's own writes to the ledger, whatever became of their answers.

    A proposal stays open until the ledger's revision exceeds the one it expects:
    until then it may still take effect, so the holder counts on no more than the
    smaller of the confirmed share and the proposed one. While it is open the
    same proposal is sent again and no other.
    """

    def __init__(self, holder_id: str, view: LedgerView, validity_s: float) -> None:
        self.holder_id = holder_id
        self.valid_until = float("-inf")
        self._view = view
        self._validity_s = validity_s
        self.open_proposal: Proposal | None = None
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return a number that no other write of this holder has."""
        self._sequence += 1
        return self._sequence

    def valid(self, now: float) -> bool:
        """Tell whether the holder may spend; ask at each decision."""
        return now < self.valid_until

    def share(self, bucket: str) -> Share:
        """Return the share that is surely the holder's."""
        share = self._view.ledger.share(bucket, self.holder_id)
        proposal = self.open_proposal
        if proposal is None:
            return share
        return share.within(proposal.ledger.share(bucket, self.holder_id))

    def propose(self, proposal: Proposal) -> None:
        """Count on no more than this proposal leaves, from now on."""
        self.open_proposal = proposal

    def without_effect(self, proposal: Proposal) -> Settled:
        """Forget a proposal that surely took and takes no effect."""
        self.open_proposal = None
        return Settled(proposal.handed_by_bucket)

    def settle(self, ledger: GroupLedger, revision: int, now: float) -> Settled:
        """
        Take in the ledger as it stands and settle the proposal if it is decided.

        Return tokens that come or come back to the holder's buckets.
        """
        if revision < self._view.revision and revision != 0:
            return Settled()
        self._view.update(ledger, revision, now)
        own = ledger.holders_by_id.get(self.holder_id)
        if own is None:
            self.valid_until = float("-inf")
        proposal = self.open_proposal
        if proposal is None or not self._decided(proposal, revision):
            return Settled()
        self.open_proposal = None
        if own is None:
            return Settled()
        if proposal.sequence != own.sequence:
            return Settled(proposal.handed_by_bucket)
        until = proposal.made_at + self._validity_s
        self.valid_until = max(self.valid_until, until)
        return Settled(proposal.taken_by_bucket, proposal.totals_by_bucket)

    def _decided(self, proposal: Proposal, revision: int) -> bool:
        if revision == 0:
            return proposal.expected_revision > 0
        return revision > proposal.expected_revision
