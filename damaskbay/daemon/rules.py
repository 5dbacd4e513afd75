"""Short questions to the set in force, from any thread."""

from damaskbay.core.call import CallContext
from damaskbay.core.identify import still_allowed
from damaskbay.core.outcome import Refusal
from damaskbay.ports.fleet import ConfigSource

DEFAULT_WEIGHT = 1.0


class CurrentRules:
    """Answers by the set in force at the moment of the question."""

    def __init__(self, source: ConfigSource) -> None:
        self._source = source

    def weight_of(self, workspace: str) -> float:
        """Return a workspace's weight in fair shares."""
        state = self._source.state()
        if state is None:
            return DEFAULT_WEIGHT
        found = state.config.workspaces_by_name.get(workspace)
        return found.weight if found is not None else DEFAULT_WEIGHT

    def other_domains(self, pool: str) -> bool:
        """Tell whether calls of a pool may go to other failure domains."""
        state = self._source.state()
        if state is None:
            return False
        found = state.config.pools_by_name.get(pool)
        return found is not None and found.other_domains

    def still_allowed(self, context: CallContext) -> Refusal | None:
        """
        Refuse a waiting call whose key, workspace or route is withdrawn.

        A call that was let in by a newer set than this daemon's is not judged by
        the older one, which can't know a key that has just been granted.
        """
        state = self._source.state()
        if state is None or state.config.version < context.config_version:
            return None
        return still_allowed(state.config, context)
