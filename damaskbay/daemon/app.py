"""The daemon process: creates its services, starts them and stops them in reverse."""

import contextlib
import logging
import random
import ssl
import time
from concurrent.futures import ThreadPoolExecutor
from types import TracebackType
from typing import Self

from damaskbay.adapters.backend_http.client import (
    BackendHttpOptions,
    HttpBackendServer,
)
from damaskbay.adapters.caller_http.hang_up import HangUpWatcher
from damaskbay.adapters.peer_stream import PeerStreamOptions, PeerStreams
from damaskbay.adapters.platform_http.client import HttpPlatform
from damaskbay.adapters.telemetry.client import Telemetry
from damaskbay.core.admission import AdmissionOptions
from damaskbay.core.at_most_once import RequestOwner
from damaskbay.core.edge import EdgeConcurrencyLimit
from damaskbay.core.explain import DecisionLog
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.routing import Router, RouterOptions
from damaskbay.daemon.admission import AdmissionGate, AdmissionTicker
from damaskbay.daemon.announcing import Announcer
from damaskbay.daemon.calls import CallRegistry
from damaskbay.daemon.config_service import ConfigService
from damaskbay.daemon.config_source import PlatformSetSource
from damaskbay.daemon.dispatch import Dispatcher, PeerCaller
from damaskbay.daemon.ingress import Ingress, IngressParts
from damaskbay.daemon.listeners import caller_server, operator_server
from damaskbay.daemon.membership import MembershipService
from damaskbay.daemon.observer import DaemonObserver
from damaskbay.daemon.once import AtMostOnceService
from damaskbay.daemon.operator import DaemonOperator
from damaskbay.daemon.peer_calls import PeerCalls
from damaskbay.daemon.rates import RateService
from damaskbay.daemon.routes import RouteTables
from damaskbay.daemon.rules import CurrentRules
from damaskbay.daemon.settings import DaemonSettings, TlsSettings
from damaskbay.daemon.stopping import GracefulStop
from damaskbay.daemon.target import Target
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress, PeerIdentity

_LOGGER = logging.getLogger(__name__)


class Daemon:
    """
    A daemon, run as a context manager.

    `drain` prepares a graceful stop: other daemons get the new calls, and running
    calls finish.
    """

    def __init__(self, settings: DaemonSettings, secrets: tuple[bytes, ...]) -> None:
        self._settings = settings
        self._secrets = secrets
        self._stack = contextlib.ExitStack()
        self._rng = random.Random()
        self._lifetime = Lifetime()
        self._identity = PeerIdentity(
            settings.instance, time.time_ns() // 1_000_000, settings.failure_domain
        )

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            self._start(stack)
            self._stack = stack.pop_all()
        _LOGGER.info("daemon: %s runs.", self._settings.instance)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.close()
        _LOGGER.info("daemon: %s has stopped.", self._settings.instance)

    @property
    def caller_address(self) -> PeerAddress:
        """Return the address of the listener for callers."""
        return PeerAddress(self._settings.caller_listen.host, self._callers.port)

    def drain(self) -> None:
        """
        Announce the stop, finish or interrupt running calls and send their responses.

        Blocks for at most `graceful_stop_s`.
        """
        self._lifetime.begin_stop(self._settings.limits.graceful_stop_s, monotonic_s())
        stop = GracefulStop(
            self._announcer, self._callers, self._ingress, self._peer_calls, self._link
        )
        plan = self._lifetime.plan
        assert plan is not None
        stop.run(plan)

    def _start(self, stack: contextlib.ExitStack) -> None:
        settings = self._settings
        self._telemetry = Telemetry(
            instance=settings.instance, failure_domain=settings.failure_domain
        )
        stack.callback(self._telemetry.close)
        self._platform = stack.enter_context(
            HttpPlatform(
                settings.platform.host, settings.platform.port, name=settings.instance
            )
        )
        self._create_fleet_services()
        self._create_request_path(stack)
        stack.enter_context(self._link)
        stack.enter_context(self._membership)
        stack.enter_context(self._config)
        stack.enter_context(self._rates)
        stack.enter_context(self._announcer)
        stack.enter_context(operator_server(settings, self._operator))
        stack.enter_context(self._callers)

    def _create_fleet_services(self) -> None:
        settings = self._settings
        tls = settings.tls
        self._link = PeerStreams(
            self._identity,
            settings.peer_listen.address(),
            PeerStreamOptions(),
            secrets=self._secrets,
            server_tls=_tls_context(tls, ssl.PROTOCOL_TLS_SERVER) if tls else None,
            client_tls=_tls_context(tls, ssl.PROTOCOL_TLS_CLIENT) if tls else None,
        )
        self._membership = MembershipService(
            self._identity,
            settings.peer_listen.address(),
            settings.gossip_listen.address(),
            secrets=self._secrets,
            link=self._link,
            platform=self._platform,
            seeds=tuple(seed.address() for seed in settings.seeds),
        )
        self._config = ConfigService(
            self._identity,
            platform=self._platform,
            link=self._link,
            membership=self._membership,
            source=PlatformSetSource(self._platform),
            contacts=self._membership,
        )
        self._rates = RateService(
            identity=self._identity,
            platform=self._platform,
            link=self._link,
            membership=self._membership,
            config=self._config,
        )

    def _create_request_path(self, stack: contextlib.ExitStack) -> None:
        settings = self._settings
        clock = monotonic_s
        rules = CurrentRules(self._config)
        observer = stack.enter_context(
            DaemonObserver(self._telemetry, DecisionLog(), wall_clock=time.time)
        )
        executor = stack.enter_context(
            ThreadPoolExecutor(settings.limits.remote_calls, "remote-call")
        )
        self._gate = AdmissionGate(
            AdmissionOptions(slots=settings.backend_server.slots),
            rng=self._rng,
            refuse_withdrawn=rules.refuse_withdrawn,
        )
        stack.enter_context(AdmissionTicker(self._gate))
        calls = CallRegistry(clock)
        target = Target(
            instance=settings.instance,
            gate=self._gate,
            backend=stack.enter_context(self._backend()),
            calls=calls,
            executor=executor,
            weight_of=rules.weight_of,
            clock=clock,
            observe_wait=observer.record_queue_wait,
        )
        peers = PeerCaller(self._link, clock)
        dispatcher = Dispatcher(
            instance=settings.instance,
            membership=self._membership,
            router=Router(RouterOptions(settings.failure_domain), self._rng),
            target=target,
            peers=peers,
            clock=clock,
            rng=self._rng,
            other_domains=rules.other_domains,
            weight_of=rules.weight_of,
        )
        once = AtMostOnceService(
            identity=self._identity,
            owner=RequestOwner(
                settings.instance,
                self._identity.incarnation,
                self._secrets,
                random.SystemRandom(),
                settings.peer_listen.address(),
            ),
            secrets=self._secrets,
            dispatcher=dispatcher,
            peers=peers,
            clock=clock,
        )
        self._peer_calls = PeerCalls(
            target=target,
            once=once,
            executor=executor,
            max_calls=settings.limits.remote_calls,
            pool=settings.backend_server.pool,
            lifetime=self._lifetime,
            clock=clock,
        )
        self._peer_calls.register(self._link)
        parts = IngressParts(
            config=self._config,
            routes=RouteTables(),
            rates=self._rates,
            dispatcher=dispatcher,
            calls=calls,
            once=once,
            observer=observer,
            room=EdgeConcurrencyLimit(settings.limits.caller_threads),
            lifetime=self._lifetime,
        )
        self._ingress = Ingress(parts, clock=clock, wall_clock=time.time)
        self._announcer = Announcer(
            settings.backend_server,
            self._membership,
            set_slots=self._gate.set_slots,
            load=self._gate.load,
        )
        hang_ups = stack.enter_context(HangUpWatcher())
        self._callers = caller_server(settings, self._ingress, hang_ups)
        self._operator = DaemonOperator(
            self._identity,
            telemetry=self._telemetry,
            observer=observer,
            config=self._config,
            membership=self._membership,
            announcer=self._announcer,
            clock=clock,
        )

    def _backend(self) -> HttpBackendServer:
        server = self._settings.backend_server
        return HttpBackendServer(
            BackendHttpOptions(
                server.host,
                server.port,
                server.connections,
                max_body_bytes=self._settings.limits.max_body_bytes,
            )
        )


def _tls_context(tls: TlsSettings, protocol: int) -> ssl.SSLContext:
    """Return a TLS context for mutual authentication of daemons."""
    context = ssl.SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.private_key)
    context.load_verify_locations(tls.authority)
    return context
