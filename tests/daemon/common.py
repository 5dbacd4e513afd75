"""Request paths of several daemons in one process, on a link with injected faults."""

import random
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from damaskbay.config.matching import RouteTable
from damaskbay.config.objects import (
    Access,
    ConfigSet,
    Key,
    Pool,
    Priority,
    Route,
    Workspace,
)
from damaskbay.core.admission import AdmissionOptions
from damaskbay.core.at_most_once import RequestOwner
from damaskbay.core.call import CallContext, Request, Response
from damaskbay.core.edge import EdgeConcurrencyLimit
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.outcome import Reason, Refusal, unknown
from damaskbay.core.routing import Router, RouterOptions
from damaskbay.daemon.admission import AdmissionGate
from damaskbay.daemon.calls import CallRegistry
from damaskbay.daemon.dispatch import Dispatcher, PeerCaller
from damaskbay.daemon.ingress import Ingress, IngressParts
from damaskbay.daemon.once import AtMostOnceService
from damaskbay.daemon.peer_calls import PeerCalls
from damaskbay.daemon.rules import CurrentRules
from damaskbay.daemon.target import Target
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.keys import digest_of
from damaskbay.ports.caller import IncomingCall, IssuedIds
from damaskbay.ports.fleet import ConfigState, MemberView, ServerState, ServerView
from damaskbay.ports.metrics import EndedCall
from damaskbay.ports.peer import (
    Handler,
    PeerAddress,
    PeerFailure,
    PeerIdentity,
    PeerProblem,
)

SECRET = "dk_test"
PEER_SECRETS = (b"p" * 32,)
DOMAIN = "domain-a"
POOL = "campo"
SLOTS = 16
TIMEOUT_S = 10.0


class Fault(Enum):
    """Fault of the next message on the link."""

    NONE = "none"
    NOT_SENT = "not_sent"
    LOST_BEFORE_HANDLING = "lost_before_handling"
    LOST_AFTER_HANDLING = "lost_after_handling"


@dataclass(slots=True)
class Network:
    """Connects links by address; each request uses up the first entry of `faults`."""

    handlers_by_address: dict[PeerAddress, dict[type[Any], Handler]] = field(
        default_factory=dict
    )
    faults: list[Fault] = field(default_factory=list)

    def next_fault(self) -> Fault:
        """Remove and return the fault of the next message."""
        return self.faults.pop(0) if self.faults else Fault.NONE


class _FakeResponder:
    def __init__(self, future: "Future[Any]", *, lose_reply: bool) -> None:
        self._future = future
        self._lose_reply = lose_reply
        self._lock = threading.Lock()

    def reply(self, message: Any) -> None:
        with self._lock:
            if self._future.done():
                return
            if self._lose_reply:
                message = PeerFailure(PeerProblem.LOST)
            self._future.set_result(message)

    def on_cancel(self, callback: Callable[[], None]) -> None:
        self._future.add_done_callback(
            lambda future: callback() if future.cancelled() else None
        )


class FakeLink:
    """Link of one daemon to the network (port: PeerLink)."""

    def __init__(
        self, identity: PeerIdentity, address: PeerAddress, network: Network
    ) -> None:
        self._identity = identity
        self._network = network
        self._handlers: dict[type[Any], Handler] = {}
        network.handlers_by_address[address] = self._handlers

    def register(self, message_type: type[Any], handler: Handler) -> None:
        self._handlers[message_type] = handler

    def send(self, peer: PeerAddress, message: Any) -> None:
        raise NotImplementedError

    def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> "Future[Any]":
        future: Future[Any] = Future()
        fault = self._network.next_fault()
        handlers = self._network.handlers_by_address.get(peer)
        if handlers is None or fault is Fault.NOT_SENT:
            future.set_result(PeerFailure(PeerProblem.NOT_SENT))
            return future
        if fault is Fault.LOST_BEFORE_HANDLING:
            future.set_result(PeerFailure(PeerProblem.LOST))
            return future
        responder = _FakeResponder(
            future, lose_reply=fault is Fault.LOST_AFTER_HANDLING
        )
        handlers[type(message)](self._identity, message, responder)
        return future


class FakeBackend:
    """Backend server that counts runs and returns the outcomes set by a test."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs_by_target: dict[str, int] = {}
        self.outcomes: list[Response | Refusal] = []
        self.work_s = 0.0
        self.on_call: Callable[[Request, str], None] | None = None
        self._lock = threading.Lock()

    def call(
        self,
        request: Request,
        *,
        call_token: str,
        deadline: float,
        cancellation: Cancellation,
    ) -> Response | Refusal:
        """Return the next outcome; count a run unless it is a `not_run` refusal."""
        with self._lock:
            outcome = self.outcomes.pop(0) if self.outcomes else None
            if isinstance(outcome, Refusal) and outcome.not_run:
                return outcome
            count = self.runs_by_target.get(request.target, 0) + 1
            self.runs_by_target[request.target] = count
        if self.on_call is not None:
            self.on_call(request, call_token)
        if self.work_s:
            ended = threading.Event()
            cancellation.on_cancel(ended.set)
            if ended.wait(self.work_s):
                return unknown(Reason.CANCELLED)
        return outcome or Response(200, (), f"{self.name} {count}".encode())


class FakeMembership:
    """Membership whose entries a test sets directly (port: Membership)."""

    def __init__(self) -> None:
        self.servers_by_instance: dict[str, ServerView] = {}
        self.suspected: list[str] = []

    def servers(self, pool: str) -> tuple[ServerView, ...]:
        return tuple(
            view
            for view in self.servers_by_instance.values()
            if view.pool == pool and view.state is ServerState.READY
        )

    def by_instance(self, instance: str) -> ServerView | None:
        return self.servers_by_instance.get(instance)

    def members(self) -> tuple[MemberView, ...]:
        return ()

    def announce(
        self, *, pool: str, state: ServerState, slots: int, load: float
    ) -> None:
        raise NotImplementedError

    def suspect(self, instance: str, incarnation: int) -> None:
        self.suspected.append(instance)


class FakeConfig:
    """Configuration that a test can replace (port: ConfigSource)."""

    def __init__(self, config: ConfigSet) -> None:
        self.config = config

    def state(self) -> ConfigState | None:
        return ConfigState(self.config, proven_at=monotonic_s())

    def subscribe(self, callback: Callable[[ConfigSet], None]) -> None:
        callback(self.config)

    def matcher(self, state: ConfigState) -> RouteTable:
        return RouteTable(state.config)


class FakeRates:
    """Admits every call unless a test sets `refusal` (port: RateGate)."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.acquired: list[str] = []

    def acquire(
        self, workspace: str, limits: tuple[str, ...], *, deadline: float, now: float
    ) -> Refusal | None:
        self.acquired.append(workspace)
        return self.refusal


class FakeObserver:
    """Records ended calls (port: CallObserver)."""

    def __init__(self) -> None:
        self.ended: list[EndedCall] = []

    def call_ended(self, ended: EndedCall) -> None:
        self.ended.append(ended)

    def record_queue_wait(self, context: CallContext, waited_s: float) -> None:
        return


def sample_config() -> ConfigSet:
    """Return a configuration with idempotent, non-idempotent and open routes."""

    def route(name: str, *, idempotent: bool, access: Access = Access.KEYED) -> Route:
        return Route(
            name,
            "*",
            f"/{name}/",
            frozenset(),
            POOL,
            access,
            idempotent,
            TIMEOUT_S,
            "high" if not idempotent else "low",
            2 if idempotent else 0,
        )

    routes = [
        route("read", idempotent=True),
        route("file", idempotent=False),
        route("open", idempotent=True, access=Access.OPEN),
    ]
    return ConfigSet(
        version=1,
        digest="1",
        workspaces_by_name={"w": Workspace("w", 10.0, 5)},
        keys_by_digest={digest_of(SECRET): Key("k", digest_of(SECRET), "w")},
        routes_by_name={item.name: item for item in routes},
        priorities_by_name={"high": Priority("high", 0), "low": Priority("low", 1)},
        pools_by_name={POOL: Pool(POOL, SLOTS, SLOTS)},
    )


@dataclass(slots=True)
class PathDaemon:
    """The request path of one daemon."""

    identity: PeerIdentity
    ingress: Ingress
    backend: FakeBackend
    gate: AdmissionGate
    calls: CallRegistry
    observer: FakeObserver
    lifetime: Lifetime

    def call(
        self,
        target: str = "/read/x",
        *,
        method: str = "GET",
        key: str | None = SECRET,
        request_id: str | None = None,
        idempotent: bool | None = None,
        call_token: str | None = None,
        deadline_s: float | None = None,
        cancellation: Cancellation | None = None,
    ) -> Response | Refusal:
        """Serve one call as if received from a caller; return its outcome."""
        incoming = IncomingCall(
            Request(method, "campo", target),
            key=key,
            call_token=call_token,
            deadline_s=deadline_s,
            request_id=request_id,
            idempotent=idempotent,
        )
        served = self.ingress.serve(incoming, cancellation or Cancellation())
        return served.result.result


@dataclass(slots=True)
class RequestPath:
    """Request paths of the daemons of one failure domain, with shared fakes."""

    network: Network
    membership: FakeMembership
    config: FakeConfig
    rates: FakeRates
    executor: ThreadPoolExecutor
    daemons_by_instance: dict[str, PathDaemon] = field(default_factory=dict)

    def start(self, instance: str, *, incarnation: int = 1) -> PathDaemon:
        """Start a daemon, or replace a running one as a restart after a crash does."""
        port = 1000 + sum(map(ord, instance))
        address = PeerAddress("127.0.0.1", port)
        identity = PeerIdentity(instance, incarnation, DOMAIN)
        link = FakeLink(identity, address, self.network)
        daemon = self._build(identity, link, address)
        self.daemons_by_instance[instance] = daemon
        self.membership.servers_by_instance[instance] = ServerView(
            instance,
            incarnation,
            DOMAIN,
            address,
            POOL,
            ServerState.READY,
            SLOTS,
            ready_at=monotonic_s() - TIMEOUT_S,
        )
        return daemon

    def _build(
        self, identity: PeerIdentity, link: FakeLink, address: PeerAddress
    ) -> PathDaemon:
        clock = monotonic_s
        rng = random.Random(1)
        rules = CurrentRules(self.config)
        backend = FakeBackend(identity.instance)
        observer = FakeObserver()
        lifetime = Lifetime()
        gate = AdmissionGate(
            AdmissionOptions(slots=SLOTS),
            rng=rng,
            refuse_withdrawn=rules.refuse_withdrawn,
        )
        calls = CallRegistry(clock)
        target = Target(
            instance=identity.instance,
            gate=gate,
            backend=backend,
            calls=calls,
            executor=self.executor,
            weight_of=rules.weight_of,
            clock=clock,
            observe_wait=observer.record_queue_wait,
        )
        peers = PeerCaller(link, clock)
        dispatcher = Dispatcher(
            instance=identity.instance,
            membership=self.membership,
            router=Router(RouterOptions(DOMAIN), rng),
            target=target,
            peers=peers,
            clock=clock,
            rng=rng,
            other_domains=rules.other_domains,
            weight_of=rules.weight_of,
        )
        once = AtMostOnceService(
            identity=identity,
            owner=RequestOwner(
                identity.instance,
                identity.incarnation,
                PEER_SECRETS,
                random.Random(identity.incarnation),
                address,
            ),
            secrets=PEER_SECRETS,
            dispatcher=dispatcher,
            peers=peers,
            clock=clock,
        )
        PeerCalls(
            target=target,
            once=once,
            executor=self.executor,
            max_calls=100,
            pool=POOL,
            lifetime=lifetime,
            clock=clock,
        ).register(link)
        parts = IngressParts(
            config=self.config,
            routes=self.config,
            rates=self.rates,
            dispatcher=dispatcher,
            calls=calls,
            once=once,
            observer=observer,
            room=EdgeConcurrencyLimit(100),
            lifetime=lifetime,
        )
        ingress = Ingress(parts, clock=clock, wall_clock=time.time)
        return PathDaemon(identity, ingress, backend, gate, calls, observer, lifetime)

    def runs(self, target: str) -> int:
        """Return the number of runs of a target on all backend servers."""
        return sum(
            daemon.backend.runs_by_target.get(target, 0)
            for daemon in self.daemons_by_instance.values()
        )


def issue_request_id(daemon: PathDaemon) -> str:
    """Return a request id that a daemon owns."""
    issued = daemon.ingress.issue_request_ids(1)
    assert isinstance(issued, IssuedIds)
    return issued.request_ids[0]


@contextmanager
def request_path(*instances: str) -> Iterator[RequestPath]:
    """Run the request paths of the given daemons."""
    with ThreadPoolExecutor(32) as executor:
        path = RequestPath(
            Network(),
            FakeMembership(),
            FakeConfig(sample_config()),
            FakeRates(),
            executor,
        )
        for instance in instances:
            path.start(instance)
        yield path
