"""Tests of daemon.announcing."""

import unittest

from damaskbay.daemon.announcing import (
    ANNOUNCEMENT_TIMEOUT_S,
    Announcer,
    ServerAnnouncement,
)
from damaskbay.daemon.settings import BackendServerSettings
from damaskbay.ports.fleet import ServerState
from tests.common import function_suite
from tests.daemon.common import FakeMembership

SETTINGS = BackendServerSettings(
    host="127.0.0.1", port=1, pool="campo", slots=8, connections=8, announced=True
)
NOW = 100.0


class _Membership(FakeMembership):
    """Records announcements."""

    def __init__(self) -> None:
        super().__init__()
        self.announced: list[tuple[ServerState, int]] = []

    def announce(
        self, *, pool: str, state: ServerState, slots: int, load: float
    ) -> None:
        self.announced.append((state, slots))


def _announcer(
    membership: _Membership, settings: BackendServerSettings = SETTINGS
) -> Announcer:
    return Announcer(settings, membership, set_slots=lambda _: None, load=lambda: 0.0)


def test_a_server_is_ready_only_when_it_says_so() -> None:
    """A server is starting until it announces itself and gone after the timeout."""
    membership = _Membership()
    announcer = _announcer(membership)
    announcer.tick(NOW)
    announcer.handle(ServerAnnouncement(ServerState.READY, 100, 0.0), NOW)
    announcer.tick(NOW + ANNOUNCEMENT_TIMEOUT_S + 0.1)
    assert membership.announced == [
        (ServerState.STARTING, 8),
        (ServerState.READY, 8),
        (ServerState.GONE, 8),
    ]


def test_draining_wins_over_what_the_server_says() -> None:
    """A draining daemon gets no new calls, whatever its server announces."""
    membership = _Membership()
    announcer = _announcer(membership)
    announcer.drain()
    announcer.handle(ServerAnnouncement(ServerState.READY, 8, 0.0), NOW)
    assert {state for state, _ in membership.announced} == {ServerState.DRAINING}


def test_a_server_that_accepts_nothing_is_gone() -> None:
    """Without announcements, a refused connection marks the server as gone."""
    membership = _Membership()
    settings = SETTINGS.model_copy(update={"announced": False})
    _announcer(membership, settings).tick(NOW)
    assert membership.announced == [(ServerState.GONE, 8)]


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
