"""State shared by the daemons of one run of the overload benchmark."""

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from bench.overload_load import Request, Topology
from bench.virtual_time import Events, FakeServer
from damaskbay.config.objects import Access, Route
from damaskbay.core.admission import GradientLimit
from damaskbay.core.admission.options import LimitFactory
from damaskbay.core.call import CallContext
from damaskbay.ports.fleet import ServerState, ServerView
from damaskbay.ports.peer import PeerAddress

if TYPE_CHECKING:
    from bench.overload_ours import Daemon

HOP_DELAY_S = 0.0007
RETRIES = 2
READY_AT_S = -1000.0
NAIVE_QUEUE_PER_SLOT = 10


@dataclass(frozen=True, slots=True)
class Policy:
    """Settings that may differ between runs."""

    limit: LimitFactory = GradientLimit
    naive_queue_per_slot: int = NAIVE_QUEUE_PER_SLOT


@dataclass(slots=True)
class Fleet:
    """Events, random numbers, servers and routes of one run."""

    events: Events
    topology: Topology
    rng: Random
    policy: Policy
    views_by_pool: dict[str, tuple[ServerView, ...]] = field(default_factory=dict)
    daemons_by_instance: "dict[str, Daemon]" = field(default_factory=dict)

    def next_pool(self, pool: str) -> str | None:
        """Return the pool that the servers of a pool call; None for the last pool."""
        names = [item.name for item in self.topology.pools]
        index = names.index(pool) + 1
        return names[index] if index < len(names) else None

    def view(self, server: FakeServer) -> ServerView:
        """Record and return the view of a server; each has its own failure domain."""
        views = self.views_by_pool.get(server.pool, ())
        view = ServerView(
            instance=server.instance,
            incarnation=1,
            failure_domain=f"d{len(views)}",
            address=PeerAddress("127.0.0.1", 1),
            pool=server.pool,
            state=ServerState.READY,
            slots=server.slots,
            ready_at=READY_AT_S,
        )
        self.views_by_pool[server.pool] = (*views, view)
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
        """Return the call context of a request at its ingress daemon."""
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
