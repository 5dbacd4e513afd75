"""WSGI application of the operator listener."""

import http
import json
import logging
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from damaskbay.adapters.operator_http.const import (
    PATH_ANNOUNCE,
    PATH_EXPLAIN,
    PATH_HEALTH,
    PATH_METRICS,
    PATH_STATUS,
)
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.operator import OperatorService

_LOGGER = logging.getLogger(__name__)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]


class Announcement(BaseModel):
    """State, slots and load that a backend server announces."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    state: ServerState
    slots: int = Field(ge=1, le=10_000)
    load: float = Field(default=0.0, ge=0.0, le=1000.0)


class OperatorApplication:
    """Serves requests of operators and announcements of the local backend server."""

    def __init__(self, service: OperatorService) -> None:
        self._service = service

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request (PEP 3333)."""
        try:
            status, content_type, body = self._route(environ)
        except Exception:
            _LOGGER.exception("operator: request failed.")
            status, content_type, body = _json(500, {"error": "internal error"})
        phrase = http.HTTPStatus(status).phrase
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(f"{status} {phrase}", headers)
        return [body]

    def _route(self, environ: Environ) -> tuple[int, str, bytes]:
        path = environ["PATH_INFO"]
        if path == PATH_METRICS:
            return 200, "text/plain; version=0.0.4", self._service.scrape()
        if path == PATH_HEALTH:
            health = self._service.health()
            return _json(200 if health.ready else 503, health.document())
        if path == PATH_STATUS:
            return _json(200, self._service.status())
        if path == PATH_EXPLAIN:
            return self._explain(environ)
        if path == PATH_ANNOUNCE:
            return self._announce(environ)
        return _json(404, {"error": "unknown path"})

    def _explain(self, environ: Environ) -> tuple[int, str, bytes]:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        call_id = query.get("call_id", [None])[0]
        workspace = query.get("workspace", [None])[0]
        if (call_id is None) == (workspace is None):
            return _json(400, {"error": "give either call_id or workspace"})
        explanation = self._service.explain(call_id=call_id, workspace=workspace)
        return _json(200, explanation)

    def _announce(self, environ: Environ) -> tuple[int, str, bytes]:
        if environ["REQUEST_METHOD"] != "POST":
            return _json(405, {"error": "use POST"})
        try:
            data = environ["wsgi.input"].read()
            announcement = Announcement.model_validate_json(data)
        except ValidationError as error:
            errors = error.errors(include_url=False, include_input=False)
            problems = [f"{'.'.join(map(str, e['loc']))}: {e['msg']}" for e in errors]
            return _json(400, {"error": "announcement", "problems": problems})
        self._service.announce(
            announcement.state, announcement.slots, announcement.load
        )
        return _json(200, {})


def _json(status: int, document: Any) -> tuple[int, str, bytes]:
    return status, "application/json", json.dumps(document).encode()
