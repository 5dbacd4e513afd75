"""Check the models with larger bounds than CI and print the state counts."""

import sys

from minicheck import check_liveness, check_safety

from spec import shares, tokens
from spec.state import UNLIMITED

MAX_STATES = 3_000_000


def main() -> int:
    """Check all models and return the exit code."""
    safety_models: list[shares.Model | tokens.Model] = [
        shares.Model(faults=2, writes=4, crashes=0),
        shares.Model(faults=1, writes=4, crashes=1),
        shares.Model(faults=1, writes=5, crashes=0, versions=(1, 2)),
        tokens.Model(asks=3),
    ]
    all_hold = True
    for model in safety_models:
        result = check_safety(model.protocol(), max_states=MAX_STATES)
        holds = [item["holds"] is True for item in result["properties"].values()]
        all_hold = all_hold and all(holds)
        print(f"{model}: {result['reachable_states']} states, holds: {all(holds)}")
    live = shares.Model(faults=0, crashes=1, writes=UNLIMITED)
    result = check_liveness(live.protocol())
    print(f"{live}: {result.get('reachable_states')} states, live: {result['holds']}")
    return 0 if all_hold and result["holds"] else 1


if __name__ == "__main__":
    sys.exit(main())
