"""Errors of the adapter to the backend server; they do not leave it."""

from damaskbay.helpers.http_exchange import AnswerCutShortError, AnswerTooLargeError

__all__ = ["AnswerCutShortError", "AnswerTooLargeError"]
