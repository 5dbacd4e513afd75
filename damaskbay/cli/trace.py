"""`damaskbay trace`: tell the story of one request from the daemons' log lines."""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from damaskbay.cli.const import EXIT_FAILED, EXIT_OK

PASSED_OVER = frozenset({"asctime", "levelname", "name", "message", "request_id"})
NESTED = "."
"""Between the id of a request and what its nested calls add to it."""


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "trace",
        help="tell the story of one request from log lines",
        description=(
            "Read the JSON lines of all daemons and print those of a request and of "
            "the calls made on its behalf, in order of time."
        ),
        epilog=(
            "example: cat logs/* | damaskbay trace 5c9b8e9deb72260b; "
            "exit codes: 0 found, 1 no line names the request"
        ),
    )
    parser.add_argument("request_id", help="id of the request")
    parser.add_argument("files", nargs="*", type=Path, help="default: standard input")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the story."""
    found = sorted(
        _lines_of(options.request_id, _read(options.files)),
        key=lambda line: str(line.get("asctime", "")),
    )
    for line in found:
        print(_told(line))
    if not found:
        print(f"no line names {options.request_id}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def _read(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as lines:
            yield from lines


def _lines_of(request_id: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the lines that name the request or a call below it; text before is cut."""
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        named = str(record.get("request_id", ""))
        if named == request_id or named.startswith(request_id + NESTED):
            yield record


def _told(record: dict[str, Any]) -> str:
    depth = str(record["request_id"]).count(NESTED)
    inputs = ", ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in PASSED_OVER and value is not None
    )
    indent = "  " * depth
    return f"{record.get('asctime', '')} {indent}{record.get('message', '')} {inputs}"
