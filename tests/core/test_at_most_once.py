"""Tests of core.at_most_once: no request id runs twice."""

import random
import unittest

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from damaskbay.core.at_most_once import AtMostOnceOptions, RequestOwner, Run
from damaskbay.core.at_most_once_ids import (
    OwnerRef,
    fingerprint_of,
    parse_request_id,
    sign_request_id,
)
from damaskbay.core.call import Request, Response
from damaskbay.core.outcome import Outcome, Reason, Refusal, not_run, unknown
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

SECRET = b"an old peer secret"
ADDRESS = PeerAddress("127.0.0.1", 7000)
NEW_SECRET = b"a newer peer secret"
FINGERPRINT = b"fingerprint"
SMALL_LIMITS = AtMostOnceOptions(validity_s=60.0, max_ids=4, max_response_bytes=2_000)
DAEMONS = ("a", "b", "c")


def owner(
    options: AtMostOnceOptions = SMALL_LIMITS, secret: bytes = SECRET
) -> RequestOwner:
    """Return an owner of instance "a"."""
    return RequestOwner("a", 1, (secret,), random.Random(1), ADDRESS, options)


class Fleet(RuleBasedStateMachine):
    """
    State machine of daemons that restart, callers that retry and lost results.

    `runs` counts the runs of each id that may have reached a backend server.
    """

    @initialize()
    def start(self) -> None:
        """Start the daemons with the same incarnation number."""
        self.rng = random.Random(7)
        self.now = 0.0
        self.runs: dict[str, int] = {}
        self.first_responses: dict[str, Response] = {}
        self.ids: list[str] = []
        self.running: list[tuple[RequestOwner, str]] = []
        self.owners = {name: self._new_owner(name) for name in DAEMONS}

    def _new_owner(self, name: str) -> RequestOwner:
        return RequestOwner(name, 1, (SECRET,), self.rng, ADDRESS, SMALL_LIMITS)

    @rule(name=st.sampled_from(DAEMONS), count=st.integers(1, 3))
    def issue(self, name: str, count: int) -> None:
        """Issue ids, each of which may be sent later or never."""
        self.ids.extend(self.owners[name].issue(count, self.now))

    @rule(choice=st.integers(0, 30))
    def send(self, choice: int) -> None:
        """Send one of the ids to its owner, as any receiving daemon would."""
        if not self.ids:
            return
        request_id = self.ids[choice % len(self.ids)]
        ref = parse_request_id((SECRET,), request_id)
        assert isinstance(ref, OwnerRef)
        process = self.owners[ref.instance]
        result = process.begin(request_id, FINGERPRINT, self.now)
        if isinstance(result, Run):
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            assert self.runs[request_id] == 1, "ran twice"
            self.running.append((process, request_id))
        elif isinstance(result, Response):
            assert result == self.first_responses[request_id]
        elif result.not_run:
            raise AssertionError("an id that may have run was refused as not_run")

    @rule(
        choice=st.integers(0, 30),
        end=st.sampled_from(["answer", "lost", "not_run", "unknown", "paused"]),
    )
    def end(self, choice: int, end: str) -> None:
        """End a run, possibly after a pause that is longer than the id validity."""
        if not self.running:
            return
        process, request_id = self.running.pop(choice % len(self.running))
        if end == "lost":
            return
        result: Response | Refusal = Response(200, body=bytes(choice * 50))
        if end == "not_run":
            self.runs[request_id] -= 1
            result = not_run(Reason.OVERLOADED)
        elif end == "unknown":
            result = unknown(Reason.PEER_LOST)
        elif isinstance(result, Response):
            self.first_responses[request_id] = result
        self.now += 100.0 if end == "paused" else 0.0
        process.finish(request_id, result, self.now)

    @rule(name=st.sampled_from(DAEMONS))
    def crash(self, name: str) -> None:
        """Restart a daemon with the incarnation number that it had before."""
        self.owners[name] = self._new_owner(name)

    @rule(seconds=st.floats(0.0, 40.0))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds

    def teardown(self) -> None:
        """Check that the stored ids and responses stay within their limits."""
        for process in self.owners.values():
            assert len(process) <= SMALL_LIMITS.max_ids
            assert process.response_bytes <= SMALL_LIMITS.max_response_bytes


def test_no_id_runs_twice() -> None:
    """No id runs twice under retries, losses, restarts, pauses and full memory."""
    run_state_machine_as_test(
        Fleet,
        settings=settings(
            max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
        ),
    )


def test_repeat_gets_the_first_answer_or_already_running() -> None:
    """A retry gets `already_running` during the run and the first response after it."""
    process = owner()
    (request_id,) = process.issue(1, 0.0)
    assert process.begin(request_id, FINGERPRINT, 1.0) == Run(request_id)
    running = process.begin(request_id, FINGERPRINT, 2.0)
    assert isinstance(running, Refusal)
    assert running.reason is Reason.ALREADY_RUNNING
    assert running.outcome is Outcome.UNKNOWN
    process.finish(request_id, Response(201, body=b"done"), 3.0)
    assert process.begin(request_id, FINGERPRINT, 4.0) == Response(201, body=b"done")
    process.finish(request_id, Response(500), 5.0)
    assert process.begin(request_id, FINGERPRINT, 6.0) == Response(201, body=b"done")


def test_unknown_stays_unknown_and_not_run_may_run() -> None:
    """Only a run that ended as `not_run` may be started again."""
    process = owner()
    first, second = process.issue(2, 0.0)
    for request_id in (first, second):
        assert process.begin(request_id, FINGERPRINT, 0.0) == Run(request_id)
    process.finish(first, unknown(Reason.PEER_LOST), 1.0)
    process.finish(second, not_run(Reason.OVERLOADED), 1.0)
    assert process.begin(first, FINGERPRINT, 2.0) == unknown(Reason.PEER_LOST)
    assert process.begin(second, FINGERPRINT, 2.0) == Run(second)


def test_another_request_under_the_same_id() -> None:
    """An id is bound to its first request and workspace."""
    process = owner()
    (request_id,) = process.issue(1, 0.0)
    request = Request("POST", "host", "/draws", body=b"one")
    fingerprints = {
        fingerprint_of("flock", request),
        fingerprint_of("other", request),
        fingerprint_of("flock", Request("POST", "host", "/draws", body=b"two")),
    }
    assert len(fingerprints) == 3
    results = [process.begin(request_id, item, 0.0) for item in sorted(fingerprints)]
    assert results[0] == Run(request_id)
    for result in results[1:]:
        assert isinstance(result, Refusal)
        assert result.reason is Reason.BAD_REQUEST


@given(st.text(max_size=200))
@settings(derandomize=True)
def test_ids_that_were_never_issued(text: str) -> None:
    """Any text that no daemon issued is refused as `not_run`."""
    result = owner().begin(text, FINGERPRINT, 0.0)
    assert isinstance(result, Refusal)
    assert result.reason is Reason.REQUEST_ID_NOT_ISSUED
    assert result.not_run


def test_changed_id_is_not_issued() -> None:
    """An id with any one character changed fails verification."""
    (request_id,) = owner().issue(1, 0.0)
    for index in range(len(request_id) - 1):
        other = "A" if request_id[index] != "A" else "B"
        changed = request_id[:index] + other + request_id[index + 1 :]
        assert isinstance(parse_request_id((SECRET,), changed), Refusal)


def test_secret_rotation_keeps_ids() -> None:
    """An id signed with an older secret stays valid while the secret is accepted."""
    ref = OwnerRef("a", 1, 2, 3, 4, ADDRESS)
    old = sign_request_id(SECRET, ref)
    assert parse_request_id((NEW_SECRET, SECRET), old) == ref
    assert isinstance(parse_request_id((NEW_SECRET,), old), Refusal)


def test_full_memory_and_expiry_give_unknown() -> None:
    """An id that may have been dropped never runs, whether or not it was used."""
    process = owner()
    ids = process.issue(6, 0.0)
    for request_id in ids[1:]:
        assert process.begin(request_id, FINGERPRINT, 0.0) == Run(request_id)
    late = process.issue(1, 30.0)[0]
    for request_id, now in ((ids[0], 1.0), (ids[1], 1.0), (late, 91.0)):
        result = process.begin(request_id, FINGERPRINT, now)
        assert result == unknown(
            Reason.REQUEST_ID_EXPIRED, detail="the request id is too old"
        )


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
