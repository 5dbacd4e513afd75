"""Cache of the route table of the active configuration set."""

from damaskbay.config.matching import RouteTable
from damaskbay.ports.fleet import ConfigState


class RouteTables:
    """Caches the route table of the configuration set that was requested last."""

    def __init__(self) -> None:
        self._digest = ""
        self._table: RouteTable | None = None

    def matcher(self, state: ConfigState) -> RouteTable:
        """Return the route table of a configuration set."""
        config = state.config
        table = self._table
        if table is None or self._digest != config.digest:
            table = RouteTable(config)
            self._table = table
            self._digest = config.digest
        return table
