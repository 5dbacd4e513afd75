"""Arguments, figures and output that the measurements share."""

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
    made = argparse.ArgumentParser(description=description)
    made.add_argument("--json", action="store_true", help="print JSON")
    made.add_argument("--seed", type=int, default=1)
    made.add_argument("--quick", action="store_true", help="a short run")
    made.add_argument("--keep", action="store_true", help="write bench/results/")
    return made


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that `share` (0 to 1) of the values do not exceed."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[index]


def commit() -> str:
    """Return the commit of the working tree, marked where it has changes."""
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip() or "unknown"


def finish(name: str, result: dict[str, Any], options: argparse.Namespace) -> int:
    """Print the result as JSON or as a table, and keep it where asked."""
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
    """Print nested figures, a line each."""
    for key, value in result.items():
        if isinstance(value, dict):
            print(f"{indent}{key}")
            print_table(value, indent + "  ")
        else:
            print(f"{indent}{key:<32} {value}")
