"""Latency that one and two daemons add to a call, and processor time per call."""

import http.client
import random
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from bench.common import finish, parser, percentile
from bench.fleet import HOST, Fleet, ServerPlan, fleet
from bench.processes import cpu_s, memory_mb
from bench.sets import sample_set, secrets_for
from damaskbay.const import HEADER_KEY

WORKSPACE = "sample"
NEAR_POOL = "near"
FAR_POOL = "far"
CALLS = 3000
QUICK_CALLS = 400
WARM_UP_CALLS = 200
LOAD_THREADS = 8
LOAD_S = 4.0
QUICK_LOAD_S = 1.0
P99 = 0.99
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint on the way to a backend server: port, path and headers."""

    name: str
    port: int
    path: str
    headers: dict[str, str]


class Caller:
    """Client that calls one endpoint over a persistent connection."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._connection = http.client.HTTPConnection(HOST, endpoint.port, timeout=10)
        self.latencies_s: list[float] = []

    def call(self) -> None:
        """Send one call and record its latency; raise RuntimeError on a refusal."""
        started_at = time.perf_counter()
        self._connection.request(
            "GET", self._endpoint.path, headers=self._endpoint.headers
        )
        response = self._connection.getresponse()
        body = response.read()
        self.latencies_s.append(time.perf_counter() - started_at)
        if response.status != 200:
            raise RuntimeError(f"{self._endpoint.name}: {response.status} {body!r}")

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def main(arguments: Sequence[str]) -> int:
    """Run the measurement and print its figures."""
    argument_parser = parser(__doc__ or "")
    options = argument_parser.parse_args(arguments)
    secrets = secrets_for([WORKSPACE])
    plans = [
        ServerPlan("near-1", "domain-a", NEAR_POOL, slots=64),
        ServerPlan("far-1", "domain-a", FAR_POOL, slots=64),
    ]
    document = sample_set([NEAR_POOL, FAR_POOL], secrets_by_workspace=secrets)
    with fleet(plans, document) as running:
        endpoints = _endpoints(running, secrets[WORKSPACE])
        idle_mb = memory_mb(_daemon_pid(running, "near-1"))
        calls = QUICK_CALLS if options.quick else CALLS
        latencies = _measure(endpoints, calls, random.Random(options.seed))
        costs = _costs(running, endpoints[2], calls)
        load_s = QUICK_LOAD_S if options.quick else LOAD_S
        rates = {
            endpoint.name: _calls_per_s(endpoint, load_s) for endpoint in endpoints
        }
    return finish("latency", _result(latencies, costs, rates, idle_mb), options)


def _endpoints(running: Fleet, secret: str) -> list[Endpoint]:
    near = running.servers_by_instance["near-1"]
    headers = {HEADER_KEY: secret}
    return [
        Endpoint("direct", near.backend_port, f"/{NEAR_POOL}/x", {}),
        Endpoint("one_daemon", near.caller_port, f"/{NEAR_POOL}/x", headers),
        Endpoint("two_daemons", near.caller_port, f"/{FAR_POOL}/x", headers),
    ]


def _measure(
    endpoints: list[Endpoint], calls: int, rng: random.Random
) -> dict[str, list[float]]:
    """Call the endpoints in random order, so that drift affects all equally."""
    callers = {endpoint.name: Caller(endpoint) for endpoint in endpoints}
    for caller in callers.values():
        for _ in range(WARM_UP_CALLS):
            caller.call()
        caller.latencies_s.clear()
    order = list(callers.values())
    for _ in range(calls):
        rng.shuffle(order)
        for caller in order:
            caller.call()
    for caller in callers.values():
        caller.close()
    return {name: caller.latencies_s for name, caller in callers.items()}


def _costs(running: Fleet, endpoint: Endpoint, calls: int) -> dict[str, float]:
    """Return the processor time per call in ms, of both daemons and the server."""
    pids = {
        "ingress_daemon": _daemon_pid(running, "near-1"),
        "target_daemon": _daemon_pid(running, "far-1"),
        "backend_server": _backend_pid(running, "far-1"),
    }
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    caller = Caller(endpoint)
    for _ in range(calls):
        caller.call()
    caller.close()
    return {
        name: round((cpu_s(pid) - before[name]) / calls * MS_PER_S, 3)
        for name, pid in pids.items()
    }


def _calls_per_s(endpoint: Endpoint, load_s: float) -> float:
    """Return the throughput of several concurrent callers, in calls/s."""
    callers = [Caller(endpoint) for _ in range(LOAD_THREADS)]
    end = time.perf_counter() + load_s

    def run(caller: Caller) -> None:
        while time.perf_counter() < end:
            caller.call()

    with ThreadPoolExecutor(LOAD_THREADS) as executor:
        for future in [executor.submit(run, caller) for caller in callers]:
            future.result()
    call_count = sum(len(caller.latencies_s) for caller in callers)
    for caller in callers:
        caller.close()
    return round(call_count / load_s, 1)


def _result(
    latencies: dict[str, list[float]],
    costs: dict[str, float],
    rates: dict[str, float],
    idle_mb: float,
) -> dict[str, Any]:
    medians = {name: percentile(values, 0.5) for name, values in latencies.items()}
    p99 = {name: percentile(values, P99) for name, values in latencies.items()}
    added = {
        name: round((p99[name] - medians["direct"]) * MS_PER_S, 3)
        for name in ("one_daemon", "two_daemons")
    }
    ratio = {
        name: round(medians[name] / medians["direct"], 2)
        for name in ("one_daemon", "two_daemons")
    }
    return {
        "direct_median_ms": round(medians["direct"] * MS_PER_S, 3),
        "direct_p99_ms": round(p99["direct"] * MS_PER_S, 3),
        "median_ms": {
            name: round(value * MS_PER_S, 3) for name, value in medians.items()
        },
        "added_p99_ms": added,
        "added_to_direct_ratio": ratio,
        "cpu_ms_per_call": costs,
        "calls_per_s": rates,
        "idle_daemon_memory_mb": round(idle_mb, 1),
    }


def _daemon_pid(running: Fleet, instance: str) -> int:
    process = running.servers_by_instance[instance].daemon
    if process is None:
        raise RuntimeError(f"{instance} has no daemon")
    return process.pid


def _backend_pid(running: Fleet, instance: str) -> int:
    process = running.servers_by_instance[instance].backend
    if process is None:
        raise RuntimeError(f"{instance} has no backend server")
    return process.pid
