"""Handler of the backend server's heartbeats and deregistrations."""

import json
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from damaskbay.adapters.http1.server import ReceivedRequest
from damaskbay.core.call import Response
from damaskbay.mesh.local_server import Heartbeat
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.fields import Table, read_integer, read_seconds, read_string
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)

HEARTBEAT_PATH = "/Instances.Heartbeat/"
DEREGISTER_PATH = "/Instances.Deregister/"
STATES_BY_NAME = {"ready": ServerState.READY, "draining": ServerState.DRAINING}

HeartbeatCallback = Callable[[Heartbeat], Awaitable[bool]]
"""Returns whether to confirm the report."""

DeregisterCallback = Callable[[str, int | None], Awaitable[bool]]
"""Takes the server and its start time in milliseconds, None if not reported.

Returns whether to confirm the report.
"""


class HeartbeatListener:
    """
    Serves the control address for the backend server of this daemon.

    An invalid report gets status 400 and changes nothing. One that the next daemon
    may not know of gets status 503, so that the server sends it again.
    """

    def __init__(
        self,
        pool: str,
        server: PeerAddress,
        on_heartbeat: HeartbeatCallback,
        on_deregister: DeregisterCallback,
    ) -> None:
        self._pool = pool
        self._server = server
        self._on_heartbeat = on_heartbeat
        self._on_deregister = on_deregister

    async def serve(self, arrival: ReceivedRequest) -> Response:
        """Decode one report and pass it on; return the HTTP response."""
        request = arrival.request
        path = request.target.partition("?")[0]
        try:
            if request.method == "POST" and path.startswith(HEARTBEAT_PATH):
                heartbeat = self._decode_heartbeat(
                    path.removeprefix(HEARTBEAT_PATH), request.body
                )
                confirmed = await self._on_heartbeat(heartbeat)
            elif request.method == "POST" and path.startswith(DEREGISTER_PATH):
                born_ms = _decode_born_ms(request.body)
                server = path.removeprefix(DEREGISTER_PATH)
                confirmed = await self._on_deregister(server, born_ms)
            else:
                return Response(int(HTTPStatus.NOT_FOUND))
        except FieldError as error:
            _LOGGER.warning("backend: report is not taken.", extra={"why": str(error)})
            return Response(int(HTTPStatus.BAD_REQUEST))
        if not confirmed:
            _LOGGER.warning("backend: report is not confirmed.", extra={"path": path})
            return Response(int(HTTPStatus.SERVICE_UNAVAILABLE))
        headers = (("Content-Type", "application/json"),)
        return Response(int(HTTPStatus.OK), headers, b"{}")

    def _decode_heartbeat(self, server: str, body: bytes) -> Heartbeat:
        report = _decode_object(body)
        if read_string(report, "Service") != self._pool:
            raise FieldError("Service: differs from the service of this daemon")
        if read_string(report, "Address") != str(self._server):
            raise FieldError("Address: differs from the backend server of this daemon")
        state = STATES_BY_NAME.get(read_string(report, "State"))
        if state is None:
            raise FieldError("State: expected ready or draining")
        if not server:
            raise FieldError("id: missing in the path")
        return Heartbeat(
            server,
            state,
            read_integer(report, "Slots"),
            read_integer(report, "Seq"),
            read_integer(report, "born", 0),
            read_seconds(report, "ColdRemaining", 0.0),
        )


def _decode_object(body: bytes) -> Table:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"body: {error}") from None
    if not isinstance(value, dict):
        raise FieldError("body: expected an object")
    return value


def _decode_born_ms(body: bytes) -> int | None:
    """Return the start time of the deregistered server; None if not in the body."""
    if not body:
        return None
    report = _decode_object(body)
    return read_integer(report, "born") if "born" in report else None
