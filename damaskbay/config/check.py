"""The check of a whole set: every fault at once."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Any

from damaskbay.config.check_routes import route_problems
from damaskbay.config.const import MAX_DOCUMENT_BYTES, MAX_PROBLEMS
from damaskbay.config.document import Document, dict_of, make_document
from damaskbay.config.exceptions import Problem, Problems
from damaskbay.config.objects import Key, Kind, Pool, Priority
from damaskbay.config.parsing import ObjectsByKind, Shape, read_shape


def read_checked(data: bytes | dict[str, Any]) -> Document | Problems:
    """
    Read and check a document; return it, or every fault of shape and of sense.

    An object with a fault of shape still counts as named, so that one fault does
    not bring further ones.
    """
    return read_checked_with_base(data)[0]


def read_checked_with_base(
    data: bytes | dict[str, Any],
) -> tuple[Document | Problems, int | None]:
    """Do as `read_checked`; return the version that the document is based on too."""
    shape = read_shape(data)
    return _finish(shape), shape.based_on_version


def _finish(shape: Shape) -> Document | Problems:
    problems = list(shape.problems)
    names = {
        kind: by_name.keys() | shape.broken[kind]
        for kind, by_name in shape.objects.items()
    }
    problems.extend(_sense_problems(shape.objects, names))
    if problems:
        return _bounded(problems)
    document = make_document(shape.objects)
    return size_problems(document) or document


def check(document: Document) -> Problems:
    """Return every fault of how the objects fit together; empty: none."""
    objects = {kind: dict_of(document, kind) for kind in Kind}
    names = {kind: by_name.keys() for kind, by_name in objects.items()}
    problems = [*size_problems(document), *_sense_problems(objects, names)]
    return _bounded(problems)


def _sense_problems(
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
    """Yield keys of workspaces that there are not."""
    for key in keys:
        if key.workspace not in workspaces:
            yield Problem(
                Kind.KEYS.value,
                key.name,
                "workspace",
                f"there is no workspace {key.workspace!r}",
                "Name one that stands in the set, or add it.",
            )


def digest_problems(keys: Iterable[Key]) -> Iterator[Problem]:
    """Yield keys whose digest another key has too."""
    first_by_digest: dict[str, str] = {}
    for key in keys:
        first = first_by_digest.setdefault(key.digest, key.name)
        if first != key.name:
            yield Problem(
                Kind.KEYS.value,
                key.name,
                "digest",
                f"the key {first!r} has the same digest",
                "Make a new key, or remove one of the two.",
            )


def rank_problems(priorities: Iterable[Priority]) -> Iterator[Problem]:
    """Yield priorities whose rank another one has too."""
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
    """Yield pools whose figures contradict each other."""
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
    """Return the fault of a document that is too large, if it is."""
    size = document.size_bytes
    if size <= MAX_DOCUMENT_BYTES:
        return ()
    what = f"has {size} bytes, the limit is {MAX_DOCUMENT_BYTES}"
    return (Problem("", "", "", what, "Remove objects."),)


def _bounded(problems: Iterable[Problem]) -> Problems:
    """Return the problems in a steady order, up to a limit."""
    ordered = sorted(set(problems), key=_order)
    return tuple(ordered[:MAX_PROBLEMS])


def _order(problem: Problem) -> tuple[str, str, str, str]:
    return problem.object_kind, problem.name, problem.field, problem.what
