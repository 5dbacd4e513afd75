"""`damaskbay keys`: create and withdraw callers' keys."""

import argparse
import json
import sys
from typing import Any

from damaskbay.cli.const import EXIT_INVALID, EXIT_OK, EXIT_UNKNOWN
from damaskbay.cli.documents import print_problems
from damaskbay.cli.platform_option import (
    CommandError,
    add_platform_option,
    open_platform,
    read_record,
    read_set,
    with_error_report,
)
from damaskbay.cli.publishing import EXIT_CODES_HELP, add_author_option, publish
from damaskbay.config.document import Document
from damaskbay.config.objects import Kind
from damaskbay.config.override import Override, apply_overrides
from damaskbay.config.publishing import Publication, new_publish_id
from damaskbay.config.store import ConfigStore
from damaskbay.helpers.keys import digest_of, new_key_secret
from damaskbay.ports.platform import Platform


def add_parser(commands: Any) -> None:
    """Add the sub-command with its actions `new` and `withdraw`."""
    parser = commands.add_parser(
        "keys",
        help="create or withdraw a caller's key",
        description="Create or withdraw a caller's key by publishing the changed set.",
    )
    actions = parser.add_subparsers(dest="action", metavar="ACTION", required=True)
    new = actions.add_parser(
        "new",
        help="create a key and publish its digest",
        description="Create a key. Its secret is printed once and not stored.",
        epilog=(
            f"example: damaskbay keys new site-7 --workspace north; {EXIT_CODES_HELP}"
        ),
    )
    new.add_argument("--workspace", required=True)
    new.add_argument("--expires-at", type=float, help="seconds since 1970 UTC")
    new.set_defaults(run=with_error_report("keys", run_new))
    withdraw = actions.add_parser(
        "withdraw",
        help="withdraw a key",
        description="Remove a key from the set.",
        epilog=f"example: damaskbay keys withdraw site-7; {EXIT_CODES_HELP}",
    )
    withdraw.set_defaults(run=with_error_report("keys", run_withdraw))
    for action in (new, withdraw):
        action.add_argument("name", help="the key's name in the set")
        add_author_option(action)
        add_platform_option(action)
        action.add_argument("--json", action="store_true")


def run_new(options: argparse.Namespace) -> int:
    """Publish the digest of a new key and print its secret."""
    secret = new_key_secret()
    digest = digest_of(secret)
    settings = [f"digest={json.dumps(digest)}"]
    settings.append(f"workspace={json.dumps(options.workspace)}")
    if options.expires_at is not None:
        settings.append(f"expires_at={options.expires_at}")
    with open_platform(options) as platform:
        code = _publish(options, platform, tuple(settings))
    if code in {EXIT_OK, EXIT_UNKNOWN}:
        stream = sys.stderr if options.json else sys.stdout
        print(f"Secret of {options.name}, shown only here: {secret}", file=stream)
    return code


def run_withdraw(options: argparse.Namespace) -> int:
    """Publish the set without the key."""
    with open_platform(options) as platform:
        return _publish(options, platform, ())


def _publish(
    options: argparse.Namespace, platform: Platform, settings: tuple[str, ...]
) -> int:
    store = ConfigStore(platform)
    record = read_record(store, None)
    base = read_set(store, record)
    if settings and options.name in base.keys_by_name:
        message = f"the key {options.name!r} exists: choose another name"
        raise CommandError(message, EXIT_INVALID)
    object_path = f"{Kind.KEYS.value}/{options.name}"
    result = apply_overrides(base, [Override(object_path, settings)])
    if not isinstance(result, Document):
        print_problems(result, as_json=options.json)
        raise CommandError("nothing was published", EXIT_INVALID)
    version = 0 if record is None else record.version
    publication = Publication(
        result, options.author, version, new_publish_id(), base=base
    )
    return publish(platform, publication, as_json=options.json)
