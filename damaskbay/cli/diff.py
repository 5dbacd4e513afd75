"""`damaskbay diff`: show the differences between two sets, object by object."""

import argparse
from typing import Any

from damaskbay.cli.const import EXIT_FAILED, EXIT_OK
from damaskbay.cli.documents import print_changes, print_json, read_file
from damaskbay.cli.platform_option import (
    add_platform_option,
    open_platform,
    read_record,
    read_set,
    with_error_report,
)
from damaskbay.config.delta import make_delta
from damaskbay.config.document import Document
from damaskbay.config.store import ConfigStore

ACTIVE_SET_NAME = "head"


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "diff",
        help="show the differences between two sets",
        description="Compare two sets, each a version, a file or the active set.",
        epilog=(
            "examples: damaskbay diff 6 7; damaskbay diff head set.json; "
            "exit codes: 0 no difference, 1 they differ, 6 platform unavailable"
        ),
    )
    parser.add_argument("old", help="version number, file or 'head'")
    parser.add_argument("new", nargs="?", default=ACTIVE_SET_NAME)
    add_platform_option(parser)
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=with_error_report("diff", run))


def run(options: argparse.Namespace) -> int:
    """Print the differences."""
    old = _read_document(options, options.old)
    new = _read_document(options, options.new)
    delta = make_delta(old, new)
    if options.json:
        changes = [
            {"kind": item.kind, "name": item.name, "removed": item.body is None}
            for item in delta.changes
        ]
        print_json({"old": old.digest, "new": new.digest, "changes": changes})
    else:
        print_changes(delta.changes, old)
    return EXIT_FAILED if delta.changes else EXIT_OK


def _read_document(options: argparse.Namespace, name: str) -> Document:
    if name != ACTIVE_SET_NAME and not name.isdigit():
        return read_file(name, as_json=options.json).document
    with open_platform(options) as platform:
        store = ConfigStore(platform)
        version = None if name == ACTIVE_SET_NAME else int(name)
        return read_set(store, read_record(store, version))
