"""The route table of the set in force, made once per set."""

from damaskbay.config.matching import RouteTable
from damaskbay.ports.fleet import ConfigState


class RouteTables:
    """Keeps the table of the newest set that was asked for."""

    def __init__(self) -> None:
        self._digest = ""
        self._table: RouteTable | None = None

    def matcher(self, state: ConfigState) -> RouteTable:
        """Return the table that belongs to a set."""
        config = state.config
        table = self._table
        if table is None or self._digest != config.digest:
            table = RouteTable(config)
            self._table = table
            self._digest = config.digest
        return table
