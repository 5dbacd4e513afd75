"""Prometheus counters and gauges that one thread updates without locks."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from damaskbay.adapters.telemetry.histogram import label_text


@dataclass(slots=True)
class CounterSeries:
    """Counter of one combination of label values."""

    value: float = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount, which must not be negative."""
        self.value += amount


class PlainCounter:
    """
    Counter with one series for each combination of label values.

    The import of prometheus_client brings HTTP servers and clients, which take a good
    part of the processor time of a start. Not thread-safe.
    """

    def __init__(self, name: str, text: str, labels: Sequence[str]) -> None:
        self._name = f"{name}_total"
        self._text = text
        self._labels = labels
        self._series: dict[tuple[str, ...], CounterSeries] = {}

    def series(self, *labels: str) -> CounterSeries:
        """Return the series of the given label values; create it on first use."""
        found = self._series.get(labels)
        if found is None:
            found = self._series[labels] = CounterSeries()
        return found

    def lines(self) -> Iterator[str]:
        """Yield the lines of the Prometheus text."""
        yield from _head(self._name, self._text, "counter")
        for labels, series in self._series.items():
            text = label_text(self._labels, labels)
            yield f"{self._name}{{{text}}} {series.value}\n"


@dataclass(frozen=True, slots=True)
class PlainGauge:
    """Gauge without labels that is read when metrics are scraped."""

    name: str
    text: str
    read: Callable[[], float]

    def lines(self) -> Iterator[str]:
        """Yield the lines of the Prometheus text."""
        yield from _head(self.name, self.text, "gauge")
        yield f"{self.name} {float(self.read())}\n"


def _head(name: str, text: str, kind: str) -> Iterator[str]:
    """Yield the lines that describe a metric."""
    escaped = text.replace("\\", r"\\").replace("\n", r"\n")
    yield f"# HELP {name} {escaped}\n"
    yield f"# TYPE {name} {kind}\n"
