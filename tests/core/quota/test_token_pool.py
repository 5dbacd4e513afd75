"""Tests of pooled tokens under partitions and changes of relays."""

import random
import unittest

from damaskbay.config.objects import Workspace
from damaskbay.core.quota.const import LOCAL_FALLBACK_AFTER_S
from damaskbay.core.quota.shares import QuotaOptions
from damaskbay.core.quota.token_pool import TokenPool, home_domain
from tests.common import function_suite

OPTIONS = QuotaOptions(overage=0.1, slack=20.0)
DOMAINS = ("one", "two", "three", "four")
DAEMONS_PER_DOMAIN = 5
REPORT_S = 0.4
WINDOW_S = 5.0
WORKSPACE = Workspace("w", 40.0, 40)
HOME = home_domain(WORKSPACE.name, DOMAINS)
REMOTE = next(domain for domain in DOMAINS if domain != HOME)


class _Relays:
    """One relay per domain; `lost_links` are (source, target) pairs without traffic."""

    def __init__(self) -> None:
        self.members = {
            domain: frozenset(
                f"{domain}{number}" for number in range(DAEMONS_PER_DOMAIN)
            )
            for domain in DOMAINS
        }
        self.pools = {domain: TokenPool(domain, OPTIONS) for domain in DOMAINS}
        self.lost_links: set[tuple[str, str]] = set()

    def is_connected(self, source: str, target: str) -> bool:
        """Return whether a message arrives."""
        return (source, target) not in self.lost_links

    def exchange(self, now: float) -> None:
        """Send the reports of daemons to their relay, and of relays to their peers."""
        for domain, pool in self.pools.items():
            pool.set_members(self.members, now)
            for name in self.members[domain]:
                pool.record_report(name, now)
        for domain, pool in self.pools.items():
            for other in DOMAINS:
                if other == domain or not self.is_connected(domain, other):
                    continue
                age_s = pool.reply_age_s(other, now)
                daemons = pool.local_daemons(now)
                self.pools[other].record_remote_daemons(domain, daemons, age_s, now)
                if self.is_connected(other, domain):
                    pool.record_reply(other, now)

    def spend(self, domain: str, now: float) -> bool:
        """Spend a token of the home, or of the local relay if that is unreachable."""
        reachable = self.is_connected(domain, HOME) and self.is_connected(HOME, domain)
        return self.pools[HOME if reachable else domain].grant(WORKSPACE, now).granted


def _simulate(
    relays: _Relays, per_s: float, lost_links_by_time: dict[float, set[tuple[str, str]]]
) -> dict[str, list[float]]:
    """Return the times of granted tokens by domain, over 30 s of even demand."""
    rng = random.Random(3)
    granted_at: dict[str, list[float]] = {domain: [] for domain in DOMAINS}
    now, reported_at = 0.0, -REPORT_S
    while now < 30.0:
        for at, links in lost_links_by_time.items():
            if at <= now:
                relays.lost_links = links
        if now >= reported_at + REPORT_S:
            reported_at = now
            relays.exchange(now)
        domain = rng.choice(DOMAINS)
        if relays.spend(domain, now):
            granted_at[domain].append(now)
        now += rng.expovariate(per_s)
    return granted_at


def _max_in_window(granted_at: dict[str, list[float]]) -> int:
    times = sorted(at for times in granted_at.values() for at in times)
    return max(sum(1 for other in times if at <= other < at + WINDOW_S) for at in times)


def _bound() -> float:
    limit = WORKSPACE.rate_per_s * WINDOW_S + WORKSPACE.burst
    return limit * (1.0 + OPTIONS.overage) + OPTIONS.slack


def test_a_cut_keeps_the_bound_whichever_way_it_is() -> None:
    """Also when only the replies of the home are lost, and when a partition ends."""
    both = {(REMOTE, HOME), (HOME, REMOTE)}
    for lost_links in (both, {(HOME, REMOTE)}, {(REMOTE, HOME)}):
        for per_s in (40.0, 280.0):
            granted_at = _simulate(_Relays(), per_s, {10.0: lost_links, 18.0: set()})
            assert _max_in_window(granted_at) <= _bound()


def test_all_domains_apart_keep_the_bound() -> None:
    """Each isolated domain grants its own share; together they keep the rate."""
    isolated = {(one, two) for one in DOMAINS for two in DOMAINS if one != two}
    granted_at = _simulate(_Relays(), 280.0, {10.0: isolated, 20.0: set()})
    assert _max_in_window(granted_at) <= _bound()
    late = {
        domain: [at for at in granted_at[domain] if 13.0 < at < 20.0]
        for domain in granted_at
    }
    assert min(len(times) for times in late.values()) >= 0.2 * 7.0 * 40.0


def test_a_cut_off_domain_goes_on_alone() -> None:
    """An isolated domain grants its share soon after a partition."""
    both = {(REMOTE, HOME), (HOME, REMOTE)}
    granted_at = _simulate(_Relays(), 24.0, {10.0: both})
    fallback_at = 10.0 + LOCAL_FALLBACK_AFTER_S + 2 * REPORT_S
    assert [at for at in granted_at[REMOTE] if fallback_at < at < fallback_at + 2.0]
    late = [at for at in granted_at[REMOTE] if at > fallback_at]
    assert len(late) >= 0.9 * 6.0 * (30.0 - fallback_at)


def test_a_cut_off_domain_serves_from_its_reserve_at_once() -> None:
    """Pattern: a domain is cut off; until it may grant its share, the slack is used."""
    both = {(REMOTE, HOME), (HOME, REMOTE)}
    granted_at = _simulate(_Relays(), 24.0, {10.0: both})
    early = [at for at in granted_at[REMOTE] if 10.0 < at < 11.5]
    assert early
    assert _max_in_window(granted_at) <= _bound()


def test_reserves_of_domains_that_lose_their_home_in_turns_keep_the_bound() -> None:
    """Pattern: links between domains fail and return again and again."""
    both = {(REMOTE, HOME), (HOME, REMOTE)}
    isolated = {(one, two) for one in DOMAINS for two in DOMAINS if one != two}
    cuts: dict[float, set[tuple[str, str]]] = {}
    for number in range(16):
        cuts[8.0 + number] = (both, set(), isolated, set())[number % 4]
    granted_at = _simulate(_Relays(), 280.0, cuts)
    assert _max_in_window(granted_at) <= _bound()


def test_a_restarted_relay_has_no_reserve_at_once() -> None:
    """Pattern: all daemons are killed again and again while domains are apart."""
    relays = _Relays()
    relays.lost_links = {(one, two) for one in DOMAINS for two in DOMAINS if one != two}
    relays.exchange(0.0)
    relays.exchange(0.1)
    assert not relays.spend(REMOTE, 0.2)
    relays.exchange(1.5)
    assert not relays.spend(REMOTE, 1.6)


def test_a_relay_that_nobody_relies_on_hands_out_nothing() -> None:
    """Two daemons that both act as relay of a domain must not both grant its share."""
    pool = TokenPool(HOME, OPTIONS)
    pool.set_members({domain: {domain} for domain in DOMAINS}, 0.0)
    result = pool.grant(WORKSPACE, 10.0)
    assert not result.granted
    assert result.wait_s > 0.0


def test_a_relay_that_was_paused_has_no_old_reports() -> None:
    """Reports expire while a relay is paused, since another may have replaced it."""
    relays = _Relays()
    relays.exchange(0.0)
    pool = relays.pools[HOME]
    assert pool.local_daemons(0.1) == DAEMONS_PER_DOMAIN
    assert pool.local_daemons(6.0) == 0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
