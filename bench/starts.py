"""
Measure how many starts a SIGHUP ends, and how long a start can be ended by one.

Processes are started together and have no settings yet. Two of three get their signal
after `--delay-ms` from exec on, the others within 0.6 s.
"""

import os
import random
import shlex
import signal
import subprocess
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from statistics import median

from bench.common import ROOT, finish, parser
from damaskbay.platform.const import SETTINGS_VARIABLE
from tests.common import daemon_command

DELAYED_S = 0.6
EARLY_SHARE = 2 / 3
HOLD_TIMEOUT_S = 20.0
MS_PER_S = 1000.0


def _start(
    command: Sequence[str], cores: set[int], settings: Path
) -> subprocess.Popen[bytes]:
    """Start a process on some cores, to which only the calling thread moves."""
    allowed = os.sched_getaffinity(0)
    os.sched_setaffinity(0, cores)
    try:
        return subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, SETTINGS_VARIABLE: str(settings)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
    finally:
        os.sched_setaffinity(0, allowed)


def _holds_hang_ups(pid: int, names: Sequence[str] = ("SigBlk:", "SigCgt:")) -> bool:
    """Return whether the process lets SIGHUP wait, or handles it."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = (status.partition(name)[2].split()[0] for name in names)
    return any(int(mask, 16) & 1 << (signal.SIGHUP - 1) for mask in masks)


def _hang_up(
    command: Sequence[str], cores: set[int], settings: Path, delay_s: float
) -> tuple[int, bool]:
    """
    Return the status of a start that gets a SIGHUP and is stopped later.

    And whether a process that had ended by then had SIGHUP blocked at its end.
    """
    process = _start(command, cores, settings)
    if delay_s:
        time.sleep(delay_s)
    process.send_signal(signal.SIGHUP)
    time.sleep(DELAYED_S)
    held = _holds_hang_ups(process.pid, ("SigBlk:",))
    process.terminate()
    status = process.wait()
    return status, held and status == -signal.SIGHUP


def _time_to_hold(command: Sequence[str], cores: set[int], settings: Path) -> float:
    """Return the seconds from exec until a start lets SIGHUP wait."""
    process = _start(command, cores, settings)
    started_s = time.monotonic()
    while not _holds_hang_ups(process.pid):
        if time.monotonic() - started_s > HOLD_TIMEOUT_S:
            break
    held_s = time.monotonic() - started_s
    process.kill()
    process.wait()
    return held_s


def main(arguments: Sequence[str]) -> int:
    """Print the starts that ended and the time until signals wait."""
    options_parser = parser(__doc__ or "")
    options_parser.add_argument("--starts", type=int, default=14)
    options_parser.add_argument("--rounds", type=int, default=6)
    options_parser.add_argument("--cores", type=int, default=1)
    options_parser.add_argument("--delay-ms", type=float, default=0.0)
    options_parser.add_argument("--command", type=shlex.split, help="in place of ours")
    options = options_parser.parse_args(arguments)
    chance = random.Random(options.seed)
    cores = set(sorted(os.sched_getaffinity(0))[-options.cores :])
    early = round(options.starts * EARLY_SHARE)
    late = options.starts - early
    ends: list[tuple[int, bool]] = []
    holds_s: list[float] = []
    with (
        tempfile.TemporaryDirectory() as folder,
        ThreadPoolExecutor(options.starts) as pool,
    ):
        command = options.command or daemon_command()
        common = command, cores, Path(folder, "missing.toml")
        for _ in range(options.rounds):
            delays_s = [options.delay_ms / MS_PER_S] * early
            delays_s += [chance.uniform(0.0, DELAYED_S) for _ in range(late)]
            chance.shuffle(delays_s)
            ends += pool.map(partial(_hang_up, *common), delays_s)
            # One after the other: the polls would take the cores from the starts.
            holds_s.append(_time_to_hold(*common))
    statuses = [status for status, _ in ends]
    result = {
        "starts": len(statuses),
        "ended_by_the_signal": statuses.count(-signal.SIGHUP),
        "ended_with_it_blocked": sum(held for _, held in ends),
        "ended_otherwise": sum(
            status not in (0, -signal.SIGHUP) for status in statuses
        ),
        "held_after_ms_median": round(median(holds_s) * MS_PER_S, 2),
        "held_after_ms_most": round(max(holds_s) * MS_PER_S, 2),
    }
    return finish("starts", result, options)
