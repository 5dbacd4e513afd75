"""The models hold, and each rule that is left out is found by the checker."""

import unittest
from typing import Any

from minicheck import check_liveness, check_safety

from spec import tokens
from spec.shares import Broken, Model
from spec.state import UNLIMITED, World
from tests.common import function_suite

MAX_STATES = 60_000

LATE_ANSWERS = Model(faults=1, writes=4, crashes=0)
CRASHES = Model(faults=0, writes=4, crashes=1)
VERSIONS = Model(faults=1, writes=3, crashes=0, versions=(1, 2))
HANDED_OUT_AGAIN = Model(faults=0, writes=UNLIMITED, crashes=1, units=(1,))

FEW_WRITES = {"faults": 1, "writes": 3, "crashes": 0}
MORE_WRITES = {"faults": 1, "writes": 4, "crashes": 0}
NO_FAULTS = {"faults": 0, "writes": 5, "crashes": 0}
FOUND_IN: dict[Broken, dict[str, Any]] = {
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


def _breaks(model: Model | tokens.Model) -> bool:
    """Tell whether the checker finds a violation, and look no further then."""
    protocol = model.protocol()
    transitions = protocol.transitions
    broken = False

    def until_broken(state: tuple[Any, ...]) -> list[Any]:
        nonlocal broken
        named = protocol.d(state)
        holds = all(holds(named) for holds in protocol.invariants.values())
        broken = broken or not holds
        return [] if broken else transitions(state)

    protocol.transitions = until_broken
    result = check_safety(protocol, max_states=MAX_STATES)
    print(f"\nspec: {result['reachable_states']} states of {protocol.name}")
    return any(item["holds"] is False for item in result["properties"].values())


def test_shares_hold_with_lost_and_late_answers() -> None:
    """No window, share or version breaks when writes and answers go astray."""
    _assert_holds(LATE_ANSWERS)


def test_shares_hold_with_crashes() -> None:
    """The same when a holder restarts with nothing."""
    _assert_holds(CRASHES)


def test_shares_hold_with_versions() -> None:
    """The same when holders know different sets."""
    _assert_holds(VERSIONS)


def test_tokens_hold() -> None:
    """Granted tokens stay within the burst whatever becomes of messages."""
    _assert_holds(tokens.Model(asks=1))
    _assert_holds(tokens.Model(doubles=0))


def test_shares_are_handed_out_again() -> None:
    """From every state one holder can get the whole bucket again."""
    result = check_liveness(HANDED_OUT_AGAIN.protocol())
    print(f"\nspec: {result['reachable_states']} states, shares are handed out again")
    assert result["holds"] is True


def test_never_reclaiming_is_found() -> None:
    """Without reclaiming a crashed holder's share is lost for good."""
    model = Model(
        Broken.NEVER_RECLAIM, faults=0, writes=UNLIMITED, crashes=1, units=(1,)
    )
    assert check_liveness(model.protocol())["holds"] is False


def test_each_rule_of_shares_is_needed() -> None:
    """Each rule that is left out breaks some property."""
    assert set(FOUND_IN) | {Broken.NOTHING, Broken.NEVER_RECLAIM} == set(Broken)
    for broken, bounds in FOUND_IN.items():
        assert _breaks(Model(broken, **bounds)), broken


def test_each_rule_of_tokens_is_needed() -> None:
    """Each rule that is left out breaks some property."""
    for broken in tokens.Broken:
        whole = broken is tokens.Broken.NOTHING
        assert whole or _breaks(tokens.Model(broken)), broken


def test_a_late_write_is_part_of_the_model() -> None:
    """The model reaches a write that lands after its sender read the ledger."""
    world = World(*LATE_ANSWERS.protocol().initial)
    labels = {label for label, _ in LATE_ANSWERS.steps(world)}
    assert "0: write 1, on its way" in labels


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
