"""The running calls of this daemon, guarded for use from many threads."""

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
    """A nested call under way: give it back to `CallRegistry.finished`."""

    token: str
    ticket: int
    context: CallContext


@dataclass(frozen=True, slots=True)
class ClosedRun:
    """What a call leaves behind; `nested_s` is its time in nested calls, seconds."""

    retry_tokens_left: int
    nested_s: float


class NestedWatcher(Protocol):
    """Is told when a running call begins and ends to wait for nested calls."""

    def nested_began(self) -> None:
        """Take note that the call waits for nested calls."""
        ...

    def nested_ended(self) -> None:
        """Take note that the call works on by itself."""
        ...


@dataclass(slots=True)
class _NestedTime:
    """How long at least one nested call was under way."""

    watcher: NestedWatcher
    running: int = 0
    since: float = 0.0
    total_s: float = 0.0

    def begin(self, now: float) -> bool:
        """Return True for the first nested call under way."""
        self.running += 1
        if self.running > 1:
            return False
        self.since = now
        return True

    def end(self, now: float) -> bool:
        """Return True for the last nested call under way."""
        self.running -= 1
        if self.running > 0:
            return False
        self.total_s += now - self.since
        return True

    def until(self, now: float) -> float:
        return self.total_s + (now - self.since if self.running else 0.0)


class CallRegistry:
    """Issues call tokens and cancels what runs below a call that has ended."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._tree = CallTree()
        self._tickets = itertools.count(1)
        self._cancellations_by_ticket: dict[int, Cancellation] = {}
        self._nested_by_token: dict[str, _NestedTime] = {}

    def __len__(self) -> int:
        return len(self._tree)

    def open(self, context: CallContext, watcher: NestedWatcher) -> str:
        """Return a fresh call token, good until `close`."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        with self._lock:
            self._tree.open(context, token)
            self._nested_by_token[token] = _NestedTime(watcher)
        return token

    def close(self, token: str) -> ClosedRun:
        """End a call and cancel what still runs below it."""
        with self._lock:
            nested_s = self._nested_by_token.pop(token).until(self._clock())
            closed = self._tree.close(token)
            running = self._take(closed.running)
        _cancel(running)
        return ClosedRun(closed.retry_tokens_left, nested_s)

    def cancel(self, token: str) -> None:
        """Void a call's token and cancel what runs below it."""
        with self._lock:
            running = self._take(self._tree.cancel(token))
        _cancel(running)

    def context(self, token: str) -> CallContext | Refusal:
        """Return the context of the running call that a token belongs to."""
        with self._lock:
            return self._tree.context(token, self._clock())

    def begin_nested(
        self, token: str, route: Route, cancellation: Cancellation
    ) -> NestedCall | Refusal:
        """Start a nested call that ends with the call of the token."""
        with self._lock:
            context = self._tree.child_context(token, route, self._clock())
            if isinstance(context, Refusal):
                return context
            ticket = next(self._tickets)
            self._tree.started(token, ticket, context)
            self._cancellations_by_ticket[ticket] = cancellation
            nested_time = self._nested_by_token[token]
            first = nested_time.begin(self._clock())
        if first:
            nested_time.watcher.nested_began()
        return NestedCall(token, ticket, context)

    def finished(self, nested: NestedCall, retry_tokens_left: int) -> None:
        """End a nested call and take back its unspent retry tokens."""
        with self._lock:
            self._cancellations_by_ticket.pop(nested.ticket, None)
            self._tree.finished(nested.token, nested.ticket, retry_tokens_left)
            nested_time = self._nested_by_token.get(nested.token)
            last = nested_time is not None and nested_time.end(self._clock())
        if nested_time is not None and last:
            nested_time.watcher.nested_ended()

    def _take(self, tickets: tuple[int, ...]) -> list[Cancellation]:
        found = (self._cancellations_by_ticket.pop(item, None) for item in tickets)
        return [item for item in found if item is not None]


def _cancel(cancellations: list[Cancellation]) -> None:
    for cancellation in cancellations:
        cancellation.cancel()
