"""Constants of demand shares."""

from typing import Final

DEMAND_WINDOW_S: Final = 2.0
"""Time constant of the demand estimate, seconds: few requests a second scatter."""

FLOOR_SHARE: Final = 0.2
"""Part of a workspace's rate that is split evenly, for demand that moves."""

RETRY_AFTER_MOST_S: Final = 2.0
"""Longest time a caller over its rate is told to wait, seconds."""

BACKLOG_HALF_LIFE_S: Final = 1.0
"""Time after which half of the refused have come back or given up, seconds."""

START_BURST_SHARE: Final = 0.2
"""Part of the burst a daemon starts with: the fleet may restart within a window."""

UNKNOWN_SHARE: Final = 0.02
"""Part of a rate that a daemon may spend before it knows of any other, 0 to 1."""

RATE_USE: Final = 0.6
"""Part of the overage that the steady rate uses; the rest covers late knowledge."""

POOLED_BELOW_PER_S: Final = 60.0
"""Rate below which tokens are pooled, requests per second.

Above it a daemon of a hundred still has a token in two seconds by itself, and no
request has to ask another daemon.
"""

CACHED_HOMES: Final = 4096
"""Homes of workspaces that are remembered; bounds memory. Each request asks for one."""

ASK_AGAIN_MOST_S: Final = 0.4
"""Longest time until a daemon asks for a token again, seconds: a round of reports.

A relay that nobody relies on yet has none, however long it is asked to wait.
"""

REPORT_FRESH_S: Final = 1.6
"""How long a report counts, seconds: three that are sent every 0.4 s may be lost."""

ALONE_AFTER_S: Final = 1.7
"""Time without an answer after which a domain goes on alone, seconds.

By then a home that hears no more has stopped to count it.
"""
