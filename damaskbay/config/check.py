"""Checks of a complete configuration set; all problems are reported at once."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Any

from damaskbay.config.check_routes import route_problems
from damaskbay.config.const import MAX_DOCUMENT_BYTES, MAX_PROBLEMS
from damaskbay.config.document import Document, make_document, objects_dict
from damaskbay.config.exceptions import Problem, Problems
from damaskbay.config.objects import Key, Kind, Pool, Priority
from damaskbay.config.parsing import ObjectsByKind, ParsedObjects, parse_objects


def read_checked(data: bytes | dict[str, Any]) -> Document | Problems:
    """
    Parse and check a document; return it, or all its problems.

    The name of an object that fails validation still counts as defined, so that
    references to it are not reported as further problems.
    """
    return read_checked_with_base(data)[0]


def read_checked_with_base(
    data: bytes | dict[str, Any],
) -> tuple[Document | Problems, int | None]:
    """
    Return the result of `read_checked` and the version the document is based on.

    The version is None if the document states none.
    """
    parsed = parse_objects(data)
    return _check_parsed(parsed), parsed.based_on_version


def _check_parsed(parsed: ParsedObjects) -> Document | Problems:
    problems = list(parsed.problems)
    names = {
        kind: by_name.keys() | parsed.invalid_names[kind]
        for kind, by_name in parsed.objects.items()
    }
    problems.extend(_consistency_problems(parsed.objects, names))
    if problems:
        return _sort_and_limit(problems)
    document = make_document(parsed.objects)
    return size_problems(document) or document


def check(document: Document) -> Problems:
    """Return all inconsistencies between objects; empty if there are none."""
    objects = {kind: objects_dict(document, kind) for kind in Kind}
    names = {kind: by_name.keys() for kind, by_name in objects.items()}
    problems = [*size_problems(document), *_consistency_problems(objects, names)]
    return _sort_and_limit(problems)


def _consistency_problems(
    objects: ObjectsByKind, names: Mapping[Kind, Collection[str]]
) -> Iterator[Problem]:
    keys = objects[Kind.KEYS]
    yield from workspace_problems(keys.values(), names[Kind.WORKSPACES])
    yield from digest_problems(keys.values())
    yield from rank_problems(objects[Kind.PRIORITIES].values())
    yield from pool_problems(objects[Kind.POOLS].values())
    yield from route_problems(objects, names)


def workspace_problems(
    keys: Iterable[Key], workspaces: Collection[str]
) -> Iterator[Problem]:
    """Yield a problem for each key whose workspace does not exist."""
    for key in keys:
        if key.workspace not in workspaces:
            yield Problem(
                Kind.KEYS.value,
                key.name,
                "workspace",
                f"there is no workspace {key.workspace!r}",
                "Use an existing name, or add the workspace.",
            )


def digest_problems(keys: Iterable[Key]) -> Iterator[Problem]:
    """Yield a problem for each key that shares its digest with an earlier key."""
    first_by_digest: dict[str, str] = {}
    for key in keys:
        first = first_by_digest.setdefault(key.digest, key.name)
        if first != key.name:
            yield Problem(
                Kind.KEYS.value,
                key.name,
                "digest",
                f"the key {first!r} has the same digest",
                "Create a new key, or remove one of the two.",
            )


def rank_problems(priorities: Iterable[Priority]) -> Iterator[Problem]:
    """Yield a problem for each priority that shares its rank with an earlier one."""
    names_by_rank: dict[int, list[str]] = defaultdict(list)
    for priority in priorities:
        names_by_rank[priority.rank].append(priority.name)
    for rank, names in names_by_rank.items():
        for name in names[1:]:
            yield Problem(
                Kind.PRIORITIES.value,
                name,
                "rank",
                f"the priority {names[0]!r} has the rank {rank} too",
                "Give each priority a rank of its own.",
            )


def pool_problems(pools: Iterable[Pool]) -> Iterator[Problem]:
    """Yield a problem for each pool with fewer connections than slots."""
    for pool in pools:
        if pool.connections_per_server < pool.slots_per_server:
            yield Problem(
                Kind.POOLS.value,
                pool.name,
                "connections_per_server",
                f"{pool.connections_per_server} connections can't fill "
                f"{pool.slots_per_server} slots",
                "Allow at least one connection for each slot.",
            )


def size_problems(document: Document) -> Problems:
    """Return a problem if the document is too large, else an empty tuple."""
    size = document.size_bytes
    if size <= MAX_DOCUMENT_BYTES:
        return ()
    what = f"has {size} bytes, the limit is {MAX_DOCUMENT_BYTES}"
    return (Problem("", "", "", what, "Remove objects."),)


def _sort_and_limit(problems: Iterable[Problem]) -> Problems:
    """Return the distinct problems in a stable order, at most MAX_PROBLEMS."""
    ordered = sorted(set(problems), key=_sort_key)
    return tuple(ordered[:MAX_PROBLEMS])


def _sort_key(problem: Problem) -> tuple[str, str, str, str]:
    return problem.object_kind, problem.name, problem.field, problem.what
