"""How surely the set in force is the newest."""

from collections.abc import Iterable
from dataclasses import dataclass

_NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Proof:
    """No set above `version` had been accepted at `at` (local monotonic clock)."""

    version: int
    at: float


class Freshness:
    """
    Keeps the newest proof and since when nobody reaches the platform.

    A proof comes from an own read, or from a peer's answer; then it counts from
    when the peer was asked, less the age that it told, so that neither a pause nor
    a slow network makes it younger than it is.
    """

    def __init__(self) -> None:
        self.proven_at = _NEVER
        self._outage_at = _NEVER

    def prove(self, proof: Proof, held_version: int) -> bool:
        """Take a proof; False where a newer set is missing here."""
        if proof.version > held_version:
            return False
        self.proven_at = max(self.proven_at, proof.at)
        return True

    def note_outage(self, at: float) -> None:
        """Take note that at `at` no failure domain reached the platform."""
        self._outage_at = max(self._outage_at, at)

    def proof_age_s(self, now: float) -> float | None:
        """Return the age of the newest proof; None without one."""
        return None if self.proven_at == _NEVER else now - self.proven_at

    def outage_age_s(self, now: float, *, valid_s: float) -> float | None:
        """Return how old the news of an outage for all is; None where none holds."""
        if self._outage_at <= self.proven_at or now - self._outage_at >= valid_s:
            return None
        return now - self._outage_at


class ReachBoard:
    """What the other failure domains say of the platform."""

    def __init__(self, *, outage_after_s: float, valid_s: float) -> None:
        self._outage_after_s = outage_after_s
        self._valid_s = valid_s
        self._heard_by_domain: dict[str, tuple[float, float | None]] = {}

    def heard(self, domain: str, asked_at: float, proof_age_s: float | None) -> None:
        """Take one domain's answer."""
        self._heard_by_domain[domain] = (asked_at, proof_age_s)

    def outage_for_all(
        self, domains: Iterable[str], now: float, *, proven_at: float
    ) -> bool:
        """
        Tell whether every known domain says that it has no recent proof.

        Answers to what was asked before this domain itself was without one, since
        `proven_at`, tell nothing of now. Nor does a domain without any proof, this
        one included: it may just have started.
        """
        if proven_at == _NEVER:
            return False
        since = max(now - self._valid_s, proven_at + self._outage_after_s)
        return all(self._without_platform(domain, since) for domain in domains)

    def unreachable(self, domains: Iterable[str], now: float) -> tuple[str, ...]:
        """Return the domains that gave no answer lately."""
        since = now - self._valid_s
        return tuple(domain for domain in domains if not self._answered(domain, since))

    def _answered(self, domain: str, since: float) -> bool:
        heard = self._heard_by_domain.get(domain)
        return heard is not None and heard[0] >= since

    def _without_platform(self, domain: str, since: float) -> bool:
        if not self._answered(domain, since):
            return False
        age_s = self._heard_by_domain[domain][1]
        return age_s is not None and age_s >= self._outage_after_s
