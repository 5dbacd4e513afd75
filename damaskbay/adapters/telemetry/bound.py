"""Metrics with labels resolved in advance, for a daemon that runs on one event loop."""

from collections.abc import Callable, Iterator

from damaskbay.adapters.telemetry.const import (
    ATTR_OUTCOME,
    ATTR_POOL,
    ATTR_PRIORITY,
    ATTR_REASON,
    ATTR_WORKSPACE,
    LABEL_OTHER,
    LATENCY_BUCKETS_S,
    MAX_POOL_LABELS,
    MAX_WORKSPACE_LABELS,
)
from damaskbay.adapters.telemetry.histogram import PlainHistogram
from damaskbay.adapters.telemetry.plain import (
    CounterSeries,
    PlainCounter,
    PlainGauge,
)
from damaskbay.core.call import CallContext, CallResult, Response
from damaskbay.core.outcome import Outcome, Reason, Refusal

OUTCOME_ANSWER = "answer"


class _Series:
    """Histograms and counters of one workspace and priority."""

    def __init__(self, telemetry: "BoundTelemetry", labels: tuple[str, str]) -> None:
        self.latency = telemetry.latency.series(*labels)
        self.queue_wait = telemetry.queue_wait.series(*labels)
        self.added = telemetry.added.series(*labels)
        self.counters_by_outcome: dict[str, CounterSeries] = {}


class BoundTelemetry:
    """
    Metrics of one daemon in the Prometheus text format, recorded without a library.

    OpenTelemetry resolves the labels on each record, which took a seventh of the
    processor time of a call; here they are resolved once. Label values are limited in
    number and come only from the active configuration set. Not thread-safe.
    """

    def __init__(self) -> None:
        self._gauges: list[PlainGauge] = []
        self._histograms: list[PlainHistogram] = []
        label_names = (ATTR_WORKSPACE, ATTR_PRIORITY)
        self.latency = self._histogram("call_duration_seconds", label_names)
        self.queue_wait = self._histogram("queue_wait_seconds", label_names)
        self.added = self._histogram("added_time_seconds", label_names)
        self._calls = PlainCounter(
            "calls",
            "Calls that ended here",
            (*label_names, ATTR_OUTCOME, ATTR_REASON),
        )
        self._retries = PlainCounter("retries", "Sends after the first", label_names)
        self._tree_refusals = PlainCounter(
            "tree_refusals",
            "Root calls refused by a pool of their tree",
            (ATTR_POOL,),
        )
        self._series: dict[tuple[str, int], _Series] = {}
        self._refusal_counters: dict[tuple[str, Outcome, Reason], CounterSeries] = {}
        self._workspaces: set[str] = set()
        self._pools: set[str] = set()

    def record_refusal(self, workspace: str, refusal: Refusal) -> None:
        """Count a call that was refused before it was sent to any backend server."""
        label = self._workspace_label(workspace)
        key = (label, refusal.outcome, refusal.reason)
        counter = self._refusal_counters.get(key)
        if counter is None:
            outcome, reason = refusal.outcome.value, refusal.reason.value
            counter = self._calls.series(label, "", outcome, reason)
            self._refusal_counters[key] = counter
        counter.inc()

    def record_tree_refusal(self, pool: str) -> None:
        """Count a root call that was not begun, by the pool that has no room for it."""
        if pool not in self._pools:
            if len(self._pools) >= MAX_POOL_LABELS:
                pool = LABEL_OTHER
            self._pools.add(pool)
        self._tree_refusals.series(pool).inc()

    def call_ended(
        self, context: CallContext, result: CallResult, *, took_s: float
    ) -> None:
        """Record the outcome of a call and its duration at its ingress, in seconds."""
        series = self._series_for(context)
        self._call_counter(context, series, result.result).inc()
        series.latency.observe(took_s)
        if result.backend_s is not None:
            series.added.observe(max(0.0, took_s - result.backend_s))
        if result.attempts > 1:
            self._retries.series(*self._labels(context)).inc(result.attempts - 1)

    def record_queue_wait(self, context: CallContext, waited_s: float) -> None:
        """Record the time that a call waited for admission, in seconds."""
        self._series_for(context).queue_wait.observe(waited_s)

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read when metrics are scraped."""
        self._gauges.append(PlainGauge(name, text, read))

    def scrape(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return b"".join(self.scrape_parts())

    def scrape_parts(self) -> Iterator[bytes]:
        """Yield the text of all metrics in parts that each take a short time."""
        for histogram in self._histograms:
            yield from histogram.text_parts()
        counters = (self._calls, self._retries, self._tree_refusals)
        metrics: tuple[PlainCounter | PlainGauge, ...] = (*counters, *self._gauges)
        for metric in metrics:
            yield "".join(metric.lines()).encode()

    def _call_counter(
        self, context: CallContext, series: _Series, outcome: Response | Refusal
    ) -> CounterSeries:
        """Return the cached counter of an outcome and its reason."""
        outcome_label, key = OUTCOME_ANSWER, ""
        if isinstance(outcome, Refusal):
            outcome_label = outcome.outcome.value
            key = f"{outcome_label} {outcome.reason.value}"
        counter = series.counters_by_outcome.get(key)
        if counter is None:
            reason = outcome.reason.value if isinstance(outcome, Refusal) else ""
            counter = self._calls.series(*self._labels(context), outcome_label, reason)
            series.counters_by_outcome[key] = counter
        return counter

    def _histogram(self, name: str, labels: tuple[str, ...]) -> PlainHistogram:
        histogram = PlainHistogram(name, labels, LATENCY_BUCKETS_S)
        self._histograms.append(histogram)
        return histogram

    def _series_for(self, context: CallContext) -> _Series:
        key = (context.workspace, context.priority_rank)
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = _Series(self, self._labels(context))
        return series

    def _labels(self, context: CallContext) -> tuple[str, str]:
        return self._workspace_label(context.workspace), str(context.priority_rank)

    def _workspace_label(self, workspace: str) -> str:
        """Return the label of a workspace; workspaces beyond the limit share one."""
        if workspace in self._workspaces:
            return workspace
        if len(self._workspaces) >= MAX_WORKSPACE_LABELS:
            return LABEL_OTHER
        self._workspaces.add(workspace)
        return workspace
