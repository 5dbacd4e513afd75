"""Thread-safe registry of this daemon's running calls and their nested calls."""

import itertools
import secrets
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from damaskbay.config.objects import Route
from damaskbay.core.call import CallContext
from damaskbay.core.call_tree import CallTree
from damaskbay.core.outcome import Refusal
from damaskbay.helpers.cancellation import Cancellation

TOKEN_BYTES = 24


@dataclass(frozen=True, slots=True)
class NestedCall:
    """A nested call in flight; pass it to `CallRegistry.end_nested` when it ends."""

    token: str
    ticket: int
    context: CallContext


@dataclass(frozen=True, slots=True)
class ClosedCall:
    """Unused retry tokens of an ended call and its seconds spent in nested calls."""

    retry_tokens_left: int
    nested_s: float


class NestedCallListener(Protocol):
    """Callbacks for the start and end of a call's wait for its nested calls."""

    def record_nested_start(self) -> None:
        """Record that the call waits for nested calls."""
        ...

    def record_nested_end(self) -> None:
        """Record that the call no longer waits for nested calls."""
        ...


@dataclass(slots=True)
class _NestedTime:
    """Measures the time during which at least one nested call is in flight."""

    listener: NestedCallListener
    in_flight: int = 0
    started_at: float = 0.0
    total_s: float = 0.0

    def start(self, now: float) -> bool:
        """Record a nested call's start; return whether no other is in flight."""
        self.in_flight += 1
        if self.in_flight > 1:
            return False
        self.started_at = now
        return True

    def end(self, now: float) -> bool:
        """Record a nested call's end; return whether no other is in flight."""
        self.in_flight -= 1
        if self.in_flight > 0:
            return False
        self.total_s += now - self.started_at
        return True

    def total_until(self, now: float) -> float:
        return self.total_s + (now - self.started_at if self.in_flight else 0.0)


class CallRegistry:
    """Issues call tokens and cancels the nested calls of a call that has ended."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._tree = CallTree()
        self._tickets = itertools.count(1)
        self._cancellations_by_ticket: dict[int, Cancellation] = {}
        self._nested_by_token: dict[str, _NestedTime] = {}

    def __len__(self) -> int:
        return len(self._tree)

    def open(self, context: CallContext, listener: NestedCallListener) -> str:
        """Register a call; return its call token, valid until `close` or `cancel`."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        with self._lock:
            self._tree.open(context, token)
            self._nested_by_token[token] = _NestedTime(listener)
        return token

    def close(self, token: str) -> ClosedCall:
        """Unregister a call, cancel its running nested calls and return its totals."""
        with self._lock:
            nested_s = self._nested_by_token.pop(token).total_until(self._clock())
            closed = self._tree.close(token)
            running = self._pop_cancellations(closed.running)
        _cancel(running)
        return ClosedCall(closed.retry_tokens_left, nested_s)

    def cancel(self, token: str) -> None:
        """Revoke a call's token and cancel its nested calls."""
        with self._lock:
            running = self._pop_cancellations(self._tree.cancel(token))
        _cancel(running)

    def context(self, token: str) -> CallContext | Refusal:
        """Return the context of a token's running call, or a refusal."""
        with self._lock:
            return self._tree.context(token, self._clock())

    def begin_nested(
        self, token: str, route: Route, cancellation: Cancellation
    ) -> NestedCall | Refusal:
        """Register a nested call that is cancelled when its parent call ends."""
        with self._lock:
            context = self._tree.child_context(token, route, self._clock())
            if isinstance(context, Refusal):
                return context
            ticket = next(self._tickets)
            self._tree.started(token, ticket, context)
            self._cancellations_by_ticket[ticket] = cancellation
            nested_time = self._nested_by_token[token]
            first = nested_time.start(self._clock())
        if first:
            nested_time.listener.record_nested_start()
        return NestedCall(token, ticket, context)

    def end_nested(self, nested: NestedCall, retry_tokens_left: int) -> None:
        """Unregister a nested call and credit unspent retry tokens to its parent."""
        with self._lock:
            self._cancellations_by_ticket.pop(nested.ticket, None)
            self._tree.finished(nested.token, nested.ticket, retry_tokens_left)
            nested_time = self._nested_by_token.get(nested.token)
            last = nested_time is not None and nested_time.end(self._clock())
        if nested_time is not None and last:
            nested_time.listener.record_nested_end()

    def _pop_cancellations(self, tickets: tuple[int, ...]) -> list[Cancellation]:
        found = (self._cancellations_by_ticket.pop(item, None) for item in tickets)
        return [item for item in found if item is not None]


def _cancel(cancellations: list[Cancellation]) -> None:
    for cancellation in cancellations:
        cancellation.cancel()
