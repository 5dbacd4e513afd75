"""What daemons tell each other besides calls."""

from dataclasses import dataclass

from damaskbay.helpers.messages import message
from damaskbay.ports.fleet import ServerState


@message("mesh.note")
@dataclass(frozen=True, slots=True)
class Note:
    """
    A daemon's own state. `load` is calls running and waiting per slot.

    `cold_s` is how much longer the server stays slow after its start.
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


@message("mesh.demand_report")
@dataclass(frozen=True, slots=True)
class DemandReport:
    """A daemon's demand, in requests per second by workspace, to its domain's relay."""

    instance: str
    demand: dict[str, float]


@message("mesh.fleet_state")
@dataclass(frozen=True, slots=True)
class FleetState:
    """
    What the relay of a domain knows: its answer to a report.

    `own` is the reporting daemon's demand as it was counted in the last round, to
    be set against `total`, over `daemons` daemons; 0 where the relay doesn't know
    the fleet yet. `proof_age_s` is how long ago the configuration of this version
    was proven the newest, None where it never was.
    """

    own: dict[str, float]
    total: dict[str, float]
    daemons: int
    config_version: int
    proof_age_s: float | None


@message("mesh.domain_wanted")
@dataclass(frozen=True, slots=True)
class DomainDemandRequest:
    """
    Ask a relay of another domain for the demand on its domain.

    `daemons` of the domain `asked_by` rely on the asking relay, which had its last
    answer `answer_age_s` ago and knows `domains`, sorted.
    """

    asked_by: str
    daemons: int
    answer_age_s: float
    domains: tuple[str, ...]


@message("mesh.token_wanted")
@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Ask for one token of a small workspace; `hops` daemons have passed this on."""

    workspace: str
    hops: int
