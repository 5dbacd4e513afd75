"""Route lookup by host, method and path, with dictionary lookups only."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import unquote

from damaskbay.config.const import ANY_HOST, MAX_PATH_LENGTH
from damaskbay.config.objects import ConfigSet, Route

_UNSAFE_IN_SEGMENT = frozenset("/\\\x00")


@dataclass(frozen=True, slots=True)
class _HostTable:
    routes_by_prefix: dict[str, tuple[Route, ...]]
    max_depth: int


class RouteTable:
    """
    Finds the route of a request.

    An exact host takes precedence over "*"; then the longest path prefix (in
    complete segments) that allows the method matches. A path that a backend
    server could resolve to another path (dot segments, empty segments, an encoded
    slash) has no route, so a caller cannot bypass a keyed route through an open
    one.
    """

    def __init__(self, config: ConfigSet) -> None:
        self._routes_by_name = config.routes_by_name
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in config.routes_by_name.values():
            by_host[route.host].append(route)
        self._tables_by_host = {
            host: _host_table(routes) for host, routes in by_host.items()
        }

    def for_config(self, config: ConfigSet) -> "RouteTable":
        """Return a table for a set; it is this table if no route changed."""
        if config.routes_by_name is self._routes_by_name:
            return self
        return RouteTable(config)

    def match(self, host: str, method: str, path: str) -> Route | None:
        """Return the route, or None; `path` is as received and may include a query."""
        segments = split_path(path)
        if segments is None:
            return None
        for name in (normalize_host(host), ANY_HOST):
            table = self._tables_by_host.get(name)
            if table is None:
                continue
            for prefix in _prefixes(segments, table.max_depth):
                for route in table.routes_by_prefix.get(prefix, ()):
                    if not route.methods or method in route.methods:
                        return route
        return None


class PrefixTable:
    """Finds the route of a request by the longest literal prefix of its path."""

    def __init__(self, config: ConfigSet) -> None:
        self._by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in config.routes_by_name.values():
            self._by_host[normalize_host(route.host)][route.path_prefix] = route

    def match(self, host: str, target: str) -> Route | None:
        """Return the route, or None; path prefixes begin and end with a slash."""
        by_prefix = self._by_host.get(normalize_host(host))
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/") + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def normalize_prefix(path_prefix: str) -> str:
    """Return the prefix without trailing slashes; "" matches every path."""
    return path_prefix.rstrip("/")


def _host_table(routes: list[Route]) -> _HostTable:
    by_prefix: dict[str, tuple[Route, ...]] = {}
    for route in routes:
        prefix = normalize_prefix(route.path_prefix)
        by_prefix[prefix] = (*by_prefix.get(prefix, ()), route)
    return _HostTable(by_prefix, max(prefix.count("/") for prefix in by_prefix))


def normalize_host(host: str) -> str:
    """Return a request's host in lower case, without port and trailing dot."""
    name = host.lower()
    if name.startswith("["):
        return name[: name.find("]") + 1]
    return name.partition(":")[0].rstrip(".")


def split_path(path: str) -> list[str] | None:
    """Return the decoded segments of a path, or None if it is ambiguous."""
    raw = path.partition("?")[0].partition("#")[0]
    if not raw.startswith("/"):
        return None
    segments = raw[1:].split("/")
    if "%" in raw:
        segments = [unquote(segment) for segment in segments]
    if segments[-1] == "":
        segments.pop()
    for segment in segments:
        name = segment.partition(";")[0]
        if name in {"", ".", ".."} or not _UNSAFE_IN_SEGMENT.isdisjoint(segment):
            return None
    return segments


def _prefixes(segments: list[str], max_depth: int) -> Iterator[str]:
    """Yield the prefixes of a path, from the longest to the empty one."""
    depth = min(len(segments), max_depth)
    prefix = "".join(f"/{segment[:MAX_PATH_LENGTH]}" for segment in segments[:depth])
    for remaining in range(depth, -1, -1):
        yield prefix
        if remaining:
            prefix = prefix[: prefix.rfind("/")]
