"""Errors inside the peer stream adapter; callers get a PeerFailure instead."""


class PeerStreamError(Exception):
    """The stream has to be closed."""


class FrameError(PeerStreamError):
    """The peer sent an invalid frame, or one that is not allowed at this point."""


class ProofError(PeerStreamError):
    """The peer did not prove that it knows an accepted secret."""
