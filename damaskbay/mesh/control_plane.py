"""The parts that keep members, configuration and rate limits up to date."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.core.quota.demand_pool import DemandPool
from damaskbay.core.quota.shares import DemandShares
from damaskbay.core.quota.token_pool import TokenPool
from damaskbay.helpers.backoff import Backoff
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh import config_watch, members
from damaskbay.mesh.assembly import PlatformParts
from damaskbay.mesh.config_watch import ConfigWatch, PeerConfig
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import DIRECT_WATCH_PROOF_AGE_S
from damaskbay.mesh.directory import Directory, MemberRecord
from damaskbay.mesh.evacuation import Evacuation, EvacuationParts
from damaskbay.mesh.exchange import Exchange, ExchangeParts
from damaskbay.mesh.members import Members, MembersParts
from damaskbay.mesh.messages import (
    ConfigRequest,
    DemandReport,
    DomainDemandRequest,
    EvacuationUpdate,
    MembersRequest,
    PooledTokenRequest,
)
from damaskbay.mesh.registry import Registration
from damaskbay.mesh.settings import MeshSettings
from damaskbay.mesh.tokens import PooledTokens, TokenParts
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

NOT_HANDLED = object()
"""Returned for a message that belongs to another part of the daemon."""


@dataclass(frozen=True, slots=True)
class ControlPlaneParts:
    """
    Dependencies of ControlPlane.

    `stored_record` returns the record to keep in the store, `on_local_record` takes
    the one that is there at the start, None without one. `on_members_change` is called
    after each change, and `on_evacuation_change` after each of the evacuated failure
    domains.
    """

    settings: MeshSettings
    platform: PlatformParts
    configuration: Configuration
    directory: Directory
    links: PeerLinks
    shares: DemandShares
    token_pool: TokenPool
    rng: Random
    stored_record: Callable[[], MemberRecord]
    on_local_record: Callable[[MemberRecord | None], None]
    on_members_change: Callable[[], None]
    on_evacuation_change: Callable[[], None]


class ControlPlane:
    """Registration, members, configuration, demand exchange and pooled tokens."""

    def __init__(self, parts: ControlPlaneParts) -> None:
        self._parts = parts
        platform = parts.platform
        self.registration = Registration(
            platform.store,
            platform.member_prefix + parts.settings.instance,
            parts.stored_record,
            self._may_replace,
            fleet_size=lambda: len(parts.directory.instances()),
            rng=parts.rng,
        )
        self.members = Members(self._members_parts())
        self.failure_domains = parts.settings.failure_domains
        self.evacuation = Evacuation(
            EvacuationParts(
                failure_domain=parts.settings.failure_domain,
                prefix=platform.evacuation_prefix,
                check_value=platform.check_evacuation,
                domains=lambda: self.failure_domains,
                directory=parts.directory,
                links=parts.links,
                on_change=parts.on_evacuation_change,
                rng=parts.rng,
                clock=monotonic_s,
            )
        )
        self.config_watch = self._make_config_watch()
        self.peer_config = PeerConfig(
            self.config_watch,
            parts.configuration,
            peers=self._reachable_relays,
            request=parts.links.request,
            rng=parts.rng,
            clock=monotonic_s,
        )
        self.exchange = Exchange(self._exchange_parts())
        self.tokens = PooledTokens(
            TokenParts(
                instance=parts.settings.instance,
                failure_domain=parts.settings.failure_domain,
                pool=parts.token_pool,
                exchange=self.exchange,
                links=parts.links,
                configuration=parts.configuration,
                clock=monotonic_s,
            )
        )

    def tasks(self) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
        """Return what runs until it is cancelled."""
        return (
            self.registration.run,
            self.members.run,
            self.config_watch.run,
            self.peer_config.run,
            self.exchange.run,
            self.evacuation.run,
        )

    async def handle_request(self, message: Any) -> Any:
        """Return the reply to a peer's message, or NOT_HANDLED."""
        if isinstance(message, ConfigRequest):
            return self.peer_config.handle_config_request(message)
        if isinstance(message, DemandReport):
            return self.exchange.handle_report(message)
        if isinstance(message, DomainDemandRequest):
            return self.exchange.domain_demand(message)
        if isinstance(message, MembersRequest):
            return self.members.handle_request(message)
        if isinstance(message, PooledTokenRequest):
            return await self.tokens.handle_token_request(message)
        if isinstance(message, EvacuationUpdate):
            return self.evacuation.handle_update(message)
        return NOT_HANDLED

    def _members_parts(self) -> MembersParts:
        parts = self._parts
        return MembersParts(
            instance=parts.settings.instance,
            failure_domain=parts.settings.failure_domain,
            store=parts.platform.store,
            prefix=parts.platform.member_prefix,
            directory=parts.directory,
            links=parts.links,
            backoff=Backoff(
                members.RETRY_DELAY_S, members.MAX_RETRY_DELAY_S, parts.rng
            ),
            watches_store=self._watches_store,
            on_change=parts.on_members_change,
            on_local_record=parts.on_local_record,
            on_listing=self.registration.record_listing,
            clock=monotonic_s,
        )

    def _make_config_watch(self) -> ConfigWatch:
        parts, platform = self._parts, self._parts.platform
        return ConfigWatch(
            platform.store,
            prefix=platform.config_prefix,
            key=platform.config_key,
            decode=platform.decode_config,
            configuration=parts.configuration,
            needed=self._watch_needed,
            watches_store=self._watches_store,
            backoff=Backoff(
                config_watch.RETRY_DELAY_S, config_watch.MAX_RETRY_DELAY_S, parts.rng
            ),
            clock=monotonic_s,
            on_reading=self.evacuation.handle_reading,
        )

    def _exchange_parts(self) -> ExchangeParts:
        parts = self._parts
        return ExchangeParts(
            instance=parts.settings.instance,
            failure_domain=parts.settings.failure_domain,
            directory=parts.directory,
            links=parts.links,
            shares=parts.shares,
            pool=DemandPool(parts.settings.failure_domain),
            tokens=parts.token_pool,
            configuration=parts.configuration,
            fetch_config=self._fetch_from_relay,
            members_known=self._members_known,
            clock=monotonic_s,
        )

    def _may_replace(self, record: MemberRecord) -> bool:
        """
        Return whether nothing of an earlier record is lost that is still needed.

        A record that was not read may say that the server is leaving.
        """
        leaves = record.state in (ServerState.DRAINING, ServerState.GONE)
        return self.members.has_read or leaves

    def _watches_store(self) -> bool:
        return self.exchange.watches_store

    def _watch_needed(self) -> bool:
        """Return whether this daemon has to watch the configuration in the store."""
        age_s = self._parts.configuration.proof_age_s(monotonic_s())
        return (
            self.exchange.watches_store
            or age_s is None
            or age_s > DIRECT_WATCH_PROOF_AGE_S
        )

    def _reachable_relays(self) -> list[PeerAddress]:
        """Return the reachable relays of all domains; without any, all linked peers."""
        links = self._parts.links
        domains = self._parts.directory.instances_by_domain()
        relays = (self.exchange.relays(domain) for domain in domains)
        addresses = [record.address for records in relays for record in records]
        reachable = [address for address in addresses if links.up(address)]
        return reachable or list(links.up_peers())

    def _fetch_from_relay(self, relay: PeerAddress, version: int) -> None:
        self.peer_config.fetch_newer(relay, version, remote=False)

    def _members_known(self) -> bool:
        """Return whether the records of all members have been read."""
        return self.members.has_read
