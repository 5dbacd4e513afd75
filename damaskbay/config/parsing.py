"""From JSON to valid single objects; every fault of shape at once."""

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
"""Frozen objects by kind and name."""

_NAME = TypeAdapter(Name)
_FORMAT_FIELD = "format"
_BASE_FIELD = "based_on_version"
_MENDS_BY_ERROR = {
    "missing": "Add the field.",
    "extra_forbidden": "Remove the field or correct its name.",
}


@dataclass(slots=True)
class Shape:
    """
    What could be read, with its problems. Broken objects are only named.

    `based_on_version` is what the document says that it was made from.
    """

    objects: ObjectsByKind = field(default_factory=lambda: {kind: {} for kind in Kind})
    broken: dict[Kind, set[str]] = field(
        default_factory=lambda: {kind: set() for kind in Kind}
    )
    problems: list[Problem] = field(default_factory=list)
    based_on_version: int | None = None


def read_shape(data: bytes | dict[str, Any]) -> Shape:
    """Read a document from JSON bytes or from what JSON decodes to."""
    shape = Shape()
    document = _decode(data, shape) if isinstance(data, bytes) else data
    if document is None:
        return shape
    if not isinstance(document, dict):
        shape.problems.append(_whole("is not a JSON object", "Write {...}."))
        return shape
    for name, section in document.items():
        _read_member(str(name), section, shape)
    count = sum(len(objects) for objects in shape.objects.values())
    if count > MAX_OBJECTS:
        what = f"holds {count} objects, the limit is {MAX_OBJECTS}"
        shape.problems.append(_whole(what, "Remove objects."))
    return shape


def read_object(
    kind: Kind, name: str, plain: Any
) -> ConfigObject | tuple[Problem, ...]:
    """Read one object from its JSON form."""
    shape = Shape()
    _read_section(kind, {name: plain}, shape)
    if shape.problems:
        return tuple(shape.problems)
    result: ConfigObject = shape.objects[kind][name]
    return result


def _decode(data: bytes, shape: Shape) -> Any:
    if len(data) > MAX_DOCUMENT_BYTES:
        what = f"has {len(data)} bytes, the limit is {MAX_DOCUMENT_BYTES}"
        shape.problems.append(_whole(what, "Remove objects."))
        return None

    def collect(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        result = dict(pairs)
        if len(result) != len(pairs):
            shape.problems.extend(_duplicates(pairs))
        return result

    try:
        return json.loads(data, object_pairs_hook=collect, parse_constant=_refuse)
    except (ValueError, RecursionError) as error:
        what = f"is not JSON: {error}"
        shape.problems.append(_whole(what, "Correct the JSON at that place."))
        return None


def _refuse(constant: str) -> Any:
    raise ValueError(f"{constant} is no JSON number")


def _duplicates(pairs: list[tuple[str, Any]]) -> Iterator[Problem]:
    seen: set[str] = set()
    for name, _ in pairs:
        if name in seen:
            what = f"the name {_short(name)} stands twice in one JSON object"
            yield _whole(what, "Remove or rename one of them.")
        seen.add(name)


def _read_member(name: str, section: Any, shape: Shape) -> None:
    if name == _FORMAT_FIELD:
        if type(section) is not int or section != DOCUMENT_FORMAT:
            what = f"the format {_short(section)} is not known"
            shape.problems.append(_whole(what, f"Write {DOCUMENT_FORMAT}."))
        return
    if name == _BASE_FIELD:
        if type(section) is not int or section < 0:
            what = f"{_BASE_FIELD} is {_short(section)}, not a version"
            shape.problems.append(_whole(what, "Write a number, or remove it."))
        else:
            shape.based_on_version = section
        return
    try:
        kind = Kind(name)
    except ValueError:
        known = ", ".join(item.value for item in Kind)
        problem = _whole(f"{_short(name)} is no kind of object", f"Use {known}.")
        shape.problems.append(problem)
        return
    if not isinstance(section, dict):
        what = "is not a JSON object of objects by name"
        shape.problems.append(Problem(name, "", "", what, "Write {name: {...}}."))
        return
    _read_section(kind, section, shape)


def _read_section(kind: Kind, section: dict[str, Any], shape: Shape) -> None:
    model, cls = MODELS_BY_KIND[kind], CLASSES_BY_KIND[kind]
    for name, plain in section.items():
        try:
            _NAME.validate_python(name)
            item = model.model_validate(plain)
        except ValidationError as error:
            shape.broken[kind].add(name)
            shape.problems.extend(_problems_of(kind, name, error))
            continue
        shape.objects[kind][name] = _build(cls, name, item)


def _build(cls: type[Any], name: str, item: BaseModel) -> Any:
    return cls(name=name, **item.__dict__)


def _problems_of(kind: Kind, name: str, error: ValidationError) -> Iterator[Problem]:
    is_name = error.title != MODELS_BY_KIND[kind].__name__
    for detail in error.errors(include_url=False, include_context=False):
        place = ".".join(str(part) for part in detail["loc"])
        message = detail["msg"][:1].lower() + detail["msg"][1:]
        given = "" if detail["type"] == "missing" else f" ({_short(detail['input'])})"
        mend = _MENDS_BY_ERROR.get(detail["type"], "Correct the value.")
        yield Problem(
            kind.value,
            _short(name) if is_name else name,
            "name" if is_name else place,
            message + given,
            mend,
        )


def _whole(what: str, mend: str) -> Problem:
    return Problem("", "", "", what, mend)


def _short(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
