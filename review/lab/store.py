"""Stand-in for the platform's metadata store: `python -m lab.store HOST PORT`."""

import asyncio
import base64
import json
import sys
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from lab.wire import STREAM_LIMIT, Message, encode, read_message


@dataclass
class _Lease:
    ttl_s: float
    ends_at: float


class Store:
    """Items, leases and the history of changes; loses nothing that it acknowledged."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, _Lease] = {}
        self.changed = asyncio.Condition()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while (request := await read_message(reader)) is not None:
                status, reply = await self._handle(request)
                data = json.dumps(reply).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def expire_leases(self) -> None:
        """Remove the items of leases that have ended, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            ended = {n for n, lease in self.leases.items() if lease.ends_at < now}
            if not ended:
                continue
            async with self.changed:
                for number in ended:
                    del self.leases[number]
                for key in [k for k, i in self.items.items() if i["Lease"] in ended]:
                    self._remove(key)
                self.changed.notify_all()

    async def _handle(self, request: Message) -> tuple[int, dict[str, Any]]:
        method, target, _ = request.start.split(" ")
        path, _, query = target.partition("?")
        arguments = {name: values[0] for name, values in parse_qs(query).items()}
        body = json.loads(request.body) if request.body else {}
        if (method, path) == ("GET", "/kv-range"):
            return self._range(arguments)
        if (method, path) == ("GET", "/kv-watch"):
            return await self._watch(arguments)
        if (method, path) == ("POST", "/kv-txn"):
            return await self._transact(body)
        if (method, path) == ("POST", "/kv-lease"):
            amount = body["Ttl"].removesuffix("ms")
            number = 1000 + self.revision * 100 + len(self.leases)
            ttl_s = int(amount) / 1000
            self.leases[number] = _Lease(ttl_s, time.monotonic() + ttl_s)
            self.revision += 1
            return 200, {"Lease": number, "Ttl": body["Ttl"]}
        if method == "POST" and path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rpartition("/")[2]))
            if lease is None:
                return 404, {}
            lease.ends_at = time.monotonic() + lease.ttl_s
            return 200, {"Ttl": f"{int(lease.ttl_s * 1000)}ms"}
        if (method, path) == ("POST", "/operator"):
            async with self.changed:
                value = base64.b64encode(request.body).decode()
                self._write("op/config", value, 0)
                self.changed.notify_all()
            return 200, {"Revision": self.revision}
        return 404, {}

    def _range(self, arguments: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = arguments["Prefix"], arguments.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {
            "items": [self.items[key] for key in keys[:500]],
            "Truncated": len(keys) > 500,
            "StoreRevision": self.revision,
        }

    async def _watch(self, arguments: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = arguments["Prefix"], int(arguments["after"])

        def events() -> list[dict[str, Any]]:
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
            return 200, {"events": events(), "StoreRevision": self.revision}

    async def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        async with self.changed:
            rows = body["Precondition"]
            current = [self.items.get(row["Key"]) for row in rows]
            for row, item in zip(rows, current, strict=True):
                if (item["Revision"] if item else 0) != row["Revision"]:
                    return 412, {"items": [i for i in current if i]}
            for item in body["Writes"]:
                if item["Lease"] and item["Lease"] not in self.leases:
                    return 404, {}
            for item in body["Writes"]:
                self._write(item["Key"], item["Value"], item["Lease"])
            for key in body["Deletes"]:
                self._remove(key)
            self.changed.notify_all()
            return 200, {"Revision": self.revision}

    def _write(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "Key": key,
            "Value": value,
            "Revision": self.revision,
            "Created": known["Created"] if known else self.revision,
            "Lease": lease,
        }
        self.history.append(self.items[key])

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"Key": key, "Revision": self.revision, "Removed": True}
            self.history.append(event)


async def main() -> None:
    """Serve until the process is ended."""
    store = Store()
    host, port = sys.argv[1], int(sys.argv[2])
    server = await asyncio.start_server(store.serve, host, port, limit=STREAM_LIMIT)
    async with server, asyncio.TaskGroup() as group:
        group.create_task(store.expire_leases())
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
