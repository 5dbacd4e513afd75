"""Tests of core.scrub: no key is forwarded to a backend server."""

import base64
import unittest
from urllib.parse import quote

from hypothesis import given, settings, strategies as st

from damaskbay.const import HEADER_CALL_TOKEN, HEADER_KEY
from damaskbay.core.call import Request
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.core.scrub import scrub
from damaskbay.helpers.keys import new_key_secret
from tests.common import function_suite

KEY = new_key_secret()

_FORMS = st.sampled_from(
    [
        KEY,
        f"Bearer {KEY}",
        quote(f"a {KEY}"),
        "Basic " + base64.b64encode(f"user:{KEY}".encode()).decode(),
    ]
)
_NAMES = st.sampled_from(["Authorization", "X-Api-Key", "Cookie", HEADER_KEY, "X"])
_WORDS = st.text("abcdefgh", min_size=1, max_size=6)


def _all_text(request: Request) -> str:
    headers = " ".join(f"{name}:{value}" for name, value in request.headers)
    return f"{request.target} {headers} {request.body!r}"


@settings(derandomize=True, max_examples=150)
@given(_NAMES, _FORMS, _WORDS, _WORDS)
def test_headers_and_query_items_with_a_key_are_dropped(
    name: str, form: str, item: str, kept: str
) -> None:
    """A key is removed under any name, position and encoding; the rest is kept."""
    request = Request(
        "GET",
        "campo",
        f"/x?{item}={quote(KEY)}&kept={kept}&{KEY}",
        ((name, form), ("X-Kept", kept)),
    )
    clean = scrub(request, KEY)
    assert isinstance(clean, Request)
    assert clean.target == f"/x?kept={kept}"
    assert clean.headers == (("X-Kept", kept),)
    assert KEY not in _all_text(clean)


def test_a_key_of_another_shape_is_found_by_what_was_presented() -> None:
    """A presented key is removed even without the usual key prefix."""
    request = Request("GET", "campo", "/x?k=old-style-key", (("X", "old-style-key"),))
    clean = scrub(request, "old-style-key")
    assert isinstance(clean, Request)
    assert clean == Request("GET", "campo", "/x")


def test_a_key_that_was_not_presented_is_dropped_too() -> None:
    """A key in the query is removed even if no key was presented in the header."""
    clean = scrub(Request("GET", "campo", f"/x?key={KEY}"), None)
    assert isinstance(clean, Request)
    assert clean.target == "/x"


def test_a_key_in_path_or_body_is_refused() -> None:
    """A key in the path or body can't be removed without changing the request."""
    for request in (
        Request("GET", "campo", f"/x/{KEY}"),
        Request("POST", "campo", "/x", (), f'{{"key": "{KEY}"}}'.encode()),
    ):
        refusal = scrub(request, KEY)
        assert isinstance(refusal, Refusal)
        assert refusal.not_run
        assert refusal.reason is Reason.BAD_REQUEST


def test_call_token_of_the_caller_is_dropped() -> None:
    """A call token is not forwarded beyond the daemon that issued it."""
    clean = scrub(Request("GET", "c", "/x", ((HEADER_CALL_TOKEN, "t"),)), None)
    assert isinstance(clean, Request)
    assert clean.headers == ()


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
