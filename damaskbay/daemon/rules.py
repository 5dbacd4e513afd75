"""Thread-safe queries of the active configuration set."""

from damaskbay.core.call import CallContext
from damaskbay.core.identify import refuse_withdrawn
from damaskbay.core.outcome import Refusal
from damaskbay.ports.fleet import ConfigSource

DEFAULT_WEIGHT = 1.0


class CurrentRules:
    """Reads rules from the configuration set that is active when a method is called."""

    def __init__(self, source: ConfigSource) -> None:
        self._source = source

    def weight_of(self, workspace: str) -> float:
        """Return a workspace's weight in fair queueing."""
        state = self._source.state()
        if state is None:
            return DEFAULT_WEIGHT
        found = state.config.workspaces_by_name.get(workspace)
        return found.weight if found is not None else DEFAULT_WEIGHT

    def other_domains(self, pool: str) -> bool:
        """Return whether calls of a pool may be sent to remote failure domains."""
        state = self._source.state()
        if state is None:
            return False
        found = state.config.pools_by_name.get(pool)
        return found is not None and found.other_domains

    def refuse_withdrawn(self, context: CallContext) -> Refusal | None:
        """
        Refuse a waiting call whose key, workspace or route has been withdrawn.

        Returns None if the call was admitted under a newer configuration set than
        this daemon's: the older set may lack a key that has just been granted.
        """
        state = self._source.state()
        if state is None or state.config.version < context.config_version:
            return None
        return refuse_withdrawn(state.config, context)
