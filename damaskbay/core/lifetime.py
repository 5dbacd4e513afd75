"""The end of a daemon's life, from the start of its graceful stop on."""

from dataclasses import dataclass


@dataclass(slots=True)
class Lifetime:
    """
    Records the graceful stop of a daemon.

    `stop_began_at` is in monotonic seconds, None while the daemon isn't stopping.
    `ended` is set when the daemon waits for no request any more.
    """

    stop_began_at: float | None = None
    ended: bool = False

    def begin_stop(self, now: float) -> None:
        """Record the start of the stop; later ones change nothing."""
        if self.stop_began_at is None:
            self.stop_began_at = now

    def since_stop_s(self, moment: float) -> float | None:
        """Return the seconds from the start of the stop to a moment, None before it."""
        if self.stop_began_at is None:
            return None
        return round(moment - self.stop_began_at, 3)
