"""Tests of config.parsing, config.check and config.check_routes."""

import json
import random
import unittest
from typing import Any
from unittest import mock

from hypothesis import given, settings, strategies as st

from damaskbay.config.check import check, read_checked
from damaskbay.config.document import Document, parse_document
from damaskbay.config.exceptions import Problem
from tests.common import function_suite
from tests.config.common import SAMPLE, digest, document, large_plain, sample

Location = tuple[str, str, str]


def _route(**changes: Any) -> dict[str, Any]:
    return {**SAMPLE["routes"]["record"], **changes}


def _locations(plain: dict[str, Any]) -> list[Location]:
    result = read_checked(plain)
    assert isinstance(result, tuple), "no fault found"
    assert all(problem.what and problem.mend for problem in result)
    return [(item.object_kind, item.name, item.field) for item in result]


FAULTS: tuple[tuple[dict[str, Any], Location], ...] = (
    ({"workspaces__north__rate_per_s": 0}, ("workspaces", "north", "rate_per_s")),
    ({"workspaces__north__rate_per_s": "9"}, ("workspaces", "north", "rate_per_s")),
    ({"workspaces__north__brust": 5}, ("workspaces", "north", "brust")),
    ({"keys__north-1__workspace": "nort"}, ("keys", "north-1", "workspace")),
    ({"keys__south-1__digest": digest("one")}, ("keys", "south-1", "digest")),
    ({"priorities__low__rank": 0}, ("priorities", "low", "rank")),
    ({"pools__desk__connections_per_server": 3},
     ("pools", "desk", "connections_per_server")),
    ({"routes__file__pool": "dsk"}, ("routes", "file", "pool")),
    ({"routes__file__priority": "top"}, ("routes", "file", "priority")),
    ({"routes__file__limits": ["filling"]}, ("routes", "file", "limits")),
    ({"routes__file__calls": ["recrd"]}, ("routes", "file", "calls")),
    ({"routes__file__deadline_s": 1}, ("routes", "file", "deadline_s")),
    ({"routes__home__calls": ["record"], "routes__home__deadline_s": 5},
     ("routes", "home", "calls")),
    ({"routes__home__limits": ["filing"]}, ("routes", "home", "limits")),
    ({"routes__file__calls": [], "routes__file__retries": 1},
     ("routes", "file", "retries")),
    ({"routes__record__calls": ["record"]}, ("routes", "record", "calls")),
    ({"routes__twin": _route(path_prefix="/record/", methods=["GET"])},
     ("routes", "twin", "path_prefix")),
    ({"routes__file__path_prefix": "/a/../b"}, ("routes", "file", "path_prefix")),
    ({"routes__file__host": "example.org."}, ("routes", "file", "host")),
    ({"routes__file__path_prefix": "/a/..;b"}, ("routes", "file", "path_prefix")),
    ({"routes__file__host": "Example.org"}, ("routes", "file", "host")),
    ({"routes__Bad Name": _route(path_prefix="/x")}, ("routes", "'Bad Name'", "name")),
    ({"limits__idle": {"rate_per_s": 30, "burst": 10, "scope": "workspace"},
      "routes__file__limits": ["filing", "idle"]}, ("routes", "file", "limits")),
)  # fmt: skip


def test_each_fault_is_found_alone() -> None:
    """A set with one fault gives exactly one problem, for the right field."""
    for changes, location in FAULTS:
        assert _locations(sample(**changes)) == [location], changes


def test_a_set_without_faults_has_none() -> None:
    """SAMPLE is valid, both in one step and as parse and check."""
    parsed = parse_document(json.dumps(SAMPLE).encode())
    assert isinstance(parsed, Document)
    assert check(parsed) == ()
    assert parsed.digest == document().digest


def test_fifty_faults_are_found_at_once() -> None:
    """Invalid objects and inconsistencies are all reported, each once."""
    plain = sample()
    for number in range(25):
        plain["keys"][f"k{number}"] = {"digest": digest(f"k{number}"), "workspace": "x"}
    for number in range(15):
        plain["routes"][f"r{number}"] = _route(path_prefix=f"/r{number}", pool="x")
    for number in range(10):
        plain["pools"][f"p{number}"] = {"slots_per_server": 0}
    locations = _locations(plain)
    pool_problems = [location for location in locations if location[0] == "pools"]
    assert len({location[:2] for location in locations}) == 50
    assert len(locations) == 25 + 15 + 20 and len(pool_problems) == 20


def test_a_broken_object_still_counts_as_named() -> None:
    """References to an invalid object are not reported as further problems."""
    assert _locations(sample(pools__desk__slots_per_server=0)) == [
        ("pools", "desk", "slots_per_server")
    ]


def test_duplicate_names_in_json() -> None:
    """JSON with a duplicate object name is rejected, not merged."""
    text = json.dumps(SAMPLE).replace('"south": {', '"north": {', 1)
    result = parse_document(text.encode())
    assert isinstance(result, tuple)
    assert "'north' stands twice" in result[0].what


def test_a_circle_and_a_chain_that_is_too_deep() -> None:
    """A cycle is reported with its routes; a chain of 10 is too long, 9 is not."""
    names = [f"c{number}" for number in range(10)]
    for count, faults in ((9, 0), (10, 1)):
        plain = sample()
        for number, name in enumerate(names[:count]):
            following = names[number + 1 : count][:1]
            plain["routes"][name] = _route(path_prefix=f"/{name}", calls=following)
        result = read_checked(plain)
        assert (len(result) if isinstance(result, tuple) else 0) == faults, result
    plain = sample(
        routes__a=_route(path_prefix="/a", calls=["b"]),
        routes__b=_route(path_prefix="/b", calls=["a"]),
    )
    result = read_checked(plain)
    assert isinstance(result, tuple)
    assert [problem.what for problem in result] == [
        "the calls go round in a circle: a -> b -> a"
    ]


def test_a_set_over_the_limits() -> None:
    """Too many bytes or objects give one problem of the document."""
    for limit in ("check.MAX_DOCUMENT_BYTES", "parsing.MAX_OBJECTS"):
        with mock.patch(f"damaskbay.config.{limit}", 5):
            result = read_checked(sample())
            assert isinstance(result, tuple) and len(result) == 1
            assert "the limit is 5" in result[0].what
    parsed = parse_document(sample())
    assert isinstance(parsed, Document)
    with mock.patch("damaskbay.config.check.MAX_DOCUMENT_BYTES", 5):
        assert len(check(parsed)) == 1


def test_the_order_of_objects_does_not_change_the_digest() -> None:
    """Documents with the same objects in another order have the same digest."""
    plain = sample()
    reversed_kinds = {kind: plain[kind] for kind in reversed(plain)}
    reversed_kinds["keys"] = dict(reversed(list(plain["keys"].items())))
    result = read_checked(reversed_kinds)
    assert isinstance(result, Document) and result.digest == document().digest


def test_chains_of_a_large_set() -> None:
    """Random calls among 2000 routes do not exceed the recursion limit."""
    plain = large_plain(pools=10, routes=2000, keys=0)
    rng = random.Random(7)
    for route in plain["routes"].values():
        route["calls"] = [f"r{rng.randrange(2000)}"]
    result = read_checked(plain)
    assert isinstance(result, tuple) and result


_SCALARS = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=5)
)
_NESTED = st.recursive(
    _SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=10,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.binary(max_size=80))
def test_any_bytes_give_a_value(data: bytes) -> None:
    """Arbitrary bytes give a document or problems, never an exception."""
    assert isinstance(read_checked(data), Document | tuple)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from(["workspaces", "keys", "priorities", "limits", "pools", "routes"]),
    st.data(),
)
def test_any_value_in_any_place_gives_a_value(kind: str, data: st.DataObject) -> None:
    """A set with one random value is accepted or its problems are returned."""
    plain = sample()
    name = data.draw(st.sampled_from(sorted(plain[kind])))
    field = data.draw(st.sampled_from([*sorted(plain[kind][name]), "", "other"]))
    value = data.draw(_NESTED)
    if field:
        plain[kind][name][field] = value
    else:
        plain[kind][name] = value
    result = read_checked(plain)
    if isinstance(result, Document):
        again = parse_document(json.dumps(plain).encode())
        assert isinstance(again, Document) and again.digest == result.digest
    else:
        assert all(isinstance(problem, Problem) for problem in result)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
