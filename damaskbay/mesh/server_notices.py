"""What the local backend server says of itself in its responses."""

import logging
from collections.abc import Mapping

from damaskbay.core.admission.named_limit import StartRate, parse_limit
from damaskbay.mesh.dialect import HeaderNames
from damaskbay.mesh.local_server import LocalServer, ServerStart

_LOGGER = logging.getLogger(__name__)


class ServerNotices:
    """Reads the limit that the server names, and whether it leaves."""

    def __init__(self, dialect: HeaderNames, local: LocalServer, now: float) -> None:
        self._local = local
        self._limit_header = dialect.limit.lower()
        self._leaving_header = dialect.leaving.lower()
        self.headers = frozenset({self._limit_header, self._leaving_header})
        self._start_rate = StartRate(now)
        self._limit_per_s: float | None = None
        self._leaving: ServerStart | None = None

    def record_start(self, now: float) -> None:
        """Count a request that is sent to the server."""
        self._start_rate.record_start(now)

    def record_response(
        self, values: Mapping[str, str], start: ServerStart, now: float
    ) -> None:
        """
        Record the notices in a response.

        `values` are the values of `headers` by lower-case name, `start` identifies the
        start of the server that the request was sent to.
        """
        if start != self._local.start:
            return
        text = values.get(self._limit_header)
        limit_per_s = parse_limit(text) if text is not None else None
        if text is not None and limit_per_s is None:
            self._log("backend: named limit is not a number.", now, value=text[:40])
            return
        if limit_per_s != self._limit_per_s:
            self._limit_per_s = limit_per_s
            self._log("backend: named limit has changed.", now, limit_per_s=limit_per_s)
        if self._leaving_header in values and self._leaving != start:
            self._leaving = start
            self._log("backend: response says that the server leaves.", now)

    def _log(self, message: str, now: float, **fields: object) -> None:
        extra = {
            "server": self._local.server,
            "starts_per_s": round(self._start_rate.per_s(now), 1),
            **fields,
        }
        _LOGGER.info(message, extra=extra)
