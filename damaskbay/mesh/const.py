"""Times and shares of the event-driven daemon."""

from typing import Final

NOT_READY_RETRY_S: Final = 0.3
"""Time to come back where no manifest or server is known yet, seconds."""

UNPROVEN_RETRY_S: Final = 1.0
"""Time to come back where freshness is lost, seconds: about one store read."""

REVOKE_MARGIN_S: Final = 0.3
"""Kept free of the revocation bound, seconds: clock drift and late timers."""

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

GATE_TICK_S: Final = 0.04
"""Seconds between looks for calls that have waited too long at the server."""

UNREACHABLE_S: Final = 0.3
"""Time without sends after a refused connection to the server, seconds."""

DRAIN_READY_S: Final = 2.3
"""Time to go on serving after SIGTERM, seconds: two readiness checks a second apart."""

STOP_MARGIN_S: Final = 0.9
"""Kept free before the platform kills a stopping process, seconds."""

ANSWER_GRACE_S: Final = 0.06
"""Waited past a deadline for the target's own answer, seconds: it knows what ran."""
