"""`damaskbay status`: which set is in force where, and who is cut off."""

import argparse
import json
import sys
from typing import Any

from damaskbay.cli.const import EXIT_OK, EXIT_UNAVAILABLE, EXIT_USAGE
from damaskbay.cli.operator_client import NoAnswer, ask, parse_address
from damaskbay.cli.operator_models import StatusModel

HEADINGS = ("INSTANCE", "DOMAIN", "SET", "PROVEN", "MEMBERS", "SERVER", "STATE")
ROW = "{:<20} {:<14} {:>6} {:>10} {:>8} {:<10} {}"


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "status",
        help="show which set is in force where",
        description="Ask daemons which set is in force and how surely.",
        epilog=(
            "example: damaskbay status 127.0.0.1:7004 127.0.0.1:7104; "
            "exit codes: 0 all answered, 6 some did not"
        ),
    )
    parser.add_argument("daemons", nargs="+", help="operator address HOST:PORT")
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Ask each daemon and print a line for it."""
    answers: list[StatusModel | NoAnswer] = []
    for text in options.daemons:
        address = parse_address(text)
        if address is None:
            print(f"status: {text}: expected HOST:PORT", file=sys.stderr)
            return EXIT_USAGE
        answers.append(ask(address, "/status", StatusModel))
    silent = [item for item in answers if isinstance(item, NoAnswer)]
    found = [item for item in answers if isinstance(item, StatusModel)]
    if options.json:
        _print_json(found, silent)
    else:
        _print_table(found, silent)
    return EXIT_UNAVAILABLE if silent else EXIT_OK


def _print_json(found: list[StatusModel], silent: list[NoAnswer]) -> None:
    document = {
        "daemons": [item.model_dump() for item in found],
        "no_answer": {str(item.address): item.detail for item in silent},
    }
    print(json.dumps(document, indent=2))


def _print_table(found: list[StatusModel], silent: list[NoAnswer]) -> None:
    print(ROW.format(*HEADINGS))
    for item in found:
        print(
            ROW.format(
                item.instance,
                item.failure_domain,
                item.set_version,
                "-" if item.proven_age_s is None else f"{item.proven_age_s:.1f} s",
                item.members,
                item.backend_server,
                _state(item),
            )
        )
    for missing in silent:
        print(f"{missing.address}: no answer: {missing.detail}")


def _state(item: StatusModel) -> str:
    marks = list(item.why_not_ready)
    if item.platform_outage_for_all:
        marks.append("platform out for all")
    elif item.cut_off:
        marks.append("cut off")
    return ", ".join(marks) or "ready"
