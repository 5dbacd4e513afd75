"""Errors internal to the backend server adapter."""

from damaskbay.helpers.http_exchange import AnswerCutShortError, AnswerTooLargeError

__all__ = ["AnswerCutShortError", "AnswerTooLargeError"]
