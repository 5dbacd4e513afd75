"""PlainHistogram exports the same text as the Histogram of prometheus_client."""

import unittest

from hypothesis import given, strategies as st
from prometheus_client import CollectorRegistry, Histogram, generate_latest

from damaskbay.adapters.telemetry.histogram import PlainHistogram
from tests.common import function_suite

BOUNDS = (0.001, 0.01, 0.1, 1.0)
LABELS = ("workspace", "priority")

values = st.one_of(st.sampled_from(BOUNDS), st.floats(0.0, 5.0))


def _lines(text: bytes) -> list[str]:
    """Return the samples, without the creation times that prometheus_client adds."""
    return [
        line
        for line in text.decode().split("\n")
        if not line.startswith("#") and "_created" not in line
    ]


@given(st.lists(st.tuples(st.sampled_from(["a", '"b\\n\n']), values), max_size=20))
def test_the_same_text_as_the_librarys_own(observed: list[tuple[str, float]]) -> None:
    """Buckets, counts and sums are equal, also for values equal to a bound."""
    registry = CollectorRegistry()
    plain = PlainHistogram("wait_seconds", LABELS, BOUNDS)
    reference = Histogram(
        "wait_seconds", "w", LABELS, registry=registry, buckets=BOUNDS
    )
    for workspace, value in observed:
        plain.series(workspace, "1").observe(value)
        reference.labels(workspace, "1").observe(value)
    text = b"".join(plain.text_parts())
    assert sorted(_lines(text)) == sorted(_lines(generate_latest(registry)))


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
