"""A few rate services over one platform stand-in and links inside the process."""

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

LONG_S = 30.0


def small_set(version: int = 1, rate: float = 10.0, burst: int = 5) -> ConfigSet:
    """Return a set with one workspace and one limit of each scope."""
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
    """Holds a set."""

    def __init__(self, config: ConfigSet) -> None:
        self._config = config
        self._callbacks: list[Callable[[ConfigSet], None]] = []

    def state(self) -> ConfigState | None:
        """Return the set in force."""
        return ConfigState(self._config, 0.0)

    def subscribe(self, callback: Callable[[ConfigSet], None]) -> None:
        """Call back on a newer set."""
        self._callbacks.append(callback)

    def take(self, config: ConfigSet) -> None:
        """Put a newer set in force."""
        self._config = config
        for callback in self._callbacks:
            callback(config)


class FakeResponder:
    """Sets the asker's future."""

    def __init__(self) -> None:
        self.future: Future[Any] = Future()

    def answer(self, message: Any) -> None:
        """Answer once."""
        if not self.future.done():
            self.future.set_result(message)

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Nobody cancels here."""


class FakeLink(PeerLink):
    """Calls the other daemon's handlers; `cut` addresses lose everything."""

    def __init__(self, identity: PeerIdentity, links: dict[PeerAddress, Any]) -> None:
        self.identity = identity
        self.links_by_address = links
        self.handlers_by_type: dict[type[Any], Handler] = {}
        self.cut: set[PeerAddress] = set()
        self.requests = 0

    def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> "Future[Any]":
        """Deliver at once, or fail as lost."""
        self.requests += 1
        responder = FakeResponder()
        if peer in self.cut:
            responder.answer(PeerFailure(PeerProblem.LOST))
        else:
            self._deliver(peer, message, responder)
        return responder.future

    def send(self, peer: PeerAddress, message: Any) -> None:
        """Deliver at once unless cut."""
        if peer not in self.cut:
            self._deliver(peer, message, FakeResponder())

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Handle messages of one type."""
        self.handlers_by_type[message_type] = handler

    def _deliver(self, peer: PeerAddress, message: Any, responder: Any) -> None:
        link = self.links_by_address[peer]
        link.handlers_by_type[type(message)](self.identity, message, responder)


class FakeMembership:
    """A fixed list of daemons."""

    def __init__(self, members: tuple[MemberView, ...]) -> None:
        self.all = members

    def members(self) -> tuple[MemberView, ...]:
        """Return all daemons of the domain."""
        return self.all


@dataclass
class Fleet:
    """Services by instance name, `<domain><number>`."""

    platform: MemoryPlatform
    config: FakeConfig
    links_by_instance: dict[str, FakeLink] = field(default_factory=dict)
    services_by_instance: dict[str, RateService] = field(default_factory=dict)
    clocks_by_instance: dict[str, Callable[[], float]] = field(default_factory=dict)

    def admit(self, instance: str, limits: tuple[str, ...] = ()) -> bool:
        """Send one request at a daemon and tell whether it was admitted."""
        service = self.services_by_instance[instance]
        return service.acquire("small", limits, deadline=LONG_S, now=0.0) is None

    def burst(self, instance: str, count: int) -> int:
        """Send requests one after the other and return how many were admitted."""
        return sum(self.admit(instance) for _ in range(count))


@contextmanager
def fleet(
    domains: dict[str, int],
    *,
    config: ConfigSet | None = None,
    options: ShareOptions | None = None,
    platform: Platform | None = None,
) -> Iterator[Fleet]:
    """Run daemons in each failure domain."""
    store = MemoryPlatform()
    result = Fleet(store, FakeConfig(config or small_set()))
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


def wait_until(condition: Callable[[], bool], timeout_s: float = LONG_S) -> None:
    """Wait for a condition, checked every few milliseconds."""
    pause = threading.Event()
    for _ in range(int(timeout_s / 0.01)):
        if condition():
            return
        pause.wait(0.01)
    raise AssertionError("the condition never came true")
