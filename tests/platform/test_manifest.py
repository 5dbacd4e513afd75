"""Tests of the manifest decoder."""

import json
import unittest
from typing import Any

from damaskbay.config.matching import PrefixTable
from damaskbay.config.objects import (
    Access,
    HealthCheckedPool,
    RankedWorkspace,
    WeightedRoute,
)
from damaskbay.helpers.keys import digest_of
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.manifest import decode_manifest
from tests.common import function_suite


def manifest(**changes: Any) -> dict[str, Any]:
    """Return a manifest with an open and a keyed route; `changes` replace fields."""
    route = {
        "Host": "a.example",
        "Prefix": "/p/",
        "Kind": "safe",
        "Timeout": "800ms",
        "TargetLatency": "400ms",
        "Priority": 2,
        "NumAttempts": 2,
        "AuthExempt": False,
        "Service": "one",
    }
    document = {
        "Version": 7,
        "Resources": [
            _resource("Routes", "keyed", route),
            _resource(
                "Routes",
                "open",
                {**route, "Prefix": "/p/q/", "AuthExempt": True, "Kind": "unsafe"},
            ),
            _resource(
                "Services",
                "one",
                {"HealthCheckPath": "/healthz", "MaxConnections": 10},
            ),
            _resource(
                "Tenants",
                "t",
                {"ApiKeys": ["k1"], "Priority": 1, "RatePerS": 5, "Burst": 6},
            ),
            {
                "Type": "Limits",
                "Metadata": {},
                "Spec": {"IdleTimeout": "15s", "HeaderTimeout": "3000ms"},
            },
        ],
    }
    return {**document, **changes}


def _resource(resource_type: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {"Type": resource_type, "Metadata": {"Name": name}, "Spec": spec}


def _error_of(value: Any) -> str:
    try:
        decode_manifest(value if isinstance(value, bytes) else _encode(value))
    except FieldError as error:
        return str(error)
    raise AssertionError("the invalid manifest was accepted")


def _encode(value: dict[str, Any]) -> bytes:
    return json.dumps(value).encode()


def test_every_field_is_decoded() -> None:
    """Durations become seconds, attempts become retries, keys are stored as digests."""
    config = decode_manifest(_encode(manifest()))
    route = config.routes_by_name["keyed"]
    assert isinstance(route, WeightedRoute)
    assert config.version == 7
    assert (route.deadline_s, route.objective_s, route.retries) == (0.8, 0.4, 1)
    assert route.access is Access.KEYED
    assert route.idempotent
    assert config.routes_by_name["open"].access is Access.OPEN
    assert not config.routes_by_name["open"].idempotent
    workspace = config.workspaces_by_name["t"]
    assert isinstance(workspace, RankedWorkspace)
    assert (workspace.rate_per_s, workspace.burst, workspace.priority) == (5, 6, "1")
    assert config.keys_by_digest[digest_of("k1")].workspace == "t"
    assert config.caller_limits.idle_timeout_s == 15.0
    assert config.pools_by_name["one"].connections_per_server == 10


def test_the_longest_prefix_wins() -> None:
    """A prefix matches with its slashes only; the query isn't part of the path."""
    routes = PrefixTable(decode_manifest(_encode(manifest())))
    found = {
        target: getattr(routes.match("a.example:80", target), "name", None)
        for target in ("/p/x", "/p/q/x?a=/p/", "/p/q", "/p", "/z/", "/p/?x=/p/q/")
    }
    assert found == {
        "/p/x": "keyed",
        "/p/q/x?a=/p/": "open",
        "/p/q": "keyed",
        "/p": None,
        "/z/": None,
        "/p/?x=/p/q/": "keyed",
    }
    assert routes.match("b.example", "/p/x") is None


def test_what_is_wrong_is_named() -> None:
    """The error of an invalid or truncated manifest names the field."""
    assert "manifest" in _error_of(b'{"Version": 7, "Resour')
    assert "Version" in _error_of(manifest(Version=-1))
    assert "Version" in _error_of(manifest(Version="7"))
    for field, value in (
        ("Kind", "odd"),
        ("Timeout", "-5ms"),
        ("Timeout", 800),
        ("Prefix", "/p"),
        ("Priority", -1),
        ("NumAttempts", "two"),
    ):
        invalid = manifest()
        invalid["Resources"][0]["Spec"][field] = value
        assert field in _error_of(invalid), field
    unknown = manifest()
    unknown["Resources"][0]["Spec"]["Service"] = "nobody"
    assert "nobody" in _error_of(unknown)


def test_downloads_are_idempotent() -> None:
    """A route with large responses is taken, and its calls may be retried."""
    downloads = manifest()
    downloads["Resources"][0]["Spec"]["Kind"] = "download"
    route = decode_manifest(_encode(downloads)).routes_by_name["keyed"]
    assert route.idempotent
    downloads["Resources"][0]["Spec"]["Kind"] = "upload"
    assert _error_of(downloads) == "Routes.keyed.Kind: 'upload' is unknown"


def test_weights_must_leave_a_pool() -> None:
    """Pools of weight 0 are dropped; a route with only such pools is invalid."""
    split = manifest()
    spec = split["Resources"][0]["Spec"]
    spec["WeightedClusters"] = [
        {"Service": "one", "Weight": 3},
        {"Service": "one", "Weight": 0},
    ]
    config = decode_manifest(_encode(split))
    route = config.routes_by_name["keyed"]
    assert isinstance(route, WeightedRoute)
    assert len(route.weighted_pools) == 1
    spec["WeightedClusters"] = [{"Service": "one", "Weight": 0}]
    assert "Weight" in _error_of(split)


# A set whose pool has no health check was refused whole.
def test_a_pool_without_a_health_check_is_decoded() -> None:
    """The path may be missing or empty."""
    for spec in ({}, {"HealthCheckPath": ""}):
        changed = manifest()
        changed["Resources"][2]["Spec"] = {"MaxConnections": 10, **spec}
        pool = decode_manifest(_encode(changed)).pools_by_name["one"]
        assert isinstance(pool, HealthCheckedPool)
        assert pool.health_path == ""


def test_a_warm_up_rate_is_decoded() -> None:
    """None stands for no limit; an invalid one is named, and the set is refused."""
    changed = manifest()
    spec = changed["Resources"][2]["Spec"]
    for value, expected in ((2.7, 2.7), (0, 0.0)):
        spec["WarmupPerS"] = value
        pool = decode_manifest(_encode(changed)).pools_by_name["one"]
        assert isinstance(pool, HealthCheckedPool)
        assert pool.warmup_per_s == expected
    spec["WarmupPerS"] = "2.7"
    try:
        decode_manifest(_encode(changed))
    except FieldError as error:
        assert "Services.one.WarmupPerS" in str(error)
    else:
        raise AssertionError


def load_tests(*_: object) -> unittest.TestSuite:
    """Return a suite of the test functions in this module."""
    return function_suite(globals())
