"""Creates the components of the event-driven daemon that process calls."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions
from damaskbay.adapters.http1.connection_server import PipelineLimits
from damaskbay.adapters.http1.server import Handler, HttpServer
from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.config.objects import CallerLimits
from damaskbay.core.descriptors import divide_descriptors, status_connections
from damaskbay.core.fatal_calls import FatalCalls
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.memory_account import MemoryAccount, status_limit_bytes
from damaskbay.core.quota.shares import DemandShares
from damaskbay.core.retry.repeats import ServerRetryBudget, ServerRetryOptions
from damaskbay.core.routing import Router, RouterOptions
from damaskbay.core.trees.admission import TreeAdmission
from damaskbay.core.trees.reports import TreeReports
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.descriptors import raise_descriptor_limit
from damaskbay.mesh.cold_server import ColdServer
from damaskbay.mesh.config_watch import DecodeConfig
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import (
    POOL_RETRY_SLACK_SHARE,
    RETRY_RATIO_SHARE,
    RETRY_SLACK_SHARE,
)
from damaskbay.mesh.dialect import HeaderNames
from damaskbay.mesh.directory import Directory
from damaskbay.mesh.dispatch import Dispatcher, DispatchParts
from damaskbay.mesh.early_refusal import EarlyRefusals, EarlyRefusalsParts
from damaskbay.mesh.evacuation import CheckValue
from damaskbay.mesh.gate import Gate
from damaskbay.mesh.ingress import Ingress, IngressOptions, IngressParts
from damaskbay.mesh.local_server import LocalServer
from damaskbay.mesh.observing import StatusEndpoints
from damaskbay.mesh.processor_gate import ProcessorGate
from damaskbay.mesh.running import RunningCalls
from damaskbay.mesh.server_calls import ServerCalls, ServerCallsParts
from damaskbay.mesh.server_ends import ServerEnds, ServerEndsParts
from damaskbay.mesh.settings import MeshSettings
from damaskbay.mesh.target import Target, TargetParts
from damaskbay.mesh.tokens import PooledTokens
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import Store

MAX_STATUS_BODY_BYTES: Final = 256 * 1024
"""Largest body at a status server; heartbeats have less than a kilobyte."""

STATUS_PIPELINE: Final = PipelineLimits(requests=1, unread_bytes=64 * 1024)
"""Metrics are large, so that a status server gives one response after the other."""


@dataclass(frozen=True, slots=True)
class PlatformParts:
    """
    Platform-specific dependencies of the daemon.

    `config_prefix` and `config_key` locate the operator's configuration set in
    the store, `member_prefix` the records of the daemons. A key below
    `evacuation_prefix` evacuates the failure domain that it names, if its value passes
    `check_evacuation`, which returns why it does not.
    """

    store: Store
    dialect: HeaderNames
    decode_config: DecodeConfig
    config_prefix: str
    config_key: str
    member_prefix: str
    evacuation_prefix: str
    check_evacuation: CheckValue


@dataclass(frozen=True, slots=True)
class SharedParts:
    """Components that ingress and target share."""

    configuration: Configuration
    local: LocalServer
    gate: Gate
    cold_server: ColdServer
    processor: ProcessorGate
    links: PeerLinks
    directory: Directory
    shares: DemandShares
    tokens: PooledTokens
    running: RunningCalls
    repeats: ServerRetryBudget
    telemetry: BoundTelemetry
    memory: MemoryAccount
    fatal_calls: FatalCalls
    lifetime: Lifetime
    rng: Random
    trees: TreeReports = field(default_factory=TreeReports)


def make_target(
    settings: MeshSettings,
    dialect: HeaderNames,
    shared_parts: SharedParts,
    weight_of: Callable[[str], float],
    on_capacity_change: Callable[[], None],
) -> Target:
    """Return the component that sends calls to the local server."""
    options = HttpClientOptions(
        echo_header=dialect.request_id, memory=shared_parts.memory
    )
    server_ends = ServerEnds(
        ServerEndsParts(
            settings.server,
            settings.pool,
            shared_parts.directory,
            shared_parts.links,
            shared_parts.fatal_calls,
            monotonic_s,
        )
    )
    calls = ServerCalls(
        ServerCallsParts(
            local=shared_parts.local,
            gate=shared_parts.gate,
            client=HttpClient(settings.server, options),
            dialect=dialect,
            repeats=shared_parts.repeats,
            fatal_calls=shared_parts.fatal_calls,
            server_ends=server_ends,
            on_capacity_change=on_capacity_change,
            on_failure=shared_parts.cold_server.record_failure,
            clock=monotonic_s,
        )
    )
    return Target(
        TargetParts(
            instance=settings.instance,
            pool=settings.pool,
            local=shared_parts.local,
            gate=shared_parts.gate,
            calls=calls,
            running=shared_parts.running,
            telemetry=shared_parts.telemetry,
            repeats=shared_parts.repeats,
            memory=shared_parts.memory,
            fatal_calls=shared_parts.fatal_calls,
            trees=shared_parts.trees,
            processor=shared_parts.processor.guard,
            weight_of=weight_of,
            lifetime=shared_parts.lifetime,
            clock=monotonic_s,
        )
    )


def make_ingress(
    settings: MeshSettings,
    dialect: HeaderNames,
    shared_parts: SharedParts,
    target: Target,
) -> Ingress:
    """Return the component that serves callers, with its dispatcher."""
    router = Router(
        RouterOptions(settings.failure_domain, trust_load=True), shared_parts.rng
    )
    dispatcher = Dispatcher(
        DispatchParts(
            directory=shared_parts.directory,
            router=router,
            target=target,
            links=shared_parts.links,
            lifetime=shared_parts.lifetime,
            clock=monotonic_s,
        )
    )
    return Ingress(
        IngressOptions(caller_name=settings.pool, proof_valid_s=settings.revoke_s),
        IngressParts(
            configuration=shared_parts.configuration,
            dispatcher=dispatcher,
            shares=shared_parts.shares,
            tokens=shared_parts.tokens,
            trees=shared_parts.trees,
            admission=TreeAdmission(
                shared_parts.trees,
                shared_parts.rng,
                shared_parts.configuration.attempts_at,
            ),
            processor=shared_parts.processor,
            running=shared_parts.running,
            telemetry=shared_parts.telemetry,
            memory=shared_parts.memory,
            dialect=dialect,
            lifetime=shared_parts.lifetime,
            rng=shared_parts.rng,
            clock=monotonic_s,
        ),
    )


def make_caller_server(
    settings: MeshSettings,
    dialect: HeaderNames,
    shared_parts: SharedParts,
    ingress: Ingress,
) -> HttpServer:
    """Return the server that callers, and the local backend server, send to."""
    server = HttpServer(
        settings.callers,
        ingress.serve,
        CallerLimits(),
        shared_parts.memory,
        divide_descriptors(raise_descriptor_limit(settings.max_descriptors)),
    )
    early_refusals = EarlyRefusals(
        EarlyRefusalsParts(
            guard=shared_parts.processor.guard,
            configuration=shared_parts.configuration,
            identification=ingress.identification,
            running=shared_parts.running,
            refusals=ingress.refusals,
            lifetime=shared_parts.lifetime,
            dialect=dialect,
            clock=monotonic_s,
        )
    )
    server.refuse_early = early_refusals.refuse
    server.accept_pause_s = early_refusals.accept_pause_s
    return server


def make_status_servers(
    settings: MeshSettings,
    status: StatusEndpoints,
    control: Handler,
    memory: MemoryAccount,
) -> tuple[HttpServer, HttpServer, HttpServer]:
    """
    Return the servers of control, of readiness and of metrics.

    They share an account beside that of calls, `memory`, so that neither kind of
    traffic keeps out the other.
    """
    account = MemoryAccount(status_limit_bytes(memory.limit_bytes))
    account.on_missing = lambda: memory.on_missing()
    connections = status_connections(raise_descriptor_limit(settings.max_descriptors))

    def serve(address: PeerAddress, handler: Handler) -> HttpServer:
        limits = CallerLimits(max_body_bytes=MAX_STATUS_BODY_BYTES)
        server = HttpServer(address, handler, limits, account, connections)
        server.pipeline = STATUS_PIPELINE
        return server

    return (
        serve(settings.control, control),
        serve(settings.readiness, status.readiness),
        serve(settings.metrics, status.metrics),
    )


def make_retry_budget(
    settings: MeshSettings, directory: Directory
) -> ServerRetryBudget:
    """Return the retry budget of one server, a part of its pool's budget."""
    return ServerRetryBudget(
        ServerRetryOptions(
            ratio=RETRY_RATIO_SHARE * settings.retry_ratio,
            saved=max(1.0, RETRY_SLACK_SHARE * settings.retry_slack),
            pool_saved=POOL_RETRY_SLACK_SHARE * settings.retry_slack,
        ),
        lambda: directory.count_servers(settings.pool),
    )
