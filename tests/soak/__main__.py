"""Play seeds of the soak: `python -m tests.soak --first 1 --seeds 50`."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from tests.soak.options import options_of
from tests.soak.soak import Soak

MAX_PRINTED = 100
LOG_FOLDER_PREFIX = "damaskbay-soak-"


def main() -> int:
    """Run seeds one after the other; return 1 if any violated an invariant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--machines", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--planned", action="store_true", help="planned work only")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        folder = Path(tempfile.mkdtemp(prefix=LOG_FOLDER_PREFIX))
        options = options_of(
            seed,
            arguments.machines,
            arguments.seconds,
            planned=arguments.planned,
        )
        soak = Soak(options, folder)
        violations = asyncio.run(soak.run_seed())
        counts = dict(sorted(soak.checker.statuses.items()))
        print(f"seed {seed}: {len(violations)} broken; {counts}", flush=True)
        if violations:
            failed += 1
            print(
                "\n".join(
                    ["events:", *soak.events, "broken:", *violations[:MAX_PRINTED]]
                )
            )
            print(f"logs in {folder}", flush=True)
    print(f"{arguments.seeds - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
