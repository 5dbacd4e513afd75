"""The running calls of this daemon's backend server and what they called in turn."""

from dataclasses import dataclass, field, replace

from damaskbay.config.objects import Route
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.retry.tokens import split

MAX_DEPTH = 12


@dataclass(frozen=True, slots=True)
class ClosedCall:
    """
    What is left of a call whose request has ended.

    `retry_tokens_left` go back to its parent. `running` are the tickets of
    nested calls that still run and are to be cancelled.
    """

    retry_tokens_left: int
    running: tuple[int, ...]


@dataclass(slots=True)
class _OpenCall:
    context: CallContext
    tokens: int
    parent: str | None
    running_by_ticket: dict[int, int] = field(default_factory=dict)
    children: set[str] = field(default_factory=set)


class CallTree:
    """
    Maps the call token of each running request to the context its calls inherit.

    Tokens are secrets of high entropy made by the caller of this class; one is
    valid from `open` to `close`, `cancel` or the call's deadline.
    """

    def __init__(self, max_depth: int = MAX_DEPTH) -> None:
        self._max_depth = max_depth
        self._by_token: dict[str, _OpenCall] = {}

    def __len__(self) -> int:
        return len(self._by_token)

    def open(
        self, context: CallContext, token: str, *, parent: str | None = None
    ) -> None:
        """
        Make the token valid for a request that is about to run.

        `parent` is the token of the call that made this one, where that call
        runs beside the same daemon.
        """
        self._by_token[token] = _OpenCall(context, context.retry_tokens, parent)
        if parent in self._by_token:
            self._by_token[parent].children.add(token)

    def context(self, token: str, now: float) -> CallContext | Refusal:
        """Return the context of a running call."""
        call = self._by_token.get(token)
        if call is None:
            return not_run(Reason.CALL_TOKEN_UNKNOWN)
        if now >= call.context.deadline:
            return not_run(Reason.DEADLINE_PASSED)
        return call.context

    def child_context(
        self, token: str, route: Route, now: float
    ) -> CallContext | Refusal:
        """
        Return the context of a nested call and move retry tokens to it.

        It has the root's call id, workspace and priority, and the earlier of the
        root's deadline and the route's. The tokens come back by `finished`.
        """
        context = self.context(token, now)
        if isinstance(context, Refusal):
            return context
        if context.depth + 1 > self._max_depth:
            return not_run(Reason.CALL_TOO_DEEP, detail=f"limit is {self._max_depth}")
        call = self._by_token[token]
        tokens = split(call.tokens)
        call.tokens = tokens.kept
        return replace(
            context,
            deadline=min(context.deadline, now + route.deadline_s),
            route=route.name,
            pool=route.pool,
            idempotent=route.idempotent,
            depth=context.depth + 1,
            retry_tokens=tokens.moved,
            request_id=None,
        )

    def started(self, token: str, ticket: int, context: CallContext) -> bool:
        """
        Take note of a nested call that runs under a ticket of the caller's choice.

        Returns False where the outer call has ended meanwhile: cancel it then.
        """
        call = self._by_token.get(token)
        if call is None:
            return False
        call.running_by_ticket[ticket] = context.retry_tokens
        return True

    def finished(self, token: str, ticket: int, retry_tokens_left: int) -> None:
        """Take back what a nested call did not spend of the tokens moved to it."""
        call = self._by_token.get(token)
        if call is None:
            return
        moved = call.running_by_ticket.pop(ticket, 0)
        call.tokens += max(0, min(moved, retry_tokens_left))

    def give_back(self, token: str, context: CallContext) -> None:
        """Take back the tokens of a nested call that was never sent."""
        call = self._by_token.get(token)
        if call is not None:
            call.tokens += context.retry_tokens

    def close(self, token: str) -> ClosedCall:
        """End a call: the token is void from now on."""
        call = self._by_token.get(token)
        if call is None:
            return ClosedCall(0, ())
        return ClosedCall(call.tokens, self.cancel(token))

    def cancel(self, token: str) -> tuple[int, ...]:
        """
        End a call and all below it on this daemon; innermost first.

        Returns the tickets of the nested calls to cancel. What runs beside other
        daemons ends when those tickets are cancelled there.
        """
        call = self._by_token.pop(token, None)
        if call is None:
            return ()
        if call.parent in self._by_token:
            self._by_token[call.parent].children.discard(token)
        tickets: list[int] = []
        for child in sorted(call.children):
            tickets.extend(self.cancel(child))
        tickets.extend(call.running_by_ticket)
        return tuple(tickets)

    def expire(self, now: float) -> tuple[int, ...]:
        """End all calls whose deadline has passed; return the tickets to cancel."""
        passed = [
            token
            for token, call in self._by_token.items()
            if now >= call.context.deadline
        ]
        return tuple(ticket for token in passed for ticket in self.cancel(token))
