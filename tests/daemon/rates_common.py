"""Rate services of several daemons in one process, on one in-memory platform."""

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Any

from damaskbay.config.objects import ConfigSet, Limit, LimitScope, Workspace
from damaskbay.core.rates.options import ShareOptions
from damaskbay.daemon.rates import RateService
from damaskbay.ports.fleet import ConfigState, MemberView
from damaskbay.ports.peer import (
    Handler,
    PeerAddress,
    PeerFailure,
    PeerIdentity,
    PeerLink,
    PeerProblem,
)
from damaskbay.ports.platform import Platform
from damaskbay.stand_ins.memory_platform import MemoryPlatform

TIMEOUT_S = 30.0


def sample_config(version: int = 1, rate: float = 10.0, burst: int = 5) -> ConfigSet:
    """Return a configuration with one workspace and one limit of each scope."""
    return ConfigSet(
        version,
        "d",
        workspaces_by_name={"small": Workspace("small", rate, burst)},
        limits_by_name={
            "slow": Limit("slow", 0.01, 2, LimitScope.ROUTE),
            "own": Limit("own", 0.01, 3, LimitScope.WORKSPACE),
        },
    )


class FakeConfig:
    """Configuration source with a replaceable configuration set."""

    def __init__(self, config: ConfigSet) -> None:
        self._config = config
        self._callbacks: list[Callable[[ConfigSet], None]] = []

    def state(self) -> ConfigState | None:
        """Return the active configuration set."""
        return ConfigState(self._config, 0.0)

    def subscribe(self, callback: Callable[[ConfigSet], None]) -> None:
        """Register a callback for newer configuration sets."""
        self._callbacks.append(callback)

    def activate(self, config: ConfigSet) -> None:
        """Activate a configuration set and notify subscribers."""
        self._config = config
        for callback in self._callbacks:
            callback(config)


class FakeResponder:
    """Completes the future of a request with its first reply."""

    def __init__(self) -> None:
        self.future: Future[Any] = Future()

    def reply(self, message: Any) -> None:
        """Set the reply; later replies are ignored."""
        if not self.future.done():
            self.future.set_result(message)

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Ignore the callback; requests are never cancelled."""


class FakeLink(PeerLink):
    """Calls the peer's handlers directly; messages to `unreachable` ones are lost."""

    def __init__(self, identity: PeerIdentity, links: dict[PeerAddress, Any]) -> None:
        self.identity = identity
        self.links_by_address = links
        self.handlers_by_type: dict[type[Any], Handler] = {}
        self.unreachable: set[PeerAddress] = set()
        self.requests = 0

    def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> "Future[Any]":
        """Deliver a message synchronously; an unreachable peer gives a failure."""
        self.requests += 1
        responder = FakeResponder()
        if peer in self.unreachable:
            responder.reply(PeerFailure(PeerProblem.LOST))
        else:
            self._deliver(peer, message, responder)
        return responder.future

    def send(self, peer: PeerAddress, message: Any) -> None:
        """Deliver a message synchronously unless the peer is unreachable."""
        if peer not in self.unreachable:
            self._deliver(peer, message, FakeResponder())

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Register the handler of a message type."""
        self.handlers_by_type[message_type] = handler

    def _deliver(self, peer: PeerAddress, message: Any, responder: Any) -> None:
        link = self.links_by_address[peer]
        link.handlers_by_type[type(message)](self.identity, message, responder)


class FakeMembership:
    """Membership with a fixed list of daemons."""

    def __init__(self, members: tuple[MemberView, ...]) -> None:
        self.current_members = members

    def members(self) -> tuple[MemberView, ...]:
        """Return all daemons of the failure domain."""
        return self.current_members


@dataclass
class Fleet:
    """Rate services by instance name, `<domain><number>`."""

    platform: MemoryPlatform
    config: FakeConfig
    links_by_instance: dict[str, FakeLink] = field(default_factory=dict)
    services_by_instance: dict[str, RateService] = field(default_factory=dict)
    clocks_by_instance: dict[str, Callable[[], float]] = field(default_factory=dict)

    def admit(self, instance: str, limits: tuple[str, ...] = ()) -> bool:
        """Request admission of one call at a daemon; return whether it was admitted."""
        service = self.services_by_instance[instance]
        return service.acquire("small", limits, deadline=TIMEOUT_S, now=0.0) is None

    def count_admitted(self, instance: str, count: int) -> int:
        """Request admission of calls one by one; return the number admitted."""
        return sum(self.admit(instance) for _ in range(count))


@contextmanager
def fleet(
    domains: dict[str, int],
    *,
    config: ConfigSet | None = None,
    options: ShareOptions | None = None,
    platform: Platform | None = None,
) -> Iterator[Fleet]:
    """Run the given number of rate services in each failure domain."""
    store = MemoryPlatform()
    result = Fleet(store, FakeConfig(config or sample_config()))
    links: dict[PeerAddress, Any] = {}
    with ExitStack() as stack:
        for domain, count in domains.items():
            members = tuple(
                MemberView(f"{domain}{n}", 1, domain, PeerAddress(domain, n))
                for n in range(count)
            )
            for member in members:
                identity = PeerIdentity(member.instance, 1, domain)
                link = FakeLink(identity, links)
                links[member.address] = link
                membership: Any = FakeMembership(members)
                service = RateService(
                    identity=identity,
                    platform=platform or store.client(member.instance),
                    link=link,
                    membership=membership,
                    config=result.config,
                    options=options,
                )
                result.links_by_instance[member.instance] = link
                result.services_by_instance[member.instance] = service
                stack.enter_context(service)
        yield result
        store.inject(outage=False)


def wait_until(condition: Callable[[], bool], timeout_s: float = TIMEOUT_S) -> None:
    """Poll a condition until it is true; raise AssertionError after the timeout."""
    pause = threading.Event()
    for _ in range(int(timeout_s / 0.01)):
        if condition():
            return
        pause.wait(0.01)
    raise AssertionError("the condition did not become true in time")
