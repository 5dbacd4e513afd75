"""`damaskbay publish`: publish a set, or changes of single objects."""

import argparse
from typing import Any

from damaskbay.cli.const import EXIT_INVALID, EXIT_USAGE
from damaskbay.cli.documents import print_problems, read_file
from damaskbay.cli.platform_option import (
    CommandError,
    add_platform_option,
    open_platform,
    read_record,
    read_set,
    with_error_report,
)
from damaskbay.cli.publishing import EXIT_CODES_HELP, add_author_option, publish, report
from damaskbay.config.document import Document
from damaskbay.config.override import Override, apply_overrides
from damaskbay.config.publishing import Publication, Publisher, new_publish_id
from damaskbay.config.store import ConfigStore
from damaskbay.ports.platform import Platform


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "publish",
        help="publish a configuration set or change single objects",
        description=(
            "Publish a complete set from a file as the successor of the version that "
            "it is based on, or override single objects of the active set. The result "
            "is checked as a whole; concurrent publishers never overwrite each other."
        ),
        epilog=(
            "examples: damaskbay publish set.json --expect-version 0; "
            "damaskbay publish --override routes/lookup deadline_s=2 retries=1; "
            f"damaskbay publish --remove limits/old; {EXIT_CODES_HELP}"
        ),
    )
    parser.add_argument("file", nargs="?", help='JSON file, "-" for standard input')
    parser.add_argument(
        "--override",
        nargs="+",
        action="append",
        default=[],
        metavar=("KIND/NAME", "FIELD=VALUE"),
        help="set fields of one object; may be given several times",
    )
    parser.add_argument("--remove", action="append", default=[], metavar="KIND/NAME")
    parser.add_argument(
        "--expect-version",
        type=int,
        help="the version to follow (default: the file's based_on_version, else 0; "
        "for overrides the active version)",
    )
    parser.add_argument(
        "--replace-damaged-head",
        action="store_true",
        help="publish the file in place of a damaged head record",
    )
    parser.add_argument(
        "--onto-empty",
        action="store_true",
        help="the platform lost its data: publish the file as the version after "
        "--expect-version, which daemons still hold (see status)",
    )
    parser.add_argument(
        "--publish-id",
        help="id of an earlier publication with unknown outcome, to retry it",
    )
    add_author_option(parser)
    add_platform_option(parser)
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=with_error_report("publish", run))


def run(options: argparse.Namespace) -> int:
    """Publish the file or the overrides."""
    overrides = _overrides(options)
    if (options.file is None) == (not overrides):
        raise CommandError("give either a file or --override and --remove", EXIT_USAGE)
    if overrides and (options.replace_damaged_head or options.onto_empty):
        raise CommandError("this option needs a complete set from a file", EXIT_USAGE)
    with open_platform(options) as platform:
        if overrides:
            publication = _from_overrides(options, overrides, platform)
        else:
            publication = _from_file(options)
        if options.replace_damaged_head:
            result = Publisher(platform).replace_damaged_head(publication)
            return report(result, as_json=options.json)
        return publish(platform, publication, as_json=options.json)


def _overrides(options: argparse.Namespace) -> list[Override]:
    overrides = [Override(object_path) for object_path in options.remove]
    for object_path, *settings in options.override:
        if not settings:
            raise CommandError(
                f"--override {object_path}: give FIELD=VALUE", EXIT_USAGE
            )
        overrides.append(Override(object_path, tuple(settings)))
    return overrides


def _from_file(options: argparse.Namespace) -> Publication:
    file_set = read_file(options.file, as_json=options.json)
    expected_version = options.expect_version
    if expected_version is None:
        expected_version = file_set.based_on_version or 0
    return _publication(options, file_set.document, expected_version)


def _from_overrides(
    options: argparse.Namespace, overrides: list[Override], platform: Platform
) -> Publication:
    store = ConfigStore(platform)
    record = read_record(store, options.expect_version)
    base = read_set(store, record)
    result = apply_overrides(base, overrides)
    if not isinstance(result, Document):
        print_problems(result, as_json=options.json)
        raise CommandError(f"{len(result)} faults in the resulting set", EXIT_INVALID)
    version = 0 if record is None else record.version
    return _publication(options, result, version, base)


def _publication(
    options: argparse.Namespace,
    document: Document,
    expected_version: int,
    base: Document | None = None,
) -> Publication:
    return Publication(
        document,
        options.author,
        expected_version,
        options.publish_id or new_publish_id(),
        is_retry=options.publish_id is not None,
        base=base,
        onto_empty=options.onto_empty,
    )
