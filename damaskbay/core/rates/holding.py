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
    What became of proposals.

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
    smallest share among the confirmed one and all open proposals.
    """

    def __init__(self, holder_id: str, view: LedgerView, validity_s: float) -> None:
        self.holder_id = holder_id
        self.valid_until = float("-inf")
        self._view = view
        self._validity_s = validity_s
        self._open: list[Proposal] = []
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return a number that no other write of this holder has."""
        self._sequence += 1
        return self._sequence

    def valid(self, now: float) -> bool:
        """Tell whether the holder may spend; ask at each decision."""
        return now < self.valid_until

    def has_open(self) -> bool:
        """Tell whether some write's fate is not known yet."""
        return bool(self._open)

    def share(self, bucket: str) -> Share:
        """Return the share that is surely the holder's."""
        share = self._view.ledger.share(bucket, self.holder_id)
        for proposal in self._open:
            share = share.within(proposal.ledger.share(bucket, self.holder_id))
        return share

    def propose(self, proposal: Proposal) -> None:
        """Count on no more than this proposal leaves, from now on."""
        self._open.append(proposal)

    def without_effect(self, proposal: Proposal) -> Settled:
        """Forget a proposal that surely took and takes no effect."""
        self._open = [item for item in self._open if item is not proposal]
        return Settled(proposal.handed_by_bucket)

    def settle(self, ledger: GroupLedger, revision: int, now: float) -> Settled:
        """
        Take in the ledger as it stands and settle the proposals it decides.

        Return tokens that come or come back to the holder's buckets.
        """
        if revision < self._view.revision and revision != 0:
            return Settled()
        self._view.update(ledger, revision, now)
        own = ledger.holders_by_id.get(self.holder_id)
        decided = [item for item in self._open if self._decided(item, revision)]
        self._open = [item for item in self._open if not self._decided(item, revision)]
        if own is None:
            self.valid_until = float("-inf")
            return Settled()
        tokens: dict[str, int] = {}
        totals: dict[str, Total] = {}
        for proposal in decided:
            if proposal.sequence == own.sequence and not proposal.leaving:
                self._renewed(proposal)
                totals.update(proposal.totals_by_bucket)
                _add(tokens, proposal.taken_by_bucket)
            else:
                _add(tokens, proposal.handed_by_bucket)
        return Settled(tokens, totals)

    def _decided(self, proposal: Proposal, revision: int) -> bool:
        if revision == 0:
            return proposal.expected_revision > 0
        return revision > proposal.expected_revision

    def _renewed(self, proposal: Proposal) -> None:
        until = proposal.made_at + self._validity_s
        self.valid_until = max(self.valid_until, until)


def _add(tokens: dict[str, int], more: Mapping[str, int]) -> None:
    for bucket, count in more.items():
        tokens[bucket] = tokens.get(bucket, 0) + count
