"""Errors internal to the HTTP/1.1 adapter."""


class BadAnswerError(Exception):
    """The response cannot be used: it is encoded or too large."""
