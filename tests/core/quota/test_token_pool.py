"""Pooled tokens over domains that are cut off and relays that change."""

import random
import unittest

from damaskbay.config.objects import Workspace
from damaskbay.core.quota.const import ALONE_AFTER_S
from damaskbay.core.quota.shares import QuotaOptions
from damaskbay.core.quota.token_pool import TokenPool, home_domain
from tests.common import function_suite

OPTIONS = QuotaOptions(overage=0.1, slack=20.0)
DOMAINS = ("one", "two", "three", "four")
PER_DOMAIN = 5
REPORT_S = 0.4
WINDOW_S = 5.0
WORKSPACE = Workspace("w", 40.0, 40)
HOME = home_domain(WORKSPACE.name, DOMAINS)
AWAY = next(domain for domain in DOMAINS if domain != HOME)


class _Relays:
    """One relay a domain; `cut` holds the ways (from, to) on which nothing passes."""

    def __init__(self) -> None:
        self.members = {
            domain: frozenset(f"{domain}{number}" for number in range(PER_DOMAIN))
            for domain in DOMAINS
        }
        self.pools = {domain: TokenPool(domain, OPTIONS) for domain in DOMAINS}
        self.cut: set[tuple[str, str]] = set()

    def passes(self, source: str, target: str) -> bool:
        """Tell whether a message arrives."""
        return (source, target) not in self.cut

    def exchange(self, now: float) -> None:
        """Let daemons report to their relay and relays to each other."""
        for domain, pool in self.pools.items():
            pool.set_members(self.members, now)
            for name in self.members[domain]:
                pool.reported(name, now)
        for domain, pool in self.pools.items():
            for other in DOMAINS:
                if other == domain or not self.passes(domain, other):
                    continue
                age_s = pool.answer_age_s(other, now)
                daemons = pool.own_daemons(now)
                self.pools[other].stands_behind(domain, daemons, age_s, now)
                if self.passes(other, domain):
                    pool.answered(other, now)

    def spend(self, domain: str, now: float) -> bool:
        """Ask the home; where that is out of reach, the own relay."""
        there = self.passes(domain, HOME) and self.passes(HOME, domain)
        return self.pools[HOME if there else domain].grant(WORKSPACE, now).granted


def _play(
    relays: _Relays, per_s: float, cuts: dict[float, set[tuple[str, str]]]
) -> dict[str, list[float]]:
    """Return when tokens were got, by domain, over 30 s of even demand."""
    rng = random.Random(3)
    got: dict[str, list[float]] = {domain: [] for domain in DOMAINS}
    now, reported_at = 0.0, -REPORT_S
    while now < 30.0:
        for at, cut in cuts.items():
            if at <= now:
                relays.cut = cut
        if now >= reported_at + REPORT_S:
            reported_at = now
            relays.exchange(now)
        domain = rng.choice(DOMAINS)
        if relays.spend(domain, now):
            got[domain].append(now)
        now += rng.expovariate(per_s)
    return got


def _most(got: dict[str, list[float]]) -> int:
    times = sorted(at for times in got.values() for at in times)
    return max(sum(1 for other in times if at <= other < at + WINDOW_S) for at in times)


def _bound() -> float:
    whole = WORKSPACE.rate_per_s * WINDOW_S + WORKSPACE.burst
    return whole * (1.0 + OPTIONS.overage) + OPTIONS.slack


def test_a_cut_keeps_the_bound_whichever_way_it_is() -> None:
    """Also where only the answers of the home are lost, and where a cut ends."""
    both = {(AWAY, HOME), (HOME, AWAY)}
    for cut in (both, {(HOME, AWAY)}, {(AWAY, HOME)}):
        for per_s in (40.0, 280.0):
            got = _play(_Relays(), per_s, {10.0: cut, 18.0: set()})
            assert _most(got) <= _bound()


def test_all_domains_apart_keep_the_bound() -> None:
    """Each hands out its own part; together that is no more than the rate."""
    apart = {(one, two) for one in DOMAINS for two in DOMAINS if one != two}
    got = _play(_Relays(), 280.0, {10.0: apart, 20.0: set()})
    assert _most(got) <= _bound()
    late = {domain: [at for at in got[domain] if 13.0 < at < 20.0] for domain in got}
    assert min(len(times) for times in late.values()) >= 0.2 * 7.0 * 40.0


def test_a_cut_off_domain_goes_on_alone() -> None:
    """It gets its part of the rate soon after; the others keep the rest."""
    both = {(AWAY, HOME), (HOME, AWAY)}
    got = _play(_Relays(), 24.0, {10.0: both})
    soon = 10.0 + ALONE_AFTER_S + 2 * REPORT_S
    assert [at for at in got[AWAY] if soon < at < soon + 2.0]
    late = [at for at in got[AWAY] if at > soon]
    assert len(late) >= 0.9 * 6.0 * (30.0 - soon)


def test_a_relay_that_nobody_relies_on_hands_out_nothing() -> None:
    """Two that hold themselves for the relay of a domain share its daemons."""
    pool = TokenPool(HOME, OPTIONS)
    pool.set_members({domain: {domain} for domain in DOMAINS}, 0.0)
    answer = pool.grant(WORKSPACE, 10.0)
    assert not answer.granted
    assert answer.wait_s > 0.0


def test_a_relay_that_was_paused_has_no_old_reports() -> None:
    """They are no longer fresh once it goes on, and others may have taken over."""
    relays = _Relays()
    relays.exchange(0.0)
    pool = relays.pools[HOME]
    assert pool.own_daemons(0.1) == PER_DOMAIN
    assert pool.own_daemons(6.0) == 0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
