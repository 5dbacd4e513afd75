"""What daemons tell each other besides calls."""

from dataclasses import dataclass, field

from damaskbay.helpers.messages import message
from damaskbay.ports.fleet import ServerState


@message("mesh.note")
@dataclass(frozen=True, slots=True)
class Note:
    """
    A daemon's own state. `load` is calls running and waiting per slot.

    `proof_age_s` is how long ago its configuration was proven the newest, None
    where it never was; `demand` is in requests per second by workspace. `cold_s`
    is how much longer the server stays slow after its start.
    """

    instance: str
    incarnation: int
    failure_domain: str
    host: str
    port: int
    pool: str
    state: ServerState
    slots: int
    load: float
    config_version: int
    proof_age_s: float | None
    demand: dict[str, float] = field(default_factory=dict)
    cold_s: float = 0.0


@message("mesh.config_wanted")
@dataclass(frozen=True, slots=True)
class ConfigWanted:
    """Ask a peer for the configuration it has in force."""

    newer_than: int


@message("mesh.config_held")
@dataclass(frozen=True, slots=True)
class ConfigHeld:
    """The configuration a daemon has in force, as it came from the platform."""

    version: int
    document: bytes
    proof_age_s: float | None
