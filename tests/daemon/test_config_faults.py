"""Failures of the platform and of the network while sets are distributed."""

import unittest

from damaskbay.daemon.config_service import ConfigService
from tests.common import function_suite
from tests.daemon.config_common import OPTIONS, fleet
from tests.daemon.test_membership import wait_until


def _outage_for_all(service: ConfigService) -> bool:
    state = service.state()
    return state is not None and state.platform_unreachable_everywhere


def _proof_age_s(service: ConfigService) -> float:
    state = service.state()
    return float("inf") if state is None else service.clock() - state.proven_at


def test_long_outage_is_seen_by_all_and_ends() -> None:
    """All domains detect an outage of the platform, and its end."""
    with fleet(east=4, west=3) as running:
        running.start()
        running.operator.publish()
        wait_until(lambda: running.versions() == {1})
        running.platform.inject(outage=True)
        services = list(running.services_by_instance.values())
        wait_until(lambda: all(_outage_for_all(item) for item in services))
        running.platform.inject(outage=False)
        running.operator.publish()
        wait_until(lambda: running.versions() == {2})
        wait_until(lambda: not any(_outage_for_all(item) for item in services))


def test_outage_is_not_guessed_where_other_domains_are_unknown() -> None:
    """A domain without contacts does not report an outage for all domains."""
    with fleet(east=1) as running:
        running.contacts_known = False
        running.start()
        running.operator.publish()
        wait_until(lambda: running.versions() == {1})
        running.platform.inject(outage=True)
        east = running.services_by_instance["east-0"]
        wait_until(lambda: _proof_age_s(east) > 3 * OPTIONS.outage_after_s)
        assert not _outage_for_all(east)


def test_fresh_daemon_in_an_outage_gets_the_set_of_its_peers() -> None:
    """A daemon that starts during an outage of the platform polls its peers."""
    with fleet(east=5) as running:
        running.start("east-0", "east-1", "east-2", "east-3")
        running.operator.publish()
        wait_until(lambda: running.versions() == {1})
        running.platform.inject(outage=True)
        running.start("east-4")
        wait_until(lambda: running.versions() == {1})


def test_cut_off_domain_knows_that_it_may_be_behind() -> None:
    """A partitioned domain keeps its unproven set and reports no outage for all."""
    with fleet(east=3, west=3) as running:
        running.start()
        running.operator.publish()
        wait_until(lambda: running.versions() == {1})
        running.partition("west")
        running.operator.publish()
        wait_until(lambda: running.versions("east") == {2})
        west = running.services_by_instance["west-0"]
        outage_report_s = OPTIONS.reachability_valid_s + OPTIONS.outage_valid_s
        wait_until(
            lambda: _proof_age_s(west) > outage_report_s + OPTIONS.outage_after_s
        )
        assert running.versions("west") == {1}
        assert not _outage_for_all(west)
        running.end_partition()
        wait_until(lambda: running.versions() == {2})
        wait_until(lambda: _proof_age_s(west) < 1)


def test_domain_without_the_platform_is_fed_by_others() -> None:
    """A domain that cannot reach the platform gets sets and proofs from its peers."""
    with fleet(east=3, west=3) as running:
        running.start()
        running.operator.publish()
        wait_until(lambda: running.versions() == {1})
        names = frozenset(item.instance for item in running.members_by_domain["west"])
        running.platform.inject(cut_clients=names)
        running.operator.publish()
        wait_until(lambda: running.versions() == {2})
        west = running.services_by_instance["west-2"]
        start = west.clock()
        wait_until(lambda: west.clock() - _proof_age_s(west) > start + 1)


def test_broken_head_keeps_the_last_good_set() -> None:
    """A head without its parts is reported; the last valid set stays proven."""
    with fleet(east=3) as running:
        running.start()
        running.operator.publish()
        wait_until(lambda: running.versions() == {1})
        running.operator.write_broken_head(version=2)
        services = running.services_by_instance.values()
        wait_until(lambda: any(item.report().problem for item in services))
        start = next(iter(services)).clock()
        wait_until(
            lambda: all(
                item.clock() - _proof_age_s(item) > start + 0.5 for item in services
            )
        )
        assert running.versions() == {1}
        running.operator.write_head(b"half")
        service = next(iter(services))
        wait_until(lambda: _proof_age_s(service) > 3 * OPTIONS.outage_after_s)
        assert running.versions() == {1}


def test_broken_head_that_skips_versions_proves_nothing() -> None:
    """No proof is given, since a set in between may have been accepted."""
    with fleet(east=2) as running:
        running.start()
        running.operator.publish()
        wait_until(lambda: running.versions() == {1})
        running.operator.write_broken_head(version=3)
        service = running.services_by_instance["east-0"]
        wait_until(lambda: _proof_age_s(service) > 3 * OPTIONS.outage_after_s)
        assert running.versions() == {1}


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
