"""Errors that stay inside the HTTP/1.1 adapter."""


class BadAnswerError(Exception):
    """Bytes that are no answer to the request that was sent."""
