"""Options of the client library."""

from dataclasses import dataclass

from damaskbay.const import MAX_BODY_BYTES


@dataclass(frozen=True, slots=True)
class DaemonAddress:
    """IP address and TCP port at which a daemon listens for callers."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """
    Limits and times of a client; times in seconds.

    `max_attempts` includes the first attempt of a call. A failed daemon is
    avoided for `avoid_s`, doubled with each consecutive failure up to
    `avoid_max_s`.
    """

    max_attempts: int = 4
    connect_timeout_s: float = 1.0
    idle_connection_s: float = 4.0
    max_idle_connections: int = 32
    max_body_bytes: int = MAX_BODY_BYTES
    back_off_s: float = 0.05
    back_off_max_s: float = 2.0
    retry_after_spread: float = 0.3
    avoid_s: float = 0.5
    avoid_max_s: float = 30.0
    request_id_batch: int = 20
