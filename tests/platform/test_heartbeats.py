"""Tests of the heartbeat listener and of the settings decoder."""

import asyncio
import json
import unittest
from typing import Any

from damaskbay.adapters.http1.server import ReceivedRequest
from damaskbay.core.call import Request
from damaskbay.mesh.local_server import Heartbeat
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.heartbeats import HeartbeatListener
from damaskbay.platform.settings import decode_settings
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

SERVER = PeerAddress("10.0.0.1", 8080)
REPORT: dict[str, Any] = {
    "Service": "one",
    "Address": "10.0.0.1:8080",
    "Zone": "a",
    "Version": "v1",
    "Slots": 20,
    "State": "ready",
    "ColdRemaining": "1500ms",
    "Seq": 4,
    "born": 1_700_000_000_000,
}
SETTINGS: dict[str, Any] = {
    "Node": "n1",
    "Ip": "10.0.0.1",
    "Zone": "a",
    "Service": "one",
    "AppAddr": "10.0.0.1:8547",
    "PortRange": [7000, 7015],
    "Heartbeat": "1500ms",
    "Listen": {
        "Outbound": "10.0.0.1:1",
        "Control": "10.0.0.1:2",
        "Readiness": "10.0.0.1:3",
    },
    "Limits": {"MemoryMb": 300, "MaxFds": 4100},
    "Bounds": {"Drain": "2000ms", "Revoke": "5s", "QuotaOverage": 0.1},
    "Platform": {"Address": "10.200.1.7:8545"},
    "SomethingNew": {"a": 1},
}


class _RecordedReports:
    def __init__(self) -> None:
        self.heartbeats: list[Heartbeat] = []
        self.deregistrations: list[tuple[str, int | None]] = []

    async def on_heartbeat(self, heartbeat: Heartbeat) -> bool:
        self.heartbeats.append(heartbeat)
        return True

    async def on_deregister(self, server: str, born_ms: int | None) -> bool:
        self.deregistrations.append((server, born_ms))
        return True


def _post(path: str, body: bytes) -> tuple[int, _RecordedReports]:
    recorded = _RecordedReports()
    listener = HeartbeatListener(
        "one", SERVER, recorded.on_heartbeat, recorded.on_deregister
    )
    arrival = ReceivedRequest(Request("POST", "h", path, (), body), 0.0)
    return asyncio.run(listener.serve(arrival)).status, recorded


def test_a_report_is_decoded() -> None:
    """Each field of a heartbeat gets its value; `ColdRemaining` becomes seconds."""
    status, recorded = _post("/Instances.Heartbeat/i-1", json.dumps(REPORT).encode())
    assert status == 200
    expected = Heartbeat("i-1", ServerState.READY, 20, 4, 1_700_000_000_000, 1.5)
    assert recorded.heartbeats == [expected]


def test_what_cannot_be_read_names_no_server() -> None:
    """Invalid JSON, invalid fields and another server's address get 400, no effect."""
    bodies: list[bytes] = [b"\xff\xfe", b"[]", b"{"]
    for name, value in (
        ("Service", "other"),
        ("Address", "10.0.0.9:1"),
        ("State", "odd"),
        ("Slots", "20"),
        ("Slots", True),
        ("Seq", -1),
        ("Seq", None),
    ):
        bodies.append(json.dumps({**REPORT, name: value}).encode())
    for body in bodies:
        status, recorded = _post("/Instances.Heartbeat/i-1", body)
        assert status == 400, body
        assert not recorded.heartbeats


def test_a_leave_may_have_no_body() -> None:
    """The path names the server; the body may add its start time in `born`."""
    assert _post("/Instances.Deregister/i-1", b"")[1].deregistrations == [("i-1", None)]
    body = b'{"born": 12}'
    assert _post("/Instances.Deregister/i-1", body)[1].deregistrations == [("i-1", 12)]


def test_settings_are_decoded_and_unknown_fields_passed_over() -> None:
    """Durations become seconds and addresses PeerAddress objects."""
    settings = decode_settings(SETTINGS)
    assert settings.callers == PeerAddress("10.0.0.1", 1)
    assert settings.peers == PeerAddress("10.0.0.1", 7000)
    assert (settings.drain_s, settings.revoke_s) == (2.0, 5.0)
    assert settings.memory_bytes == 300 * 1024 * 1024
    assert settings.max_descriptors == 4100
    assert settings.advertised is None
    assert settings.failure_domains == frozenset()
    cold = {**SETTINGS["Bounds"], "ColdOverage": 1.5, "ColdSlack": 8}
    zones = {"a": {"Daemons": 2}, "b": {}}
    settings = decode_settings({**SETTINGS, "Bounds": cold, "Zones": zones})
    assert (settings.cold_overage, settings.cold_slack) == (1.5, 8.0)
    assert settings.failure_domains == {"a", "b"}
    listen = {**SETTINGS["Listen"], "Advertised": "10.0.0.9:7100"}
    settings = decode_settings({**SETTINGS, "Listen": listen})
    assert settings.advertised == PeerAddress("10.0.0.9", 7100)


def test_wrong_settings_name_the_field() -> None:
    """The error message names the invalid field."""
    for name, value in (
        ("Node", ""),
        ("AppAddr", "10.0.0.1"),
        ("AppAddr", "10.0.0.1:99999"),
        ("PortRange", [7000]),
        ("Bounds", {"Drain": 2000}),
        ("Listen", None),
        ("Limits", {"MemoryMb": "300"}),
        ("Bounds", {"ColdOverage": float("nan")}),
        ("Bounds", {"ColdSlack": "8"}),
        ("Zones", ["a"]),
    ):
        try:
            decode_settings({**SETTINGS, name: value})
        except FieldError as error:
            names = (name, *value) if isinstance(value, dict) else (name,)
            assert any(part in str(error) for part in names)
        else:
            raise AssertionError(name)


def load_tests(*_: object) -> unittest.TestSuite:
    """Return a suite of the test functions in this module."""
    return function_suite(globals())
