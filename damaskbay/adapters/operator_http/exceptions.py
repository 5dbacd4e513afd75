"""Errors internal to the operator listener."""


class OperatorHttpError(Exception):
    """Base of the listener's errors."""
