"""What a daemon may spend while it starts, in virtual time and without sockets."""

import asyncio
import random
import unittest
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import patch

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.config.objects import Workspace
from damaskbay.core.quota.const import INITIAL_SHARE
from damaskbay.core.quota.shares import DemandShares, QuotaOptions
from damaskbay.core.quota.token_pool import TokenPool
from damaskbay.mesh.assembly import PlatformParts
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import REPORT_INTERVAL_S
from damaskbay.mesh.control_plane import ControlPlane, ControlPlaneParts
from damaskbay.mesh.directory import Directory, MemberRecord
from damaskbay.mesh.messages import Note
from damaskbay.mesh.neighbours import relay_order
from damaskbay.mesh.records import encode_record
from damaskbay.mesh.settings import MeshSettings
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import StoreItem, StoreSnapshot
from tests.common import function_suite

OPTIONS = QuotaOptions(overage=0.1, slack=20.0)
WORKSPACE = Workspace("w", 549.0, 549)
DEMAND_PER_S = 2.5 * WORKSPACE.rate_per_s
DAEMONS = 15
DOMAINS = 3
WINDOW_S = 5.0
PREFIX = "members/"


def _record(number: int) -> MemberRecord:
    return MemberRecord(
        f"d{number}",
        1,
        f"domain{number % DOMAINS}",
        PeerAddress("10.0.0.1", 7000 + number),
        "p",
        ServerState.READY,
        4,
    )


RECORDS = [_record(number) for number in range(DAEMONS)]


@dataclass
class _Network:
    """The daemons, those that reach no other, and the virtual time."""

    now: float = 0.0
    by_address: dict[PeerAddress, "_Daemon"] = field(default_factory=dict)
    cut_off: set[PeerAddress] = field(default_factory=set)

    def clock(self) -> float:
        return self.now


@dataclass
class _Links:
    """The links of the daemon at an address."""

    local: PeerAddress
    network: _Network

    def up(self, peer: PeerAddress) -> bool:
        cut_off = self.network.cut_off
        return peer in self.network.by_address and not {self.local, peer} & cut_off

    async def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> Any:
        assert timeout_s > 0.0
        assert self.up(peer)
        control_plane = self.network.by_address[peer].control_plane
        return await control_plane.handle_request(message)


class _Daemon:
    """A daemon that has just started and knows itself."""

    def __init__(self, record: MemberRecord, network: _Network) -> None:
        self.record = record
        self.shares = DemandShares(OPTIONS)
        links = _Links(record.address, network)
        self.directory = Directory(record.instance, links.up)
        self.directory.put_local(record, network.now)
        self._network = network
        names = SimpleNamespace(
            instance=record.instance,
            failure_domain=record.failure_domain,
            failure_domains=frozenset(),
        )
        platform = SimpleNamespace(
            store=None,
            member_prefix=PREFIX,
            config_prefix="config/",
            config_key="config/set",
            decode_config=None,
            evacuation_prefix="config/evacuate/",
            check_evacuation=None,
        )
        with patch("damaskbay.mesh.control_plane.monotonic_s", network.clock):
            self.control_plane = ControlPlane(
                ControlPlaneParts(
                    cast("MeshSettings", names),
                    cast("PlatformParts", platform),
                    Configuration(),
                    self.directory,
                    cast("PeerLinks", links),
                    self.shares,
                    TokenPool(record.failure_domain, OPTIONS),
                    random.Random(1),
                    stored_record=lambda: record,
                    on_local_record=lambda _record: None,
                    on_members_change=self._members_changed,
                    on_evacuation_change=lambda: None,
                )
            )
        network.by_address[record.address] = self

    def _members_changed(self) -> None:
        self.control_plane.exchange.members_changed()

    def hear_note(self, peer: MemberRecord) -> None:
        """Handle a peer's note as the daemon does."""
        note = Note(
            peer.instance,
            peer.incarnation,
            peer.failure_domain,
            peer.address.host,
            peer.address.port,
            peer.pool,
            peer.state,
            peer.slots,
            0.0,
            0,
        )
        self.directory.put_note(note, self._network.now)
        self._members_changed()

    def read_records(self) -> None:
        """Read the records of all daemons from the store."""
        items = [
            StoreItem(PREFIX + record.instance, encode_record(record), 1)
            for record in RECORDS
        ]
        reading = StoreSnapshot(tuple(items), 1)
        self.control_plane.members._apply_reading(reading, self._network.now)

    async def report(self) -> None:
        """Run one round of the exchange of demand."""
        await self.control_plane.exchange._report()


# Guards against half of the rate for each daemon that hears a peer before it has read.
def test_a_note_before_the_records_are_read_gives_no_share_of_a_small_fleet() -> None:
    """The first note that arrives says nothing about the number of daemons."""
    daemon = _Daemon(RECORDS[0], _Network())
    daemon.hear_note(RECORDS[1])
    assert daemon.shares.share("w") <= INITIAL_SHARE
    daemon.read_records()
    assert abs(daemon.shares.share("w") - 1.0 / DAEMONS) < 1e-9


# Guards against a daemon without shares for as long as the store can't be read.
def test_without_the_records_a_daemon_takes_its_share_with_its_first_report() -> None:
    """The notes of its peers then are all that a daemon can know of the fleet."""
    daemon = _Daemon(RECORDS[0], _Network())
    for peer in RECORDS[1:]:
        daemon.hear_note(peer)
    asyncio.run(daemon.report())
    assert abs(daemon.shares.share("w") - 1.0 / DAEMONS) < 1e-9


# Guards against more than the rate after a restart where notes come before the records.
def test_a_restart_of_all_with_early_notes_keeps_the_bound() -> None:
    """Each daemon hears one peer a few milliseconds before it has read the store."""
    network = _Network()
    rng = random.Random(3)
    daemons = [_Daemon(record, network) for record in RECORDS]
    for daemon in daemons:
        daemon.read_records()
    killed_at, started_at, noted_at, read_at = 10.0, 10.7, 10.71, 10.715
    admitted_at: list[float] = []
    next_round_at = REPORT_INTERVAL_S
    while network.now < 18.0:
        before = network.now
        network.now += rng.expovariate(DEMAND_PER_S)
        if before < started_at <= network.now:
            daemons = [_Daemon(record, network) for record in RECORDS]
            next_round_at = network.now + REPORT_INTERVAL_S
        if before < noted_at <= network.now:
            for daemon in daemons:
                peer = rng.choice([item for item in RECORDS if item != daemon.record])
                daemon.hear_note(peer)
        if before < read_at <= network.now:
            for daemon in daemons:
                daemon.read_records()
        if killed_at <= network.now < started_at:
            continue
        if network.now >= next_round_at:
            next_round_at += REPORT_INTERVAL_S
            asyncio.run(_round(daemons))
        if rng.choice(daemons).shares.spend(WORKSPACE, network.now) is None:
            admitted_at.append(network.now)
    _assert_within_bound(admitted_at)


# Guards against a relay that counts the others by their last reports without end.
def test_demand_that_grows_while_a_relay_is_cut_off_keeps_the_bound() -> None:
    """The relays of all domains reach nobody, and then demand grows everywhere."""
    network = _Network()
    rng = random.Random(3)
    daemons = [_Daemon(record, network) for record in RECORDS]
    for daemon in daemons:
        daemon.read_records()
    cut_at, grows_at = 10.0, 10.5
    admitted_at: list[float] = []
    next_round_at = REPORT_INTERVAL_S
    while network.now < 16.0:
        factor = 0.6 if network.now < grows_at else 4.0
        before = network.now
        network.now += rng.expovariate(factor * WORKSPACE.rate_per_s)
        if before < cut_at <= network.now:
            network.cut_off = {
                relay_order(RECORDS, f"domain{number}")[0].address
                for number in range(DOMAINS)
            }
        if network.now >= next_round_at:
            next_round_at += REPORT_INTERVAL_S
            asyncio.run(_round(daemons))
        if rng.choice(daemons).shares.spend(WORKSPACE, network.now) is None:
            admitted_at.append(network.now)
    _assert_within_bound(admitted_at)


def _assert_within_bound(admitted_at: list[float]) -> None:
    limit = WORKSPACE.rate_per_s * WINDOW_S + WORKSPACE.burst
    bound = limit * (1.0 + OPTIONS.overage) + OPTIONS.slack
    highest = _max_in_window(admitted_at)
    assert highest <= bound, f"{highest} of {bound}"


async def _round(daemons: list[_Daemon]) -> None:
    for daemon in daemons:
        await daemon.report()


def _max_in_window(admitted_at: list[float]) -> int:
    highest = first = 0
    for last, at in enumerate(admitted_at):
        while admitted_at[first] < at - WINDOW_S:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
