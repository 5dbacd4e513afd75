"""Plots of benchmark runs; requires the optional extra `plot`."""

import importlib.util
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from bench.overload_run import RunResult, RunSpec

MATPLOTLIB_MISSING = (
    "bench: matplotlib is missing; install the extra: pip install damaskbay[plot]"
)
WIDTH_IN = 11.0
ROW_HEIGHT_IN = 2.6


def plot_available() -> bool:
    """Return whether matplotlib is installed."""
    return importlib.util.find_spec("matplotlib") is not None


def plot_overload(specs: list[RunSpec], results: list[RunResult], path: str) -> None:
    """Draw goodput and latency over time, for each case, into one PNG file."""
    pyplot = _load_pyplot()
    names = list(dict.fromkeys(_name(spec) for spec in specs))
    figure, axes = pyplot.subplots(
        len(names), 2, figsize=(WIDTH_IN, ROW_HEIGHT_IN * len(names)), squeeze=False
    )
    for spec, result in zip(specs, results, strict=True):
        _draw(axes[names.index(_name(spec))], spec, result)
    figure.tight_layout()
    figure.savefig(Path(path))


def plot_saturation(steps: Sequence[Mapping[str, Any]], path: str) -> None:
    """Draw offered, served and unanswered requests of each step into one PNG file."""
    pyplot = _load_pyplot()
    figure, axis = pyplot.subplots(figsize=(WIDTH_IN, 2 * ROW_HEIGHT_IN))
    names = [step["name"] for step in steps]
    for key in ("offered_per_s", "served_per_s"):
        axis.plot(names, [step[key] for step in steps], "o-", label=key)
    unanswered = [step["no_answer"] for step in steps]
    axis.bar(names, unanswered, alpha=0.3, label="no answer, requests in all")
    axis.set_yscale("symlog")
    axis.tick_params(axis="x", labelrotation=45.0)
    axis.legend(fontsize="x-small")
    figure.tight_layout()
    figure.savefig(Path(path))


def _load_pyplot() -> Any:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot


def _draw(row: Any, spec: RunSpec, result: RunResult) -> None:
    goodput, latency = row
    times_s = [point.at_s for point in result.points]
    if spec.system == "ours":
        offered = [point.offered_per_s for point in result.points]
        goodput.plot(times_s, offered, color="0.7", label="offered")
    rates = [point.goodput_per_s for point in result.points]
    goodput.plot(times_s, rates, label=spec.system)
    latencies = [point.latency_p99_s for point in result.points]
    latency.plot(times_s, latencies, label=f"{spec.system} p99")
    for axis, unit in ((goodput, "requests/s"), (latency, "s")):
        axis.axvspan(spec.schedule.cause_at, spec.schedule.ends_at, alpha=0.03)
        axis.set_title(_name(spec), fontsize="small")
        axis.set_ylabel(unit)
        axis.legend(fontsize="x-small")


def _name(spec: RunSpec) -> str:
    return f"{spec.topology.name}/{spec.case.name}"
