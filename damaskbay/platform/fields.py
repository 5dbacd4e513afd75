"""Checked reads of the platform's tables; errors name the field."""

from collections.abc import Mapping
from typing import Any

from damaskbay.platform.exceptions import FieldError

Table = Mapping[str, Any]

_UNITS_S = {"ms": 0.001, "s": 1.0}


def text(table: Table, name: str) -> str:
    """Return a text that is not empty."""
    value = table.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(f"{name}: text is wanted")
    return value


def whole(table: Table, name: str, default: int | None = None) -> int:
    """Return a whole number of at least 0."""
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise FieldError(f"{name}: a whole number of at least 0 is wanted")
    return value


def number(table: Table, name: str, default: float | None = None) -> float:
    """Return a number of at least 0."""
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise FieldError(f"{name}: a number of at least 0 is wanted")
    return float(value)


def flag(table: Table, name: str, default: bool = False) -> bool:
    """Return true or false."""
    value = table.get(name, default)
    if not isinstance(value, bool):
        raise FieldError(f"{name}: true or false is wanted")
    return value


def table(parent: Table, name: str) -> Table:
    """Return a table inside another one."""
    value = parent.get(name)
    if not isinstance(value, Mapping):
        raise FieldError(f"{name}: a table is wanted")
    return value


def seconds(table: Table, name: str, default_s: float | None = None) -> float:
    """Return a time such as "1500ms" or "2.5s", in seconds."""
    value = table.get(name)
    if value is None and default_s is not None:
        return default_s
    if isinstance(value, str):
        digits = value.rstrip("ms")
        unit = _UNITS_S.get(value[len(digits) :])
        try:
            amount = float(digits)
        except ValueError:
            unit = None
        if unit is not None and 0.0 <= amount < float("inf"):
            return amount * unit
    raise FieldError(f'{name}: a time such as "1500ms" is wanted')
