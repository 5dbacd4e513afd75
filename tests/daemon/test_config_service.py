"""Distribution of sets with failed relays, lost messages and paused processes."""

import unittest
from functools import partial
from typing import Any

from damaskbay.core.dissemination.messages import Push, Status
from damaskbay.core.dissemination.order import LEADER_PURPOSE, rank_by_rendezvous_hash
from damaskbay.daemon.config_messages import PeerReply, SetLoaded
from damaskbay.daemon.config_relay import ConfigRelay
from damaskbay.daemon.config_service import ConfigService
from damaskbay.daemon.config_source import PlatformSetSource
from damaskbay.ports.peer import PeerIdentity
from tests.common import function_suite
from tests.daemon.config_common import (
    OPTIONS,
    Fleet,
    StaticMembership,
    fleet,
)
from tests.daemon.test_membership import wait_until


def _relays(running: Fleet, domain: str) -> list[str]:
    members = running.members_by_domain[domain]
    return [
        item.instance for item in rank_by_rendezvous_hash(members, LEADER_PURPOSE)[:2]
    ]


def _all_active(running: Fleet, version: int) -> bool:
    return running.versions() == {version}


def _proof_age_s(service: ConfigService) -> float:
    state = service.state()
    return float("inf") if state is None else service.clock() - state.proven_at


def test_new_sets_are_in_force_everywhere() -> None:
    """Each accepted set reaches all daemons; only relays watch the platform."""
    with fleet(east=8, west=5) as running:
        running.start()
        for _ in range(3):
            version = running.operator.publish()
            wait_until(partial(_all_active, running, version))
        by_client = running.platform.counters.by_client
        watching = {name for name, calls in by_client.items() if name and calls}
        expected = {*_relays(running, "east"), *_relays(running, "west")}
        assert watching == expected
        services = running.services_by_instance.values()
        wait_until(lambda: all(_proof_age_s(item) < 1 for item in services))


def test_lost_pushes_are_repaired() -> None:
    """If all pushes are lost, every daemon gets the set by polling."""
    with fleet(east=9) as running:
        running.start()
        for link in running.board.link_by_address.values():
            link.register(Push, lambda *_: None)
        running.operator.publish()
        wait_until(lambda: running.versions() == {1})
        running.operator.publish()
        wait_until(lambda: running.versions() == {2})


def test_subscribers_hear_of_each_newer_set() -> None:
    """A callback is called with each newer set."""
    with fleet(east=1) as running:
        running.start()
        received: list[int] = []
        service = running.services_by_instance["east-0"]
        service.subscribe(lambda config: received.append(config.version))
        running.operator.publish()
        wait_until(lambda: received == [1])
        running.operator.publish()
        wait_until(lambda: received == [1, 2])


def test_relay_that_stops_is_replaced() -> None:
    """A relay that stops without releasing its lease only delays the next set."""
    with fleet(east=6) as running:
        running.start()
        running.operator.publish()
        wait_until(lambda: running.versions() == {1})
        killed = _relays(running, "east")[0]
        running.kill(killed)
        running.remove_member(killed)
        running.operator.publish()
        wait_until(lambda: running.versions() == {2})
        wait_until(
            lambda: (
                sum(
                    item.report().relay
                    for item in running.services_by_instance.values()
                )
                == 2
            )
        )


def test_both_relays_of_a_domain_lost_at_once() -> None:
    """Remaining daemons get the next set before the failure is detected."""
    with fleet(east=7, west=3) as running:
        running.start()
        running.operator.publish()
        wait_until(partial(_all_active, running, 1))
        for killed in _relays(running, "east"):
            running.kill(killed)
        running.operator.publish()
        wait_until(partial(_all_active, running, 2))
        remaining = running.services_by_instance.values()
        start = next(iter(remaining)).clock()
        wait_until(
            lambda: all(item.clock() - _proof_age_s(item) > start for item in remaining)
        )


def test_relay_paused_past_its_lease_tells_nothing() -> None:
    """A set is discarded if the relay's lease ended while it was read."""
    with fleet(east=1) as running:
        posted: list[object] = []
        now = 100.0
        platform = running.platform.client("east-0")

        class PausedSource(PlatformSetSource):
            """Source that advances the clock by `pause_s` while a set is read."""

            def load(self, *arguments: Any, **named: Any) -> Any:
                nonlocal now
                now += pause_s
                return super().load(*arguments, **named)

        def post_to_service(item: object) -> bool:
            posted.append(item)
            return True

        relay = ConfigRelay(
            PeerIdentity("east-0", 1, "east"),
            platform=platform,
            source=PausedSource(platform),
            membership=StaticMembership("east", running.members_by_domain),
            options=OPTIONS,
            post_to_service=post_to_service,
            clock=lambda: now,
        )
        running.operator.publish()
        pause_s = OPTIONS.lease_s
        relay.tick(now)
        assert not posted
        pause_s = 0.1
        relay.tick(now)
        assert isinstance(posted[0], SetLoaded)


def test_pause_makes_no_proof_younger() -> None:
    """A proof counts from the time of the request, however late the reply is."""
    with fleet(east=2) as running:
        running.start()
        service = running.services_by_instance["east-0"]
        running.platform.inject(outage=True)
        reply = Status(0, "east", 0.5, None)
        address = running.members_by_domain["east"][1].address
        sent_at = service.clock() + 50
        service.post(PeerReply(address, "east", sent_at, reply))
        wait_until(lambda: service._freshness.proven_at > service.clock() + 40)
        assert service._freshness.proven_at == sent_at - 0.5


def test_lease_answer_lost() -> None:
    """If the reply to a lease write is lost, the lease is recognised by reading."""
    with fleet(east=1) as running:
        running.platform.inject(lose_answers=1)
        running.start()
        service = running.services_by_instance["east-0"]
        wait_until(lambda: service.report().relay)
        held = running.platform.list("damaskbay/relays/", timeout_s=1)
        assert isinstance(held, tuple)
        assert len(held) == 1


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
