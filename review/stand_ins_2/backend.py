"""A backend server beside a daemon, as PROTOCOL.md describes it."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from stand_ins_2.fleet import Machine
from stand_ins_2.http1 import Listener, Message, Reply, encode_request, exchange
from stand_ins_2.record import Record

HEARTBEAT_S = 1.5
ACK_TIMEOUT_S = 1.0
HEALTH_PATH = "/healthz"


class Backend:
    """
    One boot of a server: it runs requests, answers probes and reports itself.

    The last part of a request's path is its work in milliseconds. `fails` may return
    the status with which a request fails after it has run. `leaving` is set once it
    leaves. The time of day on its machine is off by `clock_offset_ms`.
    """

    def __init__(
        self,
        machine: Machine,
        service: str,
        server_id: str,
        record: Record,
        clock_offset_ms: int = 0,
    ) -> None:
        self.machine = machine
        self.service = service
        self.server_id = server_id
        self.record = record
        self.born = int(time.time() * 1000) + clock_offset_ms
        self.slots = 20
        self.sequence = 0
        self.leaving = False
        self.runs: list[tuple[float, str]] = []
        self.fails: Callable[[str], int | None] = lambda _target: None
        self._running: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        self._listener = Listener(self._serve)
        await self._listener.open(self.machine.ip, self.machine.server_port)
        self._beats = asyncio.create_task(self._beat_regularly())

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        self._beats.cancel()

    def exit(self) -> None:
        """End like a process: connections close, running work is lost."""
        self.stop_beats()
        self._listener.close()
        self.record.add(f"server {self.server_id} exits")

    def beat(self, state: str) -> bytes:
        """Return the next heartbeat's request."""
        self.sequence += 1
        report = {
            "Service": self.service,
            "Address": f"{self.machine.ip}:{self.machine.server_port}",
            "Zone": self.machine.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdRemaining": "0ms",
            "Seq": self.sequence,
            "born": self.born,
        }
        return self._report("Heartbeat", report)

    def leave(self) -> bytes:
        """Return the request of the deregistration."""
        return self._report("Deregister", {"born": self.born})

    async def send(self, report: bytes, what: str) -> int:
        """Send a report to the daemon; return the status, 0 without an ack."""
        machine = self.machine
        reply = await exchange(
            machine.ip, machine.control_port, report, timeout_s=ACK_TIMEOUT_S
        )
        status = reply.status if reply is not None else 0
        self.record.add(f"server {self.server_id} sent {what}: {status or 'no ack'}")
        return status

    def _report(self, call: str, report: dict[str, Any]) -> bytes:
        headers = [("Host", "control"), ("Content-Type", "application/json")]
        target = f"/Instances.{call}/{self.server_id}"
        return encode_request("POST", target, headers, json.dumps(report).encode())

    async def _beat_regularly(self) -> None:
        while True:
            state = "draining" if self.leaving else "ready"
            await self.send(self.beat(state), f"heartbeat {state}")
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, request: Message) -> Reply | None:
        method, target, _ = request.first
        identity = ("X-Instance-Id", self.server_id)
        if target == HEALTH_PATH:
            return Reply(503 if self.leaving else 200, [identity])
        expected = request.by_name.get("x-expect-instance")
        if expected is not None and expected != self.server_id:
            return Reply(421, [identity])
        request_id = request.by_name.get("x-request-id")
        if request_id is None:
            return Reply(400, [("X-Not-Executed", "1")])
        if len(self._running) >= self.slots:
            return Reply(503, [("X-Not-Executed", "1")])
        task = asyncio.current_task()
        assert task is not None
        self._running.add(task)
        self.runs.append((time.monotonic(), request_id))
        self.record.add(f"server {self.server_id} runs {request_id} {method} {target}")
        try:
            await asyncio.sleep(int(target.rpartition("/")[2]) / 1000)
        finally:
            self._running.discard(task)
        headers = [
            ("X-Request-Id", request_id),
            ("X-Server-Stamp", f"{self.server_id}.{len(self.runs)}"),
            ("Keep-Alive", "timeout=10"),
        ]
        status = self.fails(target)
        if status is not None:
            self.record.add(f"server {self.server_id} fails {request_id}: {status}")
            return Reply(status, headers)
        return Reply(200, headers, f"done by {self.server_id}".encode())
