"""Entry point of the damaskbay command."""

import argparse
import importlib
import sys
from collections.abc import Sequence

from damaskbay.cli.const import COMMANDS, EXIT_USAGE


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with every sub-command."""
    parser = argparse.ArgumentParser(
        prog="damaskbay", description="Overload control for service call graphs."
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    for name in COMMANDS:
        module = importlib.import_module(f"damaskbay.cli.{name}")
        module.add_parser(commands)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    parser = build_parser()
    options = parser.parse_args(arguments)
    if options.command is None:
        parser.print_help()
        return EXIT_USAGE
    result: int = options.run(options)
    return result


if __name__ == "__main__":
    sys.exit(main())
