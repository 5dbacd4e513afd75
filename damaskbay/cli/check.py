"""`damaskbay check`: check a set, or print its JSON Schema."""

import argparse
from typing import Any

from damaskbay.cli.const import EXIT_OK, EXIT_USAGE
from damaskbay.cli.documents import print_json, read_file
from damaskbay.cli.platform_option import CommandError, with_error_report
from damaskbay.config.models import DocumentModel
from damaskbay.config.objects import Kind


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "check",
        help="check a configuration set without publishing it",
        description="Check a complete set and print all its problems at once.",
        epilog=(
            "examples: damaskbay check set.json; damaskbay check --schema; "
            "exit codes: 0 no fault, 2 wrong usage, 3 the set has faults"
        ),
    )
    parser.add_argument("file", nargs="?", help='JSON file, "-" for standard input')
    parser.add_argument("--schema", action="store_true", help="print the JSON Schema")
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=with_error_report("check", run))


def run(options: argparse.Namespace) -> int:
    """Check the file or print the schema."""
    if options.schema:
        print_json(schema())
        return EXIT_OK
    if options.file is None:
        raise CommandError("give a file or --schema", EXIT_USAGE)
    document = read_file(options.file, as_json=options.json).document
    counts = {kind.value: len(document.objects(kind)) for kind in Kind}
    if options.json:
        print_json({"problems": [], "digest": document.digest, "objects": counts})
        return EXIT_OK
    count_list = ", ".join(f"{count} {kind}" for kind, count in counts.items())
    print(f"{options.file}: no faults; {count_list}; digest {document.digest[:12]}.")
    return EXIT_OK


def schema() -> dict[str, Any]:
    """Return the JSON Schema of a set."""
    return DocumentModel.model_json_schema()
