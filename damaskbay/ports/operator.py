"""Port that the operator listener asks."""

from dataclasses import dataclass
from typing import Any, Protocol

from damaskbay.ports.fleet import ServerState


@dataclass(frozen=True, slots=True)
class Health:
    """Whether the daemon can take calls, and if not, why."""

    reasons: tuple[str, ...] = ()

    @property
    def ready(self) -> bool:
        """Tell whether the daemon can take calls."""
        return not self.reasons

    def document(self) -> dict[str, Any]:
        """Return the JSON document of `/health`."""
        return {"live": True, "ready": self.ready, "why_not_ready": list(self.reasons)}


class OperatorService(Protocol):
    """Answers operators. Safe from any thread."""

    def scrape(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...

    def health(self) -> Health:
        """Return whether the daemon can take calls."""
        ...

    def status(self) -> dict[str, Any]:
        """Return the JSON document of `/status`."""
        ...

    def explain(self, *, call_id: str | None, workspace: str | None) -> dict[str, Any]:
        """Return the JSON document of `/explain`."""
        ...

    def announce(self, state: ServerState, slots: int, load: float) -> None:
        """Take what the local backend server says of itself."""
        ...
