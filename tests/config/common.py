"""Sample configuration sets for tests, small and large."""

import copy
import hashlib
from typing import Any

from damaskbay.config.check import read_checked
from damaskbay.config.document import Document

Plain = dict[str, Any]


def digest(secret: str) -> str:
    """Return the SHA-256 of a key's secret in hex, as stored in the set."""
    return hashlib.sha256(secret.encode()).hexdigest()


SAMPLE: Plain = {
    "format": 1,
    "workspaces": {
        "north": {"rate_per_s": 100, "burst": 50},
        "south": {"rate_per_s": 10, "burst": 5, "weight": 2.0},
    },
    "keys": {
        "north-1": {"digest": digest("one"), "workspace": "north"},
        "south-1": {"digest": digest("two"), "workspace": "south"},
    },
    "priorities": {"high": {"rank": 0}, "low": {"rank": 9}},
    "limits": {"filing": {"rate_per_s": 20, "burst": 10, "scope": "workspace"}},
    "pools": {
        "desk": {"slots_per_server": 8, "connections_per_server": 150},
        "book": {"slots_per_server": 4, "connections_per_server": 40},
    },
    "routes": {
        "file": {
            "path_prefix": "/file",
            "methods": ["POST"],
            "pool": "desk",
            "access": "keyed",
            "idempotent": False,
            "deadline_s": 3,
            "priority": "high",
            "limits": ["filing"],
            "calls": ["record"],
        },
        "record": {
            "path_prefix": "/record",
            "pool": "book",
            "access": "keyed",
            "idempotent": True,
            "deadline_s": 2,
            "priority": "high",
            "retries": 1,
        },
        "home": {
            "path_prefix": "/",
            "pool": "desk",
            "access": "open",
            "idempotent": True,
            "deadline_s": 1,
            "priority": "low",
        },
    },
}


def sample(**changes: Any) -> Plain:
    """
    Return a copy of SAMPLE with the given changes.

    A keyword names kind, object and field, as in `routes__file__deadline_s=1`, or
    kind and object to replace the complete object.
    """
    plain = copy.deepcopy(SAMPLE)
    for place, value in changes.items():
        kind, name, *fields = place.split("__")
        if fields:
            plain[kind].setdefault(name, {})[fields[0]] = value
        else:
            plain[kind][name] = value
    return plain


def document(**changes: Any) -> Document:
    """Return the checked document of `sample(**changes)`."""
    result = read_checked(sample(**changes))
    assert isinstance(result, Document), result
    return result


def large_plain(pools: int, routes: int, keys: int, workspaces: int = 50) -> Plain:
    """Return a set of many objects; routes form call chains of length five."""
    plain: Plain = {
        "workspaces": {
            f"w{number}": {"rate_per_s": 100, "burst": 50}
            for number in range(workspaces)
        },
        "keys": {
            f"k{number}": {
                "digest": digest(str(number)),
                "workspace": f"w{number % workspaces}",
            }
            for number in range(keys)
        },
        "priorities": {"high": {"rank": 0}, "low": {"rank": 9}},
        "pools": {
            f"p{number}": {"slots_per_server": 8, "connections_per_server": 150}
            for number in range(pools)
        },
        "routes": {},
    }
    for number in range(routes):
        has_next = number % 5 != 4 and number + 1 < routes
        plain["routes"][f"r{number}"] = {
            "path_prefix": f"/s{number % pools}/r{number}",
            "pool": f"p{number % pools}",
            "access": "keyed",
            "idempotent": True,
            "deadline_s": 5 - number % 5,
            "priority": "high" if number % 3 else "low",
            "calls": [f"r{number + 1}"] if has_next else [],
        }
    return plain
