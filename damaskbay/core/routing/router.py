"""Choice of the backend server for a call, and early refusal of calls."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.routing.const import (
    DOMAIN_MAX_SCORE,
    EARLY_RETRY_AFTER_MAX_S,
    EARLY_RETRY_AFTER_S,
    HEALTH_EXPIRY_S,
    LOCAL_MAX_OCCUPANCY,
    LOCAL_MIN_SPEED,
    MAX_EJECTED_SHARE,
    MIN_PASS_SHARE,
    REMOTE_PENALTY,
    SAMPLE_SIZE,
)
from damaskbay.core.routing.demand import DemandMeter, random_retry_delay_s
from damaskbay.core.routing.health import Health, RouteOutcome
from damaskbay.core.routing.speed import StartedCall, UsualTimes
from damaskbay.ports.fleet import ServerState, ServerView


@dataclass(frozen=True, slots=True)
class RouterOptions:
    """
    Routing settings of a daemon.

    With `trust_load`, scores use the load that daemons report for their local
    servers. It is complete, because only these daemons send calls to them.
    Otherwise reported load only breaks ties.
    """

    failure_domain: str
    trust_load: bool = False


class Router:
    """
    Chooses a server of a pool, mainly by the measurements of this daemon.

    The local server is preferred while it has room, then the local failure domain,
    then remote ones if the pool allows them. Unless `trust_load` is set, reported
    load only breaks ties and loses weight with age. Not thread-safe; times are in
    seconds of one monotonic clock.
    """

    def __init__(self, options: RouterOptions, rng: Random) -> None:
        self._options = options
        self._rng = rng
        self._health_by_instance: dict[str, Health] = {}
        self._demand = DemandMeter()
        self._usual_times = UsualTimes()

    def choose(
        self,
        servers: Sequence[ServerView],
        context: CallContext,
        *,
        excluded: frozenset[str] = frozenset(),
        now: float,
        other_domains: bool = True,
        local_room: bool | None = None,
    ) -> ServerView | Refusal:
        """
        Return the server for a call, or a refusal if there is none.

        `other_domains` is whether the pool allows remote failure domains.
        `local_room` is whether the local backend server has room, or None if
        unknown.
        """
        allowed = self._eligible_servers(servers, other_domains)
        if excluded:
            allowed = [view for view in allowed if view.instance not in excluded]
        usable = self._sample(allowed)
        if not usable:
            return not_run(
                Reason.NO_BACKEND_SERVER, retry_after_s=self._retry_delay_s(1.0)
            )
        if self._update_health(usable, now):
            probe = self._server_to_probe(usable, context, now)
            if probe is not None:
                return probe
            usable = self._without_ejected(usable)
        local = next((view for view in usable if view.local), None)
        if local is not None and self._local_has_room(local, context, now, local_room):
            return local
        return self._pick_better(
            self._preferred_servers(usable, context, now), context, now
        )

    def record_start(
        self, instance: str, now: float, context: CallContext | None = None
    ) -> StartedCall | None:
        """
        Record a call sent to a chosen server.

        With its context, the returned value is for `record_end`, and the call counts
        for the speed of the server.
        """
        health = self._health_by_instance.get(instance)
        if health is None:
            return None
        health.record_start(now)
        if context is None:
            return None
        return health.speed.record_start(context.pool, context.route, now)

    def record_end(
        self,
        instance: str,
        outcome: RouteOutcome,
        now: float,
        call: StartedCall | None = None,
    ) -> None:
        """Record the end of a call; each `record_start` needs one."""
        health = self._health_by_instance.get(instance)
        if health is None:
            return
        health.record_end(outcome, now)
        if call is not None:
            health.speed.record_end(call, outcome.service_s, now)
        if health.is_outlier() and not health.is_ejected():
            health.eject(now, self._rng)

    def early_refusal(
        self,
        servers: Sequence[ServerView],
        context: CallContext,
        now: float,
        *,
        weight: float = 1.0,
        other_domains: bool = True,
    ) -> Refusal | None:
        """
        Return a refusal if the pool's servers would most likely refuse the call.

        The decision uses the admission levels in responses, which expire. If a rank
        is shed completely but the rank above passes, a small share of its calls passes
        anyway, so that recovery is detected. Within a rank, the calls that pass are
        divided among workspaces by `weight`. Deep calls are refused less often
        than new call trees, because more work would be wasted.
        """
        allowed = self._sample(self._eligible_servers(servers, other_domains))
        if not allowed:
            return None
        share = self._pool_pass_share(allowed, context.priority_rank, now)
        if share <= 0.0:
            share_above = self._pool_pass_share(allowed, context.priority_rank - 1, now)
            share = MIN_PASS_SHARE if share_above >= 1.0 else 0.0
        pass_probability = self._demand.record_call(
            context.pool,
            context.priority_rank,
            context.workspace,
            weight=weight,
            share=share ** (1.0 / (1 + context.depth)),
            now=now,
        )
        if self._rng.random() < pass_probability:
            return None
        return not_run(Reason.OVERLOADED, retry_after_s=self._retry_delay_s(share))

    def forget(self, now: float) -> None:
        """Drop the state of servers not seen for HEALTH_EXPIRY_S; call periodically."""
        self._health_by_instance = {
            instance: health
            for instance, health in self._health_by_instance.items()
            if health.in_flight or now - health.last_seen_at < HEALTH_EXPIRY_S
        }

    def _eligible_servers(
        self, servers: Sequence[ServerView], other_domains: bool
    ) -> list[ServerView]:
        local_domain = self._options.failure_domain
        return [
            view
            for view in servers
            if view.state is ServerState.READY
            and (other_domains or view.failure_domain == local_domain)
        ]

    def _sample(self, servers: list[ServerView]) -> list[ServerView]:
        """Return all of a small pool, else a random sample plus the local server."""
        if len(servers) <= 2 * SAMPLE_SIZE:
            return servers
        local_domain = self._options.failure_domain
        same_domain = [view for view in servers if view.failure_domain == local_domain]
        remote = [view for view in servers if view.failure_domain != local_domain]
        local = [view for view in same_domain if view.local]
        sampled = self._draw_sample(same_domain) + self._draw_sample(remote)
        return sampled + [view for view in local if view not in sampled]

    def _draw_sample(self, servers: list[ServerView]) -> list[ServerView]:
        return self._rng.sample(servers, min(len(servers), SAMPLE_SIZE))

    def _update_health(self, servers: Sequence[ServerView], now: float) -> bool:
        """Update health from fleet reports; return whether any server is ejected."""
        ejected = False
        for view in servers:
            health = self._health_by_instance.get(view.instance)
            if health is None or health.incarnation != view.incarnation:
                self._health_by_instance[view.instance] = Health(
                    view, now, self._usual_times
                )
                continue
            health.update(view, now)
            if health.is_ejected():
                ejected = True
        return ejected

    def _server_to_probe(
        self, servers: Sequence[ServerView], context: CallContext, now: float
    ) -> ServerView | None:
        """Return an ejected server due for a probe; only idempotent calls may probe."""
        if not context.idempotent:
            return None
        for view in servers:
            if self._health_by_instance[view.instance].probe_due(now):
                return view
        return None

    def _without_ejected(self, servers: list[ServerView]) -> list[ServerView]:
        """Return those not ejected, or all if over MAX_EJECTED_SHARE are ejected."""
        ejected = {
            view.instance
            for view in servers
            if self._health_by_instance[view.instance].is_ejected()
        }
        if len(ejected) > MAX_EJECTED_SHARE * len(servers):
            return servers
        return [view for view in servers if view.instance not in ejected]

    def _local_has_room(
        self,
        local: ServerView,
        context: CallContext,
        now: float,
        local_room: bool | None,
    ) -> bool:
        health = self._health_by_instance[local.instance]
        if local_room is not None:
            return local_room
        if self._options.trust_load:
            return (
                health.reported_occupancy(local, now) <= LOCAL_MAX_OCCUPANCY
                and health.speed.value(now) >= LOCAL_MIN_SPEED
            )
        if health.pass_share(context.priority_rank, now) < 1.0:
            return False
        return health.measured_occupancy(local, now) <= LOCAL_MAX_OCCUPANCY

    def _preferred_servers(
        self, servers: list[ServerView], context: CallContext, now: float
    ) -> list[ServerView]:
        """
        Return the servers of the local domain with room, or all if there are none.

        With `trust_load` all are returned; the score penalizes remote servers.
        """
        if self._options.trust_load:
            return servers
        local_domain = self._options.failure_domain
        rank = context.priority_rank
        same_domain = []
        for view in servers:
            score = self._score(view, rank, now)
            if view.failure_domain == local_domain and score <= DOMAIN_MAX_SCORE:
                same_domain.append(view)
        return same_domain or servers

    def _pick_better(
        self, servers: list[ServerView], context: CallContext, now: float
    ) -> ServerView:
        """
        Return the better of two random servers.

        With `trust_load` the two are of the local domain, and there is a third of any.
        Comparing all would send the calls of many daemons to the server whose last
        report was the lowest.
        """
        if len(servers) == 1:
            return servers[0]
        rank = context.priority_rank
        if not self._options.trust_load:
            first, second = self._draw_two(servers)
            score = self._score(first, rank, now)
            return second if self._score(second, rank, now) < score else first
        domain = self._options.failure_domain
        same_domain = [view for view in servers if view.failure_domain == domain]
        drawn = self._draw_two(same_domain or servers)
        best, lowest = drawn[0], self._score(drawn[0], rank, now)
        for view in (drawn[1], servers[int(self._rng.random() * len(servers))]):
            if view is not best:
                score = self._score(view, rank, now)
                if score < lowest:
                    best, lowest = view, score
        return best

    def _draw_two(self, servers: list[ServerView]) -> tuple[ServerView, ServerView]:
        """Draw two different servers, or the only one twice."""
        if len(servers) == 1:
            return servers[0], servers[0]
        first = int(self._rng.random() * len(servers))
        second = int(self._rng.random() * (len(servers) - 1))
        return servers[first], servers[second + (second >= first)]

    def _score(self, view: ServerView, rank: int, now: float) -> float:
        health = self._health_by_instance[view.instance]
        if self._options.trust_load:
            remote = view.failure_domain != self._options.failure_domain
            return health.reported_score(view, now) + (
                REMOTE_PENALTY if remote else 0.0
            )
        return health.measured_score(view, rank, now)

    def _pool_pass_share(
        self, servers: Sequence[ServerView], rank: int, now: float
    ) -> float:
        """Return the mean pass share of the servers for a rank, weighted by slots."""
        total = 0.0
        slots = 0
        for view in servers:
            health = self._health_by_instance.get(view.instance)
            weight = max(1, view.slots)
            total += weight * (health.pass_share(rank, now) if health else 1.0)
            slots += weight
        return total / slots

    def _retry_delay_s(self, share: float) -> float:
        """Return a random retry delay in seconds, longer for a smaller pass share."""
        return random_retry_delay_s(
            share, EARLY_RETRY_AFTER_S, EARLY_RETRY_AFTER_MAX_S, self._rng
        )
