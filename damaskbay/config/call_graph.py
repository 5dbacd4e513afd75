"""The call graph of routes: cycles, chain lengths and reachability."""

from collections.abc import Collection, Iterator, Mapping

from damaskbay.config.objects import Route

_Routes = Mapping[str, Route]


def find_cycles(routes: _Routes) -> tuple[tuple[str, ...], ...]:
    """Return one cycle, as route names, for each call that closes a cycle."""
    found: list[tuple[str, ...]] = []
    visited: set[str] = set()
    for name in routes:
        if name not in visited and routes[name].calls:
            found.extend(_cycles_from(name, routes, visited))
    return tuple(found)


def chain_lengths(routes: _Routes, in_cycles: Collection[str]) -> dict[str, int]:
    """
    Return the length of the longest call chain from each route, counting the route.

    Routes on a cycle, and those that reach one, are omitted.
    """
    lengths: dict[str, int] = {}
    cyclic = set(in_cycles)
    for root in routes:
        stack = [root]
        while stack:
            name = stack[-1]
            callees = _callees(name, routes)
            pending = [
                callee
                for callee in callees
                if callee not in lengths and callee not in cyclic
            ]
            if name in cyclic or name in lengths:
                stack.pop()
            elif any(callee in cyclic for callee in callees):
                cyclic.add(name)
            elif pending:
                stack.extend(pending)
            else:
                longest = max((lengths[callee] for callee in callees), default=0)
                lengths[name] = longest + 1
    return lengths


def reachable_routes(name: str, routes: _Routes) -> set[str]:
    """Return the names of the routes that a route calls, directly or transitively."""
    found: set[str] = set()
    pending = [name]
    while pending:
        for callee in _callees(pending.pop(), routes):
            if callee not in found:
                found.add(callee)
                pending.append(callee)
    return found


def _callees(name: str, routes: _Routes) -> list[str]:
    return [callee for callee in routes[name].calls if callee in routes]


def _cycles_from(
    root: str, routes: _Routes, visited: set[str]
) -> Iterator[tuple[str, ...]]:
    """Search depth-first; a route is added to `visited` after all its calls."""
    path = [root]
    on_path = {root: 0}
    iterators = [iter(_callees(root, routes))]
    while path:
        callee = next(iterators[-1], None)
        if callee is None:
            visited.add(path[-1])
            del on_path[path.pop()]
            iterators.pop()
        elif callee in on_path:
            yield tuple(path[on_path[callee] :])
        elif callee not in visited:
            on_path[callee] = len(path)
            path.append(callee)
            iterators.append(iter(_callees(callee, routes)))
