"""Incremental check of a set that differs from a checked set by a few changes."""

from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping
from itertools import chain

from damaskbay.config.call_graph import reachable_routes
from damaskbay.config.check import (
    check,
    digest_problems,
    pool_problems,
    rank_problems,
    size_problems,
    workspace_problems,
)
from damaskbay.config.check_routes import problems_except_limits
from damaskbay.config.const import MAX_INCREMENTAL_CHANGES
from damaskbay.config.document import Change, Document
from damaskbay.config.exceptions import Problem, Problems
from damaskbay.config.matching import normalize_prefix
from damaskbay.config.objects import Key, Kind, Pool, Route

_LOCALLY_REMOVABLE = frozenset({Kind.KEYS, Kind.ROUTES})


def check_changed(
    before: Document, after: Document, changes: Collection[Change]
) -> Problems:
    """
    Return the problems of a document that results from changing a checked one.

    The result equals `check(after)`. Only what the changes can have broken is
    checked first; the complete set is checked if that finds a problem, or if the
    changes can affect objects that the first check does not cover.
    """
    if _effects_are_local(before, changes) and not any(
        _change_problems(before, after, changes)
    ):
        return ()
    return check(after)


def _effects_are_local(before: Document, changes: Collection[Change]) -> bool:
    """Return whether `_change_problems` checks all that the changes can break."""
    if len(changes) > MAX_INCREMENTAL_CHANGES:
        return False
    for change in changes:
        if change.kind is Kind.LIMITS:
            return False
        if change.item is None and change.kind not in _LOCALLY_REMOVABLE:
            return False
        if change.kind is Kind.ROUTES and _uses_limits(before, change):
            return False
    return True


def _uses_limits(before: Document, change: Change) -> bool:
    """Return whether a route refers to limits, before or after the change."""
    old = before.routes_by_name.get(change.name)
    new = change.item
    return bool(old and old.limits) or (isinstance(new, Route) and bool(new.limits))


def _change_problems(
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
        same_digest = (
            key for key in after.keys_by_name.values() if key.digest in digests
        )
        yield from digest_problems(same_digest)
    if routes:
        names = {kind: after.objects(kind).keys() for kind in Kind}
        affected = _affected_routes(routes, after.routes_by_name)
        yield from problems_except_limits(affected, after.routes_by_name, names)


def _affected_routes(
    changed: set[str], routes: Mapping[str, Route]
) -> dict[str, Route]:
    """
    Return the routes that a change of some routes can break, in document order.

    These are the callers and callees of the changed routes, direct or transitive,
    and the routes with the same host and path prefix.
    """
    remaining = [name for name in changed if name in routes]
    match_keys = {_match_key(routes[name]) for name in remaining}
    found = _callers(changed, routes) | set(remaining)
    found.update(
        chain.from_iterable(reachable_routes(name, routes) for name in remaining)
    )
    return {
        name: route
        for name, route in routes.items()
        if name in found or _match_key(route) in match_keys
    }


def _callers(changed: set[str], routes: Mapping[str, Route]) -> set[str]:
    callers_by_name: dict[str, list[str]] = defaultdict(list)
    for route in routes.values():
        for callee in route.calls:
            callers_by_name[callee].append(route.name)
    found: set[str] = set()
    pending = list(changed)
    while pending:
        for caller in callers_by_name.get(pending.pop(), ()):
            if caller not in found:
                found.add(caller)
                pending.append(caller)
    return found


def _match_key(route: Route) -> tuple[str, str]:
    return route.host, normalize_prefix(route.path_prefix)
