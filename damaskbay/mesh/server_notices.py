"""What the local backend server says of itself in its responses."""

import logging
from collections.abc import Callable, Mapping

from damaskbay.core.admission.named_limit import parse_limit
from damaskbay.mesh.dialect import HeaderNames
from damaskbay.mesh.gate import Gate
from damaskbay.mesh.local_server import LocalServer, ServerStart

_LOGGER = logging.getLogger(__name__)

LEAVING = "1"
"""Value of the header with which a server says that it leaves."""

MAX_LOGGED_VALUE = 40
"""Characters of an invalid value that are logged."""

MIN_CHANGE_RATIO = 1.5
"""Ratio of two limits from which the peers are told at once."""


class ServerNotices:
    """Applies the limit that the server names in its responses, and its leaving."""

    def __init__(
        self,
        dialect: HeaderNames,
        local: LocalServer,
        gate: Gate,
        on_capacity_change: Callable[[], None],
    ) -> None:
        self._local = local
        self._gate = gate
        self._on_capacity_change = on_capacity_change
        self._limit_header = dialect.limit.lower()
        self._leaving_header = dialect.leaving.lower()
        self.headers = frozenset({self._limit_header, self._leaving_header})
        self._start = local.start
        self._limit_per_s: float | None = None
        self._announced_per_s: float | None = None

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
        if start != self._start:
            self._start, self._limit_per_s = start, None
        self._record_limit(values.get(self._limit_header), now)
        if values.get(self._leaving_header) == LEAVING:
            self._local.record_leaving(start, now)

    def _record_limit(self, text: str | None, now: float) -> None:
        limit_per_s = parse_limit(text) if text is not None else None
        if text is not None and limit_per_s is None:
            self._log(
                "backend: named limit is not a number.",
                now,
                value=text[:MAX_LOGGED_VALUE],
            )
            # This is no sign that the server takes everything again.
            limit_per_s = self._limit_per_s
        self._gate.record_response(limit_per_s, now)
        if limit_per_s != self._limit_per_s:
            self._limit_per_s = limit_per_s
            self._log("backend: named limit has changed.", now, limit_per_s=limit_per_s)
        if _differs(self._gate.named_limit_per_s, self._announced_per_s):
            self._announced_per_s = self._gate.named_limit_per_s
            self._on_capacity_change()

    def _log(self, message: str, now: float, **fields: object) -> None:
        extra = {
            "server": self._local.server,
            "starts_per_s": round(self._gate.starts_per_s(now), 1),
            **fields,
        }
        _LOGGER.info(message, extra=extra)


def _differs(limit_per_s: float | None, other_per_s: float | None) -> bool:
    """Return whether two limits differ by so much that peers have to know."""
    if limit_per_s is None or other_per_s is None:
        return limit_per_s is not other_per_s
    higher, lower = max(limit_per_s, other_per_s), min(limit_per_s, other_per_s)
    return higher >= MIN_CHANGE_RATIO * lower
