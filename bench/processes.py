"""Processor time and memory of processes, read from /proc."""

import os
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_UTIME_FIELD = 11
_STIME_FIELD = 12
BYTES_PER_MB = 1024 * 1024
NS_PER_S = 1e9


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])) / _TICKS_PER_S


def run_s(pid: int) -> float:
    """Return the time for which the threads of a process ran, to the nanosecond."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / NS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * _PAGE_BYTES / BYTES_PER_MB
