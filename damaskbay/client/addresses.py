"""Selection of a daemon; daemons without recent failures come first."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from damaskbay.client.options import ClientOptions, DaemonAddress


@dataclass(slots=True)
class _Health:
    failures: int = 0
    avoid_until: float = 0.0


class DaemonSelector:
    """
    Selects a daemon by its recent failures; `now` is in seconds.

    A client stays with the same daemon until that daemon fails.
    """

    def __init__(
        self,
        addresses: Sequence[DaemonAddress],
        options: ClientOptions,
        rng: random.Random,
    ) -> None:
        if not addresses:
            raise ValueError("a client needs the address of at least one daemon")
        self._options = options
        self._health_by_address = {address: _Health() for address in addresses}
        self._order = rng.sample(list(addresses), len(addresses))

    def select(
        self,
        now: float,
        *,
        preferred: DaemonAddress | None = None,
        excluded: frozenset[DaemonAddress] = frozenset(),
    ) -> DaemonAddress:
        """
        Return the address of the daemon to use.

        Avoids excluded and recently failed daemons while there are others.
        `preferred` comes first unless it failed recently.
        """
        candidates = [item for item in self._order if item not in excluded]
        candidates = candidates or self._order
        if preferred in candidates and self._is_usable(preferred, now):
            return preferred
        for address in candidates:
            if self._is_usable(address, now):
                return address
        return min(
            candidates, key=lambda item: self._health_by_address[item].avoid_until
        )

    def record_success(self, address: DaemonAddress) -> None:
        """Record that a daemon sent a response, which may be a refusal."""
        self._health_by_address[address] = _Health()

    def record_failure(self, address: DaemonAddress, now: float) -> None:
        """Record that a daemon was unreachable or its connection was lost."""
        health = self._health_by_address[address]
        avoid_s = self._options.avoid_s * 2.0**health.failures
        health.failures = min(health.failures + 1, 16)
        health.avoid_until = now + min(avoid_s, self._options.avoid_max_s)
        self._order.remove(address)
        self._order.append(address)

    def _is_usable(self, address: DaemonAddress, now: float) -> bool:
        return self._health_by_address[address].avoid_until <= now
