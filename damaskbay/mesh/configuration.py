"""The active configuration, and the proof that it is the newest."""

import logging
from collections.abc import Callable

from damaskbay.config.matching import PrefixTable
from damaskbay.config.objects import ConfigSet, WeightedRoute
from damaskbay.config.ranks import Ranks

_LOGGER = logging.getLogger(__name__)


class Configuration:
    """
    Holds the active configuration set; only a higher version replaces it.

    `document` is the set as the platform stores it, to send to peers. `proven_at`
    is the start of the read that proved it the newest, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.config: ConfigSet | None = None
        self.routes: PrefixTable | None = None
        self.ranks = Ranks(ConfigSet(0, ""))
        self._attempts_by_pool: dict[str, int] = {}
        self.document = b""
        self.proven_at: float | None = None
        self._callbacks: list[Callable[[ConfigSet], None]] = []

    @property
    def version(self) -> int:
        """Return the active version, 0 if there is none."""
        return self.config.version if self.config is not None else 0

    def weight_of(self, workspace: str) -> float:
        """Return the weight of a workspace, 1 for an unknown one."""
        found = self.config.workspaces_by_name.get(workspace) if self.config else None
        return found.weight if found is not None else 1.0

    def attempts_at(self, pool: str) -> int:
        """Return the most servers of a pool that one call may be sent to."""
        return self._attempts_by_pool.get(pool, 1)

    def subscribe(self, callback: Callable[[ConfigSet], None]) -> None:
        """Call `callback` whenever a newer set is activated."""
        self._callbacks.append(callback)

    def activate(self, config: ConfigSet, document: bytes, source: str) -> bool:
        """Activate a set if it is newer; return whether it was."""
        if config.version <= self.version:
            return False
        self.config = config
        self.routes = PrefixTable(config)
        self.ranks = Ranks(config)
        self._attempts_by_pool = _most_attempts(config)
        self.document = document
        _LOGGER.info(
            "config: version is in force.",
            extra={"version": config.version, "source": source},
        )
        for callback in self._callbacks:
            callback(config)
        return True

    def record_proof(self, version: int, as_of: float) -> None:
        """Record a proof that a version was the newest at a time."""
        if version == self.version and (
            self.proven_at is None or as_of > self.proven_at
        ):
            self.proven_at = as_of

    def proof_age_s(self, now: float) -> float | None:
        """Return the age of the proof in seconds, None if there is none."""
        return None if self.proven_at is None else max(0.0, now - self.proven_at)


def _most_attempts(config: ConfigSet) -> dict[str, int]:
    """Return the most attempts of a call by pool, over the routes to it."""
    most: dict[str, int] = {}
    for route in config.routes_by_name.values():
        pools = {route.pool}
        if isinstance(route, WeightedRoute):
            pools |= {item.pool for item in route.weighted_pools}
        for pool in pools:
            most[pool] = max(most.get(pool, 1), 1 + route.retries)
    return most
