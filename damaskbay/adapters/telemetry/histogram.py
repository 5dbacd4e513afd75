"""A Prometheus histogram that one thread updates without locks."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from prometheus_client import CollectorRegistry
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

INFINITE_BOUND = "+Inf"
"""Upper bound of the last bucket in the Prometheus text format."""


@dataclass(slots=True)
class Series:
    """Count of values per bucket, the last without upper bound, and their sum."""

    bounds: Sequence[float]
    counts: list[int] = field(init=False)
    total: float = 0.0

    def __post_init__(self) -> None:
        self.counts = [0] * (len(self.bounds) + 1)

    def observe(self, value: float) -> None:
        """Add a value to the first bucket whose upper bound it doesn't exceed."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value


class PlainHistogram(Collector):
    """
    Histogram with one series for each combination of label values.

    Cheaper than the Histogram of prometheus_client, which for each value takes a lock,
    runs checks and searches the buckets in Python. Not thread-safe.
    """

    def __init__(
        self,
        name: str,
        labels: Sequence[str],
        bounds: Sequence[float],
        registry: CollectorRegistry,
    ) -> None:
        self._name = name
        self._labels = labels
        self._bounds = bounds
        self._series: dict[tuple[str, ...], Series] = {}
        registry.register(self)

    def series(self, *labels: str) -> Series:
        """Return the series of the given label values; create it on first use."""
        found = self._series.get(labels)
        if found is None:
            found = self._series[labels] = Series(self._bounds)
        return found

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yield all series; called by prometheus_client on each scrape."""
        family = HistogramMetricFamily(self._name, self._name, labels=self._labels)
        bound_labels = [*(str(bound) for bound in self._bounds), INFINITE_BOUND]
        for labels, series in self._series.items():
            cumulative_counts = accumulate(series.counts)
            family.add_metric(
                labels,
                list(zip(bound_labels, cumulative_counts, strict=True)),
                series.total,
            )
        yield family
