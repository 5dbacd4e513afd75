"""Histograms per workspace and priority, counters per outcome and reason."""

from collections.abc import Callable, Iterable
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from damaskbay.adapters.telemetry.const import (
    ATTR_OUTCOME,
    ATTR_PRIORITY,
    ATTR_REASON,
    ATTR_WORKSPACE,
    LABEL_OTHER,
    LATENCY_BUCKETS_S,
    MAX_WORKSPACE_LABELS,
    METER_NAME,
)
from damaskbay.core.call import CallContext, CallResult, Response

OUTCOME_ANSWER = "answer"


class Telemetry:
    """
    Metrics of one daemon. Thread-safe.

    Label values come only from the active configuration set and are limited in
    number: values that callers send never become labels.
    """

    def __init__(self, *, instance: str, failure_domain: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        view = View(
            instrument_unit="s",
            aggregation=ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_S),
        )
        resource = Resource.create(
            {
                "service.name": METER_NAME,
                "service.instance.id": instance,
                "failure_domain": failure_domain,
            }
        )
        self._provider = MeterProvider([reader], resource, views=[view])
        self._meter = self._provider.get_meter(METER_NAME)
        self._latency = self._meter.create_histogram("call_duration", unit="s")
        self._queue_wait = self._meter.create_histogram("queue_wait", unit="s")
        self._added = self._meter.create_histogram("added_time", unit="s")
        self._calls = self._meter.create_counter("calls")
        self._retries = self._meter.create_counter("retries")
        self._workspaces: set[str] = set()

    def call_ended(
        self, context: CallContext | None, result: CallResult, *, took_s: float
    ) -> None:
        """Record the outcome of a call and its duration at its ingress, in seconds."""
        labels = self._labels(context)
        self._latency.record(took_s, labels)
        outcome = result.result
        if isinstance(outcome, Response):
            outcome_labels = {ATTR_OUTCOME: OUTCOME_ANSWER, ATTR_REASON: ""}
            if result.backend_s is not None:
                self._added.record(max(0.0, took_s - result.backend_s), labels)
        else:
            outcome_labels = {
                ATTR_OUTCOME: outcome.outcome.value,
                ATTR_REASON: outcome.reason.value,
            }
        self._calls.add(1, {**labels, **outcome_labels})
        if result.attempts > 1:
            self._retries.add(result.attempts - 1, labels)

    def record_queue_wait(self, context: CallContext, waited_s: float) -> None:
        """Record the time that a call waited for admission, in seconds."""
        self._queue_wait.record(waited_s, self._labels(context))

    def gauge(self, name: str, read: Callable[[], float], unit: str = "1") -> None:
        """Register a gauge that is read when metrics are scraped."""

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(name, [observe], unit=unit)

    def scrape(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()

    def _labels(self, context: CallContext | None) -> dict[str, Any]:
        if context is None:
            return {ATTR_WORKSPACE: "", ATTR_PRIORITY: ""}
        workspace = context.workspace
        if workspace not in self._workspaces:
            if len(self._workspaces) >= MAX_WORKSPACE_LABELS:
                workspace = LABEL_OTHER
            else:
                self._workspaces.add(workspace)
        return {
            ATTR_WORKSPACE: workspace,
            ATTR_PRIORITY: str(context.priority_rank),
        }
