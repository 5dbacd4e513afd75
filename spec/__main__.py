"""Check the models further than CI does and print the counts of states."""

import sys

from minicheck import check_liveness, check_safety

from spec import shares, tokens
from spec.state import UNLIMITED

MAX_STATES = 3_000_000


def main() -> int:
    """Check and return the exit code."""
    safe: list[shares.Model | tokens.Model] = [
        shares.Model(faults=2, writes=4, crashes=0),
        shares.Model(faults=1, writes=4, crashes=1),
        shares.Model(faults=1, writes=5, crashes=0, versions=(1, 2)),
        tokens.Model(asks=3),
    ]
    good = True
    for model in safe:
        result = check_safety(model.protocol(), max_states=MAX_STATES)
        held = [item["holds"] is True for item in result["properties"].values()]
        good = good and all(held)
        print(f"{model}: {result['reachable_states']} states, holds: {all(held)}")
    live = shares.Model(faults=0, crashes=1, writes=UNLIMITED)
    result = check_liveness(live.protocol())
    print(f"{live}: {result.get('reachable_states')} states, live: {result['holds']}")
    return 0 if good and result["holds"] else 1


if __name__ == "__main__":
    sys.exit(main())
