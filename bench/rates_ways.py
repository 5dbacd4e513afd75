"""Share strategies in outages, partitions and crashes, for a small workspace."""

import argparse
import json
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from bench.rates_fleet import (
    ReceivedRequest,
    VirtualFleet,
    greatest_excess,
    naive_admits,
)
from damaskbay.config.objects import ConfigSet, Workspace
from damaskbay.core.rates.options import ShareOptions

RESULT = Path(__file__).parent / "results" / "rates_ways.json"
RATE_PER_S = 10.0
BURST = 20
FAULT_AT_S = 120.0
OUTAGE_S = 600.0
DAEMONS_PER_DOMAIN = 4
OPERATORS = {"AMINE": 4, "Qudyq": 3}
DEMANDS = {"low": 0.3, "middle": 0.6, "high": 0.9}
FAULTS = ("none", "outage", "cut", "crash", "moved in outage")


@dataclass(frozen=True)
class Strategy:
    """
    Strategy for distributing the shares of a bucket.

    `fixed_part` of the bucket is divided equally among failure domains and never
    moves; the rest follows demand as set by the options.
    """

    name: str
    fixed_part: float
    options: ShareOptions


SHORT = ShareOptions(validity_s=15.0, floor_share=0.0, peak_decay_s=3.0, holders=1)
LONG = ShareOptions(holders=1)
STRATEGIES = (
    Strategy("a: fixed floor, long validity", 1.0, SHORT),
    Strategy("b: short shares only", 0.0, SHORT),
    Strategy("c: half fixed floor, half short pool", 0.5, SHORT),
    Strategy("d: sticky shares, no floor", 0.0, replace(LONG, floor_share=0.0)),
    Strategy("d1: sticky shares, floor 1/16", 0.0, LONG),
    Strategy(
        "d2: sticky shares, floor 1/16, two holders", 0.0, replace(LONG, holders=2)
    ),
)


class ScenarioRun:
    """Run of a small workspace with most of its demand in one failure domain."""

    def __init__(
        self, strategy: Strategy, domains: int, demand: float, fault: str, seed: int
    ) -> None:
        pool_part = 1 - strategy.fixed_part
        self.pool = Workspace("w", RATE_PER_S * pool_part, int(BURST * pool_part))
        self.names = [f"d{number}" for number in range(domains)]
        self.fault = fault
        self.demand = demand
        self.rng = random.Random(seed)
        config = ConfigSet(1, "d", {"w": self.pool})
        self.fleet = VirtualFleet(config, strategy.options, seed=seed)
        for name in self.names:
            self.fleet.add_domain(name, DAEMONS_PER_DOMAIN)
        part = strategy.fixed_part / domains
        self.fixed_rate = RATE_PER_S * part
        self.fixed_burst = float(int(BURST * part))
        self.level_by_domain = dict.fromkeys(self.names, self.fixed_burst)
        self.at_by_domain = dict.fromkeys(self.names, 0.0)
        self.fixed: list[ReceivedRequest] = []

    def run(self) -> list[ReceivedRequest]:
        """Run the scenario and return all requests in order of time."""
        length_s = FAULT_AT_S + OUTAGE_S + 60
        at = 0.0
        begun = ended = False
        while at < length_s:
            at += self.rng.expovariate(RATE_PER_S * self.demand)
            if not begun and at >= FAULT_AT_S:
                begun = True
                self._inject_fault()
            if not ended and at >= FAULT_AT_S + OUTAGE_S:
                ended = True
                self.fleet.platform.inject(outage=False, cut_clients=frozenset())
            self.fleet.run_until(at)
            self._send(at, begun and not ended)
        self.fleet.run_until(length_s + 2)
        arrivals = [*self.fixed, *self.fleet.arrivals]
        return sorted(arrivals, key=lambda item: item.at)

    def _inject_fault(self) -> None:
        if self.fault in ("outage", "moved in outage"):
            self.fleet.platform.inject(outage=True)
        if self.fault == "cut":
            self.fleet.platform.inject(cut_clients=frozenset({"d0"}))
        if self.fault == "crash" and self.pool.burst:
            self.fleet.crash(self.fleet.holder("d0", "w/w"))

    def _send(self, at: float, faulty: bool) -> None:
        domain = "d0"
        if self.rng.random() < 0.05:
            domain = self.rng.choice(self.names)
        elif self.fault == "moved in outage" and faulty:
            domain = "d1"
        elapsed_s = at - self.at_by_domain[domain]
        self.at_by_domain[domain] = at
        level = self.level_by_domain[domain] + elapsed_s * self.fixed_rate
        level = min(level, self.fixed_burst)
        if level >= 1 or not self.pool.burst:
            refusal: Any = None if level >= 1 else "fixed"
            self.fixed.append(ReceivedRequest(self.fleet.now, "w", domain, refusal))
            level -= level >= 1
        else:
            self.fleet.request(domain, "w", ())
        self.level_by_domain[domain] = level


def evaluate(arrivals: list[ReceivedRequest]) -> dict[str, Any]:
    """Return excess, wrongful refusals and the time of the last refusal."""
    verdicts = naive_admits(arrivals, RATE_PER_S, BURST)
    admitted = [item.at for item in arrivals if item.refusal is None]
    started_at = arrivals[0].at
    refused_at = [
        item.at - started_at
        for item in arrivals
        if item.refusal is not None and item.at - started_at > FAULT_AT_S
    ]
    return {
        "in_rate": sum(verdicts),
        "wrongful": max(0, sum(verdicts) - len(admitted)),
        "refused_last_s_after": round(max(refused_at, default=FAULT_AT_S) - FAULT_AT_S),
        "excess": greatest_excess(admitted, RATE_PER_S, BURST),
    }


def main(arguments: Sequence[str] | None = None) -> int:
    """Compare the strategies; return 1 if a limit was exceeded, else 0."""
    parser = argparse.ArgumentParser(prog="bench rates_ways", description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON alone")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="one demand, one operator")
    parser.add_argument(
        "--save", "--keep", action="store_true", help=f"write {RESULT.name}"
    )
    options = parser.parse_args(arguments)
    operators = {"AMINE": 4} if options.quick else OPERATORS
    demands = {"middle": 0.6} if options.quick else DEMANDS
    rows = [
        {"operator": operator, "demand": demand, "way": strategy.name, "fault": fault}
        | evaluate(ScenarioRun(strategy, domains, part, fault, options.seed).run())
        for operator, domains in operators.items()
        for demand, part in demands.items()
        for strategy in STRATEGIES
        for fault in FAULTS
    ]
    text = json.dumps({"seed": options.seed, "rows": rows}, indent=1)
    if options.save:
        RESULT.parent.mkdir(exist_ok=True)
        RESULT.write_text(text + "\n")
    if options.json:
        print(text)
    else:
        for row in rows:
            print(" | ".join(str(value) for value in row.values()))
    return 1 if any(row["excess"] for row in rows) else 0


if __name__ == "__main__":
    raise SystemExit(main())
