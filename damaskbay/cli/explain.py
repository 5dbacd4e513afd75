"""`damaskbay explain`: show why a call was served, refused, retried or routed."""

import argparse
import json
import sys
import time
from typing import Any
from urllib.parse import urlencode

from damaskbay.cli.const import EXIT_FAILED, EXIT_OK, EXIT_UNAVAILABLE, EXIT_USAGE
from damaskbay.cli.operator_client import NoResponse, fetch_document, parse_address
from damaskbay.cli.operator_models import DecisionModel, ExplainModel


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "explain",
        help="show the decisions on a call",
        description="Show the recorded decisions on a call or a workspace.",
        epilog=(
            "example: damaskbay explain 3f0c... --at 127.0.0.1:7004; exit codes: "
            "0 found, 1 no decision is recorded, 6 a daemon did not respond"
        ),
    )
    parser.add_argument("call_id", nargs="?", help="the Damaskbay-Call-Id header")
    parser.add_argument("--workspace", help="show the newest decisions on a workspace")
    parser.add_argument("--at", nargs="+", required=True, help="HOST:PORT of daemons")
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Request the decisions of each daemon and print them, oldest first."""
    if (options.call_id is None) == (options.workspace is None):
        print("explain: give a call id or --workspace", file=sys.stderr)
        return EXIT_USAGE
    if options.call_id is not None:
        target = "/explain?" + urlencode({"call_id": options.call_id})
    else:
        target = "/explain?" + urlencode({"workspace": options.workspace})
    found: list[tuple[str, DecisionModel]] = []
    unresponsive: list[NoResponse] = []
    for text in options.at:
        address = parse_address(text)
        if address is None:
            print(f"explain: {text}: expected HOST:PORT", file=sys.stderr)
            return EXIT_USAGE
        response = fetch_document(address, target, ExplainModel)
        if isinstance(response, NoResponse):
            unresponsive.append(response)
        else:
            found.extend((response.instance, item) for item in response.decisions)
    found.sort(key=lambda pair: pair[1].at)
    _print_decisions(found, unresponsive, as_json=options.json)
    if unresponsive:
        return EXIT_UNAVAILABLE
    return EXIT_OK if found else EXIT_FAILED


def _print_decisions(
    found: list[tuple[str, DecisionModel]],
    unresponsive: list[NoResponse],
    *,
    as_json: bool,
) -> None:
    if as_json:
        document = [{"instance": name, **item.model_dump()} for name, item in found]
        print(json.dumps(document, indent=2))
    else:
        for name, item in found:
            print(_decision_line(name, item))
        if not found:
            print("explain: no decision is recorded")
    for failure in unresponsive:
        print(f"{failure.address}: no response: {failure.detail}", file=sys.stderr)


def _decision_line(instance: str, item: DecisionModel) -> str:
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(item.at))
    figures = ", ".join(f"{key} {value:g}" for key, value in item.figures.items())
    parts = [
        f"{at}Z {instance}: {item.call_id}",
        f"workspace {item.workspace or '-'}: {item.decision}: {item.reason}",
        f"set {item.set_version}, {item.rule or 'no rule'}",
        figures,
    ]
    if item.detail:
        parts.append(item.detail)
    return "; ".join(part for part in parts if part)
