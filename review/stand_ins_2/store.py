"""The platform's metadata store, as PROTOCOL.md describes it, in memory."""

import asyncio
import base64
import copy
import itertools
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from stand_ins_2.http1 import Listener, Message, Reply

Row = dict[str, Any]


class Store:
    """Items, leases and history; `refuse` may return a status instead of a result."""

    def __init__(self) -> None:
        self.items: dict[str, Row] = {}
        self.history: list[Row] = []
        self.revision = 1
        self.lease_ends: dict[int, tuple[float, float]] = {}
        self.refuse: Callable[[Message], int | None] = lambda _request: None
        self.era = 1
        self.port = 0
        self._numbers = itertools.count(77120)
        self._changed = asyncio.Condition()
        self._paused_at: float | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._listener = Listener(self._serve)
        await self._listener.open(host, 0)
        self.port = self._listener.port
        self._expiry = asyncio.create_task(self._expire_leases())

    async def put(self, key: str, value: Any) -> None:
        """Write as the operator does."""
        async with self._changed:
            self._write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
            self._changed.notify_all()

    def pause_leases(self) -> None:
        """Let leases pause, as long as the store is down."""
        self._paused_at = time.monotonic()

    def resume_leases(self) -> None:
        """Let leases run on."""
        assert self._paused_at is not None
        pause_s = time.monotonic() - self._paused_at
        self._paused_at = None
        self.lease_ends = {
            lease: (ttl_s, ends_at + pause_s)
            for lease, (ttl_s, ends_at) in self.lease_ends.items()
        }

    def copy_state(self) -> tuple[Any, ...]:
        """Return a copy of what the store holds."""
        return copy.deepcopy((self.items, self.history, self.revision, self.lease_ends))

    async def restore(self, state: tuple[Any, ...]) -> None:
        """Come back from a copy: what was written since is gone, leases too."""
        async with self._changed:
            self.items, self.history, self.revision, self.lease_ends = state
            self.era += 1
            self._changed.notify_all()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self._paused_at is not None:
                continue
            now = time.monotonic()
            ended = [key for key, (_, at) in self.lease_ends.items() if at < now]
            for lease in ended:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        del self.lease_ends[lease]
        async with self._changed:
            for key in [k for k, item in self.items.items() if item["Lease"] == lease]:
                self._remove(key)
            self._changed.notify_all()

    async def _serve(self, request: Message) -> Reply | None:
        reply = await self._answer(request)
        if reply is not None:
            reply.headers.append(("Store-Era", str(self.era)))
        return reply

    async def _answer(self, request: Message) -> Reply | None:
        status = self.refuse(request)
        if status is not None:
            return None if status == 0 else _json(status, {})
        url = urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        status, value = await self._run(request.first[0], url.path, query, body)
        return _json(status, value)

    async def _run(
        self, method: str, path: str, query: dict[str, str], body: Row
    ) -> tuple[int, Row]:
        if (method, path) == ("GET", "/kv-key"):
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"StoreRevision": self.revision}
            return 200, {**item, "StoreRevision": self.revision}
        if (method, path) == ("GET", "/kv-range"):
            return self._range(query)
        if (method, path) == ("GET", "/kv-watch"):
            return await self._watch(query)
        if (method, path) == ("POST", "/kv-txn"):
            return await self._transact(body)
        if (method, path) == ("POST", "/kv-lease"):
            lease, ttl_s = next(self._numbers), _seconds(body["Ttl"])
            self.lease_ends[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"Lease": lease, "Ttl": body["Ttl"]}
        name, _, number = path.rpartition("/")
        lease = int(number) if number.isdigit() else 0
        if lease not in self.lease_ends:
            return 404, {}
        if name == "/kv-keep":
            ttl_s, _ = self.lease_ends[lease]
            self.lease_ends[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"Ttl": f"{ttl_s}s"}
        await self._end_lease(lease)
        return 200, {}

    def _range(self, query: dict[str, str]) -> tuple[int, Row]:
        prefix, after = query["Prefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:500]]
        return 200, {
            "items": items,
            "Truncated": len(keys) > len(items),
            "StoreRevision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, Row]:
        prefix, after = query["Prefix"], int(query["after"])

        def events() -> list[Row]:
            return [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]

        def is_gone() -> bool:
            return after > self.revision

        async with self._changed:
            try:
                async with asyncio.timeout(int(query["WaitMs"]) / 1000):
                    await self._changed.wait_for(lambda: is_gone() or events())
            except TimeoutError:
                pass
            if is_gone():
                return 410, {}
            return 200, {"events": events(), "StoreRevision": self.revision}

    async def _transact(self, body: Row) -> tuple[int, Row]:
        async with self._changed:
            current = [self.items.get(row["Key"]) for row in body["Precondition"]]
            for row, item in zip(body["Precondition"], current, strict=True):
                if (item["Revision"] if item else 0) != row["Revision"]:
                    return 412, {"items": [item for item in current if item]}
            for item in body["Writes"]:
                if item.get("Lease") and item["Lease"] not in self.lease_ends:
                    return 404, {}
            for item in body["Writes"]:
                self._write(item["Key"], item["Value"], item.get("Lease", 0))
            for key in body.get("Deletes", ()):
                self._remove(key)
            self._changed.notify_all()
            return 200, {"Revision": self.revision}

    def _write(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        known = self.items.get(key)
        created = known["Created"] if known else self.revision
        item = {"Key": key, "Value": value, "Revision": self.revision}
        self.items[key] = {**item, "Created": created, "Lease": lease}
        self.history.append(self.items[key])

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"Key": key, "Revision": self.revision, "Removed": True}
            self.history.append(event)


def _seconds(text: str) -> float:
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])


def _json(status: int, value: Row) -> Reply:
    headers = [("Content-Type", "application/json")]
    return Reply(status, headers, json.dumps(value).encode())
