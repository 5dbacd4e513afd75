"""Chooses among daemons: those that work first."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from damaskbay.client.options import ClientOptions, DaemonAddress


@dataclass(slots=True)
class _Health:
    failures: int = 0
    avoid_until: float = 0.0


class Addresses:
    """
    The daemons of one client and how they did lately.

    A client keeps to the daemon that served it; `now` is in seconds.
    """

    def __init__(
        self,
        addresses: Sequence[DaemonAddress],
        options: ClientOptions,
        rng: random.Random,
    ) -> None:
        if not addresses:
            raise ValueError("a client needs the address of a daemon")
        self._options = options
        self._health_by_address = {address: _Health() for address in addresses}
        self._order = rng.sample(list(addresses), len(addresses))

    def choose(
        self,
        now: float,
        *,
        preferred: DaemonAddress | None = None,
        excluded: frozenset[DaemonAddress] = frozenset(),
    ) -> DaemonAddress:
        """
        Return the daemon to send to.

        Avoids the excluded ones and those that failed, as far as others are
        left; `preferred` comes first where it works.
        """
        usable = [item for item in self._order if item not in excluded]
        usable = usable or self._order
        if preferred in usable and self._works(preferred, now):
            return preferred
        for address in usable:
            if self._works(address, now):
                return address
        return min(usable, key=lambda item: self._health_by_address[item].avoid_until)

    def succeeded(self, address: DaemonAddress) -> None:
        """Take note of an answer from a daemon, a refusal included."""
        self._health_by_address[address] = _Health()

    def failed(self, address: DaemonAddress, now: float) -> None:
        """Take note that a daemon could not be reached, or was lost."""
        health = self._health_by_address[address]
        avoid_s = self._options.avoid_s * 2.0**health.failures
        health.failures = min(health.failures + 1, 16)
        health.avoid_until = now + min(avoid_s, self._options.avoid_max_s)
        self._order.remove(address)
        self._order.append(address)

    def _works(self, address: DaemonAddress, now: float) -> bool:
        return self._health_by_address[address].avoid_until <= now
