"""`damaskbay history`: list the published versions that are kept."""

import argparse
import time
from typing import Any

from damaskbay.cli.const import EXIT_OK, EXIT_UNAVAILABLE
from damaskbay.cli.documents import print_json
from damaskbay.cli.platform_option import (
    CommandError,
    add_platform_option,
    open_platform,
    with_error_report,
)
from damaskbay.config.exceptions import LoadFailure
from damaskbay.config.head import HeadRecord
from damaskbay.config.store import ConfigStore


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "history",
        help="list the published versions",
        description="List the versions that are kept, the newest last.",
        epilog="example: damaskbay history; exit codes: 0, 6 platform unavailable",
    )
    add_platform_option(parser)
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=with_error_report("history", run))


def run(options: argparse.Namespace) -> int:
    """Print a line for each version."""
    with open_platform(options) as platform:
        records = ConfigStore(platform).read_history()
    if isinstance(records, LoadFailure):
        raise CommandError(
            f"{records.problem.value}: {records.detail}", EXIT_UNAVAILABLE
        )
    if options.json:
        print_json([_record_json(record) for record in records])
        return EXIT_OK
    for record in records:
        print(_record_line(record))
    return EXIT_OK


def _record_json(record: HeadRecord) -> dict[str, Any]:
    plain = record.model_dump(exclude={"packs", "delta"})
    plain["changes"] = _changed_objects(record)
    return plain


def _record_line(record: HeadRecord) -> str:
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(record.published_at))
    changes = _changed_objects(record)
    what = "many changes" if changes is None else ", ".join(changes[:4])
    more = f" and {len(changes) - 4} more" if changes and len(changes) > 4 else ""
    return f"{record.version:>6}  {at}Z  {record.author:<12}  {what}{more}"


def _changed_objects(record: HeadRecord) -> list[str] | None:
    if record.delta is None:
        return None
    return [f"{item.kind}/{item.name}" for item in record.delta.changes]
