"""Runs calls with a request id at most once, at the daemon that owns the id."""

import threading
from collections.abc import Callable
from dataclasses import replace

from damaskbay.core.at_most_once import RequestOwner, Run
from damaskbay.core.at_most_once_ids import (
    OwnerRef,
    fingerprint_of,
    parse_request_id,
)
from damaskbay.core.call import CallContext, CallResult, Request, Response
from damaskbay.core.outcome import Outcome, Reason, Refusal, unknown
from damaskbay.daemon.dispatch import Dispatcher, OutgoingCall, PeerCaller
from damaskbay.ports.caller import IssuedIds
from damaskbay.ports.peer import PeerIdentity


class AtMostOnceService:
    """
    Runs calls whose request id this daemon issued and forwards others to the issuer.

    A lock guards the outcomes that this daemon has recorded; it is not held while
    a call runs.
    """

    def __init__(
        self,
        *,
        identity: PeerIdentity,
        owner: RequestOwner,
        secrets: tuple[bytes, ...],
        dispatcher: Dispatcher,
        peers: PeerCaller,
        clock: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._owner = owner
        self._secrets = secrets
        self._dispatcher = dispatcher
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()

    def issue(self, count: int) -> IssuedIds:
        """Issue request ids that this daemon owns."""
        with self._lock:
            ids = self._owner.issue(count, self._clock())
        return IssuedIds(ids, self._owner.options.validity_s)

    def run(self, outgoing: OutgoingCall) -> CallResult:
        """Run a call at the daemon that owns its request id."""
        request_id = outgoing.context.request_id or ""
        ref = parse_request_id(self._secrets, request_id)
        if isinstance(ref, Refusal):
            return CallResult(ref, attempts=0)
        if self._is_own(ref):
            return self.run_owned(outgoing)
        return self._forward_to_owner(outgoing, ref)

    def refuse(
        self, context: CallContext, request: Request, refusal: Refusal
    ) -> CallResult:
        """
        Refuse a call with a request id before it reaches the owner of the id.

        The result covers all attempts with the id. If this daemon owns the id and
        an earlier attempt has started, the result is the one that a retry gets. If
        another daemon owns the id, the outcome is `unknown`.
        """
        request_id = context.request_id or ""
        ref = parse_request_id(self._secrets, request_id)
        if isinstance(ref, Refusal):
            return CallResult(ref, attempts=0)
        if not self._is_own(ref):
            return CallResult(replace(refusal, outcome=Outcome.UNKNOWN), attempts=0)
        fingerprint = fingerprint_of(context.workspace, request)
        with self._lock:
            recorded = self._owner.result_for_retry(
                request_id, fingerprint, self._clock()
            )
        return CallResult(recorded or refusal, attempts=0)

    def run_owned(self, outgoing: OutgoingCall) -> CallResult:
        """Run a call whose request id this daemon owns, at most once for the id."""
        request_id = outgoing.context.request_id or ""
        fingerprint = fingerprint_of(outgoing.context.workspace, outgoing.request)
        with self._lock:
            begun = self._owner.begin(request_id, fingerprint, self._clock())
        if not isinstance(begun, Run):
            return CallResult(begun, attempts=0)
        result: Response | Refusal = unknown(Reason.INTERNAL_ERROR)
        try:
            done = self._dispatcher.dispatch(outgoing)
            result = done.result
        finally:
            with self._lock:
                self._owner.finish(request_id, result, self._clock())
        return done

    def _forward_to_owner(self, outgoing: OutgoingCall, ref: OwnerRef) -> CallResult:
        """
        Send a call to the owner of its request id.

        If the owner is unreachable, an earlier attempt may have run: the outcome is
        `unknown`.
        """
        result = self._peers.call(
            ref.address,
            outgoing.context,
            outgoing.request,
            outgoing.cancellation,
            owned=True,
        )
        outcome = result.result
        if isinstance(outcome, Refusal) and outcome.reason is Reason.PEER_UNREACHABLE:
            refusal = unknown(Reason.PEER_UNREACHABLE, detail=outcome.detail)
            return CallResult(refusal, attempts=0)
        return result

    def _is_own(self, ref: OwnerRef) -> bool:
        own = self._identity
        return (ref.instance, ref.incarnation) == (own.instance, own.incarnation)
