"""The configuration in force, and how surely it is the newest."""

import logging
from collections.abc import Callable

from damaskbay.config.matching import PrefixTable
from damaskbay.config.objects import ConfigSet
from damaskbay.config.ranks import Ranks

_LOGGER = logging.getLogger(__name__)


class Configuration:
    """
    Holds the set in force; only a higher version replaces it.

    `document` is the set as the platform holds it, to hand on to peers.
    `proven_at` is when the reading began that proved it the newest, in seconds
    of the monotonic clock.
    """

    def __init__(self) -> None:
        self.config: ConfigSet | None = None
        self.routes: PrefixTable | None = None
        self.ranks = Ranks(ConfigSet(0, ""))
        self.document = b""
        self.proven_at: float | None = None
        self._callbacks: list[Callable[[ConfigSet], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force, 0 where there is none."""
        return self.config.version if self.config is not None else 0

    def subscribe(self, callback: Callable[[ConfigSet], None]) -> None:
        """Call back whenever a newer set is in force."""
        self._callbacks.append(callback)

    def activate(self, config: ConfigSet, document: bytes, source: str) -> bool:
        """Put a set in force if it is newer; return whether it was."""
        if config.version <= self.version:
            return False
        self.config = config
        self.routes = PrefixTable(config)
        self.ranks = Ranks(config)
        self.document = document
        _LOGGER.info(
            "config: version is in force.",
            extra={"version": config.version, "source": source},
        )
        for callback in self._callbacks:
            callback(config)
        return True

    def record_proof(self, version: int, began_at: float) -> None:
        """Take a proof that a version was the newest at a time."""
        if version == self.version and (
            self.proven_at is None or began_at > self.proven_at
        ):
            self.proven_at = began_at

    def proof_age_s(self, now: float) -> float | None:
        """Return how old the proof is, None where there is none."""
        return None if self.proven_at is None else max(0.0, now - self.proven_at)
