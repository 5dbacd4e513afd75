"""Control cost of a daemon: processor, memory, traffic and platform requests."""

import time
from collections.abc import Sequence
from typing import Any

from bench.common import finish, parser
from bench.config import Operator
from bench.config_set import SERVICES, set_costs
from bench.control_fleet import DOMAINS, ControlFleet
from bench.membership import membership_figures
from bench.processes import cpu_s, memory_mb

COUNTS = (10, 20, 40, 80)
QUICK_COUNTS = (5, 10)
ONE_DOMAIN = 40
MEMBERS = (10, 40, 160, 667)
QUICK_MEMBERS = (10, 40)
SETTLE_S = 3.0
IDLE_S = 15.0
QUICK_IDLE_S = 4.0
PERCENT = 100.0


def main(arguments: Sequence[str]) -> int:
    """Measure idle daemons in fleets of several sizes."""
    options = parser("Cost of control per daemon").parse_args(arguments)
    counts = QUICK_COUNTS if options.quick else COUNTS
    members = QUICK_MEMBERS if options.quick else MEMBERS
    idle_s = QUICK_IDLE_S if options.quick else IDLE_S
    by_daemons = [_measure(count, options.seed, idle_s) for count in counts]
    in_one_domain = _measure(
        min(ONE_DOMAIN, counts[-1]), options.seed, idle_s, domains=1
    )
    result: dict[str, Any] = {
        "by_daemons": by_daemons,
        "slopes_per_daemon": _slopes(by_daemons),
        "one_domain": in_one_domain,
        "set_costs": set_costs(services=100 if options.quick else SERVICES),
        "membership_by_members": [
            membership_figures(count, options.seed) for count in members
        ],
    }
    return finish("control", result, options)


def _measure(
    count: int, seed: int, idle_s: float, *, domains: int = len(DOMAINS)
) -> dict[str, Any]:
    with ControlFleet(count, seed, domains) as fleet:
        Operator(fleet).publish()
        fleet.wait_until(lambda figures: all(item["version"] for item in figures))
        time.sleep(SETTLE_S)
        before, cpu_before = fleet.figures(), _cpu(fleet)
        calls_before = _platform_requests(fleet)
        time.sleep(idle_s)
        calls = _platform_requests(fleet) - calls_before
        pairs = zip(_cpu(fleet), cpu_before, strict=True)
        cpu = [end - start for end, start in pairs]
        after = fleet.figures()
        memory = [memory_mb(daemon.process.pid) for daemon in fleet.daemons]
    seconds = after[0]["now"] - before[0]["now"]
    traffic_bytes = [
        (end["gossip_bytes"] + end["stream_bytes"])
        - (start["gossip_bytes"] + start["stream_bytes"])
        for start, end in zip(before, after, strict=True)
    ]
    relays = [index for index, item in enumerate(after) if item["relay"]]
    return {
        "daemons": count,
        "failure_domains": domains,
        "core_share_pct": round(PERCENT * sum(cpu) / count / seconds, 3),
        "core_share_pct_relay": round(
            PERCENT * max(cpu[index] for index in relays) / seconds, 3
        ),
        "memory_mb": round(sum(memory) / count, 1),
        "memory_mb_max": round(max(memory), 1),
        "bytes_per_s": round(sum(traffic_bytes) / count / seconds),
        "bytes_per_s_max": round(max(traffic_bytes) / seconds),
        "bytes_per_s_relay": round(
            max(traffic_bytes[index] for index in relays) / seconds
        ),
        "streams_max": max(item["streams"] for item in after),
        "platform_calls_per_s": round(calls / seconds, 2),
    }


def _cpu(fleet: ControlFleet) -> list[float]:
    return [cpu_s(daemon.process.pid) for daemon in fleet.daemons]


def _platform_requests(fleet: ControlFleet) -> int:
    return fleet.platform.counters.reads + fleet.platform.counters.writes


def _slopes(by_daemons: Sequence[dict[str, Any]]) -> dict[str, float]:
    """Return the cost that each further daemon adds, by least squares."""
    counts = [item["daemons"] for item in by_daemons]
    names = ("core_share_pct", "memory_mb", "bytes_per_s", "platform_calls_per_s")
    return {
        name: round(_slope(counts, [item[name] for item in by_daemons]), 4)
        for name in names
    }


def _slope(xs: Sequence[float], ys: Sequence[float]) -> float:
    x_mean, y_mean = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - x_mean) ** 2 for x in xs)
    pairs = zip(xs, ys, strict=True)
    return sum((x - x_mean) * (y - y_mean) for x, y in pairs) / spread
