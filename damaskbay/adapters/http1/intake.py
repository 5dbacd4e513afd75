"""What a connection reads: bytes that wait, their parser, and when it goes on."""

import http
from collections.abc import Callable

from damaskbay.adapters.http1.connection_server import ConnectionServer
from damaskbay.adapters.http1.const import (
    MAX_BODY_PARTS,
    PARSES_IN_A_ROW,
    REQUESTS_IN_A_ROW,
    SCARCE_UNPARSED_BYTES,
)
from damaskbay.adapters.http1.exceptions import BadRequestError
from damaskbay.adapters.http1.reading import ReadingControl
from damaskbay.adapters.http1.request_parser import RequestParser, RequestReceiver
from damaskbay.adapters.http1.unparsed import UnparsedBytes, end_of_piece
from damaskbay.helpers.clock import monotonic_s


class Intake:
    """
    Parses the requests of one connection until too much is in flight; the rest waits.

    One read may hold thousands of requests, each of which takes memory once begun.
    `on_bad_request` gets the status of the response to what is no valid request.
    `arrived_at` is when the bytes that are parsed were read.
    """

    def __init__(
        self,
        receiver: RequestReceiver,
        server: ConnectionServer,
        on_bad_request: Callable[[http.HTTPStatus], None],
        now: float,
    ) -> None:
        self._server = server
        self._on_bad_request = on_bad_request
        self._unparsed = UnparsedBytes(server.memory)
        self._closed = False
        self.parser = RequestParser(receiver, server.memory, now)
        self.reading = ReadingControl(lambda: self._parse(monotonic_s()))
        self.arrived_at = now

    @property
    def has_unparsed(self) -> bool:
        """Return whether bytes that were read wait to be parsed."""
        return bool(self._unparsed)

    def receive(self, data: bytes, now: float) -> None:
        """Parse bytes that were read now, as far as possible."""
        self.arrived_at = self.reading.arrival_of_read(now)
        # Reading is paused while anything waits.
        if not self.reading.is_paused:
            end = end_of_piece(data, 0, self.parser.body_bytes_left)
            if end == len(data):
                self._feed(data, now)
                return
        self._unparsed.add(data)
        self._parse(now)

    def close(self) -> None:
        """Parse no more, and forget the incomplete request and what follows it."""
        self._closed = True
        self.parser.close()
        self._unparsed.clear()
        self.reading.set_unparsed(False)

    def _parse(self, now: float) -> None:
        unparsed, reading, parser = self._unparsed, self.reading, self.parser
        most = parser.completed + REQUESTS_IN_A_ROW
        for _ in range(PARSES_IN_A_ROW):
            if not unparsed or reading.holds_back or parser.completed >= most:
                break
            self._feed(unparsed.take(parser.body_bytes_left), now)
            if self._closed:
                return
        if unparsed:
            unparsed.count()
            is_scarce = reading.is_congested and self._server.memory.is_scarce
            if is_scarce and len(unparsed) > SCARCE_UNPARSED_BYTES:
                self._on_bad_request(http.HTTPStatus.SERVICE_UNAVAILABLE)
                return
        reading.set_unparsed(bool(unparsed))

    def _feed(self, data: bytes, now: float) -> None:
        try:
            self.parser.feed(data, self._server.limits, now)
        except BadRequestError as error:
            self._on_bad_request(error.status)
        if self.parser.body_parts > MAX_BODY_PARTS:
            self.reading.let_others_read()
