"""Expected size of responses, by route."""

from typing import Final

FIRST_ESTIMATE_BYTES: Final = 64 * 1024
"""Expected size of the first response of a route."""

DECAY_PER_RESPONSE: Final = 0.95
"""Factor by which a large response is forgotten with each smaller one."""

MAX_ROUTES: Final = 10_000
"""Routes with an estimate; bounds memory while sets with new route names follow."""


class ResponseSizes:
    """Estimates the size of the next response of a route, in bytes."""

    def __init__(self) -> None:
        self._bytes_by_route: dict[str, float] = {}

    def expected_bytes(self, route: str) -> int:
        """Return the size of the largest response of late."""
        return int(self._bytes_by_route.get(route, FIRST_ESTIMATE_BYTES))

    def record(self, route: str, size_bytes: int) -> None:
        """Record the size of a response."""
        known = self._bytes_by_route.get(route, 0.0)
        if not known and len(self._bytes_by_route) >= MAX_ROUTES:
            self._bytes_by_route.clear()
        self._bytes_by_route[route] = max(size_bytes, DECAY_PER_RESPONSE * known)
