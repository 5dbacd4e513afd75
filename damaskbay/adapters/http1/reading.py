"""Whether a connection is read from, and the reasons to pause that for a while."""

import asyncio
from collections.abc import Callable

from damaskbay.adapters.http1.const import MAX_PAUSE_S, PAUSE_SHARE
from damaskbay.adapters.http1.exchange import EarlyRefusal
from damaskbay.adapters.http1.sockets import ready_descriptors
from damaskbay.helpers.clock import monotonic_s


class ReadingControl:
    """
    Pauses and resumes the reading of one connection.

    It is paused while its caller is `congested`, has too much in flight, until other
    connections had their turn, or until a caller that comes back too early may. So is
    the parsing of what was read, of which some may be `unparsed`; `parse` goes on with
    it in a later pass of the event loop.
    """

    def __init__(self, parse: Callable[[], None] = lambda: None) -> None:
        self._parse = parse
        self._has_unparsed = False
        self._transport: asyncio.Transport | None = None
        self._congested = False
        self._yields = False
        self._waits = False
        self._reads_to_the_end = False
        self._may_return_at = 0.0
        self._waits_since = 0.0
        self._unread_since: float | None = None
        self.is_paused = False

    def start(self, transport: asyncio.Transport) -> None:
        """Control the transport of a connection that was made."""
        self._transport = transport

    @property
    def holds_back(self) -> bool:
        """Return whether no request is parsed now."""
        return self._congested or self._waits or self._yields

    @property
    def is_congested(self) -> bool:
        """Return whether the caller has too many requests or unread bytes."""
        return self._congested

    def set_congested(self, congested: bool) -> None:
        """Record whether the caller has too many requests or unread bytes."""
        if congested is self._congested:
            return
        self._congested = congested
        if self._has_unparsed and not congested:
            self.let_others_read()
        else:
            self._apply()

    def set_unparsed(self, has_unparsed: bool) -> None:
        """Record whether bytes that were read wait to be parsed."""
        if not has_unparsed and not self._has_unparsed:
            return
        self._has_unparsed = has_unparsed
        if has_unparsed and not self.holds_back:
            self.let_others_read()
        else:
            self._apply()

    def let_others_read(self) -> None:
        """Read on in a later pass of the event loop, after other connections."""
        if not self._yields:
            asyncio.get_running_loop().call_soon(self._end_yield)
            self._yields = True
            self._apply()

    def record_refusal(self, refusal: EarlyRefusal, now: float) -> None:
        """
        Read on later if a caller that was refused before has come back too early.

        Otherwise callers that send again at once would take the processor from the
        calls that were begun.
        """
        is_early = refusal.pauses or now < self._may_return_at
        self._may_return_at = now + refusal.retry_after_s
        if is_early:
            longest_s = min(MAX_PAUSE_S, PAUSE_SHARE * refusal.timeout_s)
            self.wait(min(longest_s, refusal.retry_after_s))

    def wait(self, pause_s: float) -> None:
        """Read nothing for so many seconds, unless a pause has begun."""
        if self._waits:
            return
        asyncio.get_running_loop().call_later(pause_s, self.end_wait)
        self._waits = True
        self._waits_since = monotonic_s()
        self._apply()

    def read_to_the_end(self) -> None:
        """Pause no more: what the caller still sends is discarded."""
        self._reads_to_the_end = True
        self._apply()

    def arrival_of_read(self, now: float) -> float:
        """Return when bytes that were read now may have arrived at the earliest."""
        unread_since, self._unread_since = self._unread_since, None
        return now if unread_since is None else unread_since

    def end_wait(self) -> None:
        """Read on after a pause, now if it has not ended by itself."""
        if not self._waits:
            return
        self._waits = False
        if self._transport is not None and not self._transport.is_closing():
            descriptor = self._transport.get_extra_info("socket").fileno()
            if descriptor >= 0 and ready_descriptors([descriptor]):
                self._unread_since = self._waits_since
        if self._has_unparsed:
            self.let_others_read()
        else:
            self._apply()

    def _end_yield(self) -> None:
        self._yields = False
        if self._has_unparsed and not self.holds_back:
            self._parse()
        self._apply()

    def _apply(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        pauses = self.holds_back or self._has_unparsed
        pauses = pauses and not self._reads_to_the_end
        if pauses == self.is_paused:
            return
        self.is_paused = pauses
        if pauses:
            transport.pause_reading()
        else:
            transport.resume_reading()
