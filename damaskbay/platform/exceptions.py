"""Errors that stay inside the adapter."""


class FieldError(Exception):
    """A field that is missing or holds something else; the text names it."""
