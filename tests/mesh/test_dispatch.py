"""Which calls may be given up at a silent peer, since they can be sent elsewhere."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from damaskbay.config.objects import Access, Route
from damaskbay.core.call import CallContext, CallResult, Request, Response
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.daemon.messages import (
    TreeCallMessage,
    result_of,
    to_call_message,
    to_result_message,
)
from damaskbay.mesh.dispatch import Dispatcher, DispatchParts, _service_s
from damaskbay.ports.fleet import ServerState, ServerView
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem
from tests.common import function_suite

DEADLINE = 100.0


def _view(instance: str) -> ServerView:
    address = PeerAddress("10.0.0.1", 7000)
    return ServerView(
        instance, 1, "d", address, "p", ServerState.READY, 4, 0.0, 0.0, local=False
    )


async def _dispatch(*, idempotent: bool, retries: int) -> tuple[list[bool], Any]:
    """Lose a call at each server; return if each send was repeatable, and the end."""
    sends: list[bool] = []

    async def request(*_: object, repeatable: bool, timeout_s: float) -> PeerFailure:
        sends.append(repeatable)
        return PeerFailure(PeerProblem.LOST)

    parts: Any = SimpleNamespace(
        directory=SimpleNamespace(servers=lambda _pool: ()),
        router=SimpleNamespace(
            choose=lambda *_, excluded, now: _view(f"i{len(excluded)}"),
            record_start=lambda *_: None,
            record_end=lambda *_: None,
        ),
        links=SimpleNamespace(request=request, peer_version=lambda _peer: 0),
        lifetime=SimpleNamespace(
            limit=lambda deadline: deadline, outlasts=lambda *_: False
        ),
        clock=lambda: 0.0,
    )
    route = Route(
        "r", "*", "/", frozenset(), "p", Access.KEYED, idempotent, 1.0, "x", retries
    )
    context = CallContext("c", "w", 1, DEADLINE, "r", "p", idempotent)
    dispatcher = Dispatcher(DispatchParts(**vars(parts), target=parts))
    result = await dispatcher.dispatch(context, route, Request("GET", "a", "/"), 0.1)
    return sends, result.result


# Guards against 502 for calls that are given up though nothing can repeat them.
def test_a_call_is_repeatable_while_it_has_retries_left() -> None:
    """The last attempt waits for its reply, as do calls that may run only once."""
    for idempotent, retries, expected in (
        (True, 1, [True, False]),
        (True, 0, [False]),
        (False, 1, [False]),
    ):
        sends, end = asyncio.run(_dispatch(idempotent=idempotent, retries=retries))
        assert sends == expected, (idempotent, retries, sends)
        assert isinstance(end, Refusal), end
        assert end.reason is Reason.PEER_LOST, end


# Guards against the time of nested calls or of failures taken for a server's speed.
def test_only_calls_without_nested_calls_show_the_speed() -> None:
    """Nothing is known of the calls of a daemon of the previous version."""
    served, failed = Response(200), Response(500)
    context = CallContext("c", "w", 1, DEADLINE, "r", "p", True)
    request = Request("GET", "a", "/")
    call = to_call_message(context, request, now=0.0, kind=TreeCallMessage)
    for outcome, has_nested, expected_s in (
        (served, False, 0.2),
        (served, True, None),
        (failed, False, None),
        (not_run(Reason.OVERLOADED), True, None),
    ):
        result = CallResult(outcome, has_nested=has_nested, backend_s=0.2)
        assert _service_s(result) == expected_s, outcome
        assert result_of(to_result_message(result, call)).has_nested == has_nested
        assert result_of(to_result_message(result)).has_nested


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
