"""Time constants and limits of the event-driven daemon."""

import math
from typing import Final

NOT_READY_RETRY_S: Final = 0.3
"""Retry delay for callers while no manifest or server is known, seconds."""

UNPROVEN_RETRY_S: Final = 1.0
"""Retry delay for callers without a fresh proof, seconds: about one store read."""

REVOKE_MARGIN_S: Final = 1.3
"""Margin below the revocation time limit, seconds.

A watch may miss changes for a second until the store drops its history, so an empty
watch is no proof then. The rest covers clock drift and late timers.
"""

DRAIN_MARGIN_S: Final = 0.4
"""Margin below the drain time limit, seconds: a send may wait for the event loop."""

BIND_WAIT_S: Final = math.inf
"""
Wait at a start for an address that the daemon before still uses, seconds.

An end of the start would only be followed by another one.
"""

MAX_REDIRECTS: Final = 3
"""Daemons tried in turn, without those that leave, until one passes the call on."""

MIN_RETRY_TIME_LEFT_S: Final = 0.05
"""Time that must be left before the deadline for a retry, seconds."""

RETRY_RATIO_SHARE: Final = 0.8
"""
Part of the retry ratio that daemons use.

Two seconds of it may be saved, so that up to 0.96 of the ratio is used in ten seconds.
The rest covers restarts.
"""

RETRY_SLACK_SHARE: Final = 0.1
"""Most of a pool's retry slack that one idle server saves."""

POOL_RETRY_SLACK_SHARE: Final = 0.8
"""
Part of a pool's retry slack that its idle servers save together.

With a tenth for each server, 23 idle servers saved 2.3 times the slack.
"""

UNREACHABLE_BACKOFF_S: Final = 0.3
"""Time without attempts after the server refused a connection, seconds."""

SERVER_REPLY_GRACE_S: Final = 0.1
"""Wait past a deadline for the response of the server, which stops then, seconds."""

REPLY_GRACE_S: Final = 0.13
"""
Wait past a deadline for the target's reply, which says if the call ran, seconds.

Except with a short grace time, it is less than the time between the end of work and
the interruption of calls.
"""

RELAYS_PER_DOMAIN: Final = 2
"""Daemons of each domain that all others link to: its relay and the standby."""

RELAY_SETTLE_S: Final = 2.0
"""Seconds for which a daemon that is no preferred relay waits before it acts as one.

While a fleet starts, no links are up yet and each daemon is the first that it reaches.
"""

LOCAL_LINKS_PER_POOL: Final = 16
"""Links to servers of each pool in the local domain; two would balance load."""

REMOTE_LINKS_PER_POOL: Final = 4
"""Links to servers of each pool in remote domains; used if local capacity is short."""

REPORT_INTERVAL_S: Final = 0.4
"""Seconds between reports to the relay; a quota window has a dozen reports."""

REPORT_TIMEOUT_S: Final = 0.4
"""Timeout of a request to a relay, seconds; a round trip takes milliseconds."""

LOAD_AVERAGE_S: Final = 0.5
"""Time constant of the load in statuses, seconds: the time until the next status.

With the momentary load, all callers of a pool would send their calls to the server
that was idle when it last answered.
"""

EXPIRY_INTERVAL_S: Final = 1.0
"""Seconds between checks for daemons that have failed."""

TOKEN_TIMEOUT_S: Final = 0.1
"""Timeout of a token request, seconds; a round trip takes a few milliseconds."""

LOCAL_TOKEN_TIMEOUT_S: Final = 0.25
"""Timeout of a token request to the local relay, seconds.

The relay may wait TOKEN_TIMEOUT_S for the home domain before it grants by itself.
"""

TOKEN_MAX_HOPS: Final = 3
"""Maximum hops of a token request: local relay, home domain, relay there."""

HOLDER_BACKOFF_S: Final = 1.0
"""Time without requests to an unresponsive token holder, seconds."""

DIRECT_WATCH_PROOF_AGE_S: Final = 1.5
"""Age of the proof, seconds, from which a daemon watches the store itself.

Relayed proofs are up to two watches and a report old, 1.2 s; a version has to be
active 2 s after it was stored.
"""
