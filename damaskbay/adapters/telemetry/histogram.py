"""A Prometheus histogram that one thread updates without locks."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

INFINITE_BOUND = "+Inf"
"""Upper bound of the last bucket in the Prometheus text format."""

SERIES_PER_PART = 50
"""Series whose text is written at once."""


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


class PlainHistogram:
    """
    Histogram with one series for each combination of label values.

    Cheaper than the Histogram of prometheus_client, which for each value takes a lock,
    runs checks and searches the buckets in Python, and writes each line of the text by
    way of several objects. Not thread-safe.
    """

    def __init__(
        self, name: str, labels: Sequence[str], bounds: Sequence[float]
    ) -> None:
        self._name = name
        self._labels = labels
        self._bounds = bounds
        self._series: dict[tuple[str, ...], Series] = {}
        bound_labels = [*(str(bound) for bound in bounds), INFINITE_BOUND]
        self._heads = [f'{name}_bucket{{le="{bound}",' for bound in bound_labels]

    def series(self, *labels: str) -> Series:
        """Return the series of the given label values; create it on first use."""
        found = self._series.get(labels)
        if found is None:
            found = self._series[labels] = Series(self._bounds)
        return found

    def text_parts(self) -> Iterator[bytes]:
        """Yield the Prometheus text in parts; series may be added between them."""
        name = self._name
        yield f"# HELP {name} {name}\n# TYPE {name} histogram\n".encode()
        all_series = tuple(self._series.items())
        for start in range(0, len(all_series), SERIES_PER_PART):
            lines: list[str] = []
            for labels, series in all_series[start : start + SERIES_PER_PART]:
                self._append_lines(labels, series, lines)
            yield "".join(lines).encode()

    def _append_lines(
        self, labels: tuple[str, ...], series: Series, lines: list[str]
    ) -> None:
        tail = label_text(self._labels, labels)
        count = 0
        for head, in_bucket in zip(self._heads, series.counts, strict=True):
            count += in_bucket
            lines.append(f"{head}{tail}}} {count}.0\n")
        lines.append(f"{self._name}_count{{{tail}}} {count}.0\n")
        lines.append(f"{self._name}_sum{{{tail}}} {series.total}\n")


def label_text(names: Sequence[str], values: Sequence[str]) -> str:
    """Return labels as they appear between the braces of the text format."""
    pairs = sorted(zip(names, values, strict=True))
    return ",".join(f'{name}="{_escape(value)}"' for name, value in pairs)


def _escape(value: str) -> str:
    """Return a label value as it appears between the quotes of the text format."""
    return value.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")
