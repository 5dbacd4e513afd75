"""Options and counters of peer streams."""

from dataclasses import dataclass

from damaskbay.const import MAX_BODY_BYTES


@dataclass(frozen=True, slots=True)
class PeerStreamOptions:
    """
    Limits and times of peer streams; times in seconds.

    A stream with requests in flight that receives no byte for `heartbeat_s` is
    pinged, then at intervals that double up to `busy_heartbeat_max_s`. If a ping
    gets no reply for `suspect_heartbeats` times `heartbeat_s`, the stream is
    suspect and new requests use a new stream; after `unresponsive_heartbeats`
    times `heartbeat_s` it is closed. Streams without requests are pinged every
    `idle_heartbeat_s`.
    """

    max_frame_bytes: int = MAX_BODY_BYTES + 1024 * 1024
    max_queue_bytes: int = 2 * MAX_BODY_BYTES
    max_streams: int = 1_024
    max_unauthenticated_streams: int = 128
    max_requests: int = 4_096
    max_running_per_stream: int = 1_024
    max_commands: int = 16_384
    handshake_timeout_s: float = 2.0
    reconnect_delay_s: float = 0.05
    heartbeat_s: float = 0.25
    busy_heartbeat_max_s: float = 1.0
    suspect_heartbeats: float = 1.0
    unresponsive_heartbeats: float = 4.0
    idle_heartbeat_s: float = 5.0
    idle_close_s: float = 60.0
    tick_s: float = 0.1
    backlog: int = 128


@dataclass(slots=True)
class PeerStreamStats:
    """Counters since the start, and current sizes (`streams`, `requests`)."""

    streams: int = 0
    requests: int = 0
    streams_opened: int = 0
    streams_accepted: int = 0
    streams_refused: int = 0
    streams_failed: int = 0
    streams_unresponsive: int = 0
    streams_suspect: int = 0
    streams_slow: int = 0
    streams_idle_closed: int = 0
    proofs_rejected: int = 0
    frames_rejected: int = 0
    messages_rejected: int = 0
    replies_unmatched: int = 0
    replies_dropped: int = 0
    sends_dropped: int = 0
    requests_sent: int = 0
    requests_received: int = 0
    requests_timed_out: int = 0
    requests_cancelled: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
