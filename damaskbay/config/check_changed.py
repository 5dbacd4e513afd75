"""The check of a set that came from a checked one by a few changes."""

from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping
from itertools import chain

from damaskbay.config.call_graph import reach
from damaskbay.config.check import (
    check,
    digest_problems,
    pool_problems,
    rank_problems,
    size_problems,
    workspace_problems,
)
from damaskbay.config.check_routes import local_problems
from damaskbay.config.const import MAX_LOCAL_CHANGES
from damaskbay.config.document import Change, Document
from damaskbay.config.exceptions import Problem, Problems
from damaskbay.config.matching import normal_prefix
from damaskbay.config.objects import Key, Kind, Pool, Route

_REMOVABLE = frozenset({Kind.KEYS, Kind.ROUTES})


def check_changed(
    before: Document, after: Document, changes: Collection[Change]
) -> Problems:
    """
    Check a document that came from a checked one by some changes.

    Returns what `check(after)` returns. Looks first at what the changes can have
    made wrong, and at the whole only where that is not enough to tell.
    """
    if _is_local(before, changes) and not any(_problems(before, after, changes)):
        return ()
    return check(after)


def _is_local(before: Document, changes: Collection[Change]) -> bool:
    """Tell whether the faults that the changes can bring lie close to them."""
    if len(changes) > MAX_LOCAL_CHANGES:
        return False
    for change in changes:
        if change.kind is Kind.LIMITS:
            return False
        if change.item is None and change.kind not in _REMOVABLE:
            return False
        if change.kind is Kind.ROUTES and _has_limits(before, change):
            return False
    return True


def _has_limits(before: Document, change: Change) -> bool:
    """Tell whether a route refers to limits, now or before."""
    old = before.routes_by_name.get(change.name)
    new = change.item
    return bool(old and old.limits) or (isinstance(new, Route) and bool(new.limits))


def _problems(
    before: Document, after: Document, changes: Collection[Change]
) -> Iterator[Problem]:
    items = [change.item for change in changes if change.item is not None]
    keys = [item for item in items if isinstance(item, Key)]
    pools = [item for item in items if isinstance(item, Pool)]
    routes = {change.name for change in changes if change.kind is Kind.ROUTES}
    yield from size_problems(after)
    yield from workspace_problems(keys, after.workspaces_by_name.keys())
    yield from pool_problems(pools)
    if before.priorities_by_name is not after.priorities_by_name:
        yield from rank_problems(after.priorities_by_name.values())
    if keys:
        digests = {key.digest for key in keys}
        same = (key for key in after.keys_by_name.values() if key.digest in digests)
        yield from digest_problems(same)
    if routes:
        names = {kind: after.objects(kind).keys() for kind in Kind}
        some = _affected(routes, after.routes_by_name)
        yield from local_problems(some, after.routes_by_name, names)


def _affected(changed: set[str], routes: Mapping[str, Route]) -> dict[str, Route]:
    """
    Return the routes that a change of some routes can make wrong, in order.

    These are all that call the changed ones or are called by them, directly or
    through others, and those of the same host and path prefix.
    """
    standing = [name for name in changed if name in routes]
    places = {_place(routes[name]) for name in standing}
    found = _callers(changed, routes) | set(standing)
    found.update(chain.from_iterable(reach(name, routes) for name in standing))
    return {
        name: route
        for name, route in routes.items()
        if name in found or _place(route) in places
    }


def _callers(changed: set[str], routes: Mapping[str, Route]) -> set[str]:
    callers_by_name: dict[str, list[str]] = defaultdict(list)
    for route in routes.values():
        for callee in route.calls:
            callers_by_name[callee].append(route.name)
    found: set[str] = set()
    open_ones = list(changed)
    while open_ones:
        for caller in callers_by_name.get(open_ones.pop(), ()):
            if caller not in found:
                found.add(caller)
                open_ones.append(caller)
    return found


def _place(route: Route) -> tuple[str, str]:
    return route.host, normal_prefix(route.path_prefix)
