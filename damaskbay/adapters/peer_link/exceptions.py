"""Errors internal to the peer link adapter."""


class BadFrameError(Exception):
    """The received bytes are not a valid frame; the link is closed."""
