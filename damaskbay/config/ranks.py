"""Request ranks: ordered by the priority of the workspace, then of the route."""

from damaskbay.config.objects import ConfigSet, RankedWorkspace, Route, Workspace


class Ranks:
    """
    Ranks of calls by workspace priority, then route priority; 0 is most important.

    A workspace without a priority, and a call without a workspace, has the highest
    workspace priority.
    """

    def __init__(self, config: ConfigSet) -> None:
        self._rank_by_priority = {
            name: priority.rank for name, priority in config.priorities_by_name.items()
        }
        workspace_ranks = {
            self._workspace_rank(item) for item in config.workspaces_by_name.values()
        }
        route_ranks = {
            self._priority_rank(item.priority)
            for item in config.routes_by_name.values()
        }
        pairs = sorted(
            (workspace_rank, route_rank)
            for workspace_rank in workspace_ranks | {0}
            for route_rank in route_ranks
        )
        self._rank_by_pair = {
            pair: rank_of_pair for rank_of_pair, pair in enumerate(pairs)
        }

    def rank(self, route: Route, workspace: Workspace | None) -> int:
        """Return the rank of a request; 0 is the most important."""
        workspace_rank = self._workspace_rank(workspace)
        return self._rank_by_pair[workspace_rank, self._priority_rank(route.priority)]

    def _workspace_rank(self, workspace: Workspace | None) -> int:
        if not isinstance(workspace, RankedWorkspace):
            return 0
        return self._priority_rank(workspace.priority)

    def _priority_rank(self, priority: str | None) -> int:
        return 0 if priority is None else self._rank_by_priority[priority]
