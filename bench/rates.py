"""Rate limits of a fleet in virtual time: excess, wrongful refusals, demand moves."""

import argparse
import json
import random
import subprocess
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
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

RESULT = Path(__file__).parent / "results" / "rates.json"
DOMAINS = ("north", "east", "south", "west")
DAEMONS_PER_DOMAIN = 8
SERVED_SHARE = 0.95
SERVED_FOR_S = 5.0
SHORT_VALIDITY_S = 20.0

WORKSPACES = (
    Workspace("large-1", 80.0, 80),
    Workspace("large-2", 60.0, 60),
    Workspace("hog", 8.0, 16),
    Workspace("small-1", 10.0, 20),
    Workspace("small-2", 8.0, 16),
    Workspace("small-3", 6.0, 12),
    Workspace("small-4", 6.0, 12),
    Workspace("small-5", 4.0, 8),
)
DEMAND_SHARE_BY_WORKSPACE = {"hog": 5.0, "large-1": 0.7, "large-2": 0.7}
DEFAULT_DEMAND_SHARE = 0.6
MOVED_WORKSPACES = ("small-1", "small-2")


@dataclass
class Scenario:
    """Traffic with scheduled events; times in seconds from the start."""

    seed: int
    options: ShareOptions
    length_s: float
    events: dict[float, Callable[["Scenario"], None]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        config = ConfigSet(1, "d", {item.name: item for item in WORKSPACES})
        self.fleet = VirtualFleet(config, self.options, seed=self.seed)
        for domain in DOMAINS:
            self.fleet.add_domain(domain, DAEMONS_PER_DOMAIN)
        self.home_by_workspace = {
            item.name: DOMAINS[number % len(DOMAINS)]
            for number, item in enumerate(WORKSPACES)
        }
        self.moved_at: dict[str, float] = {}

    def run(self) -> None:
        """Run traffic and events to the end."""
        steps = sorted([*self._requests(), *self._events()], key=lambda item: item[0])
        for at, step in steps:
            self.fleet.run_until(at)
            step()
        self.fleet.run_until(self.length_s + 2)

    def move(self, workspaces: Iterable[str]) -> None:
        """Move all demand of the workspaces to the next failure domain."""
        for name in workspaces:
            index = DOMAINS.index(self.home_by_workspace[name])
            self.home_by_workspace[name] = DOMAINS[(index + 1) % len(DOMAINS)]
            self.moved_at[name] = self.fleet.now - self.fleet.started_at

    def _events(self) -> Iterable[tuple[float, Callable[[], None]]]:
        for at, event in self.events.items():
            yield at, lambda event=event: event(self)  # type: ignore[misc]

    def _requests(self) -> Iterable[tuple[float, Callable[[], None]]]:
        for workspace in WORKSPACES:
            demand = DEMAND_SHARE_BY_WORKSPACE.get(workspace.name, DEFAULT_DEMAND_SHARE)
            per_s = workspace.rate_per_s * demand
            at = self.rng.expovariate(per_s)
            while at < self.length_s:
                yield at, lambda name=workspace.name: self._send(name)  # type: ignore[misc]
                at += self.rng.expovariate(per_s)

    def _send(self, workspace: str) -> None:
        domain = self.home_by_workspace[workspace]
        if workspace.startswith("large") or workspace == "hog":
            domain = self.rng.choice(DOMAINS)
        self.fleet.request(domain, workspace, ())


def faults(length_s: float) -> dict[float, Callable[[Scenario], None]]:
    """Return the events for the long validity: moved demand, a partition, an outage."""

    def partition(scenario: Scenario) -> None:
        home = scenario.home_by_workspace["small-3"]
        scenario.fleet.platform.inject(cut_clients=frozenset({home}))

    return {
        0.2 * length_s: lambda scenario: scenario.move(MOVED_WORKSPACES),
        0.4 * length_s: partition,
        0.55 * length_s: lambda scenario: _end_partition(scenario),
        0.65 * length_s: lambda scenario: _set_outage(scenario, True),
        0.9 * length_s: lambda scenario: _set_outage(scenario, False),
    }


def lapses(length_s: float) -> dict[float, Callable[[Scenario], None]]:
    """Return the events for the short validity: a long pause, a crash, a drain."""

    def holder(scenario: Scenario, workspace: str) -> Any:
        domain = scenario.home_by_workspace[workspace]
        return scenario.fleet.holder(domain, f"w/{workspace}")

    def pause(scenario: Scenario) -> None:
        paused_s = SHORT_VALIDITY_S * 2
        holder(scenario, "small-3").paused_until = scenario.fleet.now + paused_s

    def crash(scenario: Scenario) -> None:
        scenario.fleet.crash(holder(scenario, "small-4"))

    def stop(scenario: Scenario) -> None:
        scenario.fleet.leave(holder(scenario, "small-5"))

    return {0.2 * length_s: pause, 0.6 * length_s: crash, 0.8 * length_s: stop}


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the figures; return 1 if a limit was exceeded, else 0."""
    parser = argparse.ArgumentParser(prog="bench rates", description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON alone")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="a tenth of the time")
    parser.add_argument("--holders", type=int, default=ShareOptions().holders)
    parser.add_argument(
        "--save", "--keep", action="store_true", help=f"write {RESULT.name}"
    )
    options = parser.parse_args(arguments)
    length_s = 60.0 if options.quick else 600.0
    figures = measure(options.seed, length_s, options.holders)
    text = json.dumps(figures, indent=2)
    if options.save:
        RESULT.parent.mkdir(exist_ok=True)
        RESULT.write_text(text + "\n")
    print(text if options.json else _as_lines(figures))
    return 0 if figures["greatest_excess_tokens"] == 0 else 1


def measure(seed: int, length_s: float, holders: int) -> dict[str, Any]:
    """Run both scenarios and return their figures."""
    started_s = time.process_time()
    long = Scenario(seed, ShareOptions(holders=holders), length_s, faults(length_s))
    long.run()
    short_options = ShareOptions(holders=holders, validity_s=SHORT_VALIDITY_S)
    short_s = max(length_s / 2, SHORT_VALIDITY_S * 5)
    short = Scenario(seed, short_options, short_s, lapses(short_s))
    short.run()
    excess = max(_greatest_excess(long), _greatest_excess(short))
    refused, in_rate = _refusals(long)
    refused_short, in_rate_short = _refusals(short)
    counters = long.fleet.platform.counters
    return {
        "greatest_excess_tokens": excess,
        "wrongful_refusals": refused,
        "in_rate_requests": in_rate,
        "worst_served_workspace": max(
            refused, key=lambda name: refused[name] / in_rate[name]
        ),
        "moved_demand_served_s": _moved_served_s(long),
        "platform_writes_per_s": round(counters.writes / length_s, 2),
        "platform_reads_per_s": round(counters.reads / length_s, 2),
        "peer_messages_per_request": round(
            long.fleet.messages / len(long.fleet.arrivals), 3
        ),
        "wrongful_refusals_lapses": refused_short,
        "in_rate_requests_lapses": in_rate_short,
        "over_rate_workspace_admitted_share": _over_rate_admitted_share(long),
        "requests": len(long.fleet.arrivals) + len(short.fleet.arrivals),
        "daemons": len(DOMAINS) * DAEMONS_PER_DOMAIN,
        "virtual_s": length_s + short_s,
        "processor_s": round(time.process_time() - started_s, 1),
        "seed": seed,
        "commit": _commit(),
    }


def _by_workspace(scenario: Scenario) -> dict[str, list[ReceivedRequest]]:
    arrivals: dict[str, list[ReceivedRequest]] = {item.name: [] for item in WORKSPACES}
    for arrival in sorted(scenario.fleet.arrivals, key=lambda item: item.at):
        arrivals[arrival.workspace].append(arrival)
    return arrivals


def _greatest_excess(scenario: Scenario) -> float:
    arrivals = _by_workspace(scenario)
    return max(
        greatest_excess(
            (one.at for one in arrivals[item.name] if one.refusal is None),
            item.rate_per_s,
            item.burst,
        )
        for item in WORKSPACES
    )


def _refusals(scenario: Scenario) -> tuple[dict[str, int], dict[str, int]]:
    """
    Return by workspace the wrongful refusals and the requests within the rate.

    Requests within the rate are those that a single central bucket would admit.
    Wrongful refusals are how many fewer the fleet admitted.
    """
    refused, in_rate = {}, {}
    arrivals = _by_workspace(scenario)
    for item in WORKSPACES:
        of_workspace = arrivals[item.name]
        verdicts = naive_admits(of_workspace, item.rate_per_s, item.burst)
        admitted = sum(one.refusal is None for one in of_workspace)
        in_rate[item.name] = sum(verdicts)
        refused[item.name] = max(0, sum(verdicts) - admitted)
    return refused, in_rate


def _over_rate_admitted_share(scenario: Scenario) -> float:
    """Return the admitted share of the rate of a workspace that exceeds it."""
    refused, in_rate = _refusals(scenario)
    return round(1 - refused["hog"] / in_rate["hog"], 3)


def _moved_served_s(scenario: Scenario) -> float:
    """Return the longest time in s from a move until 95% of requests are served."""
    arrivals = _by_workspace(scenario)
    return max(
        _served_after_s(arrivals[name], scenario.fleet.started_at + at)
        for name, at in scenario.moved_at.items()
    )


def _served_after_s(arrivals: list[ReceivedRequest], moved_at: float) -> float:
    later = [item for item in arrivals if item.at >= moved_at]
    for start in later:
        window = [item for item in later if 0 <= item.at - start.at < SERVED_FOR_S]
        served = sum(item.refusal is None for item in window)
        if served >= SERVED_SHARE * len(window):
            return round(start.at - moved_at, 2)
    return float("inf")


def _as_lines(figures: dict[str, Any]) -> str:
    lines = [f"{name}: {value}" for name, value in figures.items()]
    return "\n".join(["rates: in virtual time, real decisions", *lines])


def _end_partition(scenario: Scenario) -> None:
    scenario.fleet.platform.inject(cut_clients=frozenset())


def _set_outage(scenario: Scenario, active: bool) -> None:
    scenario.fleet.platform.inject(outage=active)


def _commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip()


if __name__ == "__main__":
    raise SystemExit(main())
