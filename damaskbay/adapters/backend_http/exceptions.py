"""Errors of the adapter to the backend server; they do not leave it."""


class BackendHttpError(Exception):
    """Base of the adapter's errors."""


class AnswerTooLargeError(BackendHttpError):
    """The answer's body is over the limit."""


class AnswerCutShortError(BackendHttpError):
    """The answer's body ended before its declared length."""
