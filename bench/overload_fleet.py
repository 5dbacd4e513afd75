"""What the daemons of one run of the overload bench share."""

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from bench.overload_load import Request, Topology
from bench.virtual_time import Events, FakeServer
from damaskbay.config.objects import Access, Route
from damaskbay.core.admission import GradientLimit
from damaskbay.core.admission.controller import LimitFactory
from damaskbay.core.call import CallContext
from damaskbay.ports.fleet import ServerState, ServerView
from damaskbay.ports.peer import PeerAddress

if TYPE_CHECKING:
    from bench.overload_ours import Daemon

HOP_S = 0.0007
RETRIES = 2
WARM_AT = -1000.0
NAIVE_QUEUE_PER_SLOT = 10


@dataclass(frozen=True, slots=True)
class Policy:
    """What may be varied between runs."""

    limit: LimitFactory = GradientLimit
    naive_queue_per_slot: int = NAIVE_QUEUE_PER_SLOT


@dataclass(slots=True)
class Fleet:
    """Clock, chance, servers and routes of one run."""

    events: Events
    topology: Topology
    rng: Random
    policy: Policy
    views_by_pool: dict[str, tuple[ServerView, ...]] = field(default_factory=dict)
    daemons_by_instance: "dict[str, Daemon]" = field(default_factory=dict)

    def next_pool(self, pool: str) -> str | None:
        """Return the pool that servers of a pool call, if any."""
        names = [item.name for item in self.topology.pools]
        place = names.index(pool) + 1
        return names[place] if place < len(names) else None

    def view(self, server: FakeServer) -> ServerView:
        """Return how daemons know a server; each has a failure domain of its own."""
        known = self.views_by_pool.get(server.pool, ())
        view = ServerView(
            instance=server.instance,
            incarnation=1,
            failure_domain=f"d{len(known)}",
            address=PeerAddress("127.0.0.1", 1),
            pool=server.pool,
            state=ServerState.READY,
            slots=server.slots,
            ready_at=WARM_AT,
        )
        self.views_by_pool[server.pool] = (*known, view)
        return view

    def route(self, pool: str, *, idempotent: bool) -> Route:
        """Return the route to a pool."""
        return Route(
            name=pool,
            host="*",
            path_prefix="/",
            methods=frozenset(),
            pool=pool,
            access=Access.KEYED,
            idempotent=idempotent,
            deadline_s=self.topology.deadline_s,
            priority="any",
        )

    def root_context(self, request: Request) -> CallContext:
        """Return the context of a request at its ingress."""
        pool = self.topology.pools[0].name
        return CallContext(
            call_id=str(request.number),
            workspace=request.workspace,
            priority_rank=request.rank,
            deadline=request.deadline,
            route=pool,
            pool=pool,
            idempotent=request.idempotent,
            retry_tokens=RETRIES,
        )
