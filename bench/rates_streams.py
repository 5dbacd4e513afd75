"""Token requests in real time, between daemons on threads over peer streams."""

import argparse
import json
import random
import resource
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.rates_fleet import greatest_excess
from damaskbay.adapters.peer_stream import PeerStreamOptions, PeerStreams
from damaskbay.config.objects import ConfigSet, Workspace
from damaskbay.core.rates.bucket import Share
from damaskbay.core.rates.codec import encode_ledger
from damaskbay.core.rates.ledger import GroupLedger, LedgerDraft
from damaskbay.core.rates.names import BucketLimit
from damaskbay.daemon.rates import RateService
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.fleet import ConfigState, MemberView
from damaskbay.ports.peer import PeerAddress, PeerIdentity
from damaskbay.stand_ins.memory_platform import MemoryPlatform

RESULT = Path(__file__).parent / "results" / "rates_streams.json"
SECRET = b"secret of this measurement"
DOMAINS = ("north", "south")
DAEMONS_PER_DOMAIN = 4
WORKSPACES = (Workspace("large", 400.0, 400), Workspace("small", 20.0, 20))
CALLS_PER_DAEMON_S = 40.0
WARM_UP_S = 3.0
PERCENT = 100


class _Config:
    def __init__(self, config: ConfigSet) -> None:
        self._config = config

    def state(self) -> ConfigState:
        return ConfigState(self._config, 0.0)

    def subscribe(self, callback: Any) -> None:
        pass


class _Members:
    def __init__(self) -> None:
        self.all: tuple[MemberView, ...] = ()

    def members(self) -> tuple[MemberView, ...]:
        return self.all


@dataclass(frozen=True, slots=True)
class _Call:
    workspace: str
    at: float
    waited_s: float
    admitted: bool


@contextmanager
def _services(seed: int) -> Iterator[list[RateService]]:
    config: Any = _Config(ConfigSet(1, "d", {item.name: item for item in WORKSPACES}))
    platform = MemoryPlatform()
    services = []
    with ExitStack() as stack:
        for domain in DOMAINS:
            members: Any = _Members()
            links = []
            for number in range(DAEMONS_PER_DOMAIN):
                identity = PeerIdentity(f"{domain}-{number}", seed, domain)
                listen = PeerAddress("127.0.0.1", 0)
                link = PeerStreams(
                    identity, listen, PeerStreamOptions(), secrets=[SECRET]
                )
                service = RateService(
                    identity=identity,
                    platform=platform,
                    link=link,
                    membership=members,
                    config=config,
                )
                stack.enter_context(link)
                links.append((identity, link))
                services.append(service)
            members.all = tuple(
                MemberView(
                    member_identity.instance,
                    member_identity.incarnation,
                    domain,
                    link.address,
                )
                for member_identity, link in links
            )
        for service in services:
            stack.enter_context(service)
        yield services


def _send_calls(service: RateService, seed: int, length_s: float) -> list[_Call]:
    rng = random.Random(seed)
    end = monotonic_s() + length_s
    calls = []
    due = monotonic_s()
    while due < end:
        due += rng.expovariate(CALLS_PER_DAEMON_S)
        time.sleep(max(0.0, due - monotonic_s()))
        name = "small" if rng.random() < 0.05 else "large"
        start = monotonic_s()
        refusal = service.acquire(name, (), deadline=start + 5, now=start)
        now = monotonic_s()
        calls.append(_Call(name, now, now - start, refusal is None))
    return calls


def _send_calls_to_all(
    services: list[RateService], seed: int, length_s: float
) -> list[_Call]:
    with ThreadPoolExecutor(len(services)) as pool:
        runs = [
            pool.submit(_send_calls, service, seed + number, length_s)
            for number, service in enumerate(services)
        ]
        return [call for run in runs for call in run.result()]


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def ledger_bytes() -> dict[str, int]:
    """Return the encoded ledger size in bytes by bucket count, with 30 holders."""
    sizes = {}
    for buckets in (1, 10, 100):
        draft = LedgerDraft(GroupLedger(), lambda _: 0.0)
        holders = [f"region-domain-{n:03}-instance/1760000000" for n in range(30)]
        for holder in holders:
            draft.renew(holder, 100_000, 900.0)
        for number in range(buckets):
            name = f"w/workspace-{number:05}"
            draft.set_limit(name, BucketLimit(100_000, 200_000, 9), first_tokens=True)
            for holder in holders:
                draft.claim(name, holder, Share(3_000, 6_000))
                draft.set_need(name, holder, Share(3_000, 6_000))
        sizes[str(buckets)] = len(encode_ledger(draft.finish()))
    return sizes


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the figures; return 1 if a limit was exceeded, else 0."""
    parser = argparse.ArgumentParser(prog="bench rates_streams", description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON alone")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="a fifth of the time")
    parser.add_argument(
        "--save", "--keep", action="store_true", help=f"write {RESULT.name}"
    )
    options = parser.parse_args(arguments)
    length_s = 3.0 if options.quick else 15.0
    with _services(options.seed) as services:
        warm_up_calls = _send_calls_to_all(services, options.seed, WARM_UP_S)
        before = _cpu_s()
        calls = _send_calls_to_all(services, options.seed + 100, length_s)
        used_s = _cpu_s() - before
        idle_started_s = _cpu_s()
        time.sleep(length_s / 3)
        idle_s = _cpu_s() - idle_started_s
    figures = _figures(calls, used_s, length_s) | {
        "greatest_excess_tokens": _greatest_excess([*warm_up_calls, *calls]),
        "refused_in_first_s": sum(not call.admitted for call in warm_up_calls),
        "idle_core_share_pct_per_daemon": round(
            PERCENT * idle_s / (length_s / 3) / len(services), 2
        ),
        "ledger_bytes_by_buckets_with_30_holders": ledger_bytes(),
        "daemons": len(services),
        "seed": options.seed,
    }
    text = json.dumps(figures, indent=2)
    if options.save:
        RESULT.parent.mkdir(exist_ok=True)
        RESULT.write_text(text + "\n")
    print(text)
    return 0 if figures["greatest_excess_tokens"] == 0 else 1


def _greatest_excess(calls: list[_Call]) -> float:
    return max(
        greatest_excess(
            (
                call.at
                for call in calls
                if call.admitted and call.workspace == item.name
            ),
            item.rate_per_s,
            item.burst,
        )
        for item in WORKSPACES
    )


def _figures(calls: list[_Call], used_s: float, length_s: float) -> dict[str, Any]:
    waited = sorted(call.waited_s for call in calls)
    admitted = [call for call in calls if call.admitted]
    return {
        "calls": len(calls),
        "calls_per_s": round(len(calls) / length_s, 1),
        "refused": len(calls) - len(admitted),
        "waited_median_ms": round(1000 * waited[len(waited) // 2], 4),
        "waited_p99_ms": round(1000 * waited[len(waited) * 99 // 100], 3),
        "without_a_wait_share": round(
            sum(item < 0.0002 for item in waited) / len(waited), 3
        ),
        "processor_us_per_call": round(1e6 * used_s / len(calls), 1),
    }


if __name__ == "__main__":
    raise SystemExit(main())
