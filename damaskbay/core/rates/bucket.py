"""Token bucket of one holder, including the tokens granted to daemons."""

from dataclasses import dataclass

from damaskbay.core.rates.const import MILLIS


@dataclass(frozen=True, slots=True)
class Share:
    """
    A holder's share of one bucket.

    Rate in thousandths of a token per second, burst in thousandths of a token.
    """

    rate_millis: int
    burst_millis: int

    def minimum(self, other: "Share") -> "Share":
        """Return the minimum of both shares, separately for rate and burst."""
        return Share(
            min(self.rate_millis, other.rate_millis),
            min(self.burst_millis, other.burst_millis),
        )


NO_SHARE = Share(0, 0)


@dataclass(frozen=True, slots=True)
class _Grant:
    count: int
    lapses_at: float


class HolderBucket:
    """
    Token bucket that accrues tokens at the share's rate, up to its burst.

    Granted tokens count against the burst until the daemon closes the grant or the
    grant lapses, so that the tokens that can still be spent never exceed the burst.
    """

    def __init__(self, share: Share, level: float, now: float) -> None:
        self.share = share
        self._level = min(level, share.burst_millis / MILLIS)
        self._accrued_at = now
        self._grants_by_id: dict[str, _Grant] = {}
        self._outstanding = 0

    @property
    def outstanding(self) -> int:
        """Return the number of tokens in grants neither closed nor lapsed."""
        return self._outstanding

    def level(self, now: float) -> float:
        """Return the number of tokens that can be granted now."""
        self._remove_lapsed(now)
        self._accrue(now)
        return self._level

    def grant(self, grant_id: str, count: int, lapses_at: float, now: float) -> int:
        """Grant up to `count` tokens; return how many, 0 for an id granted before."""
        if grant_id in self._grants_by_id:
            return 0
        granted = min(count, int(self.level(now)))
        if granted <= 0:
            return 0
        self._level -= granted
        self._outstanding += granted
        self._grants_by_id[grant_id] = _Grant(granted, lapses_at)
        return granted

    def close(self, grant_id: str, unused: int, now: float) -> None:
        """Close a grant and put its unused tokens back, unless closed or lapsed."""
        self._remove_lapsed(now)
        grant = self._grants_by_id.pop(grant_id, None)
        if grant is None:
            return
        self._accrue(now)
        self._outstanding -= grant.count
        self._add(min(max(unused, 0), grant.count))

    def set_share(self, share: Share, now: float) -> None:
        """Set the share and discard tokens above its burst."""
        self._accrue(now)
        self.share = share
        self._add(0)

    def add_tokens(self, count: float, now: float) -> None:
        """Add tokens that were claimed together with a share."""
        self._accrue(now)
        self._add(count)

    def remove_tokens(self, limit: float, now: float) -> float:
        """Remove at most `limit` tokens and return how many."""
        removed = min(limit, self.level(now))
        self._level -= removed
        return removed

    def _accrue(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._accrued_at)
        self._accrued_at = max(self._accrued_at, now)
        self._add(elapsed_s * self.share.rate_millis / MILLIS)

    def _add(self, count: float) -> None:
        """Add tokens, as far as the burst has room beside the granted ones."""
        room = self.share.burst_millis / MILLIS - self._outstanding
        self._level = max(0.0, min(self._level + count, room))

    def _remove_lapsed(self, now: float) -> None:
        """Remove lapsed grants, whose tokens no daemon can spend any more."""
        lapsed = [
            grant_id
            for grant_id, grant in self._grants_by_id.items()
            if grant.lapses_at <= now
        ]
        if not lapsed:
            return
        self._accrue(now)
        for grant_id in lapsed:
            self._outstanding -= self._grants_by_id.pop(grant_id).count
