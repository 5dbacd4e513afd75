"""Arguments, figures and output shared by the measurements."""

import argparse
import json
import subprocess
from collections.abc import Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "bench" / "results"


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments of every measurement."""
    argument_parser = argparse.ArgumentParser(description=description)
    argument_parser.add_argument("--json", action="store_true", help="print JSON")
    argument_parser.add_argument("--seed", type=int, default=1)
    argument_parser.add_argument("--quick", action="store_true", help="a short run")
    argument_parser.add_argument(
        "--keep", action="store_true", help="write bench/results/"
    )
    return argument_parser


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that `share` (0 to 1) of the values do not exceed."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[index]


def commit() -> str:
    """Return the commit of the working tree, marked dirty if it has changes."""
    described = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return described.stdout.strip() or "unknown"


def finish(name: str, result: dict[str, Any], options: argparse.Namespace) -> int:
    """Print the result as JSON or a table; write it to bench/results/ with --keep."""
    result = {**result, "seed": options.seed, "commit": commit()}
    if options.keep:
        RESULTS.mkdir(parents=True, exist_ok=True)
        path = RESULTS / f"{name}.json"
        path.write_text(json.dumps(result, indent=2) + "\n")
    if options.json:
        print(json.dumps(result, indent=2))
    else:
        print_table(result)
    return 0


def print_table(result: dict[str, Any], indent: str = "") -> None:
    """Print nested figures, one per line."""
    for key, value in result.items():
        if isinstance(value, dict):
            print(f"{indent}{key}")
            print_table(value, indent + "  ")
        else:
            print(f"{indent}{key:<32} {value}")
