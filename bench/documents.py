"""Processor time of reading, checking, changing and matching a large set."""

import hashlib
import json
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Any, TypeVar

from bench.common import finish, parser
from damaskbay.config.check import check
from damaskbay.config.delta import Delta, apply_delta, make_delta
from damaskbay.config.document import (
    Document,
    build,
    canonical_bytes,
    parse_document,
)
from damaskbay.config.matching import RouteTable
from damaskbay.config.override import Override, apply_overrides

T = TypeVar("T")

CHANGES_PER_DAY = 39_000
SECONDS_PER_DAY = 86_400
CHAIN_LENGTH = 5
MATCHES = 10_000


@dataclass(frozen=True, slots=True)
class Sizes:
    """Numbers of objects in the set."""

    pools: int = 1600
    routes: int = 5000
    keys: int = 20_000
    workspaces: int = 500


@dataclass(frozen=True, slots=True)
class Figures:
    """
    Processor times in milliseconds, sizes in bytes, shares in percent of a core.

    `memory_mb` is the memory of the document, the set and the route table.
    """

    pools: int
    routes: int
    keys: int
    document_bytes: int
    parse_ms: float
    check_ms: float
    build_ms: float
    route_table_ms: float
    key_delta_bytes: int
    apply_key_change_ms: float
    apply_route_change_ms: float
    match_us: float
    memory_mb: float
    core_percent_keys_only: float
    core_percent_routes_only: float


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the benchmark and print its figures."""
    options = parser(__doc__ or "").parse_args(arguments)
    sizes = Sizes(160, 500, 2000, 50) if options.quick else Sizes()
    return finish("documents", asdict(measure(sizes, options.seed)), options)


def measure(sizes: Sizes, seed: int) -> Figures:
    """Return the figures of one large set."""
    rng = random.Random(seed)
    data = json.dumps(large_set(sizes, rng)).encode()
    parse_ms, document = _timed(lambda: _document(data), repeats=3)
    check_ms, _ = _timed(lambda: check(document))
    build_ms, config = _timed(lambda: build(document, 1))
    table_ms, table = _timed(lambda: RouteTable(config))
    workspace = f"w{rng.randrange(sizes.workspaces)}"
    key_delta = _delta_of(document, "keys/k7", f"workspace={workspace}", "expires_at=1")
    route_delta = _delta_of(document, "routes/r7", "unproven_after_s=6")
    key_ms, _ = _timed(lambda: apply_delta(document, key_delta))
    route_ms, _ = _timed(lambda: apply_delta(document, route_delta))
    paths = [_path(sizes, rng) for _ in range(MATCHES)]
    match_ms, _ = _timed(lambda: [table.match("h:80", "GET", path) for path in paths])
    per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    return Figures(
        pools=sizes.pools,
        routes=sizes.routes,
        keys=sizes.keys,
        document_bytes=len(canonical_bytes(document)),
        parse_ms=parse_ms,
        check_ms=check_ms,
        build_ms=build_ms,
        route_table_ms=table_ms,
        key_delta_bytes=key_delta.size_bytes,
        apply_key_change_ms=key_ms,
        apply_route_change_ms=route_ms,
        match_us=match_ms * 1000 / MATCHES,
        memory_mb=_memory_mb(data),
        core_percent_keys_only=per_s * (key_ms + build_ms) / 10,
        core_percent_routes_only=per_s * (route_ms + build_ms + table_ms) / 10,
    )


def large_set(sizes: Sizes, rng: random.Random) -> dict[str, Any]:
    """Return a set whose routes call each other in chains."""
    return {
        "workspaces": {
            f"w{number}": {"rate_per_s": 100, "burst": 50}
            for number in range(sizes.workspaces)
        },
        "keys": {
            f"k{number}": {
                "digest": hashlib.sha256(rng.randbytes(16)).hexdigest(),
                "workspace": f"w{rng.randrange(sizes.workspaces)}",
            }
            for number in range(sizes.keys)
        },
        "priorities": {"high": {"rank": 0}, "low": {"rank": 9}},
        "pools": {
            f"p{number}": {"slots_per_server": 8, "connections_per_server": 150}
            for number in range(sizes.pools)
        },
        "routes": {
            f"r{number}": _route(number, sizes) for number in range(sizes.routes)
        },
    }


def _route(number: int, sizes: Sizes) -> dict[str, Any]:
    place = number % CHAIN_LENGTH
    has_next = place != CHAIN_LENGTH - 1 and number + 1 < sizes.routes
    return {
        "host": "*",
        "path_prefix": f"/s{number % sizes.pools}/r{number}",
        "methods": [],
        "pool": f"p{number % sizes.pools}",
        "access": "keyed",
        "idempotent": True,
        "deadline_s": CHAIN_LENGTH - place,
        "priority": "high" if number % 3 else "low",
        "calls": [f"r{number + 1}"] if has_next else [],
    }


def _path(sizes: Sizes, rng: random.Random) -> str:
    number = rng.randrange(sizes.routes)
    return f"/s{number % sizes.pools}/r{number}/item?a=1"


def _document(data: bytes) -> Document:
    document = parse_document(data)
    if not isinstance(document, Document):
        raise RuntimeError(f"the set has faults: {document[0]}")
    return document


def _delta_of(document: Document, place: str, *settings: str) -> Delta:
    changed = apply_overrides(document, [Override(place, settings)])
    if not isinstance(changed, Document):
        raise RuntimeError(f"the change has faults: {changed[0]}")
    return make_delta(document, changed)


def _memory_mb(data: bytes) -> float:
    tracemalloc.start()
    document = _document(data)
    config = build(document, 1)
    kept = (document, config, RouteTable(config))
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held_bytes / 1e6


def _timed(call: Callable[[], T], repeats: int = 7) -> tuple[float, T]:
    """Return the shortest processor time of several runs, in ms, and the result."""
    best_s = float("inf")
    for _ in range(repeats):
        started_s = time.process_time()
        result = call()
        best_s = min(best_s, time.process_time() - started_s)
    return best_s * 1000, result
