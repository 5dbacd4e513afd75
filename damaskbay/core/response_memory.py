"""Accounting of the response bytes that a daemon holds at a time."""

FULL_SHARE = 0.5
"""Part of the limit from which new calls are refused; the rest is for running ones."""


class ResponseMemory:
    """
    Bytes of responses that are being received, or wait for a caller to read them.

    A response that does not fit under the limit is cut off. New calls are refused
    earlier, so that running ones can be completed. Not thread-safe.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @property
    def full(self) -> bool:
        """Return whether new calls should be refused."""
        return self.held_bytes >= FULL_SHARE * self.limit_bytes

    def reserve(self, count: int) -> bool:
        """Add held bytes; return False, adding none, if they exceed the limit."""
        if self.held_bytes + count > self.limit_bytes:
            return False
        self.held_bytes += count
        return True

    def add(self, count: int) -> None:
        """Add bytes that are complete and are held in any case."""
        self.held_bytes += count

    def release(self, count: int) -> None:
        """Subtract bytes that are no longer held."""
        self.held_bytes -= count
