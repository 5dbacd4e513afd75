"""Choice of the backend server for a call, and early refusal."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.routing.const import (
    DOMAIN_ROOM_SHARE,
    EARLY_RETRY_AFTER_MAX_S,
    EARLY_RETRY_AFTER_S,
    EJECTED_MOST_SHARE,
    FAR_PENALTY,
    FORGET_AFTER_S,
    LOCAL_ROOM_SHARE,
    PASS_LOWEST,
    SAMPLED_SERVERS,
)
from damaskbay.core.routing.demand import DemandMeter, wait_by_share_s
from damaskbay.core.routing.health import Health, RouteOutcome
from damaskbay.ports.fleet import ServerState, ServerView


@dataclass(frozen=True, slots=True)
class RouterOptions:
    """
    What a daemon's routing goes by.

    With `trust_load` the load that daemons report of the servers beside them
    counts, since they alone send there; otherwise it only breaks ties.
    """

    failure_domain: str
    trust_load: bool = False


class Router:
    """
    Chooses among the servers of a pool by what this daemon measured itself.

    The local server goes first while it has room, then the own failure domain,
    then the others where the pool allows them. Reported load only breaks ties
    and fades. Not safe for threads; times in seconds of one monotonic clock.
    """

    def __init__(self, options: RouterOptions, rng: Random) -> None:
        self._options = options
        self._rng = rng
        self._by_instance: dict[str, Health] = {}
        self._demand = DemandMeter()

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
        Return the server to send a call to, or a refusal where there is none.

        `other_domains` is what the pool allows. `local_room` is what the gate of
        the local backend server says, None where it is not at hand.
        """
        allowed = self._allowed(servers, other_domains)
        if excluded:
            allowed = [view for view in allowed if view.instance not in excluded]
        usable = self._sampled(allowed)
        if not usable:
            return not_run(Reason.NO_BACKEND_SERVER, retry_after_s=self._wait_s(1.0))
        if self._look(usable, now):
            trickle = self._trickle(usable, context, now)
            if trickle is not None:
                return trickle
            usable = self._usable(usable)
        local = next((view for view in usable if view.local), None)
        if local is not None and self._has_room(local, context, now, local_room):
            return local
        return self._pick(self._nearest(usable, context, now), context, now)

    def started(self, instance: str, now: float) -> None:
        """Count a call that is sent to a chosen server."""
        health = self._by_instance.get(instance)
        if health is not None:
            health.started(now)

    def finished(self, instance: str, outcome: RouteOutcome, now: float) -> None:
        """Count the end of a call; each `started` needs one."""
        health = self._by_instance.get(instance)
        if health is None:
            return
        health.finished(outcome, now)
        if health.failing() and not health.ejected():
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
        Refuse a call that the pool's servers would most likely refuse.

        Goes by the admission levels that answers carried, which fade. A small
        part of the calls of the least important rank that still passes goes
        through in any case, so that recovery is seen. Within a rank, workspaces
        get fair shares by `weight` of what passes. A call tree that has already
        cost much is refused less often than a new one.
        """
        allowed = self._sampled(self._allowed(servers, other_domains))
        if not allowed:
            return None
        share = self._pass_share(allowed, context.priority_rank, now)
        if share <= 0.0:
            above = self._pass_share(allowed, context.priority_rank - 1, now)
            share = PASS_LOWEST if above >= 1.0 else 0.0
        kept = self._demand.pass_share(
            context.pool,
            context.priority_rank,
            context.workspace,
            weight=weight,
            share=share ** (1.0 / (1 + context.depth)),
            now=now,
        )
        if self._rng.random() < kept:
            return None
        return not_run(Reason.OVERLOADED, retry_after_s=self._wait_s(share))

    def forget(self, now: float) -> None:
        """Drop what is known of servers not seen for long; call now and then."""
        self._by_instance = {
            instance: health
            for instance, health in self._by_instance.items()
            if health.outstanding or now - health.seen_at < FORGET_AFTER_S
        }

    def _allowed(
        self, servers: Sequence[ServerView], other_domains: bool
    ) -> list[ServerView]:
        own = self._options.failure_domain
        return [
            view
            for view in servers
            if view.state is ServerState.READY
            and (other_domains or view.failure_domain == own)
        ]

    def _sampled(self, servers: list[ServerView]) -> list[ServerView]:
        """Return a few servers of a large pool, drawn anew for each call."""
        if len(servers) <= 2 * SAMPLED_SERVERS:
            return servers
        own = self._options.failure_domain
        near = [view for view in servers if view.failure_domain == own]
        far = [view for view in servers if view.failure_domain != own]
        local = [view for view in near if view.local]
        sampled = self._draw(near) + self._draw(far)
        return sampled + [view for view in local if view not in sampled]

    def _draw(self, servers: list[ServerView]) -> list[ServerView]:
        return self._rng.sample(servers, min(len(servers), SAMPLED_SERVERS))

    def _look(self, servers: Sequence[ServerView], now: float) -> bool:
        """Take in what is reported; tell whether any of the servers is ejected."""
        ejected = False
        for view in servers:
            health = self._by_instance.get(view.instance)
            if health is None or health.incarnation != view.incarnation:
                self._by_instance[view.instance] = Health(view, now)
                continue
            health.look(view, now)
            if health.ejected():
                ejected = True
        return ejected

    def _trickle(
        self, servers: Sequence[ServerView], context: CallContext, now: float
    ) -> ServerView | None:
        """Return an ejected server that is due for a real call, if any."""
        if not context.idempotent:
            return None
        for view in servers:
            if self._by_instance[view.instance].trickle_due(now):
                return view
        return None

    def _usable(self, servers: list[ServerView]) -> list[ServerView]:
        """Leave out ejected servers, but never more than a share of the pool."""
        ejected = {
            view.instance
            for view in servers
            if self._by_instance[view.instance].ejected()
        }
        if len(ejected) > EJECTED_MOST_SHARE * len(servers):
            return servers
        return [view for view in servers if view.instance not in ejected]

    def _has_room(
        self,
        local: ServerView,
        context: CallContext,
        now: float,
        local_room: bool | None,
    ) -> bool:
        health = self._by_instance[local.instance]
        if local_room is not None:
            return local_room
        if self._options.trust_load:
            return health.trusted_occupancy(local, now) <= LOCAL_ROOM_SHARE
        if health.pass_share(context.priority_rank, now) < 1.0:
            return False
        return health.occupancy(local, now) <= LOCAL_ROOM_SHARE

    def _nearest(
        self, servers: list[ServerView], context: CallContext, now: float
    ) -> list[ServerView]:
        """
        Return the own domain's servers with room, all where there is none.

        With trusted loads all are returned: far ones cost more in their score.
        """
        if self._options.trust_load:
            return servers
        own = self._options.failure_domain
        rank = context.priority_rank
        near = []
        for view in servers:
            score = self._score(view, rank, now)
            if view.failure_domain == own and score <= DOMAIN_ROOM_SHARE:
                near.append(view)
        return near or servers

    def _pick(
        self, servers: list[ServerView], context: CallContext, now: float
    ) -> ServerView:
        """Return the better of two servers, of the own domain and any other."""
        if len(servers) == 1:
            return servers[0]
        first, second = self._two(servers)
        rank = context.priority_rank
        score = self._score(first, rank, now)
        if self._options.trust_load:
            own = self._options.failure_domain
            for view in servers:
                if view.failure_domain != own or view is first:
                    continue
                other = self._score(view, rank, now)
                if other < score or first.failure_domain != own:
                    first, score = view, other
        if second is not first and self._score(second, rank, now) < score:
            return second
        return first

    def _two(self, servers: list[ServerView]) -> tuple[ServerView, ServerView]:
        """Draw two servers of a list of two or more."""
        first = int(self._rng.random() * len(servers))
        second = int(self._rng.random() * (len(servers) - 1))
        return servers[first], servers[second + (second >= first)]

    def _score(self, view: ServerView, rank: int, now: float) -> float:
        health = self._by_instance[view.instance]
        if self._options.trust_load:
            far = view.failure_domain != self._options.failure_domain
            return health.trusted_score(view, now) + (FAR_PENALTY if far else 0.0)
        return health.score(view, rank, now)

    def _pass_share(
        self, servers: Sequence[ServerView], rank: int, now: float
    ) -> float:
        """Return the share of calls of a rank that the servers can take together."""
        total = 0.0
        slots = 0
        for view in servers:
            health = self._by_instance.get(view.instance)
            weight = max(1, view.slots)
            total += weight * (health.pass_share(rank, now) if health else 1.0)
            slots += weight
        return total / slots

    def _wait_s(self, share: float) -> float:
        """Return a time to return, spread wider the less can pass."""
        return wait_by_share_s(
            share, EARLY_RETRY_AFTER_S, EARLY_RETRY_AFTER_MAX_S, self._rng
        )
