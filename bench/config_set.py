"""Cost for a daemon to apply a large configuration set, in full or as a delta."""

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from damaskbay.config.check import read_checked
from damaskbay.config.delta import make_delta
from damaskbay.config.document import Document
from damaskbay.core.dissemination.holder import ActiveConfig, OfferResult
from damaskbay.core.dissemination.messages import Push
from damaskbay.core.dissemination.parts import missing_parts
from damaskbay.helpers.keys import digest_of
from damaskbay.helpers.messages import pack

SERVICES = 1_600
WORKSPACES = 400
KEYS = 4_000
REPEATS = 5
MS_PER_S = 1_000.0
BYTES_PER_MB = 1024 * 1024


def set_costs(*, services: int = SERVICES) -> dict[str, Any]:
    """Return sizes in bytes and the shortest processor times in ms, for one daemon."""
    content = _large_set(services)
    tracemalloc.start()
    base = _read(content)
    memory_mb = tracemalloc.get_traced_memory()[0] / BYTES_PER_MB
    tracemalloc.stop()
    full_set = missing_parts(base, 1, ())
    return {
        "services": services,
        "workspaces": WORKSPACES,
        "keys": KEYS,
        "document_bytes": base.size_bytes,
        "document_memory_mb": round(memory_mb, 1),
        "whole_message_bytes": len(pack(full_set)),
        "take_whole_ms": _shortest_ms(lambda: _apply_full_set(base), 1),
        "withdraw_key": _change_costs(content, base, "keys", "k1", None),
        "change_rate": _change_costs(
            content, base, "workspaces", "w1", {"rate_per_s": 7, "burst": 7}
        ),
        "change_route": _change_costs(
            content,
            base,
            "routes",
            "r1",
            {**content["routes"]["r1"], "deadline_s": 4.5},
        ),
    }


def _apply_full_set(base: Document) -> None:
    assert (
        ActiveConfig().offer_parts(missing_parts(base, 1, ())) is OfferResult.ACTIVATED
    )


def _change_costs(
    content: dict[str, Any], base: Document, kind: str, name: str, item: Any
) -> dict[str, Any]:
    objects = {key: value for key, value in content[kind].items() if key != name}
    if item is not None:
        objects[name] = item
    push = Push("i1", 2, make_delta(base, _read({**content, kind: objects})))

    def apply_push() -> None:
        holder = ActiveConfig()
        holder.offer(1, base)
        assert holder.offer_push(push) is OfferResult.ACTIVATED

    return {
        "message_bytes": len(pack(push)),
        "take_ms": _shortest_ms(apply_push, REPEATS),
    }


def _shortest_ms(step: Callable[[], None], repeats: int) -> float:
    times = []
    for _ in range(repeats):
        started_s = time.process_time()
        step()
        times.append(time.process_time() - started_s)
    return round(MS_PER_S * min(times), 2)


def _read(content: dict[str, Any]) -> Document:
    document = read_checked(content)
    assert isinstance(document, Document), document
    return document


def _large_set(services: int) -> dict[str, Any]:
    routes = {}
    for number in range(services):
        last = number % 5 == 4 or number + 1 == services
        routes[f"r{number}"] = {
            "path_prefix": f"/s{number}/",
            "pool": f"p{number}",
            "access": "keyed",
            "idempotent": True,
            "deadline_s": 5 - number % 5,
            "priority": "high",
            "calls": [] if last else [f"r{number + 1}"],
        }
    return {
        "workspaces": {
            f"w{number}": {"rate_per_s": 100, "burst": 50}
            for number in range(WORKSPACES)
        },
        "keys": {
            f"k{number}": {
                "digest": digest_of(f"secret {number}"),
                "workspace": f"w{number % WORKSPACES}",
            }
            for number in range(KEYS)
        },
        "priorities": {"high": {"rank": 0}},
        "pools": {
            f"p{number}": {"slots_per_server": 8, "connections_per_server": 150}
            for number in range(services)
        },
        "routes": routes,
    }
