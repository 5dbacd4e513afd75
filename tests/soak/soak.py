"""One seeded soak run: machines, callers and overlapping faults."""

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
from tests.soak.machines import DRAIN_S, GRACE_S, ExecutionLog, Machine
from tests.soak.promises import InvariantChecker, SentRequest

DOMAINS = ("a", "b")
POOLS = ("one", "two")
SETTLE_S = 8.0
"""Seconds without faults at the end: proof, links and ejected servers recover."""

MIN_SERVED_SHARE = 0.9
PLANNED_SEED_INTERVAL = 5
"""Each fifth seed has planned work only, which must not cut any call."""

CALL_KINDS = (("safe", "GET"), ("unsafe", "POST"), ("open", "GET"))


@dataclass(frozen=True)
class SoakOptions:
    """Seed, number of machines, seconds in which faults start, and rate of requests."""

    seed: int
    machine_count: int = 6
    fault_duration_s: float = 12.0
    requests_per_s: float = 60.0


class Soak:
    """Runs one seed; `checker` holds the violations, `events` the injected faults."""

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        self._options = options
        self._rng = random.Random(options.seed)
        self._caller_rng = random.Random(options.seed)
        self._kv = KvStandIn()
        self._execution_log = ExecutionLog()
        self._workspaces_by_key = {"k1": "t1", "k2": "t2", "k3": "t2"}
        self._active_keys = dict(self._workspaces_by_key)
        planned = options.seed % PLANNED_SEED_INTERVAL == 0
        self.checker = InvariantChecker(
            self._execution_log, self._workspaces_by_key, planned
        )
        self._requests: list[SentRequest] = []
        self._request_ids = (
            f"s{options.seed}-{number}" for number in itertools.count()
        )
        self._version = 0
        self.events: list[str] = []
        self._started_at = 0.0
        self._machines = [
            Machine(
                f"m{number}",
                DOMAINS[number % 2],
                POOLS[number // 2 % 2],
                self._execution_log,
                self._kv.serve,
                folder,
            )
            for number in range(options.machine_count)
        ]

    async def run_seed(self) -> list[str]:
        """Run the seed; return the violations."""
        async with contextlib.AsyncExitStack() as stack:
            await self._publish()
            for machine in self._machines:
                await machine.start(stack)
            for machine in self._machines:
                await machine.wait_until_ready()
            await asyncio.sleep(1.5)
            self._started_at = time.monotonic()
            caller_task = asyncio.create_task(self._send_requests())
            stack.callback(caller_task.cancel)
            await self._inject_faults()
            await asyncio.sleep(SETTLE_S)
            caller_task.cancel()
            await self._check_recovery()
            await asyncio.sleep(1.0)
            self.checker.check_executions(self._requests)
        return self.checker.violations

    async def _publish(self) -> None:
        """Publish a manifest of the next version with the active keys."""
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
        for workspace in sorted(set(self._workspaces_by_key.values())):
            keys = [
                key
                for key, key_workspace in self._active_keys.items()
                if key_workspace == workspace
            ]
            entries.append(("Tenants", workspace, {"ApiKeys": keys, "Priority": 1}))
        resources = [
            {"Type": kind, "Metadata": {"Name": name}, "Spec": body}
            for kind, name, body in entries
        ]
        document = {"Version": self._version, "Resources": resources}
        await self._kv.put(CONFIG_KEY, json.dumps(document).encode())

    async def _send_requests(self) -> None:
        """Send requests to random machines until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            clients = {}
            for machine in self._machines:
                client = HttpClient(machine.caller_address, HttpClientOptions())
                stack.callback(client.close)
                clients[machine.name] = client
            async with asyncio.TaskGroup() as group:
                while True:
                    machine = self._caller_rng.choice(self._machines)
                    kind, method = self._caller_rng.choice(CALL_KINDS)
                    key = (
                        None
                        if kind == "open"
                        else self._caller_rng.choice(["k1", "k3"])
                    )
                    request = self._send_request(
                        clients[machine.name], machine, kind, method, key
                    )
                    group.create_task(request)
                    pause_s = self._caller_rng.expovariate(self._options.requests_per_s)
                    await asyncio.sleep(pause_s)

    async def _send_request(
        self,
        client: HttpClient,
        machine: Machine,
        kind: str,
        method: str,
        key: str | None,
    ) -> SentRequest:
        sent = SentRequest(
            next(self._request_ids), kind, key, machine.pool, time.monotonic()
        )
        headers: Headers = (
            ("X-Request-Id", sent.request_id),
            ("X-Deadline-Ms", "2500"),
            ("X-Tenant", "forged"),
        )
        if key is not None:
            headers = (*headers, ("Api-Key", key))
        request = Request(method, "a.example", f"/{kind}/x", headers)
        self._requests.append(sent)
        response = await client.send(request, timeout_s=4.0)
        sent.ended_at = time.monotonic()
        if isinstance(response, HttpFailure):
            sent.failure = f"{response.problem.value}: {response.detail}"
        else:
            sent.response = response
        self.checker.check_response(sent)
        return sent

    async def _inject_faults(self) -> None:
        """Start faults at random times; they overlap, and each ends by itself."""
        # The method names appear in the printed events.
        faults = [self._stop, self._withdraw, self._drain]
        if not self.checker.planned:
            faults += [
                self._kill,
                self._pause,
                self._store,
                self._store,
                self._server,
                self._server,
            ]
        end = time.monotonic() + self._options.fault_duration_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                fault = self._rng.choice(faults)
                machine = self._rng.choice(self._machines)
                at_s = time.monotonic() - self._started_at
                self.events.append(f"{at_s:.2f} s {fault.__name__} {machine.name}")
                group.create_task(fault(machine))
                await asyncio.sleep(self._rng.expovariate(1.0))

    async def _kill(self, machine: Machine) -> None:
        """Kill the daemon and start it again."""
        machine.send_signal(signal.SIGKILL)
        await self._restart(machine)

    async def _pause(self, machine: Machine) -> None:
        """Suspend the daemon process for a while."""
        machine.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 6.0))
        machine.send_signal(signal.SIGCONT)

    async def _stop(self, machine: Machine) -> None:
        """Stop the daemon gracefully; kill it at the end of the grace time."""
        if not machine.request_stop():
            return
        await asyncio.sleep(GRACE_S)
        if machine.running:
            self.checker.record_late_stop(machine.name)
        machine.send_signal(signal.SIGKILL)
        await self._restart(machine)

    async def _restart(self, machine: Machine) -> None:
        """Start the daemon again after its exit, unless another fault restarted it."""
        await machine.wait()
        await asyncio.sleep(self._rng.uniform(0.05, 0.5))
        if not machine.running:
            await machine.start_daemon()

    async def _store(self, machine: Machine) -> None:
        """Inject a store fault on one machine or all, or compact the store."""
        stores = [one.faulty_store for one in self._machines]
        if self._rng.random() < 0.5:
            stores = [machine.faulty_store]
        fault = self._rng.choice(
            [
                "status_503",
                "status_429",
                "no_response",
                "slow",
                "lost_response",
                "compact",
            ]
        )
        if fault == "compact":
            self._kv.compact()
            return
        for store in stores:
            store.fault = fault
        await asyncio.sleep(self._rng.uniform(0.5, 6.0))
        for store in stores:
            store.fault = None

    async def _server(self, machine: Machine) -> None:
        """Inject a network fault between the daemon and its backend server."""
        faults = machine.proxy.faults
        kind = self._rng.choice(
            ["delay", "reset", "drop_all", "drop_from_server", "reset_new"]
        )
        if kind == "reset":
            for _ in range(self._rng.randint(1, 4)):
                machine.proxy.reset_all()
                await asyncio.sleep(self._rng.uniform(0.05, 0.4))
            return
        faults.delay_s = self._rng.uniform(0.05, 0.5) if kind == "delay" else 0.0
        faults.drop_all = kind == "drop_all"
        faults.drop_from_server = kind == "drop_from_server"
        faults.reset_new = kind == "reset_new"
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        faults.delay_s = 0.0
        faults.drop_all = faults.drop_from_server = faults.reset_new = False

    async def _withdraw(self, _machine: Machine) -> None:
        """Publish a manifest without key k3, only once; the other keys stay."""
        if self._active_keys.pop("k3", None) is None:
            return
        await self._publish()
        self.checker.withdrawn_at["k3"] = time.monotonic()

    async def _drain(self, machine: Machine) -> None:
        """Drain a server, then replace it with a new one."""
        if machine.state != "ready":
            return
        server = machine.server
        await machine.drain()
        acked_at = machine.drain_acked_at
        await asyncio.sleep(DRAIN_S + 1.5)
        if acked_at is not None:
            self.checker.check_drained(server, acked_at, DRAIN_S)
        machine.replace_server()

    async def _check_recovery(self) -> None:
        """Check that each machine serves again after the time without faults."""
        for machine in self._machines:
            client = HttpClient(machine.caller_address, HttpClientOptions())
            served = 0
            for _ in range(20):
                sent = await self._send_request(client, machine, "safe", "GET", "k1")
                served += sent.response is not None and sent.response.status == 200
            client.close()
            if served < MIN_SERVED_SHARE * 20:
                self.checker.violations.append(
                    f"{machine.name}: serves {served} of 20 after {SETTLE_S} s of calm"
                )
