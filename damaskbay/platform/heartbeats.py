"""Reports of backend servers, decoded; served on the control address."""

import json
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from damaskbay.adapters.http1.server import Arrival
from damaskbay.core.call import Answer
from damaskbay.mesh.local_server import Heartbeat
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.fields import Table, seconds, text, whole
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)

BEAT_PATH = "/Instances.Heartbeat/"
LEAVE_PATH = "/Instances.Deregister/"
STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}

TakeHeartbeat = Callable[[Heartbeat], Awaitable[None]]
TakeLeave = Callable[[str, int | None], Awaitable[None]]


class HeartbeatListener:
    """Answers the server beside this daemon; what can't be read names no server."""

    def __init__(
        self,
        pool: str,
        server: PeerAddress,
        heartbeat: TakeHeartbeat,
        leave: TakeLeave,
    ) -> None:
        self._pool = pool
        self._server = server
        self._heartbeat = heartbeat
        self._leave = leave

    async def serve(self, arrival: Arrival) -> Answer:
        """Serve one report."""
        request = arrival.request
        path = request.target.partition("?")[0]
        try:
            if request.method == "POST" and path.startswith(BEAT_PATH):
                beat = self._decode(path.removeprefix(BEAT_PATH), request.body)
                await self._heartbeat(beat)
            elif request.method == "POST" and path.startswith(LEAVE_PATH):
                born_ms = _born(request.body)
                await self._leave(path.removeprefix(LEAVE_PATH), born_ms)
            else:
                return Answer(int(HTTPStatus.NOT_FOUND))
        except FieldError as error:
            _LOGGER.warning("backend: report is not taken.", extra={"why": str(error)})
            return Answer(int(HTTPStatus.BAD_REQUEST))
        headers = (("Content-Type", "application/json"),)
        return Answer(int(HTTPStatus.OK), headers, b"{}")

    def _decode(self, server: str, body: bytes) -> Heartbeat:
        report = _table(body)
        if text(report, "Service") != self._pool:
            raise FieldError("Service: another service runs here")
        if text(report, "Address") != str(self._server):
            raise FieldError("Address: not the server beside this daemon")
        state = STATES.get(text(report, "State"))
        if state is None:
            raise FieldError("State: is not known")
        if not server:
            raise FieldError("id: is missing in the path")
        return Heartbeat(
            server,
            state,
            whole(report, "Slots"),
            whole(report, "Seq"),
            whole(report, "born", 0),
            seconds(report, "ColdRemaining", 0.0),
        )


def _table(body: bytes) -> Table:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"body: {error}") from None
    if not isinstance(value, dict):
        raise FieldError("body: a table is wanted")
    return value


def _born(body: bytes) -> int | None:
    """Return when the leaving server started; a report may have no body."""
    if not body:
        return None
    report = _table(body)
    return whole(report, "born") if "born" in report else None
