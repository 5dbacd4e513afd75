"""Identifies the workspace of a caller by its API key."""

from damaskbay.config.objects import Access, ConfigSet, Route, Workspace
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.helpers.keys import digest_of
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import REVOKE_MARGIN_S, UNPROVEN_RETRY_S


class Identification:
    """
    Finds the workspace of a key.

    A request with an API key is served only if the configuration was proven to be
    the newest within `proof_valid_s` seconds.
    """

    def __init__(self, configuration: Configuration, proof_valid_s: float) -> None:
        self._configuration = configuration
        self.proof_valid_s = proof_valid_s

    def workspace(
        self, config: ConfigSet, route: Route, secret: str | None, now: float
    ) -> Workspace | Refusal | None:
        """Return the workspace of the API key, a refusal, or None on an open route."""
        if route.access is Access.OPEN:
            return None
        if secret is None:
            return not_run(Reason.KEY_MISSING)
        age_s = self._configuration.proof_age_s(now)
        if age_s is None or age_s > self.proof_valid_s - REVOKE_MARGIN_S:
            detail = f"version {config.version}, proof age {age_s}"
            return not_run(
                Reason.CONFIGURATION_UNPROVEN,
                retry_after_s=UNPROVEN_RETRY_S,
                detail=detail,
            )
        key = config.keys_by_digest.get(digest_of(secret))
        if key is None:
            return not_run(Reason.KEY_UNKNOWN)
        return config.workspaces_by_name[key.workspace]
