"""Spreads a route's calls over its weighted pools, evenly also over short spans."""

from random import Random

from damaskbay.config.objects import Route, WeightedPool, WeightedRoute


class WeightedChoice:
    """Smooth weighted round robin for each route, begun at a random place."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._state: dict[str, tuple[tuple[WeightedPool, ...], dict[str, float]]] = {}

    def pool(self, route: Route) -> str:
        """Return the pool for the next call of a route."""
        if not isinstance(route, WeightedRoute) or not route.weighted_pools:
            return route.pool
        parts = route.weighted_pools
        known = self._state.get(route.name)
        if known is None or known[0] != parts:
            total = sum(part.weight for part in parts)
            credit = {part.pool: self._rng.random() * total for part in parts}
            known = (parts, credit)
            self._state[route.name] = known
        credit = known[1]
        for part in parts:
            credit[part.pool] += part.weight
        chosen = max(parts, key=lambda part: credit[part.pool])
        credit[chosen.pool] -= sum(part.weight for part in parts)
        return chosen.pool
