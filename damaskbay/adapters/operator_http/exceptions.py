"""Errors of the operator listener; they do not leave it."""


class OperatorHttpError(Exception):
    """Base of the listener's errors."""
