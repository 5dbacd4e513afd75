"""Whom a daemon asks for a token of a small workspace, and what it makes of it."""

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
from damaskbay.mesh.messages import TokenRequest
from damaskbay.mesh.tokens import PooledTokens, TokenParts
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem
from tests.common import function_suite

WORKSPACE = Workspace("w", 10.0, 10)
DOMAINS = ("near", "far")
HOME = TokenPool("near", QuotaOptions())
HOME.set_members({domain: {f"{domain}0", f"{domain}1"} for domain in DOMAINS}, 0.0)
HOME_DOMAIN = HOME.home(WORKSPACE.name)
OTHER_DOMAIN = next(domain for domain in DOMAINS if domain != HOME_DOMAIN)
GRANTED = Grant(True, 0.0, 0.0)
SPENT = Grant(False, 0.2, 1.5)
SILENT = PeerFailure(PeerProblem.TIMEOUT)


def _record(instance: str, domain: str) -> MemberRecord:
    address = PeerAddress("10.0.0.1", 7000 + len(instance) * 10 + int(instance[-1]))
    return MemberRecord(instance, 1, domain, address, "p", ServerState.READY, 4)


class _Daemon:
    """A daemon whose questions are written down; `replies` by the one asked."""

    def __init__(self, instance: str, domain: str, *, is_relay: bool) -> None:
        self.now = 100.0
        self.asked: list[tuple[str, int]] = []
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

    async def _request(self, peer: PeerAddress, message: Any, **_: Any) -> Any:
        name = self._names[peer]
        self.asked.append((name, message.hops))
        return self.replies.get(name, SILENT)

    def spend(self) -> Refusal | None:
        return asyncio.run(self.tokens.spend(WORKSPACE))


def test_the_relay_of_the_home_is_asked() -> None:
    """One question, to the first relay of the home domain."""
    daemon = _Daemon(f"{OTHER_DOMAIN}1", OTHER_DOMAIN, is_relay=False)
    daemon.replies[f"{HOME_DOMAIN}0"] = GRANTED
    assert daemon.spend() is None
    assert daemon.asked == [(f"{HOME_DOMAIN}0", 1)]


def test_a_silent_home_is_asked_by_way_of_the_own_relay() -> None:
    """And left alone for a while, so that nobody waits for it again."""
    daemon = _Daemon(f"{OTHER_DOMAIN}1", OTHER_DOMAIN, is_relay=False)
    daemon.replies[f"{OTHER_DOMAIN}0"] = GRANTED
    assert daemon.spend() is None
    assert daemon.asked == [(f"{HOME_DOMAIN}0", 1), (f"{OTHER_DOMAIN}0", 1)]
    daemon.asked.clear()
    daemon.replies[f"{HOME_DOMAIN}1"] = GRANTED
    assert daemon.spend() is None
    assert daemon.asked == [(f"{HOME_DOMAIN}1", 1)]
    daemon.asked.clear()
    daemon.now += HOLDER_BACKOFF_S + 0.1
    daemon.replies[f"{HOME_DOMAIN}0"] = GRANTED
    assert daemon.spend() is None
    assert daemon.asked == [(f"{HOME_DOMAIN}0", 1)]


def test_nobody_is_asked_again_before_the_next_token() -> None:
    """Callers are told when they may expect one, which is later."""
    daemon = _Daemon(f"{OTHER_DOMAIN}1", OTHER_DOMAIN, is_relay=False)
    daemon.replies[f"{HOME_DOMAIN}0"] = SPENT
    for _ in range(3):
        refusal = daemon.spend()
        assert refusal is not None
        assert refusal.reason is Reason.RATE_EXCEEDED
        assert refusal.not_run
        assert refusal.retry_after_s == SPENT.wait_s
    assert len(daemon.asked) == 1
    daemon.now += SPENT.next_s + 0.01
    daemon.replies[f"{HOME_DOMAIN}0"] = GRANTED
    assert daemon.spend() is None


def test_the_home_grants_by_itself() -> None:
    """Its relay asks nobody, and only for the daemons that rely on it."""
    daemon = _Daemon(f"{HOME_DOMAIN}0", HOME_DOMAIN, is_relay=True)
    assert daemon.spend() is not None
    daemon.now += 2.0
    for instance in (f"{HOME_DOMAIN}0", f"{HOME_DOMAIN}1"):
        daemon.pool.reported(instance, daemon.now)
    daemon.now += 0.5
    assert daemon.spend() is None
    assert daemon.asked == []


def test_a_question_does_not_go_round_for_ever() -> None:
    """Daemons that hold each other for the relay stop after a few hops."""
    daemon = _Daemon(f"{HOME_DOMAIN}1", HOME_DOMAIN, is_relay=False)
    wanted = TokenRequest(WORKSPACE.name, TOKEN_MAX_HOPS + 1)
    answer = asyncio.run(daemon.tokens.handle_request(wanted))
    assert not answer.granted
    assert answer.wait_s > 0.0
    assert daemon.asked == []


def test_an_unknown_workspace_gets_no_token() -> None:
    """The one that asks has a newer set; it is told to come back."""
    daemon = _Daemon(f"{HOME_DOMAIN}0", HOME_DOMAIN, is_relay=True)
    answer = asyncio.run(daemon.tokens.handle_request(TokenRequest("new", 1)))
    assert not answer.granted
    assert answer.wait_s > 0.0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
