"""
Play seeds of the soak: `python -m tests.soak --first 1 --seeds 50`.

With `--site`, many daemons under load share few cores.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from tests.soak.options import options_of
from tests.soak.site import Site, site_options_of
from tests.soak.soak import Soak

MAX_PRINTED = 100
LOG_FOLDER_PREFIX = "damaskbay-soak-"
MACHINES, SITE_MACHINES = 6, 14
SECONDS, SITE_SECONDS = 12.0, 30.0


def main() -> int:
    """Run seeds one after the other; return 1 if any violated an invariant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--machines", type=int)
    parser.add_argument("--seconds", type=float)
    parser.add_argument("--planned", action="store_true", help="planned work only")
    parser.add_argument("--site", action="store_true", help="a whole site")
    parser.add_argument("--cores", type=int, default=2, help="of all daemons of a site")
    parser.add_argument("--callers", type=int, default=6, help="of each daemon")
    parser.add_argument("--workers", type=int, default=2, help="processes of callers")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        folder = Path(tempfile.mkdtemp(prefix=LOG_FOLDER_PREFIX))
        soak = _make_soak(arguments, seed, folder)
        violations = asyncio.run(soak.run_seed())
        print(f"seed {seed}: {len(violations)} broken; {soak.summary()}", flush=True)
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


def _make_soak(arguments: argparse.Namespace, seed: int, folder: Path) -> Soak | Site:
    """Return the run of a seed."""
    if arguments.site:
        site_options = site_options_of(
            seed,
            arguments.machines or SITE_MACHINES,
            arguments.seconds or SITE_SECONDS,
            cores=arguments.cores,
            kept_callers=arguments.callers,
            workers=arguments.workers,
            planned=arguments.planned,
        )
        return Site(site_options, folder)
    options = options_of(
        seed,
        arguments.machines or MACHINES,
        arguments.seconds or SECONDS,
        planned=arguments.planned,
    )
    return Soak(options, folder)


if __name__ == "__main__":
    sys.exit(main())
