"""Local validity of a lease."""


class HeldLease:
    """
    Lease that is valid for `lease_s` minus `margin_s` from its request.

    The platform counts from the arrival of the write, so the lease never ends later
    here than there. Times are in seconds of the monotonic clock.
    """

    def __init__(self, *, lease_s: float, margin_s: float) -> None:
        self._usable_s = lease_s - margin_s
        self._valid_until: float | None = None

    def record_grant(self, asked_at: float) -> None:
        """Record that the request sent at `asked_at` was granted."""
        self._valid_until = asked_at + self._usable_s

    def drop(self) -> None:
        """Release the lease locally."""
        self._valid_until = None

    def is_held(self, now: float) -> bool:
        """Return whether the lease is held, so that no other daemon can hold it."""
        return self._valid_until is not None and now < self._valid_until
