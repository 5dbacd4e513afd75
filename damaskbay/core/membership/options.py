"""Times and sizes of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """
    Times in seconds, sizes in bytes.

    A daemon sends one probe each `probe_period_s`; a probe without an answer for
    `direct_timeout_s` goes through `indirect_probes` others, and makes its target
    suspect after `probe_timeout_s`. A suspect is dead after `suspicion_s`. News
    go at once to `rumor_fanout` members within `rumor_bytes_per_s`, and ride on
    probes `retransmit_factor` times the binary logarithm of the members.

    `delegates` daemons of a failure domain speak for it. They keep their addresses
    in the platform under `contact_lease_s`, read all of them every
    `contact_period_s`, ask the other domains every `summary_period_s` and tell
    changes at once to who asked in the last `subscription_s`; others ask them every
    `question_period_s`. A domain that is silent for `domain_lost_s` is left out.
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
    updates_bytes: int = 900
    sync_period_s: float = 10.0
    reconnect_period_s: float = 5.0
    pause_s: float = 2.0
    tombstone_s: float = 3_600.0
    delegates: int = 3
    contact_period_s: float = 20.0
    contact_renew_s: float = 180.0
    contact_lease_s: float = 600.0
    summary_period_s: float = 4.0
    question_period_s: float = 12.0
    subscription_s: float = 40.0
    domain_lost_s: float = 30.0
    wanted_s: float = 120.0
