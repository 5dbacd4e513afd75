"""Parsing of JSON into valid single objects; all problems are reported at once."""

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from pydantic import BaseModel, TypeAdapter, ValidationError

from damaskbay.config.const import DOCUMENT_FORMAT, MAX_DOCUMENT_BYTES, MAX_OBJECTS
from damaskbay.config.exceptions import Problem
from damaskbay.config.models import CLASSES_BY_KIND, MODELS_BY_KIND, Name
from damaskbay.config.objects import ConfigObject, Kind

ObjectsByKind = dict[Kind, dict[str, Any]]
"""Data class objects by kind and name."""

_NAME = TypeAdapter(Name)
_FORMAT_FIELD = "format"
_BASE_FIELD = "based_on_version"
_REMEDIES_BY_ERROR = {
    "missing": "Add the field.",
    "extra_forbidden": "Remove the field or correct its name.",
}


@dataclass(slots=True)
class ParsedObjects:
    """
    Valid objects of a document, its problems and the names of invalid objects.

    `based_on_version` is the version that the document states as its base.
    """

    objects: ObjectsByKind = field(default_factory=lambda: {kind: {} for kind in Kind})
    invalid_names: dict[Kind, set[str]] = field(
        default_factory=lambda: {kind: set() for kind in Kind}
    )
    problems: list[Problem] = field(default_factory=list)
    based_on_version: int | None = None


def parse_objects(data: bytes | dict[str, Any]) -> ParsedObjects:
    """Parse a document from JSON bytes or from decoded JSON."""
    parsed = ParsedObjects()
    document = _decode(data, parsed) if isinstance(data, bytes) else data
    if document is None:
        return parsed
    if not isinstance(document, dict):
        parsed.problems.append(
            _document_problem("is not a JSON object", "Write {...}.")
        )
        return parsed
    for name, section in document.items():
        _parse_member(str(name), section, parsed)
    count = sum(len(objects) for objects in parsed.objects.values())
    if count > MAX_OBJECTS:
        what = f"holds {count} objects, the limit is {MAX_OBJECTS}"
        parsed.problems.append(_document_problem(what, "Remove objects."))
    return parsed


def read_object(
    kind: Kind, name: str, plain: Any
) -> ConfigObject | tuple[Problem, ...]:
    """Return an object parsed from its JSON form, or its problems."""
    parsed = ParsedObjects()
    _parse_section(kind, {name: plain}, parsed)
    if parsed.problems:
        return tuple(parsed.problems)
    result: ConfigObject = parsed.objects[kind][name]
    return result


def _decode(data: bytes, parsed: ParsedObjects) -> Any:
    if len(data) > MAX_DOCUMENT_BYTES:
        what = f"has {len(data)} bytes, the limit is {MAX_DOCUMENT_BYTES}"
        parsed.problems.append(_document_problem(what, "Remove objects."))
        return None

    def record_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        result = dict(pairs)
        if len(result) != len(pairs):
            parsed.problems.extend(_duplicate_problems(pairs))
        return result

    try:
        return json.loads(
            data, object_pairs_hook=record_duplicates, parse_constant=_reject_constant
        )
    except (ValueError, RecursionError) as error:
        what = f"is not JSON: {error}"
        parsed.problems.append(
            _document_problem(what, "Correct the JSON at that place.")
        )
        return None


def _reject_constant(constant: str) -> Any:
    raise ValueError(f"{constant} is not a JSON number")


def _duplicate_problems(pairs: list[tuple[str, Any]]) -> Iterator[Problem]:
    seen: set[str] = set()
    for name, _ in pairs:
        if name in seen:
            what = f"the name {_abbreviate(name)} stands twice in one JSON object"
            yield _document_problem(what, "Remove or rename one of them.")
        seen.add(name)


def _parse_member(name: str, section: Any, parsed: ParsedObjects) -> None:
    if name == _FORMAT_FIELD:
        if type(section) is not int or section != DOCUMENT_FORMAT:
            what = f"the format {_abbreviate(section)} is not known"
            parsed.problems.append(_document_problem(what, f"Write {DOCUMENT_FORMAT}."))
        return
    if name == _BASE_FIELD:
        if type(section) is not int or section < 0:
            what = f"{_BASE_FIELD} is {_abbreviate(section)}, not a version"
            parsed.problems.append(
                _document_problem(what, "Write a number, or remove it.")
            )
        else:
            parsed.based_on_version = section
        return
    try:
        kind = Kind(name)
    except ValueError:
        known_kinds = ", ".join(item.value for item in Kind)
        problem = _document_problem(
            f"{_abbreviate(name)} is not a kind of object", f"Use {known_kinds}."
        )
        parsed.problems.append(problem)
        return
    if not isinstance(section, dict):
        what = "is not a JSON object of objects by name"
        parsed.problems.append(Problem(name, "", "", what, "Write {name: {...}}."))
        return
    _parse_section(kind, section, parsed)


def _parse_section(kind: Kind, section: dict[str, Any], parsed: ParsedObjects) -> None:
    model, cls = MODELS_BY_KIND[kind], CLASSES_BY_KIND[kind]
    for name, plain in section.items():
        try:
            _NAME.validate_python(name)
            item = model.model_validate(plain)
        except ValidationError as error:
            parsed.invalid_names[kind].add(name)
            parsed.problems.extend(_problems_of_error(kind, name, error))
            continue
        parsed.objects[kind][name] = _to_data_class(cls, name, item)


def _to_data_class(cls: type[Any], name: str, item: BaseModel) -> Any:
    return cls(name=name, **item.__dict__)


def _problems_of_error(
    kind: Kind, name: str, error: ValidationError
) -> Iterator[Problem]:
    name_is_invalid = error.title != MODELS_BY_KIND[kind].__name__
    for detail in error.errors(include_url=False, include_context=False):
        field_path = ".".join(str(part) for part in detail["loc"])
        message = detail["msg"][:1].lower() + detail["msg"][1:]
        input_text = (
            "" if detail["type"] == "missing" else f" ({_abbreviate(detail['input'])})"
        )
        mend = _REMEDIES_BY_ERROR.get(detail["type"], "Correct the value.")
        yield Problem(
            kind.value,
            _abbreviate(name) if name_is_invalid else name,
            "name" if name_is_invalid else field_path,
            message + input_text,
            mend,
        )


def _document_problem(what: str, mend: str) -> Problem:
    return Problem("", "", "", what, mend)


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
