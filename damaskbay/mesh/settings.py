"""Settings of the event-driven daemon, as given by its platform."""

from dataclasses import dataclass, fields, replace

from damaskbay.ports.peer import PeerAddress

DEFAULT_MEMORY_BYTES = 200 * 1024 * 1024
"""Memory of the process if the platform does not limit it."""

DEFAULT_MAX_DESCRIPTORS = 4096
"""Descriptors of the process if the platform does not limit them."""

DEFAULT_COLD_OVERAGE = 1.0
DEFAULT_COLD_SLACK = 1.0
"""Without a bound of the platform, one request above the warm-up rate in a second."""

APPLIED_WHILE_RUNNING = frozenset(
    {
        "drain_s",
        "grace_s",
        "revoke_s",
        "quota_overage",
        "quota_slack",
        "cold_overage",
        "cold_slack",
        "failure_domains",
        "digest",
    }
)


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """
    Addresses and limits of one daemon; times in seconds.

    The daemon listens on `callers`, `control`, `readiness`, `peers` and `metrics`.
    Peers reach it at `advertised`, None for `peers`.
    The local server at `server` belongs to `pool`. The fleet may send a pool at
    most `retry_ratio` times its calls, plus `retry_slack`, as retries. A workspace
    may exceed its rate and burst by the part `quota_overage` and `quota_slack`
    requests. A cold server may get its warm-up rate times `cold_overage`, plus
    `cold_slack`, requests in a second; `limits_cold_servers` is whether the platform
    names such a bound. The process may use `memory_bytes` and open
    `max_descriptors`. `digest` identifies the settings file. `failure_domains` are the
    names of all domains, empty if the platform doesn't give them.
    """

    instance: str
    failure_domain: str
    pool: str
    callers: PeerAddress
    control: PeerAddress
    readiness: PeerAddress
    peers: PeerAddress
    metrics: PeerAddress
    server: PeerAddress
    store: PeerAddress
    drain_s: float
    grace_s: float
    revoke_s: float
    retry_ratio: float
    retry_slack: float
    quota_overage: float
    quota_slack: float
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    advertised: PeerAddress | None = None
    digest: str = ""
    cold_overage: float = DEFAULT_COLD_OVERAGE
    cold_slack: float = DEFAULT_COLD_SLACK
    limits_cold_servers: bool = False
    failure_domains: frozenset[str] = frozenset()


def fields_that_need_a_restart(active: MeshSettings, new: MeshSettings) -> list[str]:
    """Return the changed fields that a running daemon cannot apply."""
    return [
        item.name
        for item in fields(MeshSettings)
        if item.name not in APPLIED_WHILE_RUNNING
        and getattr(active, item.name) != getattr(new, item.name)
    ]


def with_applied_fields(active: MeshSettings, new: MeshSettings) -> MeshSettings:
    """Return the active settings with the fields that a running daemon applies."""
    return replace(
        active, **{name: getattr(new, name) for name in APPLIED_WHILE_RUNNING}
    )


@dataclass(slots=True)
class SettingsHistory:
    """The digest of the settings file in use, and how many files were read."""

    digest: str
    applied: int = 1
    refused: int = 0

    def record_applied(self, digest: str) -> None:
        """Record that a file is now in use."""
        self.digest = digest
        self.applied += 1
