"""Tests of core.evacuation."""

import unittest
from random import Random

from hypothesis import given, settings, strategies as st

from damaskbay.core.evacuation import (
    ACTIVE_AFTER_END_S,
    DomainChange,
    EvacuatedDomains,
    EvacuationState,
)
from tests.common import function_suite

DOMAINS = ("east", "west")
histories = st.lists(
    st.tuples(st.sampled_from(DOMAINS), st.booleans()), min_size=1, max_size=8
)


def _states(history: list[tuple[str, bool]]) -> list[EvacuationState]:
    """Return the states of the store after each change, at revisions 1, 2 and so on."""
    known, states = EvacuatedDomains(), []
    for revision, (domain, evacuated) in enumerate(history, start=1):
        known.read_changes([DomainChange(domain, revision, evacuated)], 0.0)
        states.append(known.state)
    return states


# News of peers arrive in any order; the last one to arrive may be an old one.
@given(histories, st.randoms())
@settings(max_examples=60, deadline=None)
def test_the_order_of_arrival_does_not_matter(
    history: list[tuple[str, bool]], rng: Random
) -> None:
    """Daemons that have heard of the same states agree on the newest one."""
    states = _states(history)
    arrivals = [*states, *states]
    rng.shuffle(arrivals)
    known = EvacuatedDomains()
    for state in arrivals:
        known.replace(state, 0.0)
    assert known.state == states[-1]


def test_taking_the_last_arrival_would_revive_an_ended_evacuation() -> None:
    """The rule without revisions differs on the same arrivals."""
    arrivals = _states([("east", True), ("east", False)])[::-1]
    known = EvacuatedDomains()
    for state in arrivals:
        known.replace(state, 0.0)
    assert arrivals[-1].domains == {"east"}
    assert known.state.domains == frozenset()


def test_keys_that_are_written_together_are_taken_together() -> None:
    """They have the same revision, of which the first one left out the others."""
    known = EvacuatedDomains()
    changes = [DomainChange(domain, 5, True) for domain in DOMAINS]
    assert known.read_changes(changes, 0.0)
    assert known.state.domains == set(DOMAINS)
    assert not known.read_changes([DomainChange("east", 4, False)], 0.0)
    assert known.state.domains == set(DOMAINS)


def test_a_reading_of_the_store_outweighs_older_news() -> None:
    """A daemon that has read the store after the end isn't told otherwise by a peer."""
    known = EvacuatedDomains()
    assert not known.read_all((), 9, 0.0)
    assert not known.replace(EvacuationState(8, frozenset({"east"})), 0.0)
    assert known.state.domains == frozenset()


def test_nothing_is_sent_without_an_evacuation() -> None:
    """Only until a while after the last one."""
    known = EvacuatedDomains()
    known.read_all((), 9, 0.0)
    assert not known.is_active(0.0)
    known.read_all(("east",), 10, 1.0)
    assert known.is_active(1000.0)
    known.read_all((), 11, 1000.0)
    assert known.is_active(1001.0)
    assert not known.is_active(1000.0 + ACTIVE_AFTER_END_S)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
