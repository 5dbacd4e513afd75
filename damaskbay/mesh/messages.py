"""Messages between daemons other than calls."""

from dataclasses import dataclass

from damaskbay.helpers.messages import message
from damaskbay.ports.fleet import ServerState


@message("mesh.note")
@dataclass(frozen=True, slots=True)
class Note:
    """
    A daemon's state, sent to its peers.

    `load` and `cold_s` are read by earlier versions alone, and 0; PeerStatus has them.
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


@message("status")
@dataclass(frozen=True, slots=True)
class PeerStatus:
    """
    What changes often at a daemon; acknowledges each note, so it is short.

    `load_permille` is running and waiting calls per slot, in thousandths; `cold_ms`
    the rest of the server's slow start. `members_revision` is the store's revision of
    the last change that the daemon knows of the members' records, proven the last one
    `members_age_ms` milliseconds ago.
    """

    load_permille: int
    cold_ms: int
    members_revision: int
    members_age_ms: int


@message("mesh.server_end")
@dataclass(frozen=True, slots=True)
class ServerEnd:
    """Digests of the requests that a server ran as it ended; answered by a status."""

    digests: tuple[bytes, ...]


@message("mesh.departure")
@dataclass(frozen=True, slots=True)
class Departure:
    """
    The server beside a daemon leaves; answered by the last known departure there.

    `server` is the one that leaves, empty if none is known, and `born_ms` its start.
    """

    instance: str
    server: str
    born_ms: int


@message("mesh.members_wanted")
@dataclass(frozen=True, slots=True)
class MembersRequest:
    """Request for the members' records that changed after a revision of the store."""

    after: int


@message("mesh.members")
@dataclass(frozen=True, slots=True)
class MembersReply:
    """
    Stored records of members up to a revision, and the instances without one.

    If `complete`, these are all records; otherwise those changed after the requested
    revision.
    """

    revision: int
    complete: bool
    records_by_instance: dict[str, bytes]
    removed: tuple[str, ...]


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


@message("mesh.evacuation")
@dataclass(frozen=True, slots=True)
class EvacuationUpdate:
    """
    The evacuated failure domains at a revision of the store; answered by the same.

    Daemons that don't know this message reject it.
    """

    revision: int
    domains: tuple[str, ...]


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
