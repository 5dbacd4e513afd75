"""Sample configuration sets for measurements and the demo."""

from collections.abc import Sequence
from typing import Any

from damaskbay.helpers.keys import digest_of, new_key_secret

PRIORITIES = ("critical", "normal", "bulk")


def sample_set(
    pools: Sequence[str],
    *,
    secrets_by_workspace: dict[str, str],
    rate_per_s: float = 100_000.0,
    burst: int = 100_000,
    slots: int = 64,
    connections: int = 150,
    deadline_s: float = 5.0,
) -> dict[str, Any]:
    """Return a document with a read, a non-idempotent and a bulk route per pool."""
    routes: dict[str, Any] = {}
    for pool in pools:
        routes[f"{pool}-read"] = _route(pool, f"/{pool}/", deadline_s=deadline_s)
        routes[f"{pool}-file"] = {
            **_route(pool, f"/{pool}/file/", deadline_s=deadline_s),
            "idempotent": False,
            "retries": 0,
            "priority": "critical",
        }
        routes[f"{pool}-bulk"] = {
            **_route(pool, f"/{pool}/bulk/", deadline_s=deadline_s),
            "priority": "bulk",
        }
    return {
        "workspaces": {
            name: {"rate_per_s": rate_per_s, "burst": burst}
            for name in secrets_by_workspace
        },
        "keys": {
            f"{name}-key": {"digest": digest_of(secret), "workspace": name}
            for name, secret in secrets_by_workspace.items()
        },
        "priorities": {name: {"rank": rank} for rank, name in enumerate(PRIORITIES)},
        "pools": {
            pool: {"slots_per_server": slots, "connections_per_server": connections}
            for pool in pools
        },
        "routes": routes,
    }


def secrets_for(workspaces: Sequence[str]) -> dict[str, str]:
    """Return a new key secret for each workspace."""
    return {name: new_key_secret() for name in workspaces}


def _route(pool: str, prefix: str, *, deadline_s: float) -> dict[str, Any]:
    return {
        "host": "*",
        "path_prefix": prefix,
        "pool": pool,
        "access": "keyed",
        "idempotent": True,
        "deadline_s": deadline_s,
        "priority": "normal",
        "retries": 2,
    }
