"""The task that asks for tokens, answers as a holder and keeps the ledgers."""

import logging
import random
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self

from damaskbay.core.rates.const import ASK_TIMEOUT_S
from damaskbay.core.rates.messages import (
    BucketAsk,
    GrantClose,
    TokenAsk,
    TokenCloses,
    TokenGrants,
)
from damaskbay.core.rates.names import Total, total_of
from damaskbay.core.rates.node import (
    Answer,
    CallResult,
    HolderNode,
    LedgerCall,
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
    """Requests wait for tokens."""


class NewSet:
    """A newer configuration set is in force."""


class Leave:
    """Give all tokens and shares back."""


@dataclass(frozen=True, slots=True)
class _PeerAsk:
    peer: PeerIdentity
    ask: TokenAsk
    responder: Responder


@dataclass(frozen=True, eq=False, slots=True)
class _Responding:
    """The key of an ask that came from a peer."""

    responder: Responder


@dataclass(frozen=True, slots=True)
class _PeerCloses:
    peer: PeerIdentity
    closes: tuple[GrantClose, ...]


@dataclass(frozen=True, slots=True)
class _Asked:
    """An ask of this daemon; `holder` None is this daemon itself."""

    holder: MemberView | None
    asks: tuple[BucketAsk, ...]
    asked_at: float


@dataclass(frozen=True, slots=True)
class _AskDone:
    asked: _Asked
    result: Any


@dataclass(frozen=True, slots=True)
class _CallDone:
    call: LedgerCall
    result: CallResult


class RateTask(Task):
    """Owns the holders of this daemon; talks to peers and the platform."""

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
        self._own_id = _process_id(identity)
        self._store = store
        self._link = link
        self._membership = membership
        self._config = config
        self._stock = stock
        self._options = options
        self._table = HolderTable(identity.instance, options.groups, options.holders)
        self._node = HolderNode(self._own_id, options, random.Random(self._own_id))
        self._calls = ThreadPoolExecutor(LEDGER_THREADS, thread_name_prefix="ledger")
        self._leaving = False
        link.register(TokenAsk, self._on_ask)
        link.register(TokenCloses, self._on_closes)

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
        self._calls.shutdown(cancel_futures=True)

    def handle(self, message: Any, now: float) -> None:
        """Handle one message."""
        match message:
            case Wake():
                pass
            case _PeerAsk(peer, ask, responder):
                daemon = _process_id(peer)
                key = _Responding(responder)
                answers = self._node.ask(key, daemon, ask, self._total_of, now)
                self._deliver(answers, now)
            case _PeerCloses(peer, closes):
                self._node.close(_process_id(peer), closes, now)
            case _AskDone(asked, result):
                self._on_answer(asked, result, now)
            case _CallDone(call, result):
                self._deliver(self._node.call_done(call, result, now), now)
            case NewSet():
                self._node.rescale(self._total_of, now)
            case Leave():
                self._leaving = True
                self._send_closes(now)
                self._node.stop()
        self._send_asks(now)
        self._start_calls(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._learn_members()
        self._send_closes(now)
        self._deliver(self._node.due_answers(now), now)
        self._send_asks(now)
        self._start_calls(now)
        if self._node.stopped() and not self.left.done():
            _LOGGER.info("rates: shares given back.")
            self.left.set_result(None)

    def holder_instance(self, bucket: str, now: float) -> str:
        """Return the instance that this daemon would ask for a bucket's tokens."""
        holder = self._table.holder(group_of(bucket, self._options.groups), now)
        return holder.instance if holder else self._own_id.rpartition("/")[0]

    def _total_of(self, bucket: str) -> Total | None:
        state = self._config.state()
        if state is None:
            return None
        gone = Total(0, 0, state.config.version)
        return total_of(state.config, bucket) or gone

    def _learn_members(self) -> None:
        if self._table.update(self._membership.members()):
            self._node.set_roles(self._table.roles())

    def _send_asks(self, now: float) -> None:
        if self._leaving:
            return
        self._learn_members()
        asks_by_instance: dict[str, list[BucketAsk]] = {}
        members_by_instance: dict[str, MemberView | None] = {}
        for ask in self._stock.due_asks(now):
            group = group_of(ask.bucket, self._options.groups)
            holder = self._table.holder(group, now, self._stock.turn(ask.bucket))
            instance = holder.instance if holder else ""
            members_by_instance[instance] = holder
            asks_by_instance.setdefault(instance, []).append(ask)
        for instance, asks in asks_by_instance.items():
            self._send_ask(_Asked(members_by_instance[instance], tuple(asks), now))

    def _send_ask(self, asked: _Asked) -> None:
        ask = TokenAsk(asked.asks)
        if asked.holder is None:
            now = asked.asked_at
            answers = self._node.ask(asked, self._own_id, ask, self._total_of, now)
            self._deliver(answers, now)
            return
        future = self._link.request(asked.holder.address, ask, timeout_s=ASK_TIMEOUT_S)
        future.add_done_callback(lambda done: self._post_answer(asked, done))

    def _post_answer(self, asked: _Asked, done: "Future[Any]") -> None:
        result = None if done.cancelled() else done.result()
        self.post(_AskDone(asked, result))

    def _on_answer(self, asked: _Asked, result: Any, now: float) -> None:
        if not isinstance(result, TokenGrants):
            if asked.holder is not None:
                self._note_failure(asked.holder.instance, result, now)
            self._stock.failed(asked.asks, now)
            return
        if asked.holder is not None:
            self._table.answered(asked.holder.instance)
        address = asked.holder.address if asked.holder else None
        self._stock.granted(
            result.grants, asked.asks, address, asked_at=asked.asked_at, now=now
        )

    def _note_failure(self, instance: str, result: Any, now: float) -> None:
        _LOGGER.warning("rates: no answer. %s", instance)
        problem = result.problem if isinstance(result, PeerFailure) else None
        if problem is PeerProblem.TIMEOUT:
            self._table.timed_out(instance, now)
        else:
            self._table.avoid(instance, now)

    def _deliver(self, answers: list[Answer], now: float) -> None:
        for answer in answers:
            if isinstance(answer.key, _Asked):
                self._on_answer(answer.key, answer.grants, now)
            else:
                assert isinstance(answer.key, _Responding)
                answer.key.responder.answer(answer.grants)

    def _send_closes(self, now: float) -> None:
        closes_by_holder = self._stock.due_closes(now, everything=self._leaving)
        for holder, closes in closes_by_holder.items():
            self._send_close(holder, tuple(closes), now)

    def _send_close(
        self, holder: PeerAddress | None, closes: tuple[GrantClose, ...], now: float
    ) -> None:
        if holder is None:
            self._node.close(self._own_id, closes, now)
        else:
            self._link.send(holder, TokenCloses(closes))

    def _start_calls(self, now: float) -> None:
        for call in self._node.calls(self._total_of, now):
            self._calls.submit(self._run_call, call)

    def _run_call(self, call: LedgerCall) -> None:
        try:
            result = self._store.run(call)
        except Exception:
            _LOGGER.exception("rates: platform call failed.")
            result = Unresolved()
        self._inbox.put(_CallDone(call, result))

    def _on_ask(self, peer: PeerIdentity, message: Any, responder: Responder) -> None:
        self.post(_PeerAsk(peer, message, responder))

    def _on_closes(
        self, peer: PeerIdentity, message: Any, responder: Responder
    ) -> None:
        self.post(_PeerCloses(peer, message.closes))


def _process_id(identity: PeerIdentity) -> str:
    return f"{identity.instance}/{identity.incarnation}"
