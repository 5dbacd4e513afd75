"""Decoding of the operator's manifest into a configuration set."""

import codecs
import hashlib
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import msgspec

from damaskbay.config.objects import (
    Access,
    CallerLimits,
    ConfigSet,
    HealthCheckedPool,
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
from damaskbay.platform.fields import (
    Table,
    read_flag,
    read_integer,
    read_number,
    read_seconds,
    read_string,
    read_table,
)

T = TypeVar("T")

Specs = Mapping[str, list[tuple[str, Table]]]
"""Name and spec of all resources by their type."""

IDEMPOTENT_BY_KIND = {"safe": True, "download": True, "unsafe": False}
"""
Whether calls on a route of this kind are idempotent and may be retried.

Downloads have large responses; they differ in nothing else.
"""

UNLIMITED = 0.0

RESOURCE_TYPES = ("Routes", "Services", "Tenants", "Limits")


def decode_manifest(document: bytes) -> ConfigSet:
    """Return the configuration set of a manifest; raise FieldError if it is invalid."""
    try:
        manifest = msgspec.json.decode(document.removeprefix(codecs.BOM_UTF8))
    except (ValueError, RecursionError) as error:
        raise FieldError(f"manifest: {error}") from None
    if not isinstance(manifest, dict):
        raise FieldError("manifest: expected an object")
    specs = _read_specs(manifest)
    pools = _decode_by_name(specs, "Services", _decode_pool)
    workspaces = _decode_by_name(specs, "Tenants", _decode_workspace)
    keys_required = bool(workspaces)
    routes = _decode_by_name(
        specs, "Routes", lambda name, spec: _decode_route(name, spec, keys_required)
    )
    for route in routes.values():
        _check_pools(route, pools)
    ranks = {route.priority for route in routes.values()}
    ranks |= {item.priority for item in workspaces.values() if item.priority}
    return ConfigSet(
        version=read_integer(manifest, "Version"),
        digest=hashlib.sha256(document).hexdigest(),
        workspaces_by_name=workspaces,
        keys_by_digest=_decode_keys(specs),
        routes_by_name=routes,
        priorities_by_name={rank: Priority(rank, int(rank)) for rank in ranks},
        pools_by_name=pools,
        caller_limits=_decode_caller_limits(specs),
    )


def _read_specs(manifest: Table) -> Specs:
    resources = manifest.get("Resources")
    if not isinstance(resources, list):
        raise FieldError("Resources: expected a list")
    specs: dict[str, list[tuple[str, Table]]] = defaultdict(list)
    for resource in resources:
        if not isinstance(resource, dict):
            raise FieldError("Resources: expected a list of objects")
        resource_type = resource.get("Type")
        if resource_type in RESOURCE_TYPES:
            name = read_table(resource, "Metadata").get("Name", "")
            specs[resource_type].append((str(name), read_table(resource, "Spec")))
    return specs


def _decode_by_name(
    specs: Specs, resource_type: str, decode: Callable[[str, Table], T]
) -> dict[str, T]:
    decoded: dict[str, T] = {}
    for name, spec in specs.get(resource_type, ()):
        if not name or name in decoded:
            raise FieldError(f"{resource_type}: name {name!r} is empty or not unique")
        try:
            decoded[name] = decode(name, spec)
        except FieldError as error:
            raise FieldError(f"{resource_type}.{name}.{error}") from None
    return decoded


def _decode_pool(name: str, spec: Table) -> Pool:
    return HealthCheckedPool(
        name,
        slots_per_server=1,
        connections_per_server=read_integer(spec, "MaxConnections", 0),
        health_path=read_string(spec, "HealthCheckPath", ""),
        warmup_per_s=read_number(spec, "WarmupPerS", UNLIMITED),
    )


def _decode_workspace(name: str, spec: Table) -> RankedWorkspace:
    rank = spec.get("Priority")
    return RankedWorkspace(
        name,
        rate_per_s=read_number(spec, "RatePerS", UNLIMITED),
        burst=int(read_number(spec, "Burst", UNLIMITED)),
        priority=None if rank is None else str(read_integer(spec, "Priority")),
    )


def _decode_keys(specs: Specs) -> dict[str, Key]:
    """Return the keys of all workspaces by the digest of their secret."""
    keys: dict[str, Key] = {}
    for name, spec in specs.get("Tenants", ()):
        secrets: Any = spec.get("ApiKeys", [])
        if not isinstance(secrets, list) or not all(
            isinstance(secret, str) for secret in secrets
        ):
            raise FieldError(f"Tenants.{name}.ApiKeys: expected a list of strings")
        for secret in secrets:
            digest = digest_of(secret)
            keys[digest] = Key(digest[:8], digest, name)
    return keys


def _decode_route(name: str, spec: Table, keys_required: bool) -> WeightedRoute:
    kind = read_string(spec, "Kind")
    if kind not in IDEMPOTENT_BY_KIND:
        raise FieldError(f"Kind: {kind!r} is unknown")
    prefix = read_string(spec, "Prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise FieldError("Prefix: must begin and end with a slash")
    weighted_pools = _decode_weighted_pools(spec)
    is_open = not keys_required or read_flag(spec, "AuthExempt")
    return WeightedRoute(
        name=name,
        host=read_string(spec, "Host"),
        path_prefix=prefix,
        methods=frozenset(),
        pool=weighted_pools[0].pool if weighted_pools else read_string(spec, "Service"),
        access=Access.OPEN if is_open else Access.KEYED,
        idempotent=IDEMPOTENT_BY_KIND[kind],
        deadline_s=read_seconds(spec, "Timeout"),
        priority=str(read_integer(spec, "Priority", 0)),
        retries=max(0, read_integer(spec, "NumAttempts", 1) - 1),
        when_unproven=WhenUnproven.SERVE if is_open else WhenUnproven.REFUSE,
        weighted_pools=weighted_pools,
        objective_s=read_seconds(spec, "TargetLatency", 0.0) or None,
    )


def _decode_weighted_pools(spec: Table) -> tuple[WeightedPool, ...]:
    """Return the pools whose weight is above 0."""
    clusters = spec.get("WeightedClusters")
    if clusters is None:
        return ()
    if not isinstance(clusters, list):
        raise FieldError("WeightedClusters: expected a list")
    pools = [
        WeightedPool(read_string(c, "Service"), read_number(c, "Weight"))
        for c in clusters
    ]
    pools = [pool for pool in pools if pool.weight > 0.0]
    if clusters and not pools:
        raise FieldError("WeightedClusters: at least one weight must be above 0")
    return tuple(pools)


def _check_pools(route: WeightedRoute, pools: dict[str, Pool]) -> None:
    names = [weighted.pool for weighted in route.weighted_pools] or [route.pool]
    for name in names:
        if name not in pools:
            raise FieldError(f"Routes.{route.name}: service {name!r} is unknown")


def _decode_caller_limits(specs: Specs) -> CallerLimits:
    """Return the limits of the first Limits resource, otherwise the defaults."""
    defaults = CallerLimits()
    for _, spec in specs.get("Limits", ()):
        return CallerLimits(
            read_integer(spec, "MaxHeaderBytes", defaults.max_header_bytes),
            read_integer(spec, "MaxBodyBytes", defaults.max_body_bytes),
            read_seconds(spec, "HeaderTimeout", defaults.header_timeout_s),
            read_seconds(spec, "IdleTimeout", defaults.idle_timeout_s),
        )
    return defaults
