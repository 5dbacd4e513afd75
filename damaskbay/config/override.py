"""Changes of single objects, given by operators as KIND/NAME and FIELD=VALUE."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from damaskbay.config.canonical import to_plain
from damaskbay.config.check_changed import check_changed
from damaskbay.config.document import Change, Document, apply_changes
from damaskbay.config.exceptions import Problem, Problems
from damaskbay.config.objects import Kind
from damaskbay.config.parsing import read_object


@dataclass(frozen=True, slots=True)
class Override:
    """
    Fields to set on one object, each as FIELD=VALUE; without fields it is removed.

    `object_path` is KIND/NAME. A value is parsed as JSON if possible, else taken as
    text; an empty value resets the field to its default. A missing object is
    created.
    """

    object_path: str
    settings: tuple[str, ...] = ()


def apply_overrides(
    document: Document, overrides: Sequence[Override]
) -> Document | Problems:
    """Return the complete checked set after the overrides, or its problems."""
    changes: list[Change] = []
    problems: list[Problem] = []
    changed = document
    for override in overrides:
        change = _to_change(changed, override)
        if isinstance(change, Change):
            changes.append(change)
            changed = apply_changes(changed, [change])
        else:
            problems.extend(change)
    if problems:
        return tuple(problems)
    return check_changed(document, changed, changes) or changed


def _to_change(document: Document, override: Override) -> Change | Problems:
    kind_name, _, name = override.object_path.partition("/")
    try:
        kind = Kind(kind_name)
    except ValueError:
        known_kinds = ", ".join(kind.value for kind in Kind)
        what = f"{kind_name!r} is not a kind of object"
        return (
            Problem("", override.object_path, "", what, f"Use one of {known_kinds}."),
        )
    existing = document.objects(kind).get(name)
    if not override.settings:
        if existing is None:
            what = "there is no such object to remove"
            return (Problem(kind_name, name, "", what, "Correct the name."),)
        return Change(kind, name, None)
    plain = {} if existing is None else to_plain(existing)
    for setting in override.settings:
        field, equals, text = setting.partition("=")
        if not equals:
            what = f"{setting!r} is not FIELD=VALUE"
            return (Problem(kind_name, name, "", what, "Write FIELD=VALUE."),)
        plain.pop(field, None)
        if text:
            plain[field] = _parse_value(text)
    item = read_object(kind, name, plain)
    return item if isinstance(item, tuple) else Change(kind, name, item)


def _parse_value(text: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return text
