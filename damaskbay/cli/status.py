"""`damaskbay status`: show the active set and state of each daemon."""

import argparse
import json
import sys
from typing import Any

from damaskbay.cli.const import EXIT_OK, EXIT_UNAVAILABLE, EXIT_USAGE
from damaskbay.cli.operator_client import NoResponse, fetch_document, parse_address
from damaskbay.cli.operator_models import StatusModel

HEADINGS = ("INSTANCE", "DOMAIN", "SET", "PROVEN", "MEMBERS", "SERVER", "STATE")
ROW = "{:<20} {:<14} {:>6} {:>10} {:>8} {:<10} {}"


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "status",
        help="show the active set of daemons",
        description="Show the active set, its proof age and the state of daemons.",
        epilog=(
            "example: damaskbay status 127.0.0.1:7004 127.0.0.1:7104; "
            "exit codes: 0 all daemons responded, 6 some did not"
        ),
    )
    parser.add_argument("daemons", nargs="+", help="operator address HOST:PORT")
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Request the status of each daemon and print a line for it."""
    results: list[StatusModel | NoResponse] = []
    for text in options.daemons:
        address = parse_address(text)
        if address is None:
            print(f"status: {text}: expected HOST:PORT", file=sys.stderr)
            return EXIT_USAGE
        results.append(fetch_document(address, "/status", StatusModel))
    unresponsive = [item for item in results if isinstance(item, NoResponse)]
    statuses = [item for item in results if isinstance(item, StatusModel)]
    if options.json:
        _print_json(statuses, unresponsive)
    else:
        _print_table(statuses, unresponsive)
    return EXIT_UNAVAILABLE if unresponsive else EXIT_OK


def _print_json(statuses: list[StatusModel], unresponsive: list[NoResponse]) -> None:
    document = {
        "daemons": [item.model_dump() for item in statuses],
        "no_answer": {str(item.address): item.detail for item in unresponsive},
    }
    print(json.dumps(document, indent=2))


def _print_table(statuses: list[StatusModel], unresponsive: list[NoResponse]) -> None:
    print(ROW.format(*HEADINGS))
    for item in statuses:
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
    for failure in unresponsive:
        print(f"{failure.address}: no response: {failure.detail}")


def _state(item: StatusModel) -> str:
    conditions = list(item.why_not_ready)
    if item.platform_outage_for_all:
        conditions.append("platform outage for all daemons")
    elif item.cut_off:
        conditions.append("cut off")
    return ", ".join(conditions) or "ready"
