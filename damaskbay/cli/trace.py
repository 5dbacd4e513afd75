"""`damaskbay trace`: show the log lines of one request and its nested calls."""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from damaskbay.cli.const import EXIT_FAILED, EXIT_OK

OMITTED_FIELDS = frozenset({"asctime", "levelname", "name", "message", "request_id"})
NESTED_SEPARATOR = "."
"""Separates a request id from the part that a nested call appends to it."""


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "trace",
        help="show the log lines of one request",
        description=(
            "Read JSON log lines of daemons and print those of a request and its "
            "nested calls, ordered by time."
        ),
        epilog=(
            "example: cat logs/* | damaskbay trace 5c9b8e9deb72260b; "
            "exit codes: 0 found, 1 no log line for the request"
        ),
    )
    parser.add_argument("request_id", help="id of the request")
    parser.add_argument("files", nargs="*", type=Path, help="default: standard input")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the matching log lines, ordered by time and indented by call depth."""
    found = sorted(
        _records_of(options.request_id, _read_lines(options.files)),
        key=lambda record: str(record.get("asctime", "")),
    )
    for record in found:
        print(_format_record(record))
    if not found:
        print(f"no line names {options.request_id}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def _read_lines(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as lines:
            yield from lines


def _records_of(request_id: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """
    Yield the log records of a request and its nested calls.

    Text before the JSON object of a line is ignored.
    """
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        record_id = str(record.get("request_id", ""))
        if record_id == request_id or record_id.startswith(
            request_id + NESTED_SEPARATOR
        ):
            yield record


def _format_record(record: dict[str, Any]) -> str:
    depth = str(record["request_id"]).count(NESTED_SEPARATOR)
    fields = ", ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in OMITTED_FIELDS and value is not None
    )
    indent = "  " * depth
    return f"{record.get('asctime', '')} {indent}{record.get('message', '')} {fields}"
