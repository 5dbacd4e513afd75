"""Messages between daemons other than calls."""

from dataclasses import dataclass

from damaskbay.helpers.messages import message
from damaskbay.ports.fleet import ServerState


@message("mesh.note")
@dataclass(frozen=True, slots=True)
class Note:
    """
    A daemon's state, sent to its peers; `load` is running and waiting calls per slot.

    `cold_s` is the rest of the server's slow start in seconds.
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
class ConfigRequest:
    """Request for a peer's active configuration."""

    newer_than: int


@message("mesh.config_held")
@dataclass(frozen=True, slots=True)
class ConfigReply:
    """A daemon's active configuration; `document` is empty if it isn't newer."""

    version: int
    document: bytes
    proof_age_s: float | None


@message("mesh.demand_report")
@dataclass(frozen=True, slots=True)
class DemandReport:
    """A daemon's demand for its domain's relay, requests per second by workspace."""

    instance: str
    demand: dict[str, float]


@message("mesh.fleet_state")
@dataclass(frozen=True, slots=True)
class FleetState:
    """
    A relay's reply to a demand report.

    `own` is the reporting daemon's demand in the last round, as a part of `total`
    over `daemons` daemons; `daemons` is 0 while the relay doesn't know the fleet.
    `proof_age_s` is how long ago the configuration of this version was proven the
    newest, None if it never was.
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
    Request to a relay of a remote domain for the demand on that domain.

    The sender is a relay of `sender_domain`, on which `daemons` daemons rely.
    It got the last reply `reply_age_s` seconds ago and knows `domains`, sorted.
    """

    sender_domain: str
    daemons: int
    reply_age_s: float
    domains: tuple[str, ...]


@message("mesh.token_wanted")
@dataclass(frozen=True, slots=True)
class PooledTokenRequest:
    """Request for one token of a small workspace, sent `hops` times so far."""

    workspace: str
    hops: int
