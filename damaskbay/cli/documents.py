"""Reads sets from files; prints changes, problems and JSON."""

import json
import sys
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from damaskbay.cli.const import EXIT_INVALID, EXIT_USAGE
from damaskbay.cli.platform_option import CommandError
from damaskbay.config.canonical import to_plain
from damaskbay.config.check import read_checked_with_base
from damaskbay.config.delta import ObjectChange
from damaskbay.config.document import Document
from damaskbay.config.exceptions import Problem
from damaskbay.config.objects import Kind

STANDARD_INPUT = "-"


@dataclass(frozen=True, slots=True)
class FileSet:
    """A checked set from a file, with the version that it states as its base."""

    document: Document
    based_on_version: int | None


def read_file(name: str, *, as_json: bool = False) -> FileSet:
    """
    Return the checked set of a file; the name "-" is standard input.

    Raises CommandError if the file cannot be read or the set is invalid; the problems
    of an invalid set are printed first.
    """
    try:
        data = (
            sys.stdin.buffer.read()
            if name == STANDARD_INPUT
            else Path(name).read_bytes()
        )
    except OSError as error:
        raise CommandError(f"{name}: {error.strerror}", EXIT_USAGE) from error
    document, base = read_checked_with_base(data)
    if isinstance(document, Document):
        return FileSet(document, base)
    print_problems(document, as_json=as_json)
    raise CommandError(f"{name}: {len(document)} faults", EXIT_INVALID)


def print_problems(problems: Sequence[Problem], *, as_json: bool) -> None:
    """Print each problem on a line, or all as JSON."""
    if as_json:
        print_json({"problems": [asdict(item) for item in problems]})
        return
    for problem in problems:
        print(problem)


def print_changes(
    changes: Iterable[ObjectChange], before: Document | None = None
) -> None:
    """Print the changes; field by field if the previous set is given."""
    for change in changes:
        print(f"  {_change_line(change, before)}")


def print_json(document: Any) -> None:
    """Print a JSON document, indented."""
    print(json.dumps(document, indent=2))


def _change_line(change: ObjectChange, before: Document | None) -> str:
    object_path = f"{change.kind}/{change.name}"
    if change.body is None:
        return f"- {object_path}"
    new = json.loads(change.body)
    old_item = before and before.objects(Kind(change.kind)).get(change.name)
    if not old_item:
        marker = "~" if before is None else "+"
        return f"{marker} {object_path}: {_field_list(new)}"
    old = to_plain(old_item)
    names = sorted(
        name for name in old.keys() | new.keys() if _field_differs(old, new, name)
    )
    parts = (
        f"{name} {_field_text(old, name)} -> {_field_text(new, name)}" for name in names
    )
    return f"~ {object_path}: {', '.join(parts)}"


def _field_differs(old: dict[str, Any], new: dict[str, Any], name: str) -> bool:
    return bool(old.get(name) != new.get(name) or (name in old) != (name in new))


def _field_list(plain: dict[str, Any]) -> str:
    return ", ".join(f"{name} {json.dumps(plain[name])}" for name in sorted(plain))


def _field_text(plain: dict[str, Any], name: str) -> str:
    return json.dumps(plain[name]) if name in plain else "(default)"
