"""Tests of core.identify."""

import unittest
from dataclasses import replace

from damaskbay.config.objects import (
    Access,
    ConfigSet,
    Key,
    Priority,
    Route,
    Workspace,
)
from damaskbay.core.call import CallContext
from damaskbay.core.identify import Credentials, identify_root, refuse_withdrawn
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.helpers.keys import digest_of
from tests.common import function_suite

NOW = 100.0
WALL_NOW = 1_000_000.0
SECRET = "dk_sample"
ROUTE = Route(
    "lookup", "*", "/", frozenset(), "campo", Access.KEYED, True, 2.0, "high", 2
)
CONFIG = ConfigSet(
    version=7,
    digest="d",
    workspaces_by_name={"w": Workspace("w", 10.0, 5)},
    keys_by_digest={digest_of(SECRET): Key("k", digest_of(SECRET), "w")},
    routes_by_name={"lookup": ROUTE},
    priorities_by_name={"high": Priority("high", 0)},
)


def _identify(
    credentials: Credentials, route: Route = ROUTE, config: ConfigSet = CONFIG
) -> CallContext | Refusal:
    return identify_root(
        config, route, credentials, call_id="c", now=NOW, wall_now=WALL_NOW
    )


def test_key_gives_its_workspace() -> None:
    """Workspace, priority, retry tokens and deadline come from the configuration."""
    context = _identify(Credentials(SECRET))
    assert isinstance(context, CallContext)
    assert (context.workspace, context.priority_rank) == ("w", 0)
    assert (context.retry_tokens, context.deadline) == (2, NOW + 2.0)


def test_caller_narrows_but_never_widens() -> None:
    """A caller may shorten the deadline or deny idempotence, but not the reverse."""
    short = _identify(Credentials(SECRET, deadline_s=0.5, idempotent=False))
    assert isinstance(short, CallContext)
    assert (short.deadline, short.idempotent) == (NOW + 0.5, False)
    non_idempotent = replace(ROUTE, idempotent=False)
    wide = _identify(
        Credentials(SECRET, deadline_s=60.0, idempotent=True), non_idempotent
    )
    assert isinstance(wide, CallContext)
    assert (wide.deadline, wide.idempotent) == (NOW + 2.0, False)


def test_no_key_unknown_key_expired_key() -> None:
    """A keyed route needs a valid key; each refusal is `not_run`."""
    key = replace(CONFIG.keys_by_digest[digest_of(SECRET)], expires_at=WALL_NOW)
    expired = replace(CONFIG, keys_by_digest={key.digest: key})
    cases = [
        (_identify(Credentials()), Reason.KEY_MISSING),
        (_identify(Credentials("dk_other")), Reason.KEY_UNKNOWN),
        (_identify(Credentials(SECRET), config=expired), Reason.KEY_WITHDRAWN),
    ]
    for refusal, reason in cases:
        assert isinstance(refusal, Refusal)
        assert refusal.not_run
        assert refusal.reason is reason


def test_open_route_serves_without_a_key() -> None:
    """An open route runs without a workspace if the key is missing or invalid."""
    route = replace(ROUTE, access=Access.OPEN)
    for credentials in (Credentials(), Credentials("dk_other")):
        context = _identify(credentials, route)
        assert isinstance(context, CallContext)
        assert context.workspace == ""


def test_withdrawn_objects_stop_waiting_calls() -> None:
    """A waiting call is checked again with the newer configuration set."""
    context = _identify(Credentials(SECRET))
    assert isinstance(context, CallContext)
    assert refuse_withdrawn(CONFIG, context) is None
    rotated = Key("k", digest_of("dk_new"), "w")
    for config, reason in (
        (replace(CONFIG, keys_by_digest={}), Reason.KEY_WITHDRAWN),
        (
            replace(CONFIG, keys_by_digest={rotated.digest: rotated}),
            Reason.KEY_WITHDRAWN,
        ),
        (replace(CONFIG, workspaces_by_name={}), Reason.KEY_WITHDRAWN),
        (replace(CONFIG, routes_by_name={}), Reason.NO_ROUTE),
    ):
        refusal = refuse_withdrawn(config, context)
        assert refusal is not None
        assert refusal.not_run
        assert refusal.reason is reason


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
