"""Exceptions of the platform adapter."""


class FieldError(Exception):
    """Missing or invalid field of a platform document; the message names the field."""
