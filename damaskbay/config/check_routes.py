"""Checks of routes: references, overlaps, call chains, retries and limits."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping

from damaskbay.config.call_graph import chain_lengths, find_cycles, reachable_routes
from damaskbay.config.const import ANY_HOST
from damaskbay.config.exceptions import Problem
from damaskbay.config.matching import normalize_host, normalize_prefix, split_path
from damaskbay.config.objects import Access, Kind, Limit, LimitScope, Route
from damaskbay.config.parsing import ObjectsByKind
from damaskbay.const import MAX_CALL_DEPTH

_Routes = Mapping[str, Route]


def route_problems(
    objects: ObjectsByKind, names: Mapping[Kind, Collection[str]]
) -> Iterator[Problem]:
    """Yield the problems of all routes; `names` includes names of invalid objects."""
    routes: _Routes = objects[Kind.ROUTES]
    limits: Mapping[str, Limit] = objects[Kind.LIMITS]
    yield from problems_except_limits(routes, routes, names)
    yield from _limit_problems(routes, limits)


def problems_except_limits(
    checked: _Routes, routes: _Routes, names: Mapping[Kind, Collection[str]]
) -> Iterator[Problem]:
    """Yield the problems of the routes in `checked`, except those of their limits."""
    for route in checked.values():
        yield from _reference_problems(route, names)
        yield from _callee_problems(route, routes)
        yield from _unreachable_problems(route)
    yield from _overlap_problems(checked)
    yield from _chain_problems(checked)
    yield from _retry_problems(checked.values(), routes)


def _problem(route: Route, field: str, what: str, mend: str) -> Problem:
    return Problem(Kind.ROUTES.value, route.name, field, what, mend)


def _reference_problems(
    route: Route, names: Mapping[Kind, Collection[str]]
) -> Iterator[Problem]:
    references = (
        ("pool", Kind.POOLS, (route.pool,)),
        ("priority", Kind.PRIORITIES, (route.priority,)),
        ("limits", Kind.LIMITS, route.limits),
        ("calls", Kind.ROUTES, route.calls),
    )
    for field, kind, referenced in references:
        for name in referenced:
            if name not in names[kind]:
                yield _problem(
                    route,
                    field,
                    f"there is no {name!r} among the {kind.value}",
                    "Use an existing name, or add the object.",
                )


def _callee_problems(route: Route, routes: _Routes) -> Iterator[Problem]:
    for name in route.calls:
        callee = routes.get(name)
        if callee is None:
            continue
        if route.deadline_s < callee.deadline_s:
            yield _problem(
                route,
                "deadline_s",
                f"{route.deadline_s:g} s is shorter than the {callee.deadline_s:g} s "
                f"of {name!r}, which it calls",
                f"Raise it to {callee.deadline_s:g}, or shorten that of {name!r}.",
            )
        if route.access is Access.OPEN and callee.access is Access.KEYED:
            yield _problem(
                route,
                "calls",
                f"the open route calls the keyed route {name!r}, "
                "but its calls have no workspace",
                f"Make this route keyed, or {name!r} open.",
            )


def _unreachable_problems(route: Route) -> Iterator[Problem]:
    if route.host != ANY_HOST and route.host != normalize_host(route.host):
        mend = f"Write {normalize_host(route.host)!r} instead."
        yield _problem(route, "host", "no request matches this host", mend)
    if ";" in route.path_prefix and split_path(route.path_prefix) is None:
        yield _problem(
            route,
            "path_prefix",
            "requests with this path have no route, as servers resolve it differently",
            "Use a path without '.', '..' and empty segments.",
        )


def _overlap_problems(routes: _Routes) -> Iterator[Problem]:
    routes_by_match_key: dict[tuple[str, str], list[Route]] = defaultdict(list)
    for route in routes.values():
        match_key = (route.host, normalize_prefix(route.path_prefix))
        routes_by_match_key[match_key].append(route)
    for same_match in routes_by_match_key.values():
        first_by_method: dict[str, Route] = {}
        for route in same_match:
            yield from _method_overlaps(route, first_by_method, same_match)


def _method_overlaps(
    route: Route, first_by_method: dict[str, Route], same_match: list[Route]
) -> Iterator[Problem]:
    """Yield a problem for each earlier route that matches some of the methods."""
    methods_by_route: dict[str, set[str]] = defaultdict(set)
    for method in route.methods:
        first = first_by_method.setdefault(method, route)
        if first is not route:
            methods_by_route[first.name].add(method)
    for other in same_match:
        if other is route:
            break
        if not other.methods or not route.methods:
            methods_by_route[other.name].add("every method")
    for name, methods in methods_by_route.items():
        yield _problem(
            route,
            "path_prefix",
            f"matches the same host and path as {name!r} for "
            + ", ".join(sorted(methods)),
            "Change the host, the path prefix or the methods of one of them.",
        )


def _chain_problems(routes: _Routes) -> Iterator[Problem]:
    in_cycles: set[str] = set()
    for cycle in find_cycles(routes):
        in_cycles.update(cycle)
        path = " -> ".join((*cycle, cycle[0]))
        yield _problem(
            routes[cycle[0]],
            "calls",
            f"the calls go round in a circle: {path}",
            "Remove one of these calls.",
        )
    for name, length in chain_lengths(routes, in_cycles).items():
        if length == MAX_CALL_DEPTH + 1:
            yield _problem(
                routes[name],
                "calls",
                f"starts a chain of {length} calls, the limit is {MAX_CALL_DEPTH}",
                "Shorten the chain.",
            )


def _retry_problems(checked: Iterable[Route], routes: _Routes) -> Iterator[Problem]:
    for route in checked:
        if route.idempotent or route.retries == 0:
            continue
        if not any(
            routes[name].idempotent for name in reachable_routes(route.name, routes)
        ):
            yield _problem(
                route,
                "retries",
                "the route is not idempotent and calls no idempotent route, "
                "so no call may be retried",
                "Set retries to 0, or mark the route as idempotent if it is.",
            )


def _limit_problems(routes: _Routes, limits: Mapping[str, Limit]) -> Iterator[Problem]:
    routes_by_limit: dict[str, set[str]] = defaultdict(set)
    for route in routes.values():
        for name in route.limits:
            routes_by_limit[name].add(route.name)
    for route in routes.values():
        existing = [limits[name] for name in route.limits if name in limits]
        for limit in existing:
            if limit.scope is LimitScope.WORKSPACE and route.access is Access.OPEN:
                yield _problem(
                    route,
                    "limits",
                    f"{limit.name!r} counts each workspace's calls, "
                    "but the route is open to all",
                    "Make the route keyed, or use a limit of scope 'route'.",
                )
        yield from _redundant_limits(route, existing, routes_by_limit)


def _redundant_limits(
    route: Route, existing: list[Limit], routes_by_limit: Mapping[str, set[str]]
) -> Iterator[Problem]:
    """Yield a problem for each limit that a tighter one makes redundant."""
    for loose in existing:
        for tight in existing:
            if (
                loose.name != tight.name
                and loose.scope is tight.scope
                and loose.rate_per_s >= tight.rate_per_s
                and loose.burst >= tight.burst
                and (loose.rate_per_s, loose.burst, loose.name)
                > (tight.rate_per_s, tight.burst, tight.name)
                and routes_by_limit[loose.name] <= routes_by_limit[tight.name]
            ):
                yield _problem(
                    route,
                    "limits",
                    f"{loose.name!r} has no effect, "
                    f"since {tight.name!r} is as tight or tighter",
                    f"Remove {loose.name!r}, or change the rates and bursts.",
                )
