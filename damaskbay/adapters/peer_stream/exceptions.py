"""Errors inside the peer stream adapter; none of them leaves it."""


class PeerStreamError(Exception):
    """The stream cannot go on."""


class FrameError(PeerStreamError):
    """The peer sent bytes that are no frame, or a frame out of place."""


class ProofError(PeerStreamError):
    """The peer did not prove that it knows a secret."""
