"""Tests of what a daemon knows of its peers from records, notes and statuses."""

import unittest
from dataclasses import replace

from damaskbay.mesh.directory import NOTE_TIMEOUT_S, Directory, MemberRecord
from damaskbay.mesh.messages import Note, PeerStatus
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

ADDRESS = PeerAddress("10.0.0.1", 7000)
RECORD = MemberRecord("d1", 1, "zone", ADDRESS, "p", ServerState.READY, 4, "i", 9)
STARTING = replace(RECORD, state=ServerState.STARTING)
STATUS = PeerStatus(500, 0, 1, 0)


def _directory() -> Directory:
    return Directory("me", lambda _address: True)


def _note(state: ServerState) -> Note:
    return Note("d1", 1, "zone", ADDRESS.host, ADDRESS.port, "p", state, 4, 0.0, 1)


def test_a_status_does_not_hide_a_newer_record() -> None:
    """
    A peer that this daemon is linked to becomes ready, and only the store says so.

    The status proves that the peer lives; it says nothing of its server's state.
    """
    directory = _directory()
    directory.put(STARTING, 1.0)
    directory.put_status(ADDRESS, STATUS, 2.0)
    directory.put(RECORD, 2.5)
    assert [view.instance for view in directory.servers("p")] == ["d1"]


def test_a_note_is_fresher_than_a_record() -> None:
    """A record that arrives late does not undo a note."""
    directory = _directory()
    directory.put_note(_note(ServerState.DRAINING), 1.0)
    directory.put(RECORD, 2.0)
    assert not directory.servers("p")
    directory.put(RECORD, 2.0 + NOTE_TIMEOUT_S)
    assert directory.servers("p")


def test_a_linked_peer_that_lost_its_record_stays_known() -> None:
    """A lapsed lease removes nobody who answers; a silent one is removed."""
    directory = _directory()
    directory.put(RECORD, 0.0)
    directory.put_status(ADDRESS, STATUS, 10.0)
    directory.mark_unlisted("d1", 11.0)
    assert "d1" in directory.instances()
    directory.remove_expired(11.0 + NOTE_TIMEOUT_S)
    assert "d1" not in directory.instances()
    assert directory.failure_domain_of(ADDRESS) is None


def test_a_status_carries_load_and_slow_start() -> None:
    """Callers know the load of a server that does not call them."""
    directory = _directory()
    directory.put(RECORD, 0.0)
    directory.put_status(ADDRESS, PeerStatus(750, 4000, 1, 0), 20.0)
    (view,) = directory.servers("p")
    assert view.load == 0.75
    assert view.ready_at == 14.0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
