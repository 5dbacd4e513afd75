"""Exchange of demand and of proofs of freshness, by way of a relay in each domain."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.core.quota.demand_pool import Counted, DemandPool, DomainTotal
from damaskbay.core.quota.shares import DemandShares
from damaskbay.core.quota.token_pool import TokenPool
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import RELAYS_PER_DOMAIN, REPORT_S, REPORT_TIMEOUT_S
from damaskbay.mesh.directory import Directory, MemberRecord
from damaskbay.mesh.messages import DemandReport, DomainWanted, FleetState
from damaskbay.mesh.neighbours import relay_order
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ExchangeParts:
    """What an exchange works with; `ask` has a newer configuration fetched."""

    instance: str
    failure_domain: str
    directory: Directory
    links: PeerLinks
    shares: DemandShares
    pool: DemandPool
    tokens: TokenPool
    configuration: Configuration
    ask: Callable[[PeerAddress], None]
    members_known: Callable[[], bool]
    clock: Callable[[], float]


class Exchange:
    """
    Reports to the daemon that relays for the own domain, or relays itself.

    The relay is the first of the domain in an order that all agree on and that can
    be reached from here. Two that relay at once do no harm: each sums what it hears
    and takes the others of the domain for average ones.
    """

    def __init__(self, parts: ExchangeParts) -> None:
        self._parts = parts
        self._relay = ""
        self._orders: dict[str, list[MemberRecord]] = {}
        self._counting = False

    @property
    def relaying(self) -> bool:
        """Tell whether this daemon relays for its domain."""
        return self._relay == self._parts.instance

    @property
    def counting(self) -> bool:
        """Tell whether the daemons of the fleet are known."""
        return self._counting

    def relays(self, failure_domain: str) -> list[MemberRecord]:
        """Return the relays of a domain in their order."""
        return self._order(failure_domain)[:RELAYS_PER_DOMAIN]

    def members_changed(self) -> None:
        """Take an even share once the daemons are known, until demand is."""
        parts = self._parts
        if self._counting or not parts.members_known():
            return
        self._take_members()
        parts.shares.counted(parts.pool.counted(parts.instance))
        self._counting = True

    async def run(self) -> None:
        """Report again and again until cancelled."""
        while True:
            await asyncio.sleep(REPORT_S)
            await self._report()

    def state(self, report: DemandReport) -> FleetState:
        """Take a report and answer it."""
        parts = self._parts
        version = parts.configuration.version
        age_s = parts.configuration.age_s(parts.clock())
        if not self._counting:
            return FleetState({}, {}, 0, version, age_s)
        parts.pool.reported(report.instance, report.demand)
        parts.tokens.reported(report.instance, parts.clock())
        counted = parts.pool.counted(report.instance)
        own, total = dict(counted.own), dict(counted.total)
        return FleetState(own, total, counted.daemons, version, age_s)

    def domain_demand(self, wanted: DomainWanted) -> DomainTotal:
        """Answer the relay of another domain."""
        if not self._counting:
            return DomainTotal({}, 0, 0)
        parts = self._parts
        if wanted.domains == parts.tokens.domains:
            parts.tokens.stands_behind(
                wanted.asked_by, wanted.daemons, wanted.answer_age_s, parts.clock()
            )
        return parts.pool.own_total()

    async def _report(self) -> None:
        parts = self._parts
        self.members_changed()
        if not self._counting:
            return
        self._take_members()
        relay = self._chosen_relay()
        if relay is None:
            await self._relay_here()
            return
        parts.pool.close_round()
        await self._report_to(relay)

    def _take_members(self) -> None:
        parts = self._parts
        by_domain = parts.directory.instances_by_domain()
        parts.pool.set_members(by_domain)
        parts.tokens.set_members(by_domain, parts.clock())
        self._orders.clear()

    def _order(self, domain: str) -> list[MemberRecord]:
        """Return the order of a domain, worked out once between two reports."""
        order = self._orders.get(domain)
        if order is None:
            order = relay_order(self._parts.directory.records(), domain)
            self._orders[domain] = order
        return order

    def _chosen_relay(self) -> MemberRecord | None:
        """Return the daemon to report to, None for this one."""
        parts = self._parts
        chosen: MemberRecord | None = None
        for record in self._order(parts.failure_domain):
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
        return chosen

    async def _report_to(self, relay: MemberRecord) -> None:
        parts = self._parts
        began_at = parts.clock()
        told = parts.shares.demand(began_at)
        reply = await parts.links.request(
            relay.address,
            DemandReport(parts.instance, told),
            timeout_s=REPORT_TIMEOUT_S,
        )
        if not isinstance(reply, FleetState):
            _LOGGER.info(
                "exchange: relay does not answer.",
                extra={"peer": relay.instance, "why": str(reply)},
            )
            return
        if reply.daemons:
            counted = Counted(reply.own, reply.total, reply.daemons)
            parts.shares.counted(counted)
        if reply.config_version > parts.configuration.version:
            parts.ask(relay.address)
        elif reply.proof_age_s is not None:
            proven_at = began_at - reply.proof_age_s
            parts.configuration.prove(reply.config_version, proven_at)

    async def _relay_here(self) -> None:
        parts = self._parts
        told = parts.shares.demand(parts.clock())
        parts.pool.reported(parts.instance, told)
        parts.tokens.reported(parts.instance, parts.clock())
        parts.pool.close_round()
        parts.shares.counted(parts.pool.counted(parts.instance))
        others = (item for item in parts.tokens.domains if item != parts.failure_domain)
        await asyncio.gather(*(self._ask_domain(domain) for domain in others))

    async def _ask_domain(self, domain: str) -> None:
        parts, tokens = self._parts, self._parts.tokens
        for record in self.relays(domain):
            if not parts.links.up(record.address):
                continue
            began_at = parts.clock()
            wanted = DomainWanted(
                parts.failure_domain,
                tokens.own_daemons(began_at),
                tokens.answer_age_s(domain, began_at),
                tokens.domains,
            )
            reply = await parts.links.request(
                record.address, wanted, timeout_s=REPORT_TIMEOUT_S
            )
            if isinstance(reply, DomainTotal) and reply.heard > 0:
                parts.pool.heard(domain, reply)
                tokens.answered(domain, began_at)
                return
