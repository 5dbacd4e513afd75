"""Exchanges demand and proofs of freshness through a relay in each failure domain."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.core.quota.demand_pool import DemandPool, DemandTotals, DomainTotal
from damaskbay.core.quota.shares import DemandShares
from damaskbay.core.quota.token_pool import TokenPool
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import (
    RELAY_SETTLE_S,
    RELAYS_PER_DOMAIN,
    REPORT_INTERVAL_S,
    REPORT_TIMEOUT_S,
)
from damaskbay.mesh.directory import Directory, MemberRecord
from damaskbay.mesh.messages import DemandReport, DomainDemandRequest, FleetState
from damaskbay.mesh.neighbours import relay_order
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ExchangeParts:
    """
    Dependencies of Exchange; `fetch_config` starts to fetch a newer version.

    `members_known` is whether the records of all members have been read.
    """

    instance: str
    failure_domain: str
    directory: Directory
    links: PeerLinks
    shares: DemandShares
    pool: DemandPool
    tokens: TokenPool
    configuration: Configuration
    fetch_config: Callable[[PeerAddress, int], None]
    members_known: Callable[[], bool]
    clock: Callable[[], float]


class Exchange:
    """
    Reports demand to the relay of the local domain, or acts as the relay.

    The relay is the first reachable daemon of the domain in an order that is the
    same at all daemons. Two relays at once do no harm: each sums the reports that
    it receives and assumes average demand for the other daemons of the domain.
    """

    def __init__(self, parts: ExchangeParts) -> None:
        self._parts = parts
        self._relay = ""
        self._relay_since = 0.0
        self._relay_orders: dict[str, list[MemberRecord]] = {}
        self._fleet_known = False

    @property
    def is_relay(self) -> bool:
        """Return whether this daemon is the relay of its domain."""
        return self._relay == self._parts.instance

    @property
    def watches_store(self) -> bool:
        """Return whether this daemon watches the store for its domain, as its relay."""
        if not self.is_relay:
            return False
        parts = self._parts
        preferred = self.relays(parts.failure_domain)
        if any(record.instance == parts.instance for record in preferred):
            return True
        return parts.clock() - self._relay_since >= RELAY_SETTLE_S

    @property
    def fleet_known(self) -> bool:
        """Return whether the daemons of the fleet are known."""
        return self._fleet_known

    def relays(self, failure_domain: str) -> list[MemberRecord]:
        """Return the relays of a domain, the preferred one first."""
        return self._relay_order(failure_domain)[:RELAYS_PER_DOMAIN]

    def members_changed(self) -> None:
        """
        Start with even shares once the daemons are known, before demand reports.

        A note that comes before the records have been read says nothing about the
        number of daemons, which is needed for a share.
        """
        if not self._fleet_known and self._parts.members_known():
            self._start_shares()

    def _start_shares(self) -> None:
        parts = self._parts
        self._update_members()
        parts.shares.update_totals(parts.pool.totals_for(parts.instance))
        self._fleet_known = True

    async def run(self) -> None:
        """Report at fixed intervals until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            await self._report()

    def handle_report(self, report: DemandReport) -> FleetState:
        """Record a demand report and return the reply to it."""
        parts = self._parts
        version = parts.configuration.version
        age_s = parts.configuration.proof_age_s(parts.clock())
        if not self._fleet_known:
            return FleetState({}, {}, 0, version, age_s)
        parts.pool.record_report(report.instance, report.demand)
        parts.tokens.record_report(report.instance, parts.clock())
        counted = parts.pool.totals_for(report.instance)
        own, total = dict(counted.own), dict(counted.total)
        return FleetState(own, total, counted.daemons, version, age_s)

    def domain_demand(self, request: DomainDemandRequest) -> DomainTotal:
        """Return the local demand; record how many daemons rely on the sender."""
        if not self._fleet_known:
            return DomainTotal({}, 0, 0)
        parts = self._parts
        if request.domains == parts.tokens.domains:
            parts.tokens.record_remote_daemons(
                request.sender_domain,
                request.daemons,
                request.reply_age_s,
                parts.clock(),
            )
        return parts.pool.local_total()

    async def _report(self) -> None:
        parts = self._parts
        self.members_changed()
        if not self._fleet_known:
            # The store may be down: use the peers that have sent notes since the start.
            if len(parts.directory.instances()) <= 1:
                return
            self._start_shares()
        self._update_members()
        relay = self._select_relay()
        if relay is None:
            await self._act_as_relay()
            return
        parts.pool.close_round()
        await self._report_to(relay)

    def _update_members(self) -> None:
        parts = self._parts
        by_domain = parts.directory.instances_by_domain()
        parts.pool.set_members(by_domain)
        parts.tokens.set_members(by_domain, parts.clock())
        self._relay_orders.clear()

    def _relay_order(self, domain: str) -> list[MemberRecord]:
        """Return the relay order of a domain, computed once per report interval."""
        order = self._relay_orders.get(domain)
        if order is None:
            order = relay_order(self._parts.directory.records(), domain)
            self._relay_orders[domain] = order
        return order

    def _select_relay(self) -> MemberRecord | None:
        """Return the daemon to report to, None if this one is the relay."""
        parts = self._parts
        chosen: MemberRecord | None = None
        for record in self._relay_order(parts.failure_domain):
            if record.instance == parts.instance:
                break
            if parts.links.up(record.address):
                chosen = record
                break
        name = parts.instance if chosen is None else chosen.instance
        if name != self._relay:
            _LOGGER.info(
                "exchange: relay has changed.",
                extra={"peer": name, "before": self._relay},
            )
            self._relay = name
            self._relay_since = parts.clock()
        return chosen

    async def _report_to(self, relay: MemberRecord) -> None:
        parts = self._parts
        started_at = parts.clock()
        demand = parts.shares.demand(started_at)
        reply = await parts.links.request(
            relay.address,
            DemandReport(parts.instance, demand),
            timeout_s=REPORT_TIMEOUT_S,
        )
        if not isinstance(reply, FleetState):
            _LOGGER.info(
                "exchange: relay does not answer.",
                extra={"peer": relay.instance, "why": str(reply)},
            )
            return
        if reply.daemons:
            counted = DemandTotals(reply.own, reply.total, reply.daemons)
            parts.shares.update_totals(counted)
        if reply.config_version > parts.configuration.version:
            parts.fetch_config(relay.address, reply.config_version)
        elif reply.proof_age_s is not None:
            proven_at = started_at - reply.proof_age_s
            parts.configuration.record_proof(reply.config_version, proven_at)

    async def _act_as_relay(self) -> None:
        parts = self._parts
        demand = parts.shares.demand(parts.clock())
        parts.pool.record_report(parts.instance, demand)
        parts.tokens.record_report(parts.instance, parts.clock())
        parts.pool.close_round()
        parts.shares.update_totals(parts.pool.totals_for(parts.instance))
        remote = (item for item in parts.tokens.domains if item != parts.failure_domain)
        await asyncio.gather(
            *(self._request_domain_demand(domain) for domain in remote)
        )

    async def _request_domain_demand(self, domain: str) -> None:
        parts, tokens = self._parts, self._parts.tokens
        for record in self.relays(domain):
            if not parts.links.up(record.address):
                continue
            started_at = parts.clock()
            request = DomainDemandRequest(
                parts.failure_domain,
                tokens.local_daemons(started_at),
                tokens.reply_age_s(domain, started_at),
                tokens.domains,
            )
            reply = await parts.links.request(
                record.address, request, timeout_s=REPORT_TIMEOUT_S
            )
            if isinstance(reply, DomainTotal) and reply.reporting_daemons > 0:
                parts.pool.record_remote_total(domain, reply)
                tokens.record_reply(domain, started_at)
                return
