"""The operator's set of the soak."""

from collections.abc import Mapping, Sequence
from typing import Any

from tests.mesh.common import HEALTH_PATH
from tests.soak.limits import WARMUP_PER_S

POOLS = ("one", "two")
NESTED_POOL = "two"
"""Pool of the open route, which servers of the other pools call."""

POOLS_BY_PATH = {"safe": "one", "unsafe": "one", "open": NESTED_POOL, "big": "one"}
SITE_POOLS = ("one", "two", "three", "four")
INNER_POOL = "four"
"""Pool that servers of the nested pool call in some runs."""

SITE_POOLS_BY_PATH = {
    "safe": "one",
    "unsafe": "three",
    "open": NESTED_POOL,
    "big": "four",
    "inner": INNER_POOL,
}
OPEN_PATHS = ("open", "big", "inner")
"""Paths for which callers need no key."""

_EXTRA = {"Kind": "safe", "Service": NESTED_POOL, "AuthExempt": True}
"""Fields of the routes of a big set, which no caller uses."""


def make_manifest(
    version: int,
    timeout_s: float,
    workspaces_by_key: Mapping[str, str],
    workspaces: Sequence[str],
    extra_routes: int,
    pools_by_path: Mapping[str, str] = POOLS_BY_PATH,
    idle_timeout_s: float | None = None,
) -> dict[str, Any]:
    """
    Return a set with the active keys and so many routes that no caller uses.

    With `idle_timeout_s`, connections of callers may be idle for that long, seconds.
    """
    spec = {
        "Host": "a.example",
        "Timeout": f"{timeout_s}s",
        "TargetLatency": "500ms",
        "Priority": 1,
        "NumAttempts": 2,
    }
    entries: list[tuple[str, str, dict[str, object]]] = [
        (
            "Routes",
            f"r-{path}",
            {
                **spec,
                "Prefix": f"/{path}/",
                "Kind": "unsafe" if path == "unsafe" else "safe",
                "Service": pool,
                "AuthExempt": path in OPEN_PATHS,
            },
        )
        for path, pool in pools_by_path.items()
    ]
    service = {"MaxConnections": 90, "HealthCheckPath": HEALTH_PATH}
    service |= {"ColdStart": "3s", "WarmupPerS": WARMUP_PER_S}
    entries += [
        ("Routes", f"extra-{number}", {**spec, **_EXTRA, "Prefix": f"/x{number}/"})
        for number in range(extra_routes)
    ]
    entries += [
        ("Services", pool, service) for pool in sorted(set(pools_by_path.values()))
    ]
    if idle_timeout_s is not None:
        entries.append(("Limits", "limits", {"IdleTimeout": f"{idle_timeout_s}s"}))
    for workspace in workspaces:
        keys = [
            key
            for key, key_workspace in workspaces_by_key.items()
            if key_workspace == workspace
        ]
        entries.append(("Tenants", workspace, {"ApiKeys": keys, "Priority": 1}))
    resources = [
        {"Type": kind, "Metadata": {"Name": name}, "Spec": body}
        for kind, name, body in entries
    ]
    return {"Version": version, "Resources": resources}
