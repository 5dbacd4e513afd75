"""Requests that must run at most once: find their owner, remember their outcome."""

import threading
from collections.abc import Callable
from dataclasses import replace

from damaskbay.core.at_most_once import RequestOwner, Run
from damaskbay.core.at_most_once_ids import (
    OwnerRef,
    fingerprint_of,
    parse_request_id,
)
from damaskbay.core.call import Answer, CallContext, CallResult, Request
from damaskbay.core.outcome import Outcome, Reason, Refusal, unknown
from damaskbay.daemon.dispatch import Dispatcher, Outgoing, PeerCaller
from damaskbay.ports.caller import IssuedIds
from damaskbay.ports.peer import PeerIdentity


class OnceService:
    """
    Hands a request to the daemon that issued its id, which runs it at most once.

    The owner's memory is guarded by a lock; no lock is held while a call runs.
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
        """Issue ids that this daemon owns."""
        with self._lock:
            ids = self._owner.issue(count, self._clock())
        return IssuedIds(ids, self._owner.options.validity_s)

    def run(self, outgoing: Outgoing) -> CallResult:
        """Run a request under its id, here or at the daemon that owns the id."""
        request_id = outgoing.context.request_id or ""
        ref = parse_request_id(self._secrets, request_id)
        if isinstance(ref, Refusal):
            return CallResult(ref, attempts=0)
        if self._is_mine(ref):
            return self.run_owned(outgoing)
        return self._hand_to_owner(outgoing, ref)

    def refuse(
        self, context: CallContext, request: Request, refusal: Refusal
    ) -> CallResult:
        """
        Refuse a send of a request with an id before it reached its owner.

        The refusal speaks of all sends of the id: a repeat of what has run is
        told so, and where this daemon cannot know, the outcome is `unknown`.
        """
        request_id = context.request_id or ""
        ref = parse_request_id(self._secrets, request_id)
        if isinstance(ref, Refusal):
            return CallResult(ref, attempts=0)
        if not self._is_mine(ref):
            return CallResult(replace(refusal, outcome=Outcome.UNKNOWN), attempts=0)
        fingerprint = fingerprint_of(context.workspace, request)
        with self._lock:
            known = self._owner.recall(request_id, fingerprint, self._clock())
        return CallResult(known or refusal, attempts=0)

    def run_owned(self, outgoing: Outgoing) -> CallResult:
        """Run a request whose id this daemon may own; repeats never run again."""
        request_id = outgoing.context.request_id or ""
        fingerprint = fingerprint_of(outgoing.context.workspace, outgoing.request)
        with self._lock:
            begun = self._owner.begin(request_id, fingerprint, self._clock())
        if not isinstance(begun, Run):
            return CallResult(begun, attempts=0)
        result: Answer | Refusal = unknown(Reason.INTERNAL_ERROR)
        try:
            done = self._dispatcher.dispatch(outgoing)
            result = done.result
        finally:
            with self._lock:
                self._owner.finish(request_id, result, self._clock())
        return done

    def _hand_to_owner(self, outgoing: Outgoing, ref: OwnerRef) -> CallResult:
        """Ask the owner; without its word an earlier run can't be ruled out."""
        result = self._peers.call(
            ref.address,
            outgoing.context,
            outgoing.request,
            outgoing.cancellation,
            owned=True,
        )
        outcome = result.result
        if isinstance(outcome, Refusal) and outcome.reason is Reason.PEER_UNREACHABLE:
            away = unknown(Reason.PEER_UNREACHABLE, detail=outcome.detail)
            return CallResult(away, attempts=0)
        return result

    def _is_mine(self, ref: OwnerRef) -> bool:
        mine = self._identity
        return (ref.instance, ref.incarnation) == (mine.instance, mine.incarnation)
