"""Time and memory of the code that runs requests at most once."""

import random
import sys
import time
import tracemalloc
from typing import Any, Final

from bench.common import finish, parser
from damaskbay.core.at_most_once import AtMostOnceOptions, RequestOwner, Run
from damaskbay.core.call import Response
from damaskbay.ports.peer import PeerAddress

IDS: Final = 50_000
QUICK_IDS: Final = 5_000
ADDRESS: Final = PeerAddress("127.0.0.1", 7000)
SECRET: Final = b"bench peer secret"
ANSWER: Final = Response(201, (("Content-Type", "text/plain"),), b"x" * 100)


def main(arguments: list[str] | None = None) -> int:
    """Run the benchmark and print JSON or a table."""
    options = parser(__doc__ or "").parse_args(arguments)
    ids = QUICK_IDS if options.quick else IDS
    return finish("at_most_once", {"ids": ids, **_measure(ids, options.seed)}, options)


def _measure(count: int, seed: int) -> dict[str, Any]:
    owner = RequestOwner(
        "instance-0001",
        1,
        (SECRET,),
        random.Random(seed),
        ADDRESS,
        AtMostOnceOptions(max_ids=count, max_issue=count),
    )
    issue_s, ids = _timed(lambda: owner.issue(count, 0.0))
    tracemalloc.start()
    for request_id in ids:
        owner.begin(request_id, request_id.encode()[:32], 0.0)
        owner.finish(request_id, ANSWER, 0.0)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "issue_us": round(issue_s / count * 1e6, 2),
        "begin_and_finish_us": round(_run_s(count, seed) / count * 1e6, 2),
        "memory_bytes_per_id": round(used_bytes / count),
    }


def _run_s(count: int, seed: int) -> float:
    """Return the seconds to run all ids, without tracing memory."""
    options = AtMostOnceOptions(max_ids=count, max_issue=count)
    owner = RequestOwner(
        "instance-0001", 1, (SECRET,), random.Random(seed), ADDRESS, options
    )
    ids = owner.issue(count, 0.0)

    def run() -> None:
        for request_id in ids:
            if not isinstance(owner.begin(request_id, b"", 0.0), Run):
                raise RuntimeError("an id did not run")
            owner.finish(request_id, ANSWER, 0.0)

    return _timed(run)[0]


def _timed(step: Any) -> tuple[float, Any]:
    started_at = time.perf_counter()
    result = step()
    return time.perf_counter() - started_at, result


if __name__ == "__main__":
    sys.exit(main())
