"""The graph of which route calls which: circles, chains and reach."""

from collections.abc import Collection, Iterator, Mapping

from damaskbay.config.objects import Route

_Routes = Mapping[str, Route]


def cycles(routes: _Routes) -> tuple[tuple[str, ...], ...]:
    """Return one circle of calls for each call that closes one."""
    found: list[tuple[str, ...]] = []
    done: set[str] = set()
    for name in routes:
        if name not in done and routes[name].calls:
            found.extend(_cycles_from(name, routes, done))
    return tuple(found)


def chain_lengths(routes: _Routes, in_cycles: Collection[str]) -> dict[str, int]:
    """
    Return how many calls the longest chain from each route has, itself included.

    Routes that lie on a circle, and those that reach one, are left out.
    """
    lengths: dict[str, int] = {}
    endless = set(in_cycles)
    for root in routes:
        stack = [root]
        while stack:
            name = stack[-1]
            callees = _callees(name, routes)
            open_ones = [
                callee
                for callee in callees
                if callee not in lengths and callee not in endless
            ]
            if name in endless or name in lengths:
                stack.pop()
            elif any(callee in endless for callee in callees):
                endless.add(name)
            elif open_ones:
                stack.extend(open_ones)
            else:
                longest = max((lengths[callee] for callee in callees), default=0)
                lengths[name] = longest + 1
    return lengths


def reach(name: str, routes: _Routes) -> set[str]:
    """Return the routes that a route calls, directly or through others."""
    found: set[str] = set()
    open_ones = [name]
    while open_ones:
        for callee in _callees(open_ones.pop(), routes):
            if callee not in found:
                found.add(callee)
                open_ones.append(callee)
    return found


def _callees(name: str, routes: _Routes) -> list[str]:
    return [callee for callee in routes[name].calls if callee in routes]


def _cycles_from(
    root: str, routes: _Routes, done: set[str]
) -> Iterator[tuple[str, ...]]:
    """Search in depth; `done` gets every route whose calls were all looked at."""
    path = [root]
    on_path = {root: 0}
    rest = [iter(_callees(root, routes))]
    while path:
        callee = next(rest[-1], None)
        if callee is None:
            done.add(path[-1])
            del on_path[path.pop()]
            rest.pop()
        elif callee in on_path:
            yield tuple(path[on_path[callee] :])
        elif callee not in done:
            on_path[callee] = len(path)
            path.append(callee)
            rest.append(iter(_callees(callee, routes)))
