"""Errors inside the HTTP client of the platform; none of them leaves it."""


class BadAnswerError(Exception):
    """The service answered what the interface does not know."""


class NotSentError(Exception):
    """No connection could be made, so that no byte of the call left."""
