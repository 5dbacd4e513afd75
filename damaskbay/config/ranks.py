"""The order in which requests matter: their workspace first, then their route."""

from damaskbay.config.objects import ConfigSet, RankedWorkspace, Route, Workspace


class Ranks:
    """
    Numbers each pair of a workspace's and a route's rank, 0 the most important.

    A workspace without a priority, and a call without a workspace, counts as the
    most important.
    """

    def __init__(self, config: ConfigSet) -> None:
        self._rank_by_priority = {
            name: priority.rank for name, priority in config.priorities_by_name.items()
        }
        own = {self._own(item) for item in config.workspaces_by_name.values()}
        routes = {self._of(item.priority) for item in config.routes_by_name.values()}
        pairs = sorted((first, second) for first in own | {0} for second in routes)
        self._number_by_pair = {pair: number for number, pair in enumerate(pairs)}

    def rank(self, route: Route, workspace: Workspace | None) -> int:
        """Return the rank of a request."""
        first = self._own(workspace)
        return self._number_by_pair[first, self._of(route.priority)]

    def _own(self, workspace: Workspace | None) -> int:
        if not isinstance(workspace, RankedWorkspace):
            return 0
        return self._of(workspace.priority)

    def _of(self, priority: str | None) -> int:
        return 0 if priority is None else self._rank_by_priority[priority]
