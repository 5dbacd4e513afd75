"""Distributes a route's calls over its pools by weight, even over few calls."""

from random import Random

from damaskbay.config.objects import Route, WeightedPool, WeightedRoute


class WeightedChoice:
    """Smooth weighted round robin per route, from a random starting position."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._state_by_route: dict[
            str, tuple[tuple[WeightedPool, ...], dict[str, float]]
        ] = {}

    def next_pool(self, route: Route) -> str:
        """Return the pool for the next call of a route."""
        if not isinstance(route, WeightedRoute) or not route.weighted_pools:
            return route.pool
        pools = route.weighted_pools
        route_state = self._state_by_route.get(route.name)
        if route_state is None or route_state[0] != pools:
            total = sum(entry.weight for entry in pools)
            credit = {entry.pool: self._rng.random() * total for entry in pools}
            route_state = (pools, credit)
            self._state_by_route[route.name] = route_state
        credit = route_state[1]
        for entry in pools:
            credit[entry.pool] += entry.weight
        chosen = max(pools, key=lambda entry: credit[entry.pool])
        credit[chosen.pool] -= sum(entry.weight for entry in pools)
        return chosen.pool
