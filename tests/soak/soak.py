"""One seed of the soak: machines, callers and overlapping faults."""

import asyncio
import contextlib
import itertools
import json
import random
import signal
import time
from dataclasses import dataclass
from pathlib import Path

from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions, HttpFailure
from damaskbay.core.call import Headers, Request
from damaskbay.platform.const import CONFIG_KEY
from tests.platform.kv_stand_in import KvStandIn
from tests.soak.machines import DRAIN_S, GRACE_S, Ledger, Machine
from tests.soak.promises import Promises, Sent

DOMAINS = ("a", "b")
POOLS = ("one", "two")
SETTLE_S = 8.0
"""Calm at the end, seconds: freshness, links and ejected servers come back."""

SERVED_SHARE = 0.9
PLANNED_EVERY = 5
"""One seed in so many has planned work only, which must cut nothing."""

KINDS = (("safe", "GET"), ("unsafe", "POST"), ("open", "GET"))


@dataclass(frozen=True)
class SoakOptions:
    """How long faults come, on how many machines, at what rate in a second."""

    seed: int
    machines: int = 6
    seconds: float = 12.0
    requests_per_s: float = 60.0


class Soak:
    """Plays one seed; `broken` of the promises tells what failed."""

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        self._options = options
        self._rng = random.Random(options.seed)
        self._calls_rng = random.Random(options.seed)
        self._kv = KvStandIn()
        self._ledger = Ledger()
        self._tenants = {"k1": "t1", "k2": "t2", "k3": "t2"}
        self._keys = dict(self._tenants)
        planned = options.seed % PLANNED_EVERY == 0
        self.promises = Promises(self._ledger, self._tenants, planned)
        self._requests: list[Sent] = []
        self._ids = (f"s{options.seed}-{number}" for number in itertools.count())
        self._version = 0
        self.events: list[str] = []
        self._began_at = 0.0
        self._machines = [
            Machine(
                f"m{number}",
                DOMAINS[number % 2],
                POOLS[number // 2 % 2],
                self._ledger,
                self._kv.serve,
                folder,
            )
            for number in range(options.machines)
        ]

    async def play(self) -> list[str]:
        """Play the seed; return what broke."""
        async with contextlib.AsyncExitStack() as stack:
            await self._publish()
            for machine in self._machines:
                await machine.start(stack)
            for machine in self._machines:
                await machine.until_ready()
            await asyncio.sleep(1.5)
            self._began_at = time.monotonic()
            calling = asyncio.create_task(self._call())
            stack.callback(calling.cancel)
            await self._break_things()
            await asyncio.sleep(SETTLE_S)
            calling.cancel()
            await self._check_service()
            await asyncio.sleep(1.0)
            self.promises.finish(self._requests)
        return self.promises.broken

    async def _publish(self) -> None:
        self._version += self._rng.randint(1, 3)
        spec = {
            "Host": "a.example",
            "Timeout": "2s",
            "TargetLatency": "500ms",
            "Priority": 1,
            "NumAttempts": 2,
        }
        paths = (("safe", "safe"), ("unsafe", "unsafe"), ("open", "safe"))
        entries: list[tuple[str, str, dict[str, object]]] = [
            (
                "Routes",
                f"r-{path}",
                {
                    **spec,
                    "Prefix": f"/{path}/",
                    "Kind": kind,
                    "Service": "two" if path == "open" else "one",
                    "AuthExempt": path == "open",
                },
            )
            for path, kind in paths
        ]
        entries += [("Services", pool, {"MaxConnections": 90}) for pool in POOLS]
        for tenant in sorted(set(self._tenants.values())):
            keys = [key for key, owner in self._keys.items() if owner == tenant]
            entries.append(("Tenants", tenant, {"ApiKeys": keys, "Priority": 1}))
        resources = [
            {"Type": kind, "Metadata": {"Name": name}, "Spec": body}
            for kind, name, body in entries
        ]
        document = {"Version": self._version, "Resources": resources}
        await self._kv.put(CONFIG_KEY, json.dumps(document).encode())

    async def _call(self) -> None:
        """Send requests at random machines until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            clients = {}
            for machine in self._machines:
                client = HttpClient(machine.callers, HttpClientOptions())
                stack.callback(client.close)
                clients[machine.name] = client
            async with asyncio.TaskGroup() as sending:
                while True:
                    machine = self._calls_rng.choice(self._machines)
                    kind, method = self._calls_rng.choice(KINDS)
                    key = (
                        None if kind == "open" else self._calls_rng.choice(["k1", "k3"])
                    )
                    call = self._send(clients[machine.name], machine, kind, method, key)
                    sending.create_task(call)
                    pause_s = self._calls_rng.expovariate(self._options.requests_per_s)
                    await asyncio.sleep(pause_s)

    async def _send(
        self,
        client: HttpClient,
        machine: Machine,
        kind: str,
        method: str,
        key: str | None,
    ) -> Sent:
        sent = Sent(next(self._ids), kind, key, machine.pool, time.monotonic())
        headers: Headers = (
            ("X-Request-Id", sent.request_id),
            ("X-Deadline-Ms", "2500"),
            ("X-Tenant", "forged"),
        )
        if key is not None:
            headers = (*headers, ("Api-Key", key))
        request = Request(method, "a.example", f"/{kind}/x", headers)
        self._requests.append(sent)
        answer = await client.send(request, timeout_s=4.0)
        sent.ended_at = time.monotonic()
        if isinstance(answer, HttpFailure):
            sent.failure = f"{answer.problem.value}: {answer.detail}"
        else:
            sent.answer = answer
        self.promises.ended(sent)
        return sent

    async def _break_things(self) -> None:
        """Start faults at random moments; they overlap and end by themselves."""
        faults = [self._stop, self._withdraw, self._drain]
        if not self.promises.planned:
            faults += [
                self._kill,
                self._pause,
                self._store,
                self._store,
                self._server,
                self._server,
            ]
        end = time.monotonic() + self._options.seconds
        async with asyncio.TaskGroup() as breaking:
            while time.monotonic() < end:
                fault = self._rng.choice(faults)
                machine = self._rng.choice(self._machines)
                at_s = time.monotonic() - self._began_at
                self.events.append(f"{at_s:.2f} s {fault.__name__} {machine.name}")
                breaking.create_task(fault(machine))
                await asyncio.sleep(self._rng.expovariate(1.0))

    async def _kill(self, machine: Machine) -> None:
        machine.signal(signal.SIGKILL)
        await self._again(machine)

    async def _pause(self, machine: Machine) -> None:
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 6.0))
        machine.signal(signal.SIGCONT)

    async def _stop(self, machine: Machine) -> None:
        if not machine.begin_stop():
            return
        await asyncio.sleep(GRACE_S)
        if machine.running:
            self.promises.outstayed(machine.name)
        machine.signal(signal.SIGKILL)
        await self._again(machine)

    async def _again(self, machine: Machine) -> None:
        await machine.wait()
        await asyncio.sleep(self._rng.uniform(0.05, 0.5))
        if not machine.running:
            await machine.start_daemon()

    async def _store(self, machine: Machine) -> None:
        gates = [item.gate for item in self._machines]
        if self._rng.random() < 0.5:
            gates = [machine.gate]
        fault = self._rng.choice(["busy", "many", "silent", "slow", "lost", "forget"])
        if fault == "forget":
            self._kv.compact()
            return
        for gate in gates:
            gate.fault = fault
        await asyncio.sleep(self._rng.uniform(0.5, 6.0))
        for gate in gates:
            gate.fault = None

    async def _server(self, machine: Machine) -> None:
        faults = machine.proxy.faults
        kind = self._rng.choice(["delay", "reset", "silent", "silent_back", "refuse"])
        if kind == "reset":
            for _ in range(self._rng.randint(1, 4)):
                machine.proxy.reset_all()
                await asyncio.sleep(self._rng.uniform(0.05, 0.4))
            return
        faults.delay_s = self._rng.uniform(0.05, 0.5) if kind == "delay" else 0.0
        faults.silent = kind == "silent"
        faults.silent_back = kind == "silent_back"
        faults.refuse = kind == "refuse"
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        faults.delay_s = 0.0
        faults.silent = faults.silent_back = faults.refuse = False

    async def _withdraw(self, _machine: Machine) -> None:
        """Take a key away while others stay; give it back much later or never."""
        if self._keys.pop("k3", None) is None:
            return
        await self._publish()
        self.promises.withdrawn_at["k3"] = time.monotonic()

    async def _drain(self, machine: Machine) -> None:
        """Have a server leave, and another one come in its place."""
        if machine.state != "ready":
            return
        server = machine.server
        await machine.drain()
        acked_at = machine.acked_drain_at
        await asyncio.sleep(DRAIN_S + 1.5)
        if acked_at is not None:
            self.promises.drained(server, acked_at, DRAIN_S)
        machine.replace_server()

    async def _check_service(self) -> None:
        """After calm, every machine serves again."""
        for machine in self._machines:
            client = HttpClient(machine.callers, HttpClientOptions())
            served = 0
            for _ in range(20):
                sent = await self._send(client, machine, "safe", "GET", "k1")
                served += sent.answer is not None and sent.answer.status == 200
            client.close()
            if served < SERVED_SHARE * 20:
                self.promises.broken.append(
                    f"{machine.name}: serves {served} of 20 after {SETTLE_S} s of calm"
                )
