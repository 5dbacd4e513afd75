"""A store that speaks the platform's published protocol, with faults to order."""

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from damaskbay.adapters.http1.server import Arrival
from damaskbay.core.call import Answer

HISTORY = 1000
PAGE = 500


@dataclass
class KvFaults:
    """
    What the stand-in does wrong: `status` answers all calls with it.

    While it is `deaf`, watches hear nothing of changes.
    """

    status: int | None = None
    deaf: bool = False
    lose_answers: bool = False
    page: int = PAGE


@dataclass
class KvStandIn:
    """Items, leases and a history; `serve` is a handler of the HTTP server."""

    faults: KvFaults = field(default_factory=KvFaults)
    revision: int = 1
    calls: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.compacted = 0
        self.leases: set[int] = set()
        self.changed = asyncio.Condition()

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write as the operator does."""
        async with self.changed:
            self._write(key, base64.b64encode(value).decode(), lease)
            self.changed.notify_all()
        return self.revision

    async def end_lease(self, lease: int) -> None:
        """Let a lease end and remove its keys."""
        async with self.changed:
            self.leases.discard(lease)
            for key in [k for k, i in self.items.items() if i["Lease"] == lease]:
                self._remove(key)
            self.changed.notify_all()

    def compact(self) -> None:
        """Forget the history."""
        self.history.clear()
        self.compacted = self.revision

    async def serve(self, arrival: Arrival) -> Answer:
        """Serve one call of the store's protocol."""
        request = arrival.request
        path, _, query = request.target.partition("?")
        self.calls.append(f"{request.method} {path}")
        if self.faults.status is not None:
            return Answer(self.faults.status)
        arguments = {name: values[0] for name, values in parse_qs(query).items()}
        body = json.loads(request.body) if request.body else {}
        answer = await self._route(f"{request.method} {path}", arguments, body)
        if self.faults.lose_answers:
            await asyncio.sleep(3600)
        return answer

    async def _route(
        self, call: str, arguments: dict[str, str], body: dict[str, Any]
    ) -> Answer:
        if call == "GET /kv-range":
            return self._range(arguments)
        if call == "GET /kv-watch":
            return await self._watch(arguments)
        if call == "POST /kv-txn":
            return await self._txn(body)
        if call == "POST /kv-lease":
            self.leases.add(len(self.leases) + 7)
            return _json(200, {"Lease": len(self.leases) + 6, "Ttl": body["Ttl"]})
        if call.startswith("POST /kv-keep/"):
            known = int(call.rpartition("/")[2]) in self.leases
            return _json(200 if known else 404, {"Ttl": "1s"})
        return _json(404, {})

    def _range(self, arguments: dict[str, str]) -> Answer:
        prefix, after = arguments["Prefix"], arguments.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[: self.faults.page]
        return _json(
            200,
            {
                "items": [self.items[key] for key in page],
                "Truncated": len(page) < len(keys),
                "StoreRevision": self.revision,
            },
        )

    async def _watch(self, arguments: dict[str, str]) -> Answer:
        prefix, after = arguments["Prefix"], int(arguments["after"])
        if after < self.compacted:
            return _json(410, {})

        def events() -> list[dict[str, Any]]:
            if self.faults.deaf:
                return []
            return [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]

        async with self.changed:
            try:
                async with asyncio.timeout(int(arguments["WaitMs"]) / 1000):
                    await self.changed.wait_for(lambda: bool(events()))
            except TimeoutError:
                pass
            return _json(200, {"events": events(), "StoreRevision": self.revision})

    async def _txn(self, body: dict[str, Any]) -> Answer:
        async with self.changed:
            rows = body["Precondition"]
            found = [self.items.get(row["Key"]) for row in rows]
            for row, item in zip(rows, found, strict=True):
                if (item["Revision"] if item else 0) != row["Revision"]:
                    return _json(412, {"items": [i for i in found if i]})
            for item in body["Writes"]:
                if item["Lease"] and item["Lease"] not in self.leases:
                    return _json(404, {})
                self._write(item["Key"], item["Value"], item["Lease"])
            for key in body["Deletes"]:
                self._remove(key)
            self.changed.notify_all()
            return _json(200, {"Revision": self.revision})

    def _write(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        item = {"Key": key, "Value": value, "Revision": self.revision, "Lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"Key": key, "Revision": self.revision, "Removed": True}
            self.history.append(event)


def _json(status: int, value: dict[str, Any]) -> Answer:
    headers = (("Content-Type", "application/json"),)
    return Answer(status, headers, json.dumps(value).encode())
