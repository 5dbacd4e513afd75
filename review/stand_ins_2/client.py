"""Clients on a machine."""

import itertools
import time
from dataclasses import dataclass

from stand_ins_2.fleet import Machine
from stand_ins_2.http1 import Message, encode_request, exchange
from stand_ins_2.record import Record

HOST = "hulo84.example"
_numbers = itertools.count(1)


@dataclass
class Attempt:
    """A client attempt; `sent_at` in monotonic seconds, status 0 without a response."""

    request_id: str
    sent_at: float
    status: int
    reply: Message | None


async def attempt(
    machine: Machine,
    method: str,
    target: str,
    record: Record,
    *,
    key: str | None = None,
    deadline_ms: int = 5000,
    body: bytes = b"",
) -> Attempt:
    """Send one request to the daemon of a machine and wait for its response."""
    request_id = f"{time.time_ns() % 16**10:010x}{next(_numbers):06x}"
    headers = [
        ("Host", HOST),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", str(deadline_ms)),
    ]
    if key is not None:
        headers.append(("Api-Key", key))
    sent_at = time.monotonic()
    record.add(f"client at {machine.name} sends {request_id} {method} {target}")
    reply = await exchange(
        machine.ip,
        machine.outbound_port,
        encode_request(method, target, headers, body),
        timeout_s=deadline_ms / 1000 + 0.5,
    )
    status = reply.status if reply is not None else 0
    record.add(f"client at {machine.name} got {request_id}: {status or 'no response'}")
    return Attempt(request_id, sent_at, status, reply)
