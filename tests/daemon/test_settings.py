"""Tests of daemon.settings."""

import json
import os
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from hypothesis import given, settings, strategies as st

from damaskbay.daemon.settings import (
    DaemonSettings,
    SettingsProblem,
    check_settings,
    load_secrets,
    load_settings,
)
from tests.common import function_suite

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def _document(**changes: Any) -> dict[str, Any]:
    address = {"host": "127.0.0.1", "port": 0}
    document: dict[str, Any] = {
        "instance": "campo-1",
        "failure_domain": "centro-a",
        "caller_listen": address,
        "peer_listen": address,
        "gossip_listen": address,
        "operator_listen": address,
        "platform": address,
        "peer_secrets": [{"environment": "PEER_SECRET"}],
        "backend_server": {**address, "pool": "campo", "slots": 8, "connections": 150},
    }
    return {**document, **changes}


def test_valid_settings() -> None:
    """A document with all required settings is valid; the others get defaults."""
    found = check_settings(_document(), "file")
    assert isinstance(found, DaemonSettings)
    assert found.limits.caller_threads > 0


def test_each_fault_names_its_field_and_file() -> None:
    """All errors are reported together, also a host name in place of an address."""
    document = _document(
        instance="",
        platform={"host": "platform.example", "port": 1},
        peer_secrets=[{}],
        unknown=1,
    )
    found = check_settings(document, "daemon.json")
    assert isinstance(found, SettingsProblem)
    text = str(found)
    for field in ("instance", "platform.host", "peer_secrets.0", "unknown"):
        assert f"daemon.json: {field}: " in text


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.sampled_from(sorted(_document())), _JSON)
def test_any_value_gives_settings_or_named_faults(field: str, value: Any) -> None:
    """An invalid document gives a SettingsProblem instead of an exception."""
    found = check_settings(_document(**{field: value}), "file")
    assert isinstance(found, (DaemonSettings, SettingsProblem))


def test_files() -> None:
    """A missing file and a file that isn't JSON are reported as problems."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "daemon.json"
        assert isinstance(load_settings(path), SettingsProblem)
        path.write_text("{")
        assert "not JSON" in str(load_settings(path))
        path.write_text(json.dumps(_document()))
        assert isinstance(load_settings(path), DaemonSettings)


def test_secrets_come_from_files_and_the_environment() -> None:
    """A short secret is reported by its settings field, never by its value."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "secret"
        path.write_text("f" * 32 + "\n")
        places = [{"environment": "PEER_SECRET"}, {"file": str(path)}]
        found = check_settings(_document(peer_secrets=places), "file")
        assert isinstance(found, DaemonSettings)
        with mock.patch.dict(os.environ, {"PEER_SECRET": "e" * 32}):
            assert load_secrets(found) == (b"e" * 32, b"f" * 32)
        with mock.patch.dict(os.environ, {"PEER_SECRET": "short"}):
            problem = load_secrets(found)
        assert isinstance(problem, SettingsProblem)
        assert "peer_secrets.0" in str(problem)
        assert "short " not in str(problem).replace("shorter", "")


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
