"""Publishes from a sub-command and reports the outcome as text and exit code."""

import argparse
import getpass
import os
from typing import Any

from damaskbay.cli.const import (
    EXIT_CONFLICT,
    EXIT_INVALID,
    EXIT_OK,
    EXIT_UNAVAILABLE,
    EXIT_UNKNOWN,
)
from damaskbay.cli.documents import print_changes, print_json, print_problems
from damaskbay.cli.progress import Progress
from damaskbay.config.exceptions import (
    PublishFailure,
    PublishProblem,
    PublishUnknown,
)
from damaskbay.config.publishing import (
    Publication,
    PublishConflict,
    Published,
    Publisher,
    PublishResult,
    Unchanged,
)
from damaskbay.ports.platform import Platform

EXIT_CODES_HELP = (
    "exit codes: 0 published or nothing to change, 2 wrong usage, 3 the set has "
    "faults, 4 conflict, 5 outcome unknown, 6 platform unavailable"
)


def add_author_option(parser: argparse.ArgumentParser) -> None:
    """Add `--author`."""
    parser.add_argument(
        "--author",
        default=_user_name(),
        help="name kept with the version (default: you)",
    )


def publish(platform: Platform, publication: Publication, *, as_json: bool) -> int:
    """Publish, print the outcome and return the exit code."""
    with Progress("publish: writes to the platform") as progress:
        publisher = Publisher(platform, progress=progress)
        result = publisher.publish(publication)
    return report(result, as_json=as_json)


def report(result: PublishResult, *, as_json: bool) -> int:
    """Print the outcome and return the exit code."""
    if as_json:
        print_json(_result_json(result))
    else:
        _print_result(result)
    return _exit_code(result)


def _exit_code(result: PublishResult) -> int:
    match result:
        case Published() | Unchanged():
            return EXIT_OK
        case PublishConflict():
            return EXIT_CONFLICT
        case PublishUnknown():
            return EXIT_UNKNOWN
        case PublishFailure(problem=PublishProblem.UNAVAILABLE):
            return EXIT_UNAVAILABLE
    return EXIT_INVALID


def _print_result(result: PublishResult) -> None:
    match result:
        case Published(record, newest):
            print(f"Published version {record.version}, digest {record.digest[:12]}.")
            if not newest:
                print("A newer version is active already.")
        case Unchanged(record):
            print(f"Version {record.version} has the same content: nothing to publish.")
        case PublishConflict():
            _print_conflict(result)
        case PublishUnknown(publish_id, detail):
            print(f"The outcome is unknown: {detail}.")
            print(f"Retry with --publish-id {publish_id} to find out.")
        case PublishFailure(problem, detail, problems):
            print(f"Nothing was published: {problem.value}: {detail}")
            print_problems(problems[1:], as_json=False)


def _print_conflict(conflict: PublishConflict) -> None:
    current = conflict.current
    if current is None:
        print(f"Nothing was published: there is no version to follow "
              f"{conflict.expected_version}.")  # fmt: skip
        return
    print(
        f"Nothing was published: version {current.version} by {current.author} is in "
        f"force, not {conflict.expected_version}."
    )
    if conflict.changes is None:
        print("The changes since then are no longer kept.")
        return
    print(f"Changed since version {conflict.expected_version}:")
    print_changes(conflict.changes)


def _result_json(result: PublishResult) -> dict[str, Any]:
    match result:
        case Published(record, newest):
            return {"outcome": "published", "newest": newest, **_record_json(record)}
        case Unchanged(record):
            return {"outcome": "unchanged", **_record_json(record)}
        case PublishConflict(expected_version, current, changes):
            return {
                "outcome": "conflict",
                "expected_version": expected_version,
                "current": None if current is None else _record_json(current),
                "changes": None
                if changes is None
                else [f"{item.kind}/{item.name}" for item in changes],
            }
        case PublishUnknown(publish_id, detail):
            return {"outcome": "unknown", "publish_id": publish_id, "detail": detail}
        case PublishFailure(problem, detail, problems):
            return {
                "outcome": "failed",
                "problem": problem.value,
                "detail": detail,
                "problems": [str(item) for item in problems],
            }


def _record_json(record: Any) -> dict[str, Any]:
    plain: dict[str, Any] = record.model_dump(exclude={"packs", "delta"})
    return plain


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid {os.getuid()}"
