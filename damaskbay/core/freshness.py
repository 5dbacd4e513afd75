"""Whether a route may be served by a set that can't be proven the newest."""

from damaskbay.config.objects import Route, WhenUnproven
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.ports.fleet import ConfigState

RETRY_AFTER_S = 2.0


def may_serve(route: Route, state: ConfigState, now: float) -> Refusal | None:
    """
    Refuse where the set is too old to prove and the route says so.

    While no failure domain reaches the platform nobody can publish, so an old
    set is still the newest: that outage refuses nothing. `now` is in seconds of
    the monotonic clock of `state.proven_at`.
    """
    if route.when_unproven is WhenUnproven.SERVE or state.outage_for_all:
        return None
    age_s = now - state.proven_at
    if age_s <= route.unproven_after_s:
        return None
    return not_run(
        Reason.CONFIGURATION_UNPROVEN,
        retry_after_s=RETRY_AFTER_S,
        detail=f"set {state.config.version} was last proven {age_s:.1f} s ago",
    )
