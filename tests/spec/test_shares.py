"""Check the models, and that the checker finds each omitted rule."""

import unittest
from typing import Any

from minicheck import check_liveness, check_safety

from spec import tokens
from spec.shares import Broken, Model
from spec.state import UNLIMITED, World
from tests.common import function_suite

MAX_STATES = 60_000

LATE_REPLIES = Model(faults=1, writes=4, crashes=0)
CRASHES = Model(faults=0, writes=4, crashes=1)
VERSIONS = Model(faults=1, writes=3, crashes=0, versions=(1, 2))
RECLAIMING = Model(faults=0, writes=UNLIMITED, crashes=1, units=(1,))

FEW_WRITES = {"faults": 1, "writes": 3, "crashes": 0}
MORE_WRITES = {"faults": 1, "writes": 4, "crashes": 0}
NO_FAULTS = {"faults": 0, "writes": 5, "crashes": 0}
BOUNDS_BY_RULE: dict[Broken, dict[str, Any]] = {
    Broken.RECLAIM_AT_ONCE: NO_FAULTS,
    Broken.VALID_FROM_ANSWER: FEW_WRITES,
    Broken.SPEND_WHEN_LAPSED: NO_FAULTS,
    Broken.COUNT_ON_LARGEST: MORE_WRITES,
    Broken.LOWER_WHEN_CONFIRMED: MORE_WRITES,
    Broken.FORGET_OPEN: MORE_WRITES,
    Broken.FULL_BURST: NO_FAULTS,
    Broken.MARK_STANDS: NO_FAULTS,
    Broken.FIRST_TOKENS_AGAIN: NO_FAULTS,
    Broken.ANY_VERSION: {**NO_FAULTS, "versions": (1, 2)},
}


def _assert_holds(model: Model | tokens.Model) -> None:
    result = check_safety(model.protocol(), max_states=MAX_STATES)
    print(f"\nspec: {result['reachable_states']} states of {model.protocol().name}")
    held = {name: item["holds"] for name, item in result["properties"].items()}
    assert all(value is True for value in held.values()), held


def _finds_violation(model: Model | tokens.Model) -> bool:
    """Return whether the checker finds a violation; stop at the first one."""
    protocol = model.protocol()
    transitions = protocol.transitions
    broken = False

    def stop_at_violation(state: tuple[Any, ...]) -> list[Any]:
        nonlocal broken
        fields = protocol.d(state)
        holds = all(holds(fields) for holds in protocol.invariants.values())
        broken = broken or not holds
        return [] if broken else transitions(state)

    protocol.transitions = stop_at_violation
    result = check_safety(protocol, max_states=MAX_STATES)
    print(f"\nspec: {result['reachable_states']} states of {protocol.name}")
    return any(item["holds"] is False for item in result["properties"].values())


def test_shares_hold_with_lost_and_late_answers() -> None:
    """Check the invariants while writes and replies are lost or delayed."""
    _assert_holds(LATE_REPLIES)


def test_shares_hold_with_crashes() -> None:
    """Check the invariants while a holder restarts without state."""
    _assert_holds(CRASHES)


def test_shares_hold_with_versions() -> None:
    """Check the invariants while holders have different configuration sets."""
    _assert_holds(VERSIONS)


def test_tokens_hold() -> None:
    """Granted tokens stay within the burst if messages are lost or duplicated."""
    _assert_holds(tokens.Model(asks=1))
    _assert_holds(tokens.Model(doubles=0))


def test_shares_are_handed_out_again() -> None:
    """From every state one holder can get the full bucket again."""
    result = check_liveness(RECLAIMING.protocol())
    print(f"\nspec: {result['reachable_states']} states, shares are handed out again")
    assert result["holds"] is True


def test_never_reclaiming_is_found() -> None:
    """Without reclaiming, the share of a crashed holder is lost forever."""
    model = Model(
        Broken.NEVER_RECLAIM, faults=0, writes=UNLIMITED, crashes=1, units=(1,)
    )
    assert check_liveness(model.protocol())["holds"] is False


def test_each_rule_of_shares_is_needed() -> None:
    """Each omitted rule leads to a violation."""
    assert set(BOUNDS_BY_RULE) | {Broken.NOTHING, Broken.NEVER_RECLAIM} == set(Broken)
    for broken, bounds in BOUNDS_BY_RULE.items():
        assert _finds_violation(Model(broken, **bounds)), broken


def test_each_rule_of_tokens_is_needed() -> None:
    """Each omitted rule leads to a violation."""
    for broken in tokens.Broken:
        complete = broken is tokens.Broken.NOTHING
        assert complete or _finds_violation(tokens.Model(broken)), broken


def test_a_late_write_is_part_of_the_model() -> None:
    """The model contains writes that are applied after their sender reads again."""
    world = World(*LATE_REPLIES.protocol().initial)
    labels = {label for label, _ in LATE_REPLIES.steps(world)}
    assert "0: write 1, on its way" in labels


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
