"""Token requests of small workspaces, and how their replies are used."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from damaskbay.config.objects import ConfigSet, Workspace
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.core.quota.shares import QuotaOptions
from damaskbay.core.quota.token_pool import Grant, TokenPool
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import HOLDER_BACKOFF_S, TOKEN_MAX_HOPS
from damaskbay.mesh.directory import MemberRecord
from damaskbay.mesh.messages import PooledTokenRequest
from damaskbay.mesh.tokens import PooledTokens, TokenParts
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem
from tests.common import function_suite

WORKSPACE = Workspace("w", 10.0, 10)
DOMAINS = ("near", "far")
HOME = TokenPool("near", QuotaOptions())
HOME.set_members({domain: {f"{domain}0", f"{domain}1"} for domain in DOMAINS}, 0.0)
HOME_DOMAIN = HOME.home(WORKSPACE.name)
REMOTE_DOMAIN = next(domain for domain in DOMAINS if domain != HOME_DOMAIN)
GRANTED = Grant(True, 0.0, 0.0)
EXHAUSTED = Grant(False, 0.2, 1.5)
UNRESPONSIVE = PeerFailure(PeerProblem.TIMEOUT)


def _record(instance: str, domain: str) -> MemberRecord:
    address = PeerAddress("10.0.0.1", 7000 + len(instance) * 10 + int(instance[-1]))
    return MemberRecord(instance, 1, domain, address, "p", ServerState.READY, 4)


class _Daemon:
    """A daemon that records its token requests; `replies` are by holder."""

    def __init__(self, instance: str, domain: str, *, is_relay: bool) -> None:
        self.now = 100.0
        self.requested: list[tuple[str, int]] = []
        self.timeouts_s: list[float] = []
        self.replies: dict[str, Any] = {}
        self.pool = TokenPool(domain, QuotaOptions())
        members = {name: {f"{name}0", f"{name}1"} for name in DOMAINS}
        self.pool.set_members(members, 0.0)
        relays = {
            name: [_record(f"{name}0", name), _record(f"{name}1", name)]
            for name in DOMAINS
        }
        self._names = {
            item.address: item.instance for items in relays.values() for item in items
        }
        configuration = Configuration()
        workspaces = {WORKSPACE.name: WORKSPACE}
        config = ConfigSet(1, "d", workspaces_by_name=workspaces)
        configuration.activate(config, b"", "test")
        exchange: Any = SimpleNamespace(
            fleet_known=True, is_relay=is_relay, relays=lambda name: relays[name]
        )
        links: Any = SimpleNamespace(up=lambda _: True, request=self._request)
        self.tokens = PooledTokens(
            TokenParts(
                instance=instance,
                failure_domain=domain,
                pool=self.pool,
                exchange=exchange,
                links=links,
                configuration=configuration,
                clock=lambda: self.now,
            )
        )

    async def _request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> Any:
        name = self._names[peer]
        self.timeouts_s.append(timeout_s)
        self.requested.append((name, message.hops))
        return self.replies.get(name, UNRESPONSIVE)

    def spend(self) -> Refusal | None:
        return asyncio.run(self.tokens.spend(WORKSPACE))


def test_the_relay_of_the_home_is_asked() -> None:
    """One request goes to the first relay of the home domain."""
    daemon = _Daemon(f"{REMOTE_DOMAIN}1", REMOTE_DOMAIN, is_relay=False)
    daemon.replies[f"{HOME_DOMAIN}0"] = GRANTED
    assert daemon.spend() is None
    assert daemon.requested == [(f"{HOME_DOMAIN}0", 1)]


def test_a_silent_home_is_asked_by_way_of_the_own_relay() -> None:
    """An unresponsive holder gets no requests for a while, so that no call waits."""
    daemon = _Daemon(f"{REMOTE_DOMAIN}1", REMOTE_DOMAIN, is_relay=False)
    daemon.replies[f"{REMOTE_DOMAIN}0"] = GRANTED
    assert daemon.spend() is None
    assert daemon.requested == [(f"{HOME_DOMAIN}0", 1), (f"{REMOTE_DOMAIN}0", 1)]
    daemon.requested.clear()
    daemon.replies[f"{HOME_DOMAIN}1"] = GRANTED
    assert daemon.spend() is None
    assert daemon.requested == [(f"{HOME_DOMAIN}1", 1)]
    daemon.requested.clear()
    daemon.now += HOLDER_BACKOFF_S + 0.1
    daemon.replies[f"{HOME_DOMAIN}0"] = GRANTED
    assert daemon.spend() is None
    assert daemon.requested == [(f"{HOME_DOMAIN}0", 1)]


def test_the_own_relay_has_time_to_ask_the_home() -> None:
    """
    Pattern: the home domain of many small workspaces is cut off.

    The relay notices it by its own request, and then grants from its reserve; a caller
    that gave up on the relay by then would be refused although there are tokens.
    """
    daemon = _Daemon(f"{REMOTE_DOMAIN}1", REMOTE_DOMAIN, is_relay=False)
    daemon.replies[f"{REMOTE_DOMAIN}0"] = GRANTED
    assert daemon.spend() is None
    to_home_s, to_relay_s = daemon.timeouts_s
    assert to_relay_s >= 2 * to_home_s


def test_without_any_holder_the_rate_is_not_blamed() -> None:
    """The request has not run, and nothing is known of the workspace's rate."""
    daemon = _Daemon(f"{REMOTE_DOMAIN}1", REMOTE_DOMAIN, is_relay=False)
    refusal = daemon.spend()
    assert refusal is not None
    assert refusal.reason is Reason.SHARE_UNAVAILABLE
    assert refusal.not_run
    assert refusal.retry_after_s is not None
    daemon.replies[f"{HOME_DOMAIN}1"] = GRANTED
    assert daemon.spend() is None


def test_nobody_is_asked_again_before_the_next_token() -> None:
    """The daemon sends no request before its retry delay; callers get a longer one."""
    daemon = _Daemon(f"{REMOTE_DOMAIN}1", REMOTE_DOMAIN, is_relay=False)
    daemon.replies[f"{HOME_DOMAIN}0"] = EXHAUSTED
    for _ in range(3):
        refusal = daemon.spend()
        assert refusal is not None
        assert refusal.reason is Reason.RATE_EXCEEDED
        assert refusal.not_run
        assert refusal.retry_after_s == EXHAUSTED.wait_s
    assert len(daemon.requested) == 1
    daemon.now += EXHAUSTED.next_s + 0.01
    daemon.replies[f"{HOME_DOMAIN}0"] = GRANTED
    assert daemon.spend() is None


def test_the_home_grants_by_itself() -> None:
    """The home relay sends no request; it grants tokens once its daemons report."""
    daemon = _Daemon(f"{HOME_DOMAIN}0", HOME_DOMAIN, is_relay=True)
    assert daemon.spend() is not None
    daemon.now += 2.0
    for instance in (f"{HOME_DOMAIN}0", f"{HOME_DOMAIN}1"):
        daemon.pool.record_report(instance, daemon.now)
    daemon.now += 0.5
    assert daemon.spend() is None
    assert daemon.requested == []


def test_a_question_does_not_go_round_for_ever() -> None:
    """Daemons that consider each other the relay stop forwarding after a few hops."""
    daemon = _Daemon(f"{HOME_DOMAIN}1", HOME_DOMAIN, is_relay=False)
    wanted = PooledTokenRequest(WORKSPACE.name, TOKEN_MAX_HOPS + 1)
    grant = asyncio.run(daemon.tokens.handle_token_request(wanted))
    assert not grant.granted
    assert grant.wait_s > 0.0
    assert daemon.requested == []


def test_an_unknown_workspace_gets_no_token() -> None:
    """The requesting daemon has a newer configuration set; it gets a retry delay."""
    daemon = _Daemon(f"{HOME_DOMAIN}0", HOME_DOMAIN, is_relay=True)
    grant = asyncio.run(
        daemon.tokens.handle_token_request(PooledTokenRequest("new", 1))
    )
    assert not grant.granted
    assert grant.wait_s > 0.0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
