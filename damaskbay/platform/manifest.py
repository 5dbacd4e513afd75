"""The operator's manifest, decoded into the product's configuration set."""

import hashlib
import json
from collections.abc import Callable
from typing import Any, TypeVar

from damaskbay.config.objects import (
    Access,
    CallerLimits,
    ConfigSet,
    Key,
    Pool,
    Priority,
    RankedWorkspace,
    WeightedPool,
    WeightedRoute,
    WhenUnproven,
)
from damaskbay.helpers.keys import digest_of
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.fields import Table, flag, number, seconds, table, text, whole

T = TypeVar("T")

KINDS = {"safe": True, "unsafe": False}
"""What the kind of a route says of repeating its requests."""

UNLIMITED = 0.0


def decode_manifest(document: bytes) -> ConfigSet:
    """Return the set that a manifest describes, checked whole; raise FieldError."""
    try:
        manifest = json.loads(document)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"manifest: {error}") from None
    if not isinstance(manifest, dict):
        raise FieldError("manifest: a table is wanted")
    pools = _by_name(manifest, "Services", _pool)
    workspaces = _by_name(manifest, "Tenants", _workspace)
    keyed = bool(workspaces)
    routes = _by_name(manifest, "Routes", lambda name, spec: _route(name, spec, keyed))
    for route in routes.values():
        _check_pools(route, pools)
    ranks = {route.priority for route in routes.values()}
    ranks |= {item.priority for item in workspaces.values() if item.priority}
    return ConfigSet(
        version=whole(manifest, "Version"),
        digest=hashlib.sha256(document).hexdigest(),
        workspaces_by_name=workspaces,
        keys_by_digest=_keys(manifest),
        routes_by_name=routes,
        priorities_by_name={rank: Priority(rank, int(rank)) for rank in ranks},
        pools_by_name=pools,
        caller_limits=_limits(manifest),
    )


def _specs(manifest: Table, kind: str) -> list[tuple[str, Table]]:
    """Return name and body of all resources of a type."""
    resources = manifest.get("Resources")
    if not isinstance(resources, list):
        raise FieldError("Resources: a list is wanted")
    found: list[tuple[str, Table]] = []
    for resource in resources:
        if not isinstance(resource, dict):
            raise FieldError("Resources: tables are wanted")
        if resource.get("Type") == kind:
            name = table(resource, "Metadata").get("Name", "")
            found.append((str(name), table(resource, "Spec")))
    return found


def _by_name(
    manifest: Table, kind: str, decode: Callable[[str, Table], T]
) -> dict[str, T]:
    items: dict[str, T] = {}
    for name, spec in _specs(manifest, kind):
        if not name or name in items:
            raise FieldError(f"{kind}: {name!r} is no unique name")
        try:
            items[name] = decode(name, spec)
        except FieldError as error:
            raise FieldError(f"{kind}.{name}.{error}") from None
    return items


def _pool(name: str, spec: Table) -> Pool:
    return Pool(
        name,
        slots_per_server=1,
        connections_per_server=whole(spec, "MaxConnections", 0),
    )


def _workspace(name: str, spec: Table) -> RankedWorkspace:
    rank = spec.get("Priority")
    return RankedWorkspace(
        name,
        rate_per_s=number(spec, "RatePerS", UNLIMITED),
        burst=int(number(spec, "Burst", UNLIMITED)),
        priority=None if rank is None else str(whole(spec, "Priority")),
    )


def _keys(manifest: Table) -> dict[str, Key]:
    keys: dict[str, Key] = {}
    for name, spec in _specs(manifest, "Tenants"):
        secrets: Any = spec.get("ApiKeys", [])
        if not isinstance(secrets, list) or not all(
            isinstance(secret, str) for secret in secrets
        ):
            raise FieldError(f"Tenants.{name}.ApiKeys: a list of texts is wanted")
        for secret in secrets:
            digest = digest_of(secret)
            keys[digest] = Key(digest[:8], digest, name)
    return keys


def _route(name: str, spec: Table, keyed: bool) -> WeightedRoute:
    kind = text(spec, "Kind")
    if kind not in KINDS:
        raise FieldError(f"Kind: {kind!r} is not known")
    prefix = text(spec, "Prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise FieldError("Prefix: a slash at both ends is wanted")
    parts = _weighted(spec)
    is_open = not keyed or flag(spec, "AuthExempt")
    return WeightedRoute(
        name=name,
        host=text(spec, "Host"),
        path_prefix=prefix,
        methods=frozenset(),
        pool=parts[0].pool if parts else text(spec, "Service"),
        access=Access.OPEN if is_open else Access.KEYED,
        idempotent=KINDS[kind],
        deadline_s=seconds(spec, "Timeout"),
        priority=str(whole(spec, "Priority", 0)),
        retries=max(0, whole(spec, "NumAttempts", 1) - 1),
        when_unproven=WhenUnproven.SERVE if is_open else WhenUnproven.REFUSE,
        weighted_pools=parts,
        objective_s=seconds(spec, "TargetLatency", 0.0) or None,
    )


def _weighted(spec: Table) -> tuple[WeightedPool, ...]:
    clusters = spec.get("WeightedClusters")
    if clusters is None:
        return ()
    if not isinstance(clusters, list):
        raise FieldError("WeightedClusters: a list is wanted")
    parts = [WeightedPool(text(c, "Service"), number(c, "Weight")) for c in clusters]
    parts = [part for part in parts if part.weight > 0.0]
    if clusters and not parts:
        raise FieldError("WeightedClusters: a weight above 0 is wanted")
    return tuple(parts)


def _check_pools(route: WeightedRoute, pools: dict[str, Pool]) -> None:
    named = [part.pool for part in route.weighted_pools] or [route.pool]
    for pool in named:
        if pool not in pools:
            raise FieldError(f"Routes.{route.name}: service {pool!r} is not known")


def _limits(manifest: Table) -> CallerLimits:
    defaults = CallerLimits()
    for _, spec in _specs(manifest, "Limits"):
        return CallerLimits(
            whole(spec, "MaxHeaderBytes", defaults.max_header_bytes),
            whole(spec, "MaxBodyBytes", defaults.max_body_bytes),
            seconds(spec, "HeaderTimeout", defaults.header_timeout_s),
            seconds(spec, "IdleTimeout", defaults.idle_timeout_s),
        )
    return defaults
