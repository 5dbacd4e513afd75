"""A lease as its holder may trust it."""


class HeldLease:
    """
    Valid for `lease_s` from before it was asked for, less `margin_s`.

    The service counts from when the write arrived, so this end is never later.
    Times in seconds of the monotonic clock.
    """

    def __init__(self, *, lease_s: float, margin_s: float) -> None:
        self._trusted_s = lease_s - margin_s
        self._valid_until: float | None = None

    def granted(self, asked_at: float) -> None:
        """Take note that a request begun at `asked_at` was granted."""
        self._valid_until = asked_at + self._trusted_s

    def drop(self) -> None:
        """Hold it no longer."""
        self._valid_until = None

    def holds(self, now: float) -> bool:
        """Tell whether nobody else can hold it now."""
        return self._valid_until is not None and now < self._valid_until
