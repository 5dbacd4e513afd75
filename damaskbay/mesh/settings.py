"""Settings of the event-driven daemon, as its surroundings gave them."""

from dataclasses import dataclass

from damaskbay.ports.peer import PeerAddress


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """
    One daemon's addresses and bounds; times in seconds.

    `callers`, `control` and `readiness` are listened on, as are `peers` and
    `metrics`. `pool` is what the server at `server` belongs to. At most
    `retry_ratio` times the requests, and `retry_slack` more, may be sent again
    to a pool, over the whole fleet. A workspace may exceed
    its rate and burst by the part `quota_overage`, and `quota_slack` requests.
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
