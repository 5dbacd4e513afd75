"""Time from an accepted configuration set until all daemons have it active."""

import statistics
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from bench.common import finish, parser
from bench.control_fleet import POOLS, ControlFleet
from bench.sets import sample_set
from damaskbay.config.check import read_checked
from damaskbay.config.const import CALL_TIMEOUT_S, HEAD_KEY, PUBLISH_TIMEOUT_S
from damaskbay.config.document import Document
from damaskbay.config.publishing import (
    Publication,
    Published,
    Publisher,
    new_publish_id,
)
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.platform import Entry

DAEMONS = 40
QUICK_DAEMONS = 9
PUBLICATIONS = 20
QUICK_PUBLICATIONS = 4
GAP_S = 0.7
SLOW_S = 1.0
SETTLE_S = 3.0
RECOVERY_S = 12.0


class Operator:
    """Publishes configuration sets and records when each was accepted."""

    def __init__(self, fleet: ControlFleet) -> None:
        self._fleet = fleet
        self._platform = fleet.platform.client("operator")
        self._publisher = Publisher(self._platform)
        self._version = 0
        self._accepted_at_by_version: dict[int, float] = {}

    def publish(self) -> int:
        """
        Publish the next set and return its version.

        The set is accepted when its head is written to the platform, which may
        be before the operator gets the reply.
        """
        before = self._platform.get(HEAD_KEY, timeout_s=CALL_TIMEOUT_S)
        revision = before.revision if isinstance(before, Entry) else 0
        with ThreadPoolExecutor(1) as executor:
            accepted = executor.submit(self._accepted_at, revision)
            self._publish()
        self._accepted_at_by_version[self._version] = accepted.result()
        return self._version

    def _publish(self) -> None:
        document = read_checked(_document_of(self._version + 1))
        assert isinstance(document, Document)
        publication = Publication(document, "bench", self._version, new_publish_id())
        result = self._publisher.publish(publication)
        if not isinstance(result, Published):
            raise RuntimeError(f"not published: {result}")
        self._version = result.record.version

    def _accepted_at(self, revision: int) -> float:
        self._platform.watch(
            HEAD_KEY, after_revision=revision, timeout_s=PUBLISH_TIMEOUT_S
        )
        return monotonic_s()

    def in_force_s(self, version: int) -> float:
        """Wait until all daemons have a version active; return the seconds it took."""
        figures = self._fleet.wait_until(
            lambda items: all(_active_at(item, version) for item in items)
        )
        times = [_active_at(item, version) or 0.0 for item in figures]
        return max(times) - self._accepted_at_by_version[version]


def main(arguments: Sequence[str]) -> int:
    """Measure a healthy fleet, one with a slow platform, and one that loses relays."""
    options = parser("Time until a set is in force").parse_args(arguments)
    daemons = QUICK_DAEMONS if options.quick else DAEMONS
    count = QUICK_PUBLICATIONS if options.quick else PUBLICATIONS
    with ControlFleet(daemons, options.seed) as fleet:
        operator = Operator(fleet)
        first_s = operator.in_force_s(operator.publish())
        time.sleep(SETTLE_S)
        normal, calls = _with_platform_requests(
            fleet, lambda: _publish_series(operator, count)
        )
        fleet.platform.inject(delay_s=SLOW_S)
        slow = _publish_series(operator, max(2, count // 4))
        fleet.platform.inject(delay_s=0.0)
        killed = [_with_relays_killed(fleet, operator, 1) for _ in range(2)]
        both_killed_s = _with_relays_killed(fleet, operator, 2)
        reverted = sum(item["reverted"] for item in fleet.figures())
    return finish(
        "config",
        {
            "daemons": daemons,
            "failure_domains": 3,
            "publications": count,
            "first_in_force_s": round(first_s, 3),
            "in_force_median_s": round(statistics.median(normal), 3),
            "in_force_max_s": round(max(normal), 3),
            "in_force_max_s_relay_killed": round(max(killed), 3),
            "in_force_max_s_both_relays_of_a_domain_killed": round(both_killed_s, 3),
            "in_force_max_s_platform_slow": round(max(slow), 3),
            "platform_slow_s": SLOW_S,
            "platform_reads_per_s": round(calls["reads"], 2),
            "platform_writes_per_s": round(calls["writes"], 2),
            "reverted": reverted,
        },
        options,
    )


def _document_of(version: int) -> dict[str, Any]:
    """Return the document of a version; one rate differs in each version."""
    content = sample_set(
        [f"p{number}" for number in range(POOLS)],
        secrets_by_workspace={f"w{number}": f"s{number}" for number in range(8)},
    )
    content["workspaces"]["w0"]["rate_per_s"] = 1_000.0 + version
    return content


def _publish_series(operator: Operator, count: int) -> list[float]:
    times_s = []
    for _ in range(count):
        times_s.append(operator.in_force_s(operator.publish()))
        time.sleep(GAP_S)
    return times_s


def _with_platform_requests(
    fleet: ControlFleet, run: Any
) -> tuple[list[float], dict[str, float]]:
    """Call `run`; return its result and the platform requests per second."""
    counters = fleet.platform.counters
    reads, writes, began = counters.reads, counters.writes, monotonic_s()
    result = run()
    seconds = monotonic_s() - began
    calls = {
        "reads": (counters.reads - reads) / seconds,
        "writes": (counters.writes - writes) / seconds,
    }
    return result, calls


def _with_relays_killed(fleet: ControlFleet, operator: Operator, count: int) -> float:
    """Kill relays of one failure domain and publish; return the seconds it took."""
    relays = [daemon for daemon in fleet.daemons if daemon.figures()["relay"]]
    domain = relays[0].failure_domain
    killed_relays = [daemon for daemon in relays if daemon.failure_domain == domain][
        :count
    ]
    for daemon in killed_relays:
        fleet.kill(daemon)
    times_s = operator.in_force_s(operator.publish())
    time.sleep(RECOVERY_S)
    return times_s


def _active_at(figures: dict[str, Any], version: int) -> float | None:
    """Return when a daemon activated this version or a newer one; None if not yet."""
    by_version: dict[str, float] = figures["at_by_version"]
    times = (at for number, at in by_version.items() if int(number) >= version)
    return min(times, default=None)
