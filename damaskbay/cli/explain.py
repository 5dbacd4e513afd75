"""`damaskbay explain`: why a call was answered, refused, retried or sent where."""

import argparse
import json
import sys
import time
from typing import Any
from urllib.parse import urlencode

from damaskbay.cli.const import EXIT_FAILED, EXIT_OK, EXIT_UNAVAILABLE, EXIT_USAGE
from damaskbay.cli.operator_client import NoAnswer, ask, parse_address
from damaskbay.cli.operator_models import DecisionModel, ExplainModel


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "explain",
        help="tell why a call went as it did",
        description="Ask daemons what they remember of a call or a workspace.",
        epilog=(
            "example: damaskbay explain 3f0c... --at 127.0.0.1:7004; exit codes: "
            "0 found, 1 nothing remembered, 6 a daemon did not answer"
        ),
    )
    parser.add_argument("call_id", nargs="?", help="the Damaskbay-Call-Id header")
    parser.add_argument("--workspace", help="the newest decisions on a workspace")
    parser.add_argument("--at", nargs="+", required=True, help="HOST:PORT of daemons")
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Ask each daemon and print its decisions, oldest first."""
    if (options.call_id is None) == (options.workspace is None):
        print("explain: give a call id or --workspace", file=sys.stderr)
        return EXIT_USAGE
    if options.call_id is not None:
        target = "/explain?" + urlencode({"call_id": options.call_id})
    else:
        target = "/explain?" + urlencode({"workspace": options.workspace})
    found: list[tuple[str, DecisionModel]] = []
    silent: list[NoAnswer] = []
    for text in options.at:
        address = parse_address(text)
        if address is None:
            print(f"explain: {text}: expected HOST:PORT", file=sys.stderr)
            return EXIT_USAGE
        answer = ask(address, target, ExplainModel)
        if isinstance(answer, NoAnswer):
            silent.append(answer)
        else:
            found.extend((answer.instance, item) for item in answer.decisions)
    found.sort(key=lambda pair: pair[1].at)
    _print(found, silent, as_json=options.json)
    if silent:
        return EXIT_UNAVAILABLE
    return EXIT_OK if found else EXIT_FAILED


def _print(
    found: list[tuple[str, DecisionModel]], silent: list[NoAnswer], *, as_json: bool
) -> None:
    if as_json:
        document = [{"instance": name, **item.model_dump()} for name, item in found]
        print(json.dumps(document, indent=2))
    else:
        for name, item in found:
            print(_line(name, item))
        if not found:
            print("explain: nothing remembered")
    for missing in silent:
        print(f"{missing.address}: no answer: {missing.detail}", file=sys.stderr)


def _line(instance: str, item: DecisionModel) -> str:
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
