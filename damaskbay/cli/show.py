"""`damaskbay show`: print a set, or one object of it, as JSON."""

import argparse
from typing import Any

from damaskbay.cli.const import EXIT_FAILED, EXIT_OK
from damaskbay.cli.documents import print_json
from damaskbay.cli.platform_option import (
    CommandError,
    add_platform_option,
    open_platform,
    read_record,
    read_set,
    with_error_report,
)
from damaskbay.config.document import to_json
from damaskbay.config.store import ConfigStore


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "show",
        help="print the active set, or a part of it",
        description=(
            "Print a set as JSON. The output contains the version that it is based on, "
            "so it can be edited and published."
        ),
        epilog=(
            "examples: damaskbay show > set.json; damaskbay show routes/lookup; "
            "exit codes: 0, 1 there is no such object or version, "
            "6 platform unavailable"
        ),
    )
    parser.add_argument("place", nargs="?", help="KIND or KIND/NAME")
    parser.add_argument("--version", type=int, help="default: the active version")
    add_platform_option(parser)
    parser.set_defaults(run=with_error_report("show", run))


def run(options: argparse.Namespace) -> int:
    """Print the set or the requested part of it."""
    with open_platform(options) as platform:
        store = ConfigStore(platform)
        record = read_record(store, options.version)
        plain = to_json(read_set(store, record))
    if options.place is None:
        version = 0 if record is None else record.version
        print_json({"based_on_version": version, **plain})
        return EXIT_OK
    found: Any = plain
    for name in options.place.split("/", 1):
        if not isinstance(found, dict) or name not in found:
            raise CommandError(f"there is no {options.place}", EXIT_FAILED)
        found = found[name]
    print_json(found)
    return EXIT_OK
