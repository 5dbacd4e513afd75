"""Check whether a route may be served while the configuration is unproven."""

from damaskbay.config.objects import Route, WhenUnproven
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.ports.fleet import ConfigState

RETRY_AFTER_S = 2.0


def refuse_unproven(route: Route, state: ConfigState, now: float) -> Refusal | None:
    """
    Refuse a call if the last proof is too old for the route; otherwise return None.

    While no failure domain reaches the platform, no newer configuration set can be
    published, so the active one is still the newest and nothing is refused. `now`
    is in seconds of the monotonic clock that `state.proven_at` uses.
    """
    if (
        route.when_unproven is WhenUnproven.SERVE
        or state.platform_unreachable_everywhere
    ):
        return None
    age_s = now - state.proven_at
    if age_s <= route.unproven_after_s:
        return None
    return not_run(
        Reason.CONFIGURATION_UNPROVEN,
        retry_after_s=RETRY_AFTER_S,
        detail=f"set {state.config.version} was last proven {age_s:.1f} s ago",
    )
