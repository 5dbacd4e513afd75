"""Tests of core.rates.bucket."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskbay.core.rates.bucket import HolderBucket, Share
from tests.common import function_suite

SHARE = Share(rate_millis=10_000, burst_millis=5_000)

steps = st.lists(
    st.tuples(
        st.sampled_from(["grant", "close", "wait"]),
        st.integers(0, 7),
        st.integers(0, 7),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=200)
@given(steps)
def test_never_more_than_rate_and_burst(items: list[tuple[str, int, int]]) -> None:
    """Granted minus returned tokens stay within rate and burst under any closes."""
    bucket = HolderBucket(SHARE, level=5, now=0.0)
    now = 0.0
    net = 0
    for number, (kind, first, second) in enumerate(items):
        if kind == "grant":
            net += bucket.grant(f"g{number}", first, now + 1.0, now)
        elif kind == "close":
            before = bucket.level(now)
            bucket.close(f"g{number - 1}", second, now)
            net -= round(bucket.level(now) - before)
        else:
            now += first / 10
        assert bucket.level(now) + bucket.outstanding <= 5 + 1e-9
        assert net <= 5 + 10 * now + 1e-9


def test_grant_counts_until_it_lapses() -> None:
    """Granted tokens count against the burst until their grant is closed or lapses."""
    bucket = HolderBucket(SHARE, level=5, now=0.0)
    assert bucket.grant("a", 5, lapses_at=2.0, now=0.0) == 5
    assert bucket.level(1.9) == 0
    assert bucket.level(2.0) == 0
    assert bucket.level(2.1) > 0.9


def test_close_twice_counts_once() -> None:
    """A repeated close returns no tokens."""
    bucket = HolderBucket(Share(0, 5_000), level=5, now=0.0)
    bucket.grant("a", 3, lapses_at=2.0, now=0.0)
    bucket.close("a", 3, 0.1)
    bucket.close("a", 3, 0.1)
    assert bucket.level(0.1) == 5


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
