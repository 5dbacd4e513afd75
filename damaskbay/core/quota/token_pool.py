"""Tokens of small workspaces, pooled where a share would be part of a token."""

from collections.abc import Mapping, Set as AbstractSet
from dataclasses import dataclass
from functools import lru_cache

from damaskbay.config.objects import Workspace
from damaskbay.core.quota.bucket import Bucket
from damaskbay.core.quota.const import (
    ALONE_AFTER_S,
    ASK_AGAIN_MOST_S,
    CACHED_HOMES,
    POOLED_BELOW_PER_S,
    RATE_USE,
    REPORT_FRESH_S,
    START_BURST_SHARE,
)
from damaskbay.core.quota.shares import QuotaOptions
from damaskbay.helpers.hashing import stable_digest
from damaskbay.helpers.messages import message


def is_pooled(workspace: Workspace) -> bool:
    """Tell whether a workspace's tokens are pooled; the same at every daemon."""
    return 0.0 < workspace.rate_per_s < POOLED_BELOW_PER_S


@lru_cache(maxsize=CACHED_HOMES)
def home_domain(workspace: str, domains: tuple[str, ...]) -> str:
    """Return the domain whose relay holds a workspace's tokens, by rendezvous hash."""
    return max(domains, key=lambda domain: stable_digest(workspace, domain))


@message("mesh.token_granted")
@dataclass(frozen=True, slots=True)
class Grant:
    """
    One token, or when there may be one, in seconds.

    In `next_s` one will be there for whoever asks first; who was refused now may
    expect one in `wait_s`.
    """

    granted: bool
    next_s: float = 0.0
    wait_s: float = 0.0


class TokenPool:
    """
    Hands out the tokens of pooled workspaces, at the relay of a domain.

    Which part of a rate it may hand out is the part of all daemons that it stands
    for: those of its own domain that reported to it lately, and those behind the
    relays of other domains that said lately that they are in touch with it. Nobody
    stands behind two pools for longer than a report stays fresh. Times in seconds of
    one monotonic clock; not safe for threads.
    """

    def __init__(self, failure_domain: str, options: QuotaOptions) -> None:
        self.options = options
        self._own_domain = failure_domain
        self._domains: tuple[str, ...] = (failure_domain,)
        self._members: frozenset[str] = frozenset()
        self._daemons = 1
        self._relied_since = 0.0
        self._fresh_until: dict[str, float] = {}
        self._behind: dict[str, tuple[int, float]] = {}
        self._answered_at: dict[str, float] = {}
        self._buckets: dict[str, Bucket] = {}

    @property
    def domains(self) -> tuple[str, ...]:
        """Return the domains that have members, sorted."""
        return self._domains

    def set_members(
        self, instances_by_domain: Mapping[str, AbstractSet[str]], now: float
    ) -> None:
        """Take the daemons that may be spending."""
        self._domains = tuple(sorted({*instances_by_domain, self._own_domain}))
        self._members = frozenset(instances_by_domain.get(self._own_domain, ()))
        counts = (len(members) for members in instances_by_domain.values())
        self._daemons = max(1, sum(counts))
        for gone in self._fresh_until.keys() - self._members:
            del self._fresh_until[gone]
        for domain in self._domains:
            self._answered_at.setdefault(domain, now)

    def reported(self, instance: str, now: float) -> None:
        """Take note that a daemon of the own domain relies on this one."""
        if instance in self._members:
            if not self.own_daemons(now):
                self._relied_since = now
            self._fresh_until[instance] = now + REPORT_FRESH_S

    def stands_behind(
        self, domain: str, daemons: int, answer_age_s: float, now: float
    ) -> None:
        """
        Take what the relay of another domain says it stands for.

        `answer_age_s` is how long ago it last had an answer from here: who hears
        nothing goes on alone, also where only the way back is cut.
        """
        fresh_s = max(0.0, REPORT_FRESH_S - answer_age_s)
        self._behind[domain] = (daemons, now + fresh_s)

    def answered(self, domain: str, asked_at: float) -> None:
        """Take note that the relay of another domain answered."""
        self._answered_at[domain] = asked_at

    def answer_age_s(self, domain: str, now: float) -> float:
        """Return how long ago the relay of a domain last answered."""
        return now - self._answered_at.get(domain, now)

    def own_daemons(self, now: float) -> int:
        """Return how many daemons of the own domain rely on this one."""
        return sum(1 for until in self._fresh_until.values() if until > now)

    def home(self, workspace: str) -> str:
        """Return the domain that holds a workspace's tokens."""
        return home_domain(workspace, self._domains)

    def grant(self, workspace: Workspace, now: float) -> Grant:
        """
        Hand out one token, for the daemons that this one stands for.

        Where the home of the workspace is another domain that was lost, these are
        the ones of the own domain, once the home has stopped to count them.
        """
        home = self.home(workspace.name)
        since = self._relied_since
        if home != self._own_domain:
            alone_s = self.answer_age_s(home, now) - ALONE_AFTER_S
            if alone_s < 0.0:
                return Grant(False, -alone_s, -alone_s)
            since = max(since, now - alone_s)
        part = self._part(now, whole=home == self._own_domain)
        options = self.options
        rate = workspace.rate_per_s * part * (1.0 + RATE_USE * options.overage)
        depth = max(1.0, workspace.burst * part * (1.0 + options.overage))
        bucket = self._buckets.get(workspace.name)
        if bucket is None or bucket.at < since:
            bucket = Bucket(START_BURST_SHARE * workspace.burst * part, since)
            self._buckets[workspace.name] = bucket
        next_s = bucket.take(rate, depth, now)
        if next_s == 0.0:
            return Grant(True)
        wait_s = bucket.come_back_s(rate, next_s, now)
        return Grant(False, min(next_s, ASK_AGAIN_MOST_S), wait_s)

    def _part(self, now: float, *, whole: bool) -> float:
        """Return the part of all daemons that rely on this one, 0 to 1."""
        count = self.own_daemons(now)
        if whole:
            count += sum(
                daemons
                for domain, (daemons, until) in self._behind.items()
                if until > now and domain in self._domains
            )
        return min(1.0, count / self._daemons)
