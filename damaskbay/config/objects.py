"""Frozen data classes of a configuration set."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """The kinds of objects; the values are their names in the document."""

    WORKSPACES = "workspaces"
    KEYS = "keys"
    PRIORITIES = "priorities"
    LIMITS = "limits"
    POOLS = "pools"
    ROUTES = "routes"


class Access(Enum):
    """Who may call a route."""

    OPEN = "open"
    KEYED = "keyed"


class WhenUnproven(Enum):
    """What a route does while the set cannot be proven fresh."""

    SERVE = "serve"
    REFUSE = "refuse"


class LimitScope(Enum):
    """What a limit counts: all calls of its routes, or each workspace's."""

    ROUTE = "route"
    WORKSPACE = "workspace"


@dataclass(frozen=True, slots=True)
class Workspace:
    """A tenant. Rate in requests/s and burst in requests, over the whole fleet."""

    name: str
    rate_per_s: float
    burst: int
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class RankedWorkspace(Workspace):
    """A workspace whose own priority takes precedence over the route's."""

    priority: str | None = None


@dataclass(frozen=True, slots=True)
class Key:
    """A caller's key: SHA-256 digest in hex, never the secret."""

    name: str
    digest: str
    workspace: str
    expires_at: float | None = None


@dataclass(frozen=True, slots=True)
class Priority:
    """A priority class. Calls of rank 0 are shed last."""

    name: str
    rank: int


@dataclass(frozen=True, slots=True)
class Limit:
    """An additional rate (requests/s) and burst (requests) that routes refer to."""

    name: str
    rate_per_s: float
    burst: int
    scope: LimitScope = LimitScope.ROUTE


@dataclass(frozen=True, slots=True)
class Pool:
    """The backend servers that share one name."""

    name: str
    slots_per_server: int
    connections_per_server: int
    other_domains: bool = True


@dataclass(frozen=True, slots=True)
class HealthCheckedPool(Pool):
    """
    A pool whose servers have a health check at `health_path`, empty for none.

    A cold server of it takes `warmup_per_s` requests per second, 0 for no limit.
    """

    health_path: str = ""
    warmup_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool that receives a route's calls in proportion to its weight."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size (bytes) and duration (seconds) of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Route:
    """
    Which requests match, the pool that serves them, and their deadline and limits.

    `host` "*" matches every host; empty `methods` match every method. `calls`
    names the routes that this route's backend servers may call. Times are in
    seconds. `retries` is the retry budget of the complete call tree.
    """

    name: str
    host: str
    path_prefix: str
    methods: frozenset[str]
    pool: str
    access: Access
    idempotent: bool
    deadline_s: float
    priority: str
    retries: int = 0
    limits: tuple[str, ...] = ()
    calls: tuple[str, ...] = ()
    when_unproven: WhenUnproven = WhenUnproven.REFUSE
    unproven_after_s: float = 5.0


@dataclass(frozen=True, slots=True)
class WeightedRoute(Route):
    """
    A route with weighted pools and a latency objective in seconds.

    With `weighted_pools`, calls go to these by weight; `pool` is the first of them.
    """

    weighted_pools: tuple[WeightedPool, ...] = ()
    objective_s: float | None = None


ConfigObject = Workspace | Key | Priority | Limit | Pool | Route


@dataclass(frozen=True, slots=True)
class ConfigSet:
    """
    A complete, checked set.

    `version` is that of the platform's head record, `digest` that of the document
    (see config.document) in hex.
    """

    version: int
    digest: str
    workspaces_by_name: Mapping[str, Workspace] = field(default_factory=dict)
    keys_by_digest: Mapping[str, Key] = field(default_factory=dict)
    routes_by_name: Mapping[str, Route] = field(default_factory=dict)
    priorities_by_name: Mapping[str, Priority] = field(default_factory=dict)
    limits_by_name: Mapping[str, Limit] = field(default_factory=dict)
    pools_by_name: Mapping[str, Pool] = field(default_factory=dict)
    caller_limits: CallerLimits = CallerLimits()
