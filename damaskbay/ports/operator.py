"""Port that serves the requests of the operator listener."""

from dataclasses import dataclass
from typing import Any, Protocol

from damaskbay.ports.fleet import ServerState


@dataclass(frozen=True, slots=True)
class Health:
    """Readiness of the daemon; `reasons` say why it cannot accept calls."""

    reasons: tuple[str, ...] = ()

    @property
    def ready(self) -> bool:
        """Return whether the daemon can accept calls."""
        return not self.reasons

    def document(self) -> dict[str, Any]:
        """Return the JSON document of `/health`."""
        return {"live": True, "ready": self.ready, "why_not_ready": list(self.reasons)}


class OperatorService(Protocol):
    """Service for operators; thread-safe."""

    def scrape(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...

    def health(self) -> Health:
        """Return whether the daemon can accept calls, and why not."""
        ...

    def status(self) -> dict[str, Any]:
        """Return the JSON document of `/status`."""
        ...

    def explain(self, *, call_id: str | None, workspace: str | None) -> dict[str, Any]:
        """Return the JSON document of `/explain`."""
        ...

    def announce(self, state: ServerState, slots: int, load: float) -> None:
        """Publish the state of the local backend server to the other daemons."""
        ...
