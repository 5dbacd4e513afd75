"""PlainCounter and PlainGauge export the same text as those of prometheus_client."""

import unittest

from hypothesis import given, strategies as st
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.parser import text_string_to_metric_families

from damaskbay.adapters.telemetry.plain import PlainCounter, PlainGauge
from tests.common import function_suite

LABELS = ("workspace", "priority")
TEXT = 'a "text" \\ of\ntwo lines'

amounts = st.floats(0.0, 5e9)


def _families(text: bytes) -> list[object]:
    """Return names, types, texts and samples, without the creation times."""
    return [
        (
            family.name,
            family.type,
            family.documentation,
            sorted(map(str, family.samples)),
        )
        for family in text_string_to_metric_families(text.decode())
        if not family.name.endswith("_created")
    ]


@given(
    st.lists(st.tuples(st.sampled_from(["a", '"b\\n\n']), amounts), max_size=20),
    st.floats(allow_nan=False),
)
def test_the_same_text_as_the_librarys_own(
    added: list[tuple[str, float]], level: float
) -> None:
    """Kinds, texts, labels and values are equal."""
    registry = CollectorRegistry()
    plain = PlainCounter("calls", TEXT, LABELS)
    reference = Counter("calls", TEXT, LABELS, registry=registry)
    for workspace, amount in added:
        plain.series(workspace, "1").inc(amount)
        reference.labels(workspace, "1").inc(amount)
    Gauge("level", TEXT, registry=registry).set_function(lambda: level)
    gauge = PlainGauge("level", TEXT, lambda: level)
    text = "".join([*plain.lines(), *gauge.lines()]).encode()
    assert _families(text) == _families(generate_latest(registry))


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
