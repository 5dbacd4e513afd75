"""End-to-end tests of daemon settings: TLS and invalid files."""

import json
import signal
import tempfile
import unittest
from pathlib import Path

from bench.fleet import Fleet, ServerPlan
from damaskbay.cli.const import EXIT_INVALID, EXIT_OK
from damaskbay.core.call import Response
from tests.common import function_suite
from tests.end_to_end.common import POOLS, Running, secrets_for_tests

PEM = str(Path(__file__).parent.parent / "adapters/peer_stream/data/peer.pem")
STOP_TIMEOUT_S = 60.0
TLS = {"certificate": PEM, "private_key": PEM, "authority": PEM}


def test_daemons_speak_tls_where_the_settings_say_so() -> None:
    """With TLS, daemons become ready and calls over a peer stream succeed."""
    plans = [ServerPlan(f"{pool}-a", "domain-a", pool, slots=16) for pool in POOLS]
    with Fleet(plans, {"tls": TLS}) as fleet:
        running = Running(fleet, secrets_for_tests())
        fleet.publish(running.document)
        fleet.wait_ready()
        outcome = running.call("lookup-a", "/ledger/tls")
        assert isinstance(outcome, Response), outcome
        assert b"ledger-a" in outcome.body


def test_check_settings_names_file_and_field() -> None:
    """An invalid file is reported with its own exit code and starts no daemon."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "daemon.json"
        path.write_text(json.dumps({"instance": "campo-1"}))
        result = Fleet([]).cli("daemon", "--settings", str(path), "--check-settings")
    assert result.returncode == EXIT_INVALID
    assert f"{path}: failure_domain: " in result.stderr


# SIGHUP had its default action in the threaded daemon, which it ended.
def test_sighup_does_not_end_a_daemon() -> None:
    """The daemon still responds, and stops at SIGTERM as before."""
    with Fleet([ServerPlan("ledger-a", "domain-a", "ledger", slots=16)]) as fleet:
        server = fleet.servers_by_instance["ledger-a"]
        assert server.daemon is not None
        fleet.signal_daemon("ledger-a", signal.SIGHUP)
        fleet.get_json(server, "/health")
        fleet.signal_daemon("ledger-a", signal.SIGTERM)
        assert server.daemon.wait(STOP_TIMEOUT_S) == EXIT_OK


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
