"""Call graph, operator's set and records of the saturation measurement."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from tests.mesh.common import HEALTH_PATH
from tests.soak.planned import LagRecorder

HOST_HEADER = "a.example"
STAMP_HEADER = "x-server-stamp"
TIME_LIMIT_S = 5.0
"""Time limit of root requests, seconds."""

PATIENCE_S = 6.0
"""Seconds after which a caller gives up."""

POOLS = ("one", "two", "three", "four")
POOLS_BY_PATH = {
    "search": "one",
    "order": "one",
    "rate": "two",
    "detail": "three",
    "item": "four",
    "stock": "four",
}
STAGES_BY_PATH: dict[str, tuple[tuple[str, ...], ...]] = {
    "detail": (("item",), ("stock", "rate")),
    "search": (("detail",), ("detail",)),
    "order": (
        ("item",),
        ("detail",),
        ("detail", "rate"),
        ("stock", "rate"),
        ("item",),
    ),
}
"""Nested calls of a path; stages follow each other, calls of a stage overlap."""

ROOT_METHODS = {"search": "GET", "order": "POST"}
UNSAFE_PATHS = ("order",)
WORKSPACES_BY_KEY = {"k1": "t1", "k2": "t2"}

ROOT_OBJECTIVE, NESTED_OBJECTIVE = "1s", "500ms"
ROUTE_RANKS = {"order": 1, "search": 2}
WORKSPACE_RANKS = {"t1": 1, "t2": 2}

NOT_CONNECTED = "not connected"
CLOSED = "closed"
NO_ANSWER = "no answer"


@dataclass(slots=True)
class Sent:
    """
    Root request as its caller saw it; times in monotonic seconds.

    `status` is 0 without a response, and `failure` says why; `stamped` that a server
    made the response. `place` says where a request was that its caller gave up.
    """

    request_id: str
    path: str
    machine: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    stamped: bool = False
    retry_after_s: float | None = None
    failure: str = ""
    place: str = ""


@dataclass(slots=True)
class Run:
    """One run of a request at a server; `status` is None if it was cancelled."""

    arrived_at: float
    ended_at: float = 0.0
    status: int | None = None


@dataclass
class StepReport:
    """What a worker saw in one step of load; `nested` counts ends of nested calls."""

    sent: list[Sent] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    nested: Counter[str] = field(default_factory=Counter)
    longest_lag_s: float = 0.0
    processor_s: float = 0.0


@dataclass
class WorkerState:
    """What callers and servers of a worker record while a step runs."""

    report: StepReport = field(default_factory=StepReport)
    lag: LagRecorder = field(default_factory=LagRecorder)


def make_set(version: int) -> dict[str, Any]:
    """Return the operator's set: routes of all paths, their pools, two workspaces."""
    entries: list[tuple[str, str, dict[str, Any]]] = []
    for path, pool in POOLS_BY_PATH.items():
        is_root = path in ROOT_METHODS
        spec = {
            "Host": HOST_HEADER,
            "Prefix": f"/{path}/",
            "Service": pool,
            "Kind": "unsafe" if path in UNSAFE_PATHS else "safe",
            "Timeout": f"{TIME_LIMIT_S}s",
            "TargetLatency": ROOT_OBJECTIVE if is_root else NESTED_OBJECTIVE,
            "Priority": ROUTE_RANKS.get(path, max(ROUTE_RANKS.values())),
            "NumAttempts": 2,
            "AuthExempt": not is_root,
        }
        entries.append(("Routes", f"r-{path}", spec))
    service = {"MaxConnections": 1000, "HealthCheckPath": HEALTH_PATH}
    entries += [("Services", pool, service) for pool in POOLS]
    for key, workspace in WORKSPACES_BY_KEY.items():
        rank = WORKSPACE_RANKS[workspace]
        entries.append(("Tenants", workspace, {"ApiKeys": [key], "Priority": rank}))
    resources = [
        {"Type": kind, "Metadata": {"Name": name}, "Spec": spec}
        for kind, name, spec in entries
    ]
    return {"Version": version, "Resources": resources}


def count_server_calls(path: str) -> int:
    """Return the server calls of a request in all."""
    nested = [name for stage in STAGES_BY_PATH.get(path, ()) for name in stage]
    return 1 + sum(count_server_calls(name) for name in nested)
