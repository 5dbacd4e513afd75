"""Processor time of a profiled daemon by stage of a call."""

import pstats
from collections import defaultdict
from collections.abc import Mapping
from pathlib import Path
from typing import Any

Function = tuple[str, int, str]
"""File, line and name, as in pstats."""

LOOP_STAGE = "event_loop_and_system_calls"
OTHER_STAGE = "control_plane_and_other"
STAGES_BY_PATH = (
    ("http1/request_parser", "parse"),
    ("http1/names", "parse"),
    ("http1/server", "caller_connection"),
    ("http1/exchange", "caller_connection"),
    ("http1/response_encoding", "response_encoding"),
    ("http1/", "server_client"),
    ("mesh/server_", "server_client"),
    ("peer_link/", "link"),
    ("daemon/messages", "link"),
    ("helpers/messages", "link"),
    ("mesh/ingress", "ingress"),
    ("core/pressure", "ingress"),
    ("core/trees", "ingress"),
    ("core/routing/demand", "ingress"),
    ("core/quota/", "ingress"),
    ("config/matching", "ingress"),
    ("helpers/http_headers", "header_filter"),
    ("mesh/dispatch", "dispatch_and_routing"),
    ("mesh/directory", "dispatch_and_routing"),
    ("core/routing/", "dispatch_and_routing"),
    ("mesh/target", "target_and_gate"),
    ("mesh/gate", "target_and_gate"),
    ("mesh/running", "target_and_gate"),
    ("core/admission/", "target_and_gate"),
    ("core/durations", "estimates"),
    ("core/response_sizes", "estimates"),
    ("telemetry/", "telemetry"),
    ("prometheus_client", "telemetry"),
    ("helpers/logs", "logging"),
    ("logging/", "logging"),
    ("helpers/arrivals", LOOP_STAGE),
    ("asyncio/", LOOP_STAGE),
)
SHARED_PATHS = (
    "~",
    "<string>",
    "core/memory_account",
    "core/call.py",
    "core/outcome",
    "core/lifetime",
    "helpers/clock",
    "enum.py",
    "dataclasses",
)
"""Code whose time belongs to the stages that call it."""

LOOP_NAMES = ("uvloop", "run_until_complete", "run_forever")
MAX_CALLERS = 6
"""Callers above a function that are looked at for its stage."""


def seconds_by_stage(path: Path) -> dict[str, float]:
    """Return the processor time of a profile by stage, in seconds."""
    stats: Mapping[Function, Any] = pstats.Stats(str(path)).stats  # type: ignore[attr-defined]
    seconds: defaultdict[str, float] = defaultdict(float)
    for function, (_, _, own_s, _, _) in stats.items():
        _add(stats, function, own_s, seconds, MAX_CALLERS)
    return seconds


def _add(
    stats: Mapping[Function, Any],
    function: Function,
    own_s: float,
    seconds: defaultdict[str, float],
    callers_left: int,
) -> None:
    """Add time of a function to its stage, or to those of its callers."""
    file, _, name = function
    if file == "~" and any(part in name for part in LOOP_NAMES):
        seconds[LOOP_STAGE] += own_s
        return
    callers = stats[function][4]
    shared = any(part in file for part in SHARED_PATHS)
    if not shared or not callers or not callers_left:
        seconds[_stage(file)] += own_s
        return
    weights = {caller: values[2] or 1e-9 for caller, values in callers.items()}
    total = sum(weights.values())
    for caller, weight in weights.items():
        _add(stats, caller, own_s * weight / total, seconds, callers_left - 1)


def _stage(file: str) -> str:
    for part, stage in STAGES_BY_PATH:
        if part in file:
            return stage
    return OTHER_STAGE
