"""Compare the call policy with a naive one, under load and faults."""

import argparse
import json
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from typing import Any

from bench.overload_fleet import NAIVE_QUEUE_PER_SLOT, Policy
from bench.overload_load import CASES, TOPOLOGIES, Case, Schedule, Topology
from bench.overload_run import RunResult, RunSpec, run
from bench.plot import MATPLOTLIB_MISSING, plot_available, plot_overload
from damaskbay.core.admission import AimdLimit, FixedLimit, GradientLimit
from damaskbay.core.admission.options import LimitFactory

DEFAULT_SEED = 7
SYSTEMS = ("ours", "naive")
CAUSE_AT_S = 6.0
AFTER_S = 10.0
QUICK_CAUSE_AT_S = 3.0
QUICK_CAUSE_S = 4.0
QUICK_AFTER_S = 6.0
WORKERS = 3
EXIT_UNAVAILABLE = 2


def _fixed(slots: int, now: float) -> FixedLimit:
    return FixedLimit(slots)


LIMITS_BY_NAME: dict[str, LimitFactory] = {
    "gradient": GradientLimit,
    "aimd": AimdLimit,
    "fixed": _fixed,
}


def main(arguments: Sequence[str]) -> int:
    """Run the benchmark and return the exit code."""
    options = _parse(arguments)
    if options.plot and not plot_available():
        print(MATPLOTLIB_MISSING, file=sys.stderr)
        return EXIT_UNAVAILABLE
    started_at = time.monotonic()
    specs = _specs(options)
    with ProcessPoolExecutor(options.workers) as executor:
        results = list(executor.map(run, specs))
    report = _report(specs, results, options.seed)
    report["took_s"] = round(time.monotonic() - started_at, 1)
    if options.plot:
        plot_overload(specs, results, options.plot)
    if options.json:
        print(json.dumps(report, indent=1))
    else:
        _print_table(report)
    return 0


def _parse(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bench overload", description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--quick", action="store_true", help="shorter causes")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--workers", type=int, default=WORKERS, help="processes")
    parser.add_argument("--limit", choices=LIMITS_BY_NAME, default="gradient")
    parser.add_argument(
        "--knee", type=float, default=1.0, help="share of slots that work at full speed"
    )
    parser.add_argument(
        "--naive-queue",
        type=int,
        default=NAIVE_QUEUE_PER_SLOT,
        help="waiting requests per slot in the naive version",
    )
    parser.add_argument("--only", help="case or topology, by part of the name")
    parser.add_argument("--plot", metavar="PNG", help="draw goodput and latency")
    return parser.parse_args(arguments)


def _specs(options: argparse.Namespace) -> list[RunSpec]:
    return [
        RunSpec(
            system,
            topology,
            case,
            _schedule(case, quick=options.quick),
            options.seed,
            Policy(LIMITS_BY_NAME[options.limit], options.naive_queue),
            options.knee,
        )
        for topology in TOPOLOGIES
        for case in CASES
        for system in SYSTEMS
        if not options.only or options.only in _case_name(topology, case)
    ]


def _schedule(case: Case, *, quick: bool) -> Schedule:
    if quick:
        return Schedule(QUICK_CAUSE_AT_S, QUICK_CAUSE_S, QUICK_AFTER_S)
    return Schedule(CAUSE_AT_S, case.cause_s, AFTER_S)


def _case_name(topology: Topology, case: Case) -> str:
    return f"{topology.name}/{case.name}"


def _report(
    specs: list[RunSpec], results: list[RunResult], seed: int
) -> dict[str, Any]:
    cases: dict[str, dict[str, Any]] = {}
    for spec, result in zip(specs, results, strict=True):
        name = _case_name(spec.topology, spec.case)
        cases.setdefault(name, {})[spec.system] = asdict(result.measures)
    return {"cases": cases, "seed": seed}


def _print_table(report: dict[str, Any]) -> None:
    keys = (
        "goodput_share",
        "recovery_s",
        "worst_workspace_share",
        "wrongful_refusals",
        "refused_share_by_priority",
        "attempts_per_request",
        "ran_twice",
        "wasted_work_share",
    )
    for name, systems in report["cases"].items():
        for system, figures in systems.items():
            shown = ", ".join(f"{key} {figures[key]}" for key in keys)
            print(f"{name} {system}: {shown}")
    print(f"seed {report['seed']}, took {report['took_s']} s")
