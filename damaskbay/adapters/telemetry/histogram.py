"""A histogram whose series are counted by one thread and only read by the library."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from prometheus_client import CollectorRegistry
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

NO_BOUND = "+Inf"
"""How the text format names the last bucket."""


@dataclass(slots=True)
class Series:
    """How many values fell into each bucket; the last one has no upper bound."""

    bounds: Sequence[float]
    counts: list[int] = field(init=False)
    total: float = 0.0

    def __post_init__(self) -> None:
        self.counts = [0] * (len(self.bounds) + 1)

    def observe(self, value: float) -> None:
        """Count a value into the first bucket whose bound it doesn't exceed."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value


class PlainHistogram(Collector):
    """
    The series of one histogram by the values of its labels.

    The library's own one locks, checks and searches its buckets in Python for each
    value. For one thread.
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
        """Return the series of some label values, made on first use."""
        found = self._series.get(labels)
        if found is None:
            found = self._series[labels] = Series(self._bounds)
        return found

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yield all series, as the library asks when metrics are scraped."""
        family = HistogramMetricFamily(self._name, self._name, labels=self._labels)
        names = [*(str(bound) for bound in self._bounds), NO_BOUND]
        for labels, series in self._series.items():
            below = accumulate(series.counts)
            family.add_metric(
                labels, list(zip(names, below, strict=True)), series.total
            )
        yield family
