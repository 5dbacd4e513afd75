"""Checked access to fields of JSON objects and TOML tables; each raises FieldError."""

from collections.abc import Mapping
from functools import lru_cache
from typing import Any

from damaskbay.platform.exceptions import FieldError

Table = Mapping[str, Any]
"""Decoded JSON object or TOML table."""

_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


def read_string(table: Table, name: str, default: str | None = None) -> str:
    """Return a string that is not empty, or the default if it is missing or empty."""
    value = table.get(name)
    if value in (None, "") and default is not None:
        return default
    if not isinstance(value, str) or not value:
        raise FieldError(f"{name}: expected a non-empty string")
    return value


def read_integer(table: Table, name: str, default: int | None = None) -> int:
    """Return an integer of at least 0."""
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise FieldError(f"{name}: expected an integer of at least 0")
    return value


def read_number(table: Table, name: str, default: float | None = None) -> float:
    """Return a number of at least 0."""
    value = table.get(name, default)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    # A NaN compares as false to everything.
    if not (is_number and value >= 0):
        raise FieldError(f"{name}: expected a number of at least 0")
    return float(value)


def read_flag(table: Table, name: str, default: bool = False) -> bool:
    """Return a Boolean."""
    value = table.get(name, default)
    if not isinstance(value, bool):
        raise FieldError(f"{name}: expected true or false")
    return value


def read_table(parent: Table, name: str) -> Table:
    """Return a nested object or table."""
    value = parent.get(name)
    # Dictionaries come first, since the check for a Mapping is slow.
    if not isinstance(value, (dict, Mapping)):
        raise FieldError(f"{name}: expected a table")
    return value


def read_seconds(table: Table, name: str, default_s: float | None = None) -> float:
    """Return a duration such as "1500ms" or "2.5s", in seconds."""
    value = table.get(name)
    if value is None and default_s is not None:
        return default_s
    seconds = _parse_seconds(value) if isinstance(value, str) else None
    if seconds is not None:
        return seconds
    raise FieldError(f'{name}: expected a duration such as "1500ms"')


@lru_cache(maxsize=1024)
def _parse_seconds(value: str) -> float | None:
    digits = value.rstrip("ms")
    unit_s = _SECONDS_BY_UNIT.get(value[len(digits) :])
    try:
        amount = float(digits)
    except ValueError:
        return None
    if unit_s is None or not 0.0 <= amount < float("inf"):
        return None
    return amount * unit_s
