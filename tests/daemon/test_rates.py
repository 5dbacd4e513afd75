"""Tests of daemon.rates."""

import unittest
from concurrent.futures import ThreadPoolExecutor

from damaskbay.core.outcome import Reason
from tests.common import function_suite
from tests.daemon.rates_common import fleet, small_set, wait_until

SLOW = small_set(rate=0.01, burst=5)


def test_two_domains_share_one_burst() -> None:
    """Daemons of all domains together admit the burst once."""
    with fleet({"east": 3, "west": 2}, config=SLOW) as daemons:
        names = ["east0", "east1", "east2", "west0", "west1"]
        admitted = sum(daemons.admit(name) for name in names * 4)
    assert admitted == 5


def test_requests_at_once_share_one_burst() -> None:
    """Threads of several daemons at the same moment admit the burst once."""
    with fleet({"east": 2, "west": 2}, config=SLOW) as daemons:
        names = ["east0", "east1", "west0", "west1"] * 8
        with ThreadPoolExecutor(16) as pool:
            admitted = sum(pool.map(daemons.admit, names))
    assert 1 <= admitted <= 5


def test_limits_are_all_or_nothing() -> None:
    """A request that a limit refuses spends nothing of the workspace's bucket."""
    with fleet({"east": 1}, config=SLOW) as daemons:
        results = [daemons.admit("east0", ("slow",)) for _ in range(6)]
        assert sum(results) == 2
        wait_until(lambda: daemons.admit("east0"))
        assert 1 <= sum(daemons.admit("east0") for _ in range(5)) <= 2


def test_unknown_workspace_gets_nothing() -> None:
    """A workspace that the set does not know is refused as not run."""
    with fleet({"east": 1}) as daemons:
        service = daemons.services_by_instance["east0"]
        refusal = service.acquire("nobody", (), deadline=9, now=1)
    assert refusal is not None
    assert refusal.not_run
    assert refusal.reason is Reason.RATE_EXCEEDED


def test_withdrawn_workspace_gets_nothing() -> None:
    """A workspace that a newer set leaves out is refused at once."""
    with fleet({"east": 1}) as daemons:
        assert daemons.admit("east0")
        daemons.config.take(small_set(2).__class__(2, "e"))
        assert not daemons.admit("east0")


def test_over_the_rate_is_said_so() -> None:
    """A refusal for the rate is not run and says when to come again."""
    with fleet({"east": 1}, config=SLOW) as daemons:
        daemons.burst("east0", 5)
        service = daemons.services_by_instance["east0"]
        refusal = service.acquire("small", (), deadline=9, now=0)
    assert refusal is not None
    assert refusal.not_run
    assert refusal.reason is Reason.RATE_EXCEEDED
    assert refusal.retry_after_s


def test_platform_out_from_the_start_is_share_unavailable() -> None:
    """Without any share nothing is admitted, and the reason tells why."""
    with fleet({"east": 1}) as daemons:
        daemons.platform.inject(outage=True)
        service = daemons.services_by_instance["east0"]
        refusal = service.acquire("small", (), deadline=9, now=0)
    assert refusal is not None
    assert refusal.not_run
    assert refusal.reason is Reason.SHARE_UNAVAILABLE


def test_outage_goes_on_with_the_share() -> None:
    """A domain that holds a share serves on while the platform is out."""
    with fleet({"east": 1}, config=small_set(rate=500.0, burst=50)) as daemons:
        assert daemons.burst("east0", 10) == 10
        daemons.platform.inject(outage=True)
        assert daemons.burst("east0", 5) >= 1


def test_lost_answers_grant_nothing_twice() -> None:
    """Answers that are lost after the write took effect double no token."""
    with fleet({"east": 1, "west": 1}, config=SLOW) as daemons:
        daemons.platform.inject(lose_answers=2)
        names = ["east0", "west0"] * 10
        admitted = 0
        for _ in range(3):
            admitted += sum(daemons.admit(name) for name in names)
            daemons.platform.inject(lose_answers=1)
    assert admitted <= 5


def test_stop_hands_the_share_on() -> None:
    """After a planned stop another domain spends what was left, and no more."""
    with fleet({"west": 1}, config=SLOW) as west:
        with fleet({"east": 1}, config=SLOW, platform=west.platform) as east:
            assert east.burst("east0", 3) == 3
        wait_until(lambda: west.admit("west0"))
        assert 1 + west.burst("west0", 6) == 2


def test_other_daemon_takes_over_when_the_holder_is_lost() -> None:
    """A holder that does not answer is replaced by the next in rank."""
    with fleet({"east": 3}, config=small_set(rate=100.0, burst=90)) as daemons:
        for name, link in daemons.links_by_instance.items():
            asked = link.requests
            assert daemons.admit(name)
            if link.requests > asked:
                link.cut.update(link.links_by_address)
                wait_until(lambda name=name: daemons.admit(name))  # type: ignore[misc]


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
