"""Errors that stay inside the adapter."""


class BadFrameError(Exception):
    """Bytes that are no frame; the link they came on is closed."""
