"""Fleet of processes that the tests of this package share."""

import atexit
import contextlib
import http.client
import json
from typing import Any

from bench.fleet import HOST, Fleet, Server, ServerPlan
from bench.sets import sample_set, secrets_for
from damaskbay.client import Client, ClientOptions, DaemonAddress
from damaskbay.core.call import Headers, Response
from damaskbay.core.outcome import Refusal

WORKSPACES = ("fitters", "wells")
POOLS = ("lookup", "ledger")
DEADLINE_S = 10.0
WAIT_S = 30.0

_stack = contextlib.ExitStack()
_started_fleets: "list[Running]" = []


class Running:
    """A fleet, its configuration document and the key secrets of its callers."""

    def __init__(self, fleet: Fleet, secrets: dict[str, str]) -> None:
        self.fleet = fleet
        self.secrets = secrets
        self.document = sample_set(POOLS, secrets_by_workspace=secrets)
        self.document["routes"]["lookup-read"]["calls"] = ["ledger-read"]

    def server(self, instance: str) -> Server:
        """Return one server of the fleet."""
        return self.fleet.servers_by_instance[instance]

    def call(
        self,
        instance: str,
        target: str,
        *,
        method: str = "GET",
        workspace: str = WORKSPACES[0],
        headers: Headers = (),
        body: bytes = b"",
        request_id: str | None = None,
    ) -> Response | Refusal:
        """Send a call through one daemon, without retries."""
        address = DaemonAddress(HOST, self.server(instance).caller_port)
        options = ClientOptions(max_attempts=1)
        with Client([address], self.secrets[workspace], options) as client:
            return client.call(
                method,
                target,
                host="service",
                headers=headers,
                body=body,
                deadline_s=DEADLINE_S,
                request_id=request_id,
            )

    def request_id(self, instance: str) -> str:
        """Return a request id that one daemon issued."""
        address = DaemonAddress(HOST, self.server(instance).caller_port)
        with Client([address], self.secrets[WORKSPACES[0]]) as client:
            issued = client.new_request_id(deadline_s=DEADLINE_S)
        assert isinstance(issued, str)
        return issued

    def seen(self, instance: str) -> list[dict[str, Any]]:
        """Return all requests that a backend server received."""
        connection = http.client.HTTPConnection(
            HOST, self.server(instance).backend_port, timeout=WAIT_S
        )
        try:
            connection.request("GET", "/.stand-in/seen")
            requests: list[dict[str, Any]] = json.loads(connection.getresponse().read())
            return requests
        finally:
            connection.close()


def secrets_for_tests() -> dict[str, str]:
    """Return a new key secret for each workspace of the tests."""
    return secrets_for(WORKSPACES)


def running_fleet() -> Running:
    """Return the shared fleet, which starts on first use and stops at exit."""
    if not _started_fleets:
        secrets = secrets_for_tests()
        plans = [
            ServerPlan(f"{pool}-{domain}", f"domain-{domain}", pool, slots=16)
            for pool in POOLS
            for domain in ("a", "b")
        ]
        fleet = _stack.enter_context(Fleet(plans))
        atexit.register(_stack.close)
        running = Running(fleet, secrets)
        fleet.publish(running.document)
        fleet.wait_ready()
        _started_fleets.append(running)
    return _started_fleets[0]
