"""The light histogram gives the text that the library's own one gives."""

import unittest

from hypothesis import given, strategies as st
from prometheus_client import CollectorRegistry, Histogram, generate_latest

from damaskbay.adapters.telemetry.histogram import PlainHistogram
from tests.common import function_suite

BOUNDS = (0.001, 0.01, 0.1, 1.0)
LABELS = ("workspace", "priority")

values = st.one_of(st.sampled_from(BOUNDS), st.floats(0.0, 5.0))


def _lines(registry: CollectorRegistry) -> list[str]:
    """Return the samples; the library also tells when a series began."""
    text = generate_latest(registry).decode()
    return [
        line
        for line in text.splitlines()
        if not line.startswith("#") and "_created" not in line
    ]


@given(st.lists(st.tuples(st.sampled_from(["a", "b"]), values), max_size=20))
def test_the_same_text_as_the_librarys_own(seen: list[tuple[str, float]]) -> None:
    """Buckets, counts and sums agree, also for values on a bound."""
    ours, theirs = CollectorRegistry(), CollectorRegistry()
    light = PlainHistogram("wait_seconds", LABELS, BOUNDS, ours)
    plain = Histogram("wait_seconds", "w", LABELS, registry=theirs, buckets=BOUNDS)
    for workspace, value in seen:
        light.series(workspace, "1").observe(value)
        plain.labels(workspace, "1").observe(value)
    assert sorted(_lines(ours)) == sorted(_lines(theirs))


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
