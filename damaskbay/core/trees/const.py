"""Constants of the admission of whole call trees."""

from typing import Final

MAX_ROUTES: Final = 1000
"""Routes of which the work is known; the least recently used one is dropped."""

MAX_POOLS: Final = 16
"""Pools of one call tree of which the work is known and reported."""

WORK_EXPIRY_S: Final = 60.0
"""Time after which the work of a route that was not called is forgotten, seconds."""

WORK_GAIN: Final = 0.1
"""Weight of the newest call in the mean work: a dozen calls."""

MIN_CALLS: Final = 0.05
"""Mean calls below which a pool no longer counts as part of a tree."""

ACCEPTED_TIME_CONSTANT_S: Final = 0.4
"""
Time constant of the share of sends that a server accepts, in seconds.

Nine tenths of its weight are of the last second, and some 80 sends at 200 per second.
"""

ACCEPTED_MIN_SENDS: Final = 5.0
"""Least count of sends for a share, so that a first rejection is not taken for all."""

ACCEPTED_GAIN: Final = 0.5
"""Largest weight of the newest report in the accepted share of a pool.

An edge gets a few reports per second, most of them averages of a daemon below it.
"""

ACCEPTED_AVERAGE_S: Final = 0.3
"""Time constant of that share while reports arrive faster, in seconds."""

MIN_ACCEPTED_GAIN: Final = 0.1
"""Least weight of a report: an average over some ten, of as many servers."""

ACCEPTED_MARGIN: Final = 0.005
"""Distance from 1 at which all sends count as accepted."""

MIN_TREE_CHANCE: Final = 0.1
"""Chance to complete below which a tree is not begun: the work of ten for one."""

DEMAND_HALF_LIFE_S: Final = 2.0
"""Half-life of the counted root calls of a route: a daemon has a few per second."""

MIN_DEMAND: Final = 0.01
"""Decayed count from which a route is forgotten."""

DIVISION_REFRESH_S: Final = 0.05
"""Time for which a division among routes is used, seconds; it takes some 0.1 ms."""

MIN_ROUTE_SHARE: Final = 0.4
"""
Least share of a route that begins, as a part of the share of all routes of its rank.

A kind of request that is served less than a quarter as often as all counts as starved.
"""

RETRY_AFTER_S: Final = 0.4
"""Least mean retry delay, in seconds."""

MAX_RETRY_AFTER_S: Final = 2.0
"""Longest retry delay, in seconds; callers hardly wait longer."""

REFUSED_WINDOW_S: Final = 1.0
"""Time whose refused root calls are expected to return, in seconds."""
