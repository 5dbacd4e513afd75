"""Task that requests tokens, grants tokens as a holder and updates the ledgers."""

import logging
import random
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self

from damaskbay.core.rates.const import TOKEN_REQUEST_TIMEOUT_S
from damaskbay.core.rates.messages import (
    BucketRequest,
    GrantClose,
    TokenCloses,
    TokenGrants,
    TokenRequest,
)
from damaskbay.core.rates.names import BucketLimit, total_of
from damaskbay.core.rates.node import (
    HolderNode,
    LedgerRequest,
    LedgerResult,
    TokenReply,
    Unresolved,
    group_of,
)
from damaskbay.core.rates.options import ShareOptions
from damaskbay.core.rates.table import HolderTable
from damaskbay.daemon.rates_ledger import LedgerStore
from damaskbay.daemon.rates_stock import SharedStock
from damaskbay.helpers.task import Task
from damaskbay.ports.fleet import ConfigSource, Membership, MemberView
from damaskbay.ports.peer import (
    PeerAddress,
    PeerFailure,
    PeerIdentity,
    PeerLink,
    PeerProblem,
    Responder,
)

_LOGGER = logging.getLogger(__name__)

TICK_S = 0.05
LEDGER_THREADS = 4


class Wake:
    """Message: a call waits for tokens; due token requests are sent at once."""


class NewSet:
    """Message: a newer configuration set is active."""


class Leave:
    """Message: release all tokens and shares."""


@dataclass(frozen=True, slots=True)
class _PeerTokenRequest:
    peer: PeerIdentity
    request: TokenRequest
    responder: Responder


@dataclass(frozen=True, eq=False, slots=True)
class _PeerReplyKey:
    """Key of a peer's token request, under which the holder returns the reply."""

    responder: Responder


@dataclass(frozen=True, slots=True)
class _PeerTokenCloses:
    peer: PeerIdentity
    closes: tuple[GrantClose, ...]


@dataclass(frozen=True, slots=True)
class _SentRequest:
    """Token requests sent to one holder; `holder` None is this daemon."""

    holder: MemberView | None
    asks: tuple[BucketRequest, ...]
    sent_at: float


@dataclass(frozen=True, slots=True)
class _RequestDone:
    sent: _SentRequest
    result: Any


@dataclass(frozen=True, slots=True)
class _LedgerCallDone:
    call: LedgerRequest
    result: LedgerResult


class RateTask(Task):
    """
    Exchanges tokens with peers and runs the holders of this daemon.

    `left` is completed once all shares are released after `Leave`.
    """

    def __init__(
        self,
        *,
        identity: PeerIdentity,
        store: LedgerStore,
        link: PeerLink,
        membership: Membership,
        config: ConfigSource,
        stock: SharedStock,
        options: ShareOptions,
        clock: Callable[[], float],
    ) -> None:
        super().__init__("rates", tick_s=TICK_S, clock=clock)
        self.left: Future[None] = Future()
        self._own_process_id = _process_id(identity)
        self._store = store
        self._link = link
        self._membership = membership
        self._config = config
        self._stock = stock
        self._options = options
        self._holder_table = HolderTable(
            identity.instance, options.groups, options.holders
        )
        self._node = HolderNode(
            self._own_process_id, options, random.Random(self._own_process_id)
        )
        self._ledger_executor = ThreadPoolExecutor(
            LEDGER_THREADS, thread_name_prefix="ledger"
        )
        self._releasing = False
        link.register(TokenRequest, self._on_token_request)
        link.register(TokenCloses, self._on_token_closes)

    def __enter__(self) -> Self:
        super().__enter__()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        super().__exit__(exc_type, exc, traceback)
        self._ledger_executor.shutdown(cancel_futures=True)

    def handle(self, message: Any, now: float) -> None:
        """Handle one message, then send due token requests and ledger calls."""
        match message:
            case Wake():
                pass
            case _PeerTokenRequest(peer, request, responder):
                daemon = _process_id(peer)
                key = _PeerReplyKey(responder)
                replies = self._node.request_tokens(
                    key, daemon, request, self._total_of, now
                )
                self._deliver(replies, now)
            case _PeerTokenCloses(peer, closes):
                self._node.close(_process_id(peer), closes, now)
            case _RequestDone(sent, result):
                self._on_reply(sent, result, now)
            case _LedgerCallDone(call, result):
                self._deliver(self._node.call_done(call, result, now), now)
            case NewSet():
                self._node.rescale(self._total_of, now)
            case Leave():
                self._releasing = True
                self._send_closes(now)
                self._node.stop()
        self._send_due_requests(now)
        self._start_calls(now)

    def tick(self, now: float) -> None:
        """Send due closes, replies, token requests and ledger calls."""
        self._update_members()
        self._send_closes(now)
        self._deliver(self._node.due_replies(now), now)
        self._send_due_requests(now)
        self._start_calls(now)
        if self._node.stopped() and not self.left.done():
            _LOGGER.info("rates: shares released.")
            self.left.set_result(None)

    def holder_instance(self, bucket: str, now: float) -> str:
        """Return the instance to which token requests for a bucket are sent."""
        holder = self._holder_table.holder(group_of(bucket, self._options.groups), now)
        return holder.instance if holder else self._own_process_id.rpartition("/")[0]

    def _total_of(self, bucket: str) -> BucketLimit | None:
        state = self._config.state()
        if state is None:
            return None
        removed_limit = BucketLimit(0, 0, state.config.version)
        return total_of(state.config, bucket) or removed_limit

    def _update_members(self) -> None:
        if self._holder_table.update(self._membership.members()):
            self._node.set_roles(self._holder_table.roles())

    def _send_due_requests(self, now: float) -> None:
        if self._releasing:
            return
        self._update_members()
        asks_by_instance: dict[str, list[BucketRequest]] = {}
        members_by_instance: dict[str, MemberView | None] = {}
        for ask in self._stock.due_requests(now):
            group = group_of(ask.bucket, self._options.groups)
            holder = self._holder_table.holder(group, now, self._stock.turn(ask.bucket))
            instance = holder.instance if holder else ""
            members_by_instance[instance] = holder
            asks_by_instance.setdefault(instance, []).append(ask)
        for instance, asks in asks_by_instance.items():
            self._send_request(
                _SentRequest(members_by_instance[instance], tuple(asks), now)
            )

    def _send_request(self, sent: _SentRequest) -> None:
        request = TokenRequest(sent.asks)
        if sent.holder is None:
            now = sent.sent_at
            replies = self._node.request_tokens(
                sent, self._own_process_id, request, self._total_of, now
            )
            self._deliver(replies, now)
            return
        future = self._link.request(
            sent.holder.address, request, timeout_s=TOKEN_REQUEST_TIMEOUT_S
        )
        future.add_done_callback(lambda done: self._post_reply(sent, done))

    def _post_reply(self, sent: _SentRequest, done: "Future[Any]") -> None:
        result = None if done.cancelled() else done.result()
        self.post(_RequestDone(sent, result))

    def _on_reply(self, sent: _SentRequest, result: Any, now: float) -> None:
        if not isinstance(result, TokenGrants):
            if sent.holder is not None:
                self._record_failure(sent.holder.instance, result, now)
            self._stock.requests_failed(sent.asks, now)
            return
        if sent.holder is not None:
            self._holder_table.answered(sent.holder.instance)
        address = sent.holder.address if sent.holder else None
        self._stock.granted(
            result.grants, sent.asks, address, asked_at=sent.sent_at, now=now
        )

    def _record_failure(self, instance: str, result: Any, now: float) -> None:
        _LOGGER.warning("rates: no answer. %s", instance)
        problem = result.problem if isinstance(result, PeerFailure) else None
        if problem is PeerProblem.TIMEOUT:
            self._holder_table.timed_out(instance, now)
        else:
            self._holder_table.avoid(instance, now)

    def _deliver(self, replies: list[TokenReply], now: float) -> None:
        for reply in replies:
            if isinstance(reply.key, _SentRequest):
                self._on_reply(reply.key, reply.grants, now)
            else:
                assert isinstance(reply.key, _PeerReplyKey)
                reply.key.responder.reply(reply.grants)

    def _send_closes(self, now: float) -> None:
        closes_by_holder = self._stock.due_closes(now, everything=self._releasing)
        for holder, closes in closes_by_holder.items():
            self._send_close(holder, tuple(closes), now)

    def _send_close(
        self, holder: PeerAddress | None, closes: tuple[GrantClose, ...], now: float
    ) -> None:
        if holder is None:
            self._node.close(self._own_process_id, closes, now)
        else:
            self._link.send(holder, TokenCloses(closes))

    def _start_calls(self, now: float) -> None:
        for call in self._node.calls(self._total_of, now):
            self._ledger_executor.submit(self._run_ledger_call, call)

    def _run_ledger_call(self, call: LedgerRequest) -> None:
        try:
            result = self._store.run(call)
        except Exception:
            _LOGGER.exception("rates: ledger call failed.")
            result = Unresolved()
        self._inbox.put(_LedgerCallDone(call, result))

    def _on_token_request(
        self, peer: PeerIdentity, message: Any, responder: Responder
    ) -> None:
        self.post(_PeerTokenRequest(peer, message, responder))

    def _on_token_closes(
        self, peer: PeerIdentity, message: Any, responder: Responder
    ) -> None:
        self.post(_PeerTokenCloses(peer, message.closes))


def _process_id(identity: PeerIdentity) -> str:
    return f"{identity.instance}/{identity.incarnation}"
