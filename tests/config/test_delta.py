"""Tests of config.delta and config.document."""

import copy
import dataclasses
import json
import random
import unittest
from typing import Any

from damaskbay.config.canonical import to_plain
from damaskbay.config.check import check, read_checked
from damaskbay.config.check_changed import check_changed
from damaskbay.config.delta import apply_delta, changes_between, make_delta
from damaskbay.config.document import (
    EMPTY_DOCUMENT,
    Document,
    canonical_bytes,
    parse_document,
    to_json,
)
from damaskbay.config.exceptions import DeltaFailure, DeltaProblem
from damaskbay.config.models import CLASSES_BY_KIND, MODELS_BY_KIND
from damaskbay.config.objects import Kind
from tests.common import function_suite
from tests.config.common import SAMPLE, digest, document, large_plain, sample

MAX_ONE_KEY_DELTA_BYTES = 2000


def test_defaults_are_the_same_in_models_and_objects() -> None:
    """
    Models and data classes have the same defaults.

    The canonical form omits defaults of the data classes, documents those of the
    models; a difference would change values on a round trip.
    """
    for kind, model in MODELS_BY_KIND.items():
        for item in dataclasses.fields(CLASSES_BY_KIND[kind]):
            if item.name != "name" and item.default is not dataclasses.MISSING:
                assert model.model_fields[item.name].default == item.default


def test_a_delta_leads_to_the_same_set() -> None:
    """Deltas of single changes apply in both directions, also to the empty set."""
    one = document()
    for other in (
        document(keys__new={"digest": digest("new"), "workspace": "south"}),
        document(routes__file__deadline_s=7),
        document(priorities__mid={"rank": 3}, routes__home__priority="mid"),
        EMPTY_DOCUMENT,
    ):
        for old, new in ((one, other), (other, one)):
            result = apply_delta(old, make_delta(old, new))
            assert isinstance(result, Document)
            assert result == new


def test_the_change_of_one_key_is_small_and_keeps_the_rest() -> None:
    """In a set of 1 MB the delta is small and unchanged collections are shared."""
    plain = large_plain(pools=100, routes=1000, keys=8000)
    old = parse_document(json.dumps(plain).encode())
    plain["keys"]["k7"]["workspace"] = "w9"
    new = parse_document(json.dumps(plain).encode())
    assert isinstance(old, Document) and isinstance(new, Document)
    assert old.size_bytes > 900_000
    delta = make_delta(old, new)
    assert delta.size_bytes < MAX_ONE_KEY_DELTA_BYTES
    result = apply_delta(old, delta)
    assert isinstance(result, Document) and result.digest == new.digest
    assert result.routes_by_name is old.routes_by_name
    assert sum(a is not b for a, b in zip(old.parts, result.parts, strict=True)) == 1


def _problem(old: Document, new: Document, **changes: Any) -> DeltaProblem:
    delta = dataclasses.replace(make_delta(old, new), **changes)
    result = apply_delta(old, delta)
    assert isinstance(result, DeltaFailure)
    return result.problem


def test_what_is_not_applied() -> None:
    """A delta with another base or digest or an invalid object is rejected."""
    old, new = document(), document(routes__file__deadline_s=7)
    assert _problem(new, old, base_digest=old.digest) is DeltaProblem.OTHER_BASE
    assert _problem(old, new, digest=old.digest) is DeltaProblem.DIGEST_MISMATCH
    change = make_delta(old, new).changes[0]
    for invalid in (
        dataclasses.replace(change, kind="rooms"),
        dataclasses.replace(change, body="{"),
        dataclasses.replace(change, body="null"),
        dataclasses.replace(change, name="No Name"),
    ):
        assert _problem(old, new, changes=(invalid,)) is DeltaProblem.INVALID


def test_a_dangling_reference_is_not_applied() -> None:
    """A delta to an inconsistent set is rejected, though its digest matches."""
    old = document()
    for changes in (
        {"keys__south-1__workspace": "gone"},
        {"routes__file__pool": "gone"},
        {"keys__south-1__digest": digest("one")},
    ):
        new = parse_document(sample(**changes))
        assert isinstance(new, Document)
        assert _problem(old, new) is DeltaProblem.INVALID, changes


def test_checking_the_change_finds_what_checking_the_whole_finds() -> None:
    """Incremental and complete checks agree on random edits, many of them invalid."""
    rng = random.Random(3)
    plain = large_plain(pools=4, routes=20, keys=5, workspaces=3)
    plain["limits"] = {
        "tight": {"rate_per_s": 1, "burst": 1},
        "loose": {"rate_per_s": 1, "burst": 2},
    }
    for route in plain["routes"].values():
        route["deadline_s"] = 3
    plain["routes"]["r3"]["limits"] = ["tight", "loose"]
    plain["routes"]["r9"]["limits"] = ["loose"]
    old = read_checked(plain)
    assert isinstance(old, Document)
    faulty = 0
    for _ in range(1500):
        edited = copy.deepcopy(plain)
        for _ in range(rng.randint(1, 3)):
            _edit(edited, rng)
        new = parse_document(edited)
        assert isinstance(new, Document)
        problems = check(new)
        faulty += bool(problems)
        assert check_changed(old, new, tuple(changes_between(old, new))) == problems
    assert 300 < faulty < 1200


def _edit(plain: dict[str, Any], rng: random.Random) -> None:
    """Change, add or remove a random object."""
    kind = rng.choice(["routes", "routes", "routes", *plain.keys()])
    objects = plain[kind]
    if not objects:
        return
    name = rng.choice(sorted(objects))
    item = objects[name]
    if rng.random() < 0.1:
        del objects[name]
    elif kind == "routes":
        _edit_route(plain, name, rng)
    elif kind == "keys":
        secret = rng.choice(["0", "1", "9", "8"])
        workspace = rng.choice(["w0", "w1", "gone"])
        objects[rng.choice([name, "new"])] = {
            "digest": digest(secret),
            "workspace": workspace,
        }
    elif kind == "priorities":
        objects[rng.choice([name, "new"])] = {"rank": rng.choice([0, 4, 5])}
    elif kind == "pools":
        item["connections_per_server"] = rng.choice([4, 8, 12])
    else:
        item["burst"] = rng.randint(1, 9)


def _edit_route(plain: dict[str, Any], name: str, rng: random.Random) -> None:
    routes = plain["routes"]
    route = dict(routes[name])
    other = rng.choice([*sorted(routes), "gone"])
    field, value = rng.choice(
        [
            ("calls", [other]),
            ("calls", [*route["calls"], other][-1:]),
            ("calls", []),
            ("deadline_s", rng.choice([1, 3, 9])),
            ("path_prefix", routes.get(other, route)["path_prefix"]),
            ("methods", ["GET"]),
            ("host", "a.example"),
            ("idempotent", False),
            ("retries", 1),
            ("access", "open"),
            ("pool", rng.choice(["p1", "gone"])),
            ("limits", rng.choice([[], ["tight"], ["loose", "tight"]])),
        ]
    )
    route[field] = value
    routes[rng.choice([name, name, "new"])] = route


def test_a_document_comes_back_as_it_went() -> None:
    """Canonical bytes parse to the same document; defaults are omitted."""
    one = document()
    again = read_checked(canonical_bytes(one))
    assert again == one
    assert to_json(one)["pools"] == SAMPLE["pools"]
    route = one.routes_by_name["home"]
    assert "retries" not in to_plain(route) and Kind.ROUTES.value == "routes"


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
