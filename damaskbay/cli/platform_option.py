"""The `--platform` option; reads sets from the platform; reports errors."""

import argparse
import os
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from damaskbay.adapters.platform_http.client import HttpPlatform
from damaskbay.cli.const import (
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_UNAVAILABLE,
    EXIT_USAGE,
)
from damaskbay.cli.operator_client import parse_address
from damaskbay.config.document import EMPTY_DOCUMENT, Document
from damaskbay.config.exceptions import LoadFailure, LoadProblem
from damaskbay.config.head import HeadRecord
from damaskbay.config.store import ConfigStore, Head
from damaskbay.ports.peer import PeerAddress

ENVIRONMENT_VARIABLE = "DAMASKBAY_PLATFORM"
CLIENT_NAME = "damaskbay-cli"

Run = Callable[[argparse.Namespace], int]


class CommandError(Exception):
    """Ends a sub-command with an error message and an exit code."""

    def __init__(self, message: str, exit_code: int) -> None:
        super().__init__(message)
        self.exit_code = exit_code


def add_platform_option(parser: argparse.ArgumentParser) -> None:
    """Add `--platform`."""
    parser.add_argument(
        "--platform",
        metavar="HOST:PORT",
        type=_address,
        default=os.environ.get(ENVIRONMENT_VARIABLE),
        help=f"the platform's address (default: ${ENVIRONMENT_VARIABLE})",
    )


@contextmanager
def open_platform(options: argparse.Namespace) -> Iterator[HttpPlatform]:
    """
    Yield a client of the platform that the options name.

    Raises CommandError if no address is given.
    """
    address: PeerAddress | None = options.platform
    if address is None:
        message = f"give --platform HOST:PORT or set ${ENVIRONMENT_VARIABLE}"
        raise CommandError(message, EXIT_USAGE)
    with HttpPlatform(address.host, address.port, name=CLIENT_NAME) as platform:
        yield platform


def with_error_report(name: str, run: Run) -> Run:
    """Return `run` wrapped so that a CommandError is printed and sets the exit code."""

    def run_and_report(options: argparse.Namespace) -> int:
        try:
            return run(options)
        except CommandError as error:
            print(f"{name}: {error}", file=sys.stderr)
            return error.exit_code

    return run_and_report


def read_record(store: ConfigStore, version: int | None) -> HeadRecord | None:
    """
    Return the record of a version, by default of the active one.

    Returns None if nothing was published, or for version 0. Raises CommandError if
    the record cannot be read or the version is not kept.
    """
    if version == 0:
        return None
    if version is None:
        head = store.read_head()
        if isinstance(head, LoadFailure):
            raise _command_error(head)
        return head.record if isinstance(head, Head) else None
    record = store.read_version(version)
    if isinstance(record, LoadFailure):
        raise _command_error(record)
    if record is None:
        raise CommandError(
            f"there is no version {version}, or it is no longer kept", EXIT_FAILED
        )
    return record


def read_set(store: ConfigStore, record: HeadRecord | None) -> Document:
    """
    Return the set of a record, or the empty set if there is no record.

    Raises CommandError if the set cannot be read.
    """
    if record is None:
        return EMPTY_DOCUMENT
    document = store.load(record)
    if isinstance(document, LoadFailure):
        raise _command_error(document)
    return document


def _command_error(failure: LoadFailure) -> CommandError:
    code = EXIT_INVALID
    if failure.problem is LoadProblem.UNAVAILABLE:
        code = EXIT_UNAVAILABLE
    return CommandError(f"{failure.problem.value}: {failure.detail}", code)


def _address(text: str) -> PeerAddress:
    address = parse_address(text)
    if address is None:
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return address
