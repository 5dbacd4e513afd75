"""Options of a soak run, and those of each seed."""

from dataclasses import dataclass

PLANNED_SEED_INTERVAL = 5
"""Each fifth seed has planned work only, which must not cut any call."""

GRACE_S = 3.0
PLANNED_GRACE_S = 6.0


@dataclass(frozen=True)
class SoakOptions:
    """
    Seed, number of machines, seconds in which faults start; times in seconds.

    `planned` means that the only faults are stops, set changes, changed settings, and
    slow and draining servers. `long_share` is the part of requests, 0 to 1, that take
    long at their server. `pipelines` adds callers that pipeline requests, `limits`
    servers that name limits, change and drop them, `phases` cold servers and evacuated
    failure domains, `harsh` the faults that bring memory, descriptors and signals to
    their limits, `restores` those of the store from a snapshot, `departures` servers
    that leave while the store is away and their daemons are killed.
    """

    seed: int
    machine_count: int = 6
    fault_duration_s: float = 12.0
    planned: bool = False
    grace_s: float = GRACE_S
    long_share: float = 0.1
    pipelines: bool = True
    limits: bool = False
    harsh: bool = False
    restores: bool = False
    phases: bool = False
    departures: bool = False


def options_of(
    seed: int, machine_count: int, fault_duration_s: float, *, planned: bool
) -> SoakOptions:
    """Return the options of a seed; each fifth one is planned in any case."""
    planned = planned or seed % PLANNED_SEED_INTERVAL == 0
    grace_s = PLANNED_GRACE_S if planned else GRACE_S
    return SoakOptions(
        seed,
        machine_count,
        fault_duration_s,
        planned,
        grace_s,
        limits=True,
        harsh=True,
        restores=not planned,
        phases=True,
        departures=not planned,
    )
