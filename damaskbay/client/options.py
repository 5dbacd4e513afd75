"""Settings of the caller library."""

from dataclasses import dataclass

from damaskbay.const import MAX_BODY_BYTES


@dataclass(frozen=True, slots=True)
class DaemonAddress:
    """Where a daemon listens for callers: IP number and TCP port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """
    Limits and times; times in seconds.

    `max_attempts` counts all sends of one call. A daemon that failed is avoided
    for `avoid_s`, doubled with each failure in a row up to `avoid_max_s`.
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
