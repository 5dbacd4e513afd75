"""What the kernel tells of a process."""

import contextlib
import os
from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

ENDED_STATES = ("", "X", "Z")
"""States of a process that has ended."""

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Scheduling:
    """Time for which a process ran, and for which it waited for a core; seconds."""

    ran_s: float
    waited_s: float

    def since(self, before: "Scheduling") -> str:
        """Return in words what came since an earlier moment."""
        ran_s, waited_s = self.ran_s - before.ran_s, self.waited_s - before.waited_s
        return f"ran for {ran_s:.2f} s and waited for a core for {waited_s:.2f} s"


def read_scheduling(pid: int) -> Scheduling:
    """Return how the main thread of a process was scheduled, zeros if it has ended."""
    with contextlib.suppress(OSError):
        ran_ns, waited_ns, *_ = Path(f"/proc/{pid}/schedstat").read_text().split()
        return Scheduling(int(ran_ns) / 1e9, int(waited_ns) / 1e9)
    return Scheduling(0.0, 0.0)


def read_state(pid: int) -> str:
    """Return the state of a process as a letter, empty if it is gone."""
    with contextlib.suppress(OSError):
        stat = Path(f"/proc/{pid}/stat").read_text()
        return stat.rpartition(")")[2].split()[0]
    return ""


def read_status(pid: int, name: str, base: int) -> int:
    """Return a value of the status of a process, 0 if it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1], base)
    return 0


def read_cores_s(cores: Collection[int]) -> tuple[float, float]:
    """Return for how long cores ran anything, and were taken by the host, seconds."""
    busy, stolen = 0, 0
    for line in Path("/proc/stat").read_text().splitlines():
        name, *counts = line.split()
        number = name.removeprefix("cpu")
        if number.isdigit() and int(number) in cores and name != number:
            user, nice, system, _, _, interrupts, soft, steal = map(int, counts[:8])
            busy += user + nice + system + interrupts + soft
            stolen += steal
    return busy / _TICKS_PER_S, stolen / _TICKS_PER_S


def read_processor_s(pid: int) -> float:
    """Return the processor time of a process, seconds; 0 if it is gone."""
    with contextlib.suppress(OSError):
        stat = Path(f"/proc/{pid}/stat").read_text()
        user, system = stat.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / _TICKS_PER_S
    return 0.0
