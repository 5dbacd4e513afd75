"""Pooled tokens of workspaces whose rate is too low to be split over daemons."""

from collections.abc import Mapping, Set as AbstractSet
from dataclasses import dataclass
from functools import lru_cache

from damaskbay.config.objects import Workspace
from damaskbay.core.quota.bucket import Bucket
from damaskbay.core.quota.const import (
    HOME_DOMAIN_CACHE_SIZE,
    INITIAL_BURST_FRACTION,
    LOCAL_FALLBACK_AFTER_S,
    POOLED_BELOW_PER_S,
    RATE_OVERAGE_FRACTION,
    REPORT_TTL_S,
    RESERVE_REFILL_S,
    RESERVE_SLACK_SHARE,
    TOKEN_RETRY_MAX_S,
)
from damaskbay.core.quota.shares import QuotaOptions
from damaskbay.helpers.hashing import stable_digest
from damaskbay.helpers.messages import message


def is_pooled(workspace: Workspace) -> bool:
    """Return whether a workspace's tokens are pooled; all daemons agree on this."""
    return 0.0 < workspace.rate_per_s < POOLED_BELOW_PER_S


@lru_cache(maxsize=HOME_DOMAIN_CACHE_SIZE)
def home_domain(workspace: str, domains: tuple[str, ...]) -> str:
    """Return the domain whose relay holds a workspace's tokens, by rendezvous hash."""
    return max(domains, key=lambda domain: stable_digest(workspace, domain))


@message("mesh.token_granted")
@dataclass(frozen=True, slots=True)
class Grant:
    """
    One token, or the delays in seconds after which one may be available.

    The pool has its next token in `next_s`. A caller refused now should retry after
    `wait_s`, which allows for the calls refused before.
    """

    granted: bool
    next_s: float = 0.0
    wait_s: float = 0.0


class TokenPool:
    """
    Grants the tokens of pooled workspaces, at the relay of a domain.

    Its share of a rate is the fraction of all daemons that rely on it: those of the
    local domain that reported within `REPORT_TTL_S`, and those of remote domains
    whose relay reported lately that it has replies from this one. No daemon counts
    towards two pools for longer than `REPORT_TTL_S`. Times are seconds of one
    monotonic clock; not thread-safe.
    """

    def __init__(self, failure_domain: str, options: QuotaOptions) -> None:
        self.options = options
        self._local_domain = failure_domain
        self._domains: tuple[str, ...] = (failure_domain,)
        self._members: frozenset[str] = frozenset()
        self._daemon_count = 1
        self._started_at = float("inf")
        self._has_reports_since = 0.0
        self._report_expires_at: dict[str, float] = {}
        self._remote_daemons: dict[str, tuple[int, float]] = {}
        self._replied_at: dict[str, float] = {}
        self._buckets: dict[str, Bucket] = {}
        self._reserves: dict[str, Bucket] = {}

    @property
    def domains(self) -> tuple[str, ...]:
        """Return the local domain and all domains that have members, sorted."""
        return self._domains

    def set_members(
        self, instances_by_domain: Mapping[str, AbstractSet[str]], now: float
    ) -> None:
        """Set the daemons that may spend tokens."""
        self._started_at = min(self._started_at, now)
        self._domains = tuple(sorted({*instances_by_domain, self._local_domain}))
        self._members = frozenset(instances_by_domain.get(self._local_domain, ()))
        counts = (len(members) for members in instances_by_domain.values())
        self._daemon_count = max(1, sum(counts))
        for removed in self._report_expires_at.keys() - self._members:
            del self._report_expires_at[removed]
        for domain in self._domains:
            self._replied_at.setdefault(domain, now)

    def record_report(self, instance: str, now: float) -> None:
        """Record that a daemon of the local domain relies on this pool."""
        if instance in self._members:
            if not self.local_daemons(now):
                self._has_reports_since = now
            self._report_expires_at[instance] = now + REPORT_TTL_S

    def record_remote_daemons(
        self, domain: str, daemons: int, answer_age_s: float, now: float
    ) -> None:
        """
        Record how many daemons rely on the relay of a remote domain.

        `reply_age_s` is the time since that relay last had a reply from this one. The
        record expires earlier by this time, since a relay without replies grants
        tokens on its own, also when only the replies are lost.
        """
        fresh_s = max(0.0, REPORT_TTL_S - answer_age_s)
        self._remote_daemons[domain] = (daemons, now + fresh_s)

    def record_reply(self, domain: str, asked_at: float) -> None:
        """Record that a remote relay replied to the request sent at `asked_at`."""
        self._replied_at[domain] = asked_at

    def reply_age_s(self, domain: str, now: float) -> float:
        """Return the age in seconds of the last request with a reply from a relay."""
        return now - self._replied_at.get(domain, now)

    def local_daemons(self, now: float) -> int:
        """Return the number of daemons of the local domain that rely on this pool."""
        return sum(
            1 for expires_at in self._report_expires_at.values() if expires_at > now
        )

    def home(self, workspace: str) -> str:
        """Return the domain that holds a workspace's tokens."""
        return home_domain(workspace, self._domains)

    def grant(self, workspace: Workspace, now: float) -> Grant:
        """
        Grant one token to a daemon that relies on this pool, or return the delays.

        While the home domain of the workspace is unreachable, this pool grants the
        local domain's share, but only once the home no longer counts that domain.
        Until then it has a reserve, which is part of the slack.
        """
        home = self.home(workspace.name)
        granting_since = self._has_reports_since
        if home != self._local_domain:
            fallback_s = self.reply_age_s(home, now) - LOCAL_FALLBACK_AFTER_S
            if fallback_s < 0.0:
                return self._grant_from_reserve(workspace, -fallback_s, now)
            granting_since = max(granting_since, now - fallback_s)
        share = self._share(now, is_home=home == self._local_domain)
        options = self.options
        rate = (
            workspace.rate_per_s
            * share
            * (1.0 + RATE_OVERAGE_FRACTION * options.overage)
        )
        depth = max(1.0, workspace.burst * share * (1.0 + options.overage))
        bucket = self._buckets.get(workspace.name)
        if bucket is None or bucket.updated_at < granting_since:
            bucket = Bucket(
                INITIAL_BURST_FRACTION * workspace.burst * share, granting_since
            )
            self._buckets[workspace.name] = bucket
        next_s = bucket.spend(rate, depth, now)
        if next_s == 0.0:
            return Grant(True)
        wait_s = bucket.retry_after_s(rate, next_s, now)
        return Grant(False, min(next_s, TOKEN_RETRY_MAX_S), wait_s)

    def _grant_from_reserve(
        self, workspace: Workspace, fallback_s: float, now: float
    ) -> Grant:
        """Grant a token of the reserve, or tell when the local share is granted."""
        if self.local_daemons(now) == 0:
            return Grant(False, fallback_s, fallback_s)
        depth = RESERVE_SLACK_SHARE * self.options.slack / len(self._domains)
        reserve = self._reserves.get(workspace.name)
        if reserve is None:
            # A reserve begins empty, since a relay before this one may have spent it.
            reserve = self._reserves[workspace.name] = Bucket(0.0, self._started_at)
        next_s = reserve.spend(depth / RESERVE_REFILL_S, depth, now)
        if next_s == 0.0:
            return Grant(True)
        return Grant(False, min(next_s, fallback_s), fallback_s)

    def _share(self, now: float, *, is_home: bool) -> float:
        """Return the fraction of all daemons that rely on this pool, 0 to 1."""
        count = self.local_daemons(now)
        if is_home:
            count += sum(
                daemons
                for domain, (daemons, expires_at) in self._remote_daemons.items()
                if expires_at > now and domain in self._domains
            )
        return min(1.0, count / self._daemon_count)
