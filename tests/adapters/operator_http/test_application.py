"""Tests of adapters.operator_http.application."""

import io
import json
import unittest
from typing import Any

from hypothesis import given, settings, strategies as st

from damaskbay.adapters.operator_http.application import OperatorApplication
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.operator import Health
from tests.common import function_suite


class _Service:
    """Records announcements; ready unless reasons are given."""

    def __init__(self, *reasons: str) -> None:
        self.announcements: list[tuple[ServerState, int, float]] = []
        self._reasons = reasons

    def scrape(self) -> bytes:
        return b"calls_total 1\n"

    def health(self) -> Health:
        return Health(self._reasons)

    def status(self) -> dict[str, Any]:
        return {"instance": "campo-1"}

    def explain(self, *, call_id: str | None, workspace: str | None) -> dict[str, Any]:
        return {"call_id": call_id, "workspace": workspace}

    def announce(self, state: ServerState, slots: int, load: float) -> None:
        self.announcements.append((state, slots, load))


def _request(
    service: _Service, path: str, *, query: str = "", body: bytes | None = None
) -> tuple[int, bytes]:
    statuses: list[str] = []
    environ = {
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "REQUEST_METHOD": "GET" if body is None else "POST",
        "wsgi.input": io.BytesIO(body or b""),
    }
    response = OperatorApplication(service)(
        environ, lambda status, headers: statuses.append(status)
    )
    return int(statuses[0].split()[0]), b"".join(response)


def test_health_tells_why_not_ready() -> None:
    """Ready gets 200; not ready gets 503 with the reasons."""
    assert _request(_Service(), "/health")[0] == 200
    status, body = _request(_Service("no set"), "/health")
    assert status == 503
    assert json.loads(body)["why_not_ready"] == ["no set"]


def test_explain_wants_one_question() -> None:
    """Explain requires either a call id or a workspace."""
    assert _request(_Service(), "/explain")[0] == 400
    assert _request(_Service(), "/explain", query="call_id=1&workspace=w")[0] == 400
    status, body = _request(_Service(), "/explain", query="workspace=w")
    assert (status, json.loads(body)["workspace"]) == (200, "w")


def test_announcements_are_checked() -> None:
    """A valid announcement is stored; an invalid one gets a 400 naming the field."""
    service = _Service()
    valid = b'{"state": "ready", "slots": 8, "load": 0.5}'
    assert _request(service, "/announce", body=valid)[0] == 200
    status, body = _request(
        service, "/announce", body=b'{"state": "ready", "slots": 0}'
    )
    assert status == 400
    assert "slots" in json.loads(body)["problems"][0]
    assert service.announcements == [(ServerState.READY, 8, 0.5)]


@settings(derandomize=True, max_examples=100)
@given(st.binary(max_size=100))
def test_any_announcement_is_taken_or_refused(body: bytes) -> None:
    """Any body gets 200 or 400."""
    assert _request(_Service(), "/announce", body=body)[0] in (200, 400)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
