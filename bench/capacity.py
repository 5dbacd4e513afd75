"""Compute the capacity table for the target size from recorded measurements."""

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from bench.common import RESULTS, ROOT, parser

DAEMONS = 10_000
DOMAINS = 15
CALLS_PER_S = 1_400_000
CHANGES_PER_DAY = 39_000
SECONDS_PER_DAY = 86_400
ROOT_CALLS_PER_DAEMON_S = 20.0
ACTIVE_WORKSPACES_PER_DAEMON = 5
TOKEN_REQUESTS_PER_WORKSPACE_S = 1.5
RATE_GROUPS = 16
HOLDERS_PER_GROUP = 2
RATE_POLL_S = 1.0
RATE_RENEW_S = 15.0
RATE_REFILL_S = 3.0
TOKEN_REQUEST_BYTES = 128 + 96 + 63
HOLDER_US_PER_TOKEN_REQUEST = 70.0
DELEGATE_POLLS_PER_S = 25.5
CHANGE_BYTES = 350
TREE_SHARE = 8
RELAYS_PER_DOMAIN = 2
WATCHES_PER_RELAY_S = 2.0
LEASE_RENEW_S = 3.0
CONTACT_READS_PER_S = 2.3
CONTACT_WRITES_PER_S = 0.25
WRITES_PER_PUBLICATION = 4.0

LIMIT_CORE_PCT = 4.4
LIMIT_MEMORY_MB = 128.0
LIMIT_BYTES_PER_S = 23_000.0
LIMIT_ADDED_MS = 0.53
LIMIT_IN_FORCE_S = 7.0
LIMIT_READS_PER_S = 2_000.0
LIMIT_WRITES_PER_S = 300.0

PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN_MARK = "<!-- table: script/bench capacity -->"
END_MARK = "<!-- end of table -->"


@dataclass(frozen=True, slots=True)
class Line:
    """A figure at the target size and its limit."""

    role: str
    what: str
    value: float
    limit: float
    unit: str
    mechanism: str

    @property
    def fits(self) -> bool:
        """Return whether the figure is within its limit."""
        return self.value <= self.limit


class MissingResultError(RuntimeError):
    """A measurement that the table needs has not been recorded."""


def main(arguments: Sequence[str]) -> int:
    """Print the table, as Markdown or JSON."""
    argument_parser = parser(__doc__ or "")
    argument_parser.add_argument(
        "--write", action="store_true", help="put it into the page"
    )
    options = argument_parser.parse_args(arguments)
    try:
        lines = table()
    except MissingResultError as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 1
    if options.write:
        write(markdown(lines))
    if options.json:
        document = [
            {
                "role": line.role,
                "what": line.what,
                "value": round(line.value, 3),
                "limit": line.limit,
                "unit": line.unit,
                "fits": line.fits,
            }
            for line in lines
        ]
        print(json.dumps({"lines": document, "seed": options.seed}, indent=2))
    else:
        print(markdown(lines))
    return 0


def table() -> list[Line]:
    """Return all lines, computed from bench/results/."""
    return [
        *_core(),
        *_memory(),
        *_bytes(),
        *_platform(),
        *_calls(),
    ]


def markdown(lines: Sequence[Line]) -> str:
    """Return the table as Markdown for docs/CAPACITY.md."""
    rows = [
        "| role | figure | at the target | limit | fits | mechanism |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for line in lines:
        verdict = "yes" if line.fits else "**no**"
        rows.append(
            f"| {line.role} | {line.what} | {line.value:,.2f} {line.unit} "
            f"| {line.limit:,.2f} {line.unit} | {verdict} | {line.mechanism} |"
        )
    return "\n".join(rows)


def write(text: str) -> None:
    """Replace the table in docs/CAPACITY.md."""
    page = PAGE.read_text()
    begin = page.index(BEGIN_MARK) + len(BEGIN_MARK)
    end = page.index(END_MARK)
    PAGE.write_text(f"{page[:begin]}\n{text}\n{page[end:]}")


def _core() -> list[Line]:
    """Return the core share of control by role; combined roles are summed."""
    member = _member_core_pct()
    relay = _relay_core_pct()
    delegate = _poll_core_pct() * DELEGATE_POLLS_PER_S
    holder = _token_requests_per_holder_s() * HOLDER_US_PER_TOKEN_REQUEST / 1e6 * 100
    return [
        _core_line("plain member", member, "gossip, poll tree, ticks"),
        _core_line("inner daemon of a tree, relay", relay, "answers to 32 children"),
        _core_line("relay and delegate", relay + delegate, "questions of domains"),
        _core_line("holder of a group", member + holder, "asks for tokens"),
        _core_line(
            "relay, delegate and holder at once",
            relay + delegate + holder,
            "separate rendezvous hashes make it rare",
        ),
    ]


def _core_line(role: str, value: float, mechanism: str) -> Line:
    return Line(role, "core", value, LIMIT_CORE_PCT, "%", mechanism)


def _memory() -> list[Line]:
    idle = _result("latency")["idle_daemon_memory_mb"]
    document = _result("documents")["memory_mb"]
    value = idle + 2 * document
    return [
        Line(
            "every daemon",
            "memory with the set held twice",
            value,
            LIMIT_MEMORY_MB,
            "MB",
            "one set in force, one being applied",
        )
    ]


def _bytes() -> list[Line]:
    one_domain = _result("control")["one_domain"]
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY * CHANGE_BYTES * TREE_SHARE
    daemon_bytes = TOKEN_REQUESTS_PER_DAEMON_S * TOKEN_REQUEST_BYTES
    holder_bytes = _token_requests_per_holder_s() * TOKEN_REQUEST_BYTES
    member = one_domain["bytes_per_s"] + daemon_bytes
    inner = one_domain["bytes_per_s_relay"] + changes + daemon_bytes

    def line(role: str, value: float, mechanism: str) -> Line:
        return Line(role, "control bytes/s", value, LIMIT_BYTES_PER_S, "B/s", mechanism)

    return [
        line("plain member", member, "gossip, polls, asks"),
        line("inner daemon of a tree, relay", inner, "deltas to 4 children each way"),
        line("holder of a group", member + holder_bytes, "asks of the whole domain"),
    ]


def _platform() -> list[Line]:
    holders = DOMAINS * HOLDERS_PER_GROUP * RATE_GROUPS
    relays = DOMAINS * RELAYS_PER_DOMAIN
    reads = holders / RATE_POLL_S + relays * WATCHES_PER_RELAY_S + CONTACT_READS_PER_S
    publishing = CHANGES_PER_DAY / SECONDS_PER_DAY * WRITES_PER_PUBLICATION
    base = relays / LEASE_RENEW_S + CONTACT_WRITES_PER_S + publishing
    return [
        Line(
            "platform",
            "reads and watches",
            reads,
            LIMIT_READS_PER_S,
            "/s",
            "holders' polls, relays' long polls",
        ),
        Line(
            "platform",
            "writes, demand at rest",
            base + holders / RATE_RENEW_S,
            LIMIT_WRITES_PER_S,
            "/s",
            "renewals, batched by group",
        ),
        Line(
            "platform",
            "writes, all demand moving",
            base + holders / RATE_REFILL_S,
            LIMIT_WRITES_PER_S,
            "/s",
            "write budget of each holder",
        ),
    ]


def _calls() -> list[Line]:
    config = _result("config")
    latency = _result("latency")
    return [
        Line(
            "config",
            "in force, worst of relays killed, platform slow, first set",
            max(value for key, value in config.items() if "in_force" in key),
            LIMIT_IN_FORCE_S,
            "s",
            "push tree, polls every second",
        ),
        *(
            Line(
                "call",
                f"added p99, {name.replace('_', ' ')}",
                latency["added_p99_ms"][name],
                LIMIT_ADDED_MS,
                "ms",
                "HTTP edge by waitress, streams",
            )
            for name in ("one_daemon", "two_daemons")
        ),
        Line(
            "call",
            "core for 140 calls/s, ingress and target",
            CALLS_PER_S
            / DAEMONS
            * (
                latency["cpu_ms_per_call"]["ingress_daemon"]
                + latency["cpu_ms_per_call"]["target_daemon"]
            )
            / 10,
            100.0,
            "%",
            "not control: the data path",
        ),
    ]


TOKEN_REQUESTS_PER_DAEMON_S = (
    ACTIVE_WORKSPACES_PER_DAEMON * TOKEN_REQUESTS_PER_WORKSPACE_S
)


def _token_requests_per_holder_s() -> float:
    per_domain = DAEMONS / DOMAINS * TOKEN_REQUESTS_PER_DAEMON_S
    return per_domain / (RATE_GROUPS * HOLDERS_PER_GROUP)


def _member_core_pct() -> float:
    control = _result("control")
    return float(control["one_domain"]["core_share_pct"]) + _added_core_pct()


def _relay_core_pct() -> float:
    control = _result("control")
    return float(control["one_domain"]["core_share_pct_relay"]) + _added_core_pct()


def _added_core_pct() -> float:
    """Return the core share for all members of a domain and the changes of a day."""
    control = _result("control")
    domain_core_pct = max(
        item["core_share_pct"] for item in control["membership_by_members"]
    )
    change_ms = control["set_costs"]["change_route"]["take_ms"]
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY * change_ms / 1000 * 100
    return float(domain_core_pct) + float(changes)


def _poll_core_pct() -> float:
    """Return the core share for replying to one poll per second."""
    one_domain = _result("control")["one_domain"]
    added = one_domain["core_share_pct_relay"] - one_domain["core_share_pct"]
    return float(added) / 32


def _result(name: str) -> dict[str, Any]:
    path = RESULTS / f"{name}.json"
    if not path.exists():
        raise MissingResultError(f"run `script/bench {name} --keep` first")
    found: dict[str, Any] = json.loads(path.read_text())
    return found
