"""Times and shares of the event-driven daemon."""

from typing import Final

NOT_READY_RETRY_S: Final = 0.3
"""Time to come back where no manifest or server is known yet, seconds."""

UNPROVEN_RETRY_S: Final = 1.0
"""Time to come back where freshness is lost, seconds: about one store read."""

REVOKE_MARGIN_S: Final = 1.3
"""Kept free of the revocation bound, seconds.

A watch may hear nothing for a second before the store drops its history, and proves
nothing then; the rest is clock drift and late timers.
"""

DRAIN_MARGIN_S: Final = 0.4
"""Kept free of the drain bound, seconds: a send may wait for the event loop."""

MAX_REDIRECTS: Final = 3
"""Daemons asked in turn while none has handed the request to its server."""

RESEND_LEAST_S: Final = 0.05
"""Time that must be left for another send, seconds."""

REPEAT_RATIO_SHARE: Final = 0.8
"""Part of the ratio of repeats that daemons use; the rest covers restarts."""

REPEAT_SLACK_SHARE: Final = 0.1
"""Part of a pool's slack that one server may save up; pools have a few servers."""

UNREACHABLE_S: Final = 0.3
"""Time without sends after a refused connection to the server, seconds."""

DRAIN_READY_S: Final = 2.3
"""Time to go on serving after SIGTERM, seconds: two readiness checks a second apart."""

DRAIN_READY_SHARE: Final = 0.4
"""Most of the grace time that this may take: what runs then has to end, too."""

STOP_MARGIN_S: Final = 0.9
"""Kept free before the platform kills a stopping process, seconds."""

ANSWER_GRACE_S: Final = 0.06
"""Waited past a deadline for the target's own answer, seconds: it knows what ran."""

RELAYS_PER_DOMAIN: Final = 2
"""Daemons that all keep links to: the one that relays for a domain, and the next."""

NEAR_LINKS_PER_POOL: Final = 16
"""Servers of the own domain and a pool to keep links to; two would balance load."""

FAR_LINKS_PER_POOL: Final = 4
"""Servers of other domains and a pool to keep links to, for when the own are short."""

REPORT_S: Final = 0.4
"""Seconds between reports to the relay; a quota window has a dozen of them."""

REPORT_TIMEOUT_S: Final = 0.4
"""Longest wait for the relay, seconds; a round trip takes milliseconds."""

TOKEN_TIMEOUT_S: Final = 0.1
"""Longest wait for a token of another daemon, seconds; a round trip takes few ms."""

TOKEN_MAX_HOPS: Final = 3
"""Daemons that may pass a wish for a token on: relay, home, the home's own relay."""

HOLDER_SILENT_S: Final = 1.0
"""Time in which a holder of tokens that gave no answer isn't asked, seconds."""

OWN_WATCH_AFTER_S: Final = 1.5
"""Age of the proof, seconds, from which a daemon watches the store by itself.

Relayed proofs are up to two watches and a report old, 1.2 s; a version has to be in
force 2 s after it was stored.
"""
