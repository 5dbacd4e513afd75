"""Requests of a link that wait for a reply."""

import asyncio
from dataclasses import dataclass
from typing import Any

from damaskbay.adapters.peer_link.frames import FrameKind
from damaskbay.adapters.peer_link.sending import PartsSender, WriteFrame
from damaskbay.helpers.arrivals import call_after_reading
from damaskbay.ports.peer import PeerFailure, PeerProblem


@dataclass(slots=True)
class _Request:
    future: asyncio.Future[Any]
    repeatable: bool


class PendingRequests:
    """Requests of one link by number, until their senders have taken the outcomes."""

    def __init__(self, write_frame: WriteFrame, sender: PartsSender) -> None:
        self._write_frame = write_frame
        self._sender = sender
        self._by_number: dict[int, _Request] = {}

    def __len__(self) -> int:
        return len(self._by_number)

    @property
    def waiting(self) -> tuple[int, ...]:
        """Return the numbers of the requests that have no outcome yet."""
        return tuple(number for number in self._by_number if self.is_waiting(number))

    def add(self, number: int, *, repeatable: bool) -> asyncio.Future[Any]:
        """Add a request; return the future of its outcome."""
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._by_number[number] = _Request(future, repeatable)
        return future

    def remove(self, number: int) -> None:
        """Forget a request that has ended."""
        self._by_number.pop(number, None)
        self._sender.forget(number)

    def is_waiting(self, number: int) -> bool:
        """Return whether a request has no outcome yet."""
        request = self._by_number.get(number)
        return request is not None and not request.future.done()

    def resolve(self, number: int, outcome: Any) -> None:
        """Set the outcome of a request, unless it has one or nobody waits."""
        request = self._by_number.get(number)
        if request is not None and not request.future.done():
            request.future.set_result(outcome)

    def fail(self, number: int, problem: PeerProblem, detail: str = "") -> None:
        """Fail a request that waits, and cancel it at the peer."""
        if self.is_waiting(number):
            self._write_frame(FrameKind.CANCEL, number, b"")
            self.resolve(number, self._failure(number, problem, detail))

    def interrupt(self) -> None:
        """Fail as INTERRUPTED, and cancel, those that have no reply by now."""
        for number in self.waiting:
            call_after_reading(self.fail, number, PeerProblem.INTERRUPTED)

    def fail_repeatable(self) -> None:
        """
        Fail as LOST, and cancel, those that may be sent again elsewhere.

        Those that were not sent to their end fail as NOT_SENT.
        """
        for number in self.waiting:
            repeatable = self._by_number[number].repeatable
            if repeatable or self._sender.is_incomplete(number):
                self.fail(number, PeerProblem.LOST, "peer is silent")

    def reject_from(self, first_number: int, failure: PeerFailure) -> None:
        """Fail those from a number on, which the peer has not handled."""
        for number in self.waiting:
            if number >= first_number:
                self.resolve(number, failure)

    def lose_all(self, why: str) -> None:
        """Fail all as LOST after the end of the connection, and forget them."""
        for number in self.waiting:
            self.resolve(number, self._failure(number, PeerProblem.LOST, why))
        self._by_number.clear()

    def _failure(self, number: int, problem: PeerProblem, detail: str) -> PeerFailure:
        """Return a failure; a request that was not sent to its end has not run."""
        if self._sender.is_incomplete(number):
            return PeerFailure(PeerProblem.NOT_SENT, f"cut while sent: {problem.value}")
        return PeerFailure(problem, detail)
