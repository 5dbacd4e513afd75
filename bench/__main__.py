"""Run one measurement: `python -m bench NAME [--json] [--seed N] [--quick]`."""

import importlib
import sys

NAMES = (
    "latency",
    "config",
    "rates",
    "control",
    "overload",
    "hop",
    "at_most_once",
    "capacity",
    "documents",
    "blocks",
    "starts",
    "saturation",
    "processor_model",
    "call_cost",
    "call_cost_refusal",
    "start_cost",
    "trees",
)
EXIT_USAGE = 2


def main() -> int:
    """Run the named measurement and return its exit code."""
    if len(sys.argv) < 2 or sys.argv[1] not in NAMES:
        print(
            f"usage: script/bench {{{','.join(NAMES)}}} [--json] [--seed N] [--quick]"
        )
        return EXIT_USAGE
    module = importlib.import_module(f"bench.{sys.argv[1]}")
    result: int = module.main(sys.argv[2:])
    return result


if __name__ == "__main__":
    sys.exit(main())
