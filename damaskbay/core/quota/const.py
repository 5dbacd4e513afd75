"""Constants of demand shares."""

from typing import Final

DEMAND_WINDOW_S: Final = 2.0
"""Time constant of the demand average, seconds; smooths low request rates."""

EVEN_SPLIT_FRACTION: Final = 0.2
"""Fraction of a workspace's rate that is split evenly, for demand that moves."""

RETRY_AFTER_MAX_S: Final = 2.0
"""Longest retry delay sent to a caller over its rate, seconds."""

BACKLOG_HALF_LIFE_S: Final = 1.0
"""Time after which half of the refused calls were retried or given up, seconds."""

INITIAL_BURST_FRACTION: Final = 0.2
"""Fraction of the burst in a new bucket, 0 to 1.

With the complete burst, a restart of the fleet would grant a second one within a
window.
"""

INITIAL_SHARE: Final = 0.02
"""Fraction of a rate that a daemon may spend before it knows its peers, 0 to 1."""

RATE_OVERAGE_FRACTION: Final = 0.6
"""Fraction of the overage added to the rate; the rest covers outdated demand data."""

POOLED_BELOW_PER_S: Final = 60.0
"""Rate below which tokens are pooled, requests per second.

At this rate each of 100 daemons still gets a token in about two seconds, so that no
call has to wait for a token from a peer.
"""

HOME_DOMAIN_CACHE_SIZE: Final = 4096
"""Number of workspaces whose home domain is cached, since each call looks it up.

Bounds the memory of the cache.
"""

TOKEN_RETRY_MAX_S: Final = 0.4
"""Longest time until a daemon requests a token again, seconds: one report interval.

A relay has no tokens until the first reports reach it, so the wait that it computes
before then is much too long.
"""

RESERVE_SLACK_SHARE: Final = 0.5
"""Part of the slack that domains may grant while their home may still count them."""

RESERVE_REFILL_S: Final = 10.0
"""Seconds in which a spent reserve is full again; longer than a window of the bound."""

REPORT_TTL_S: Final = 1.6
"""Time for which a report counts, seconds.

Reports are sent every 0.4 s, so three in a row may be lost.
"""

LOCAL_FALLBACK_AFTER_S: Final = 1.7
"""Time without a reply after which a domain grants tokens on its own, seconds.

It exceeds `REPORT_TTL_S`, so that the home domain no longer counts the daemons of a
domain that it can't reach.
"""
