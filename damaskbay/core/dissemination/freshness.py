"""Freshness of the active configuration set."""

from collections.abc import Iterable
from dataclasses import dataclass

_NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Proof:
    """
    Evidence that no set above `version` had been accepted at time `at`.

    `at` is in seconds of the local monotonic clock.
    """

    version: int
    at: float


class Freshness:
    """
    Newest proof and newest report of a platform outage.

    A proof comes from a read of the platform or from a peer's reply. The time of a
    peer's proof is the time of the request minus the age in the reply, so that
    neither a pause nor a slow network makes it look newer than it is.
    """

    def __init__(self) -> None:
        self.proven_at = _NEVER
        self._outage_at = _NEVER

    def record_proof(self, proof: Proof, held_version: int) -> bool:
        """Record a proof; return False if it is for a version above the active one."""
        if proof.version > held_version:
            return False
        self.proven_at = max(self.proven_at, proof.at)
        return True

    def record_outage(self, at: float) -> None:
        """Record that at time `at` no failure domain reached the platform."""
        self._outage_at = max(self._outage_at, at)

    def proof_age_s(self, now: float) -> float | None:
        """Return the age of the newest proof in seconds, None without one."""
        return None if self.proven_at == _NEVER else now - self.proven_at

    def outage_age_s(self, now: float, *, valid_s: float) -> float | None:
        """Return the age in seconds of a valid platform-wide outage report, or None."""
        if self._outage_at <= self.proven_at or now - self._outage_at >= valid_s:
            return None
        return now - self._outage_at


class PlatformReachability:
    """Replies of remote failure domains on whether they reach the platform."""

    def __init__(self, *, outage_after_s: float, valid_s: float) -> None:
        self._outage_after_s = outage_after_s
        self._valid_s = valid_s
        self._reply_by_domain: dict[str, tuple[float, float | None]] = {}

    def record_status(
        self, domain: str, asked_at: float, proof_age_s: float | None
    ) -> None:
        """Record the reply of one remote domain."""
        self._reply_by_domain[domain] = (asked_at, proof_age_s)

    def all_domains_report_outage(
        self, domains: Iterable[str], now: float, *, proven_at: float
    ) -> bool:
        """
        Return whether every known domain reports that it has no recent proof.

        Only replies to requests sent after the local proof, `proven_at`, became
        older than `outage_after_s` count. A domain without any proof, including the
        local one, doesn't count as an outage, because it may have just started.
        """
        if proven_at == _NEVER:
            return False
        since = max(now - self._valid_s, proven_at + self._outage_after_s)
        return all(self._reports_outage(domain, since) for domain in domains)

    def unresponsive_domains(
        self, domains: Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Return the domains without a reply to a request of the last `valid_s`."""
        since = now - self._valid_s
        return tuple(domain for domain in domains if not self._replied(domain, since))

    def _replied(self, domain: str, since: float) -> bool:
        reply = self._reply_by_domain.get(domain)
        return reply is not None and reply[0] >= since

    def _reports_outage(self, domain: str, since: float) -> bool:
        if not self._replied(domain, since):
            return False
        age_s = self._reply_by_domain[domain][1]
        return age_s is not None and age_s >= self._outage_after_s
