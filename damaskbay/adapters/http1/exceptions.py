"""Errors internal to the HTTP/1.1 adapter."""

import http


class BadAnswerError(Exception):
    """The response cannot be used: it is encoded or too large."""


class BadRequestError(Exception):
    """An invalid request; `status` is the status of the response."""

    def __init__(self, status: http.HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status
