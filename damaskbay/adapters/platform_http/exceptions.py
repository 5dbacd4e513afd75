"""Errors internal to the HTTP client of the platform."""


class BadAnswerError(Exception):
    """The response is incomplete or too large."""


class NotSentError(Exception):
    """No connection could be established, so nothing was sent."""
