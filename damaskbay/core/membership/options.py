"""Timing and size options of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """
    Times in seconds, sizes in bytes.

    A daemon sends one probe every `probe_period_s`. After `direct_timeout_s` without
    an ack, it is also sent through `indirect_probes` other members; after
    `probe_timeout_s` its target becomes suspect, and dead after `suspicion_s` more.
    Updates are sent at once to `rumor_fanout` members within `rumor_bytes_per_s`,
    and are also piggybacked on probes: `retransmit_factor` times the binary
    logarithm of the number of members, with up to `max_updates_bytes` in a datagram.

    After a failed call, a member is avoided for `avoid_s`. Tables are synchronized
    every `sync_period_s`; a crashed member and a seed are pinged every
    `reconnect_period_s`. A gap of `pause_detection_s` between two ticks discards
    pending updates, probes and suspicions. Dead entries are removed after
    `tombstone_s`.

    `delegates` daemons represent a failure domain. They store their addresses in the
    platform with a lease of `contact_lease_s` and read all contacts every
    `contact_period_s`. They send requests to the other domains every
    `delegate_request_period_s`, and send changes at once to the daemons whose last
    request is at most `subscription_s` old. Other daemons send requests to the
    delegates every `member_request_period_s`. An unresponsive domain is removed after
    `domain_timeout_s`.
    """

    probe_period_s: float = 1.0
    direct_timeout_s: float = 0.3
    probe_timeout_s: float = 1.0
    indirect_probes: int = 3
    suspicion_s: float = 3.0
    avoid_s: float = 2.0
    rumor_fanout: int = 5
    rumor_bytes_per_s: float = 6_000.0
    rumor_burst_bytes: float = 24_000.0
    retransmit_factor: int = 3
    max_updates_bytes: int = 900
    sync_period_s: float = 10.0
    reconnect_period_s: float = 5.0
    pause_detection_s: float = 2.0
    tombstone_s: float = 3_600.0
    delegates: int = 3
    contact_period_s: float = 20.0
    contact_renew_s: float = 180.0
    contact_lease_s: float = 600.0
    delegate_request_period_s: float = 4.0
    member_request_period_s: float = 12.0
    subscription_s: float = 40.0
    domain_timeout_s: float = 30.0
    wanted_pool_s: float = 120.0
