"""In-memory store that implements the platform's protocol, with fault injection."""

import asyncio
import base64
import copy
import json
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qs

from damaskbay.adapters.http1.server import ReceivedRequest
from damaskbay.core.call import Response

HISTORY = 1000
DEFAULT_PAGE_SIZE = 500


@dataclass
class KvFaults:
    """
    Faults to inject.

    `status` is the status of all responses. With `drop_watch_events`, watches return
    no changes. With `lose_answers` requests run, but get no response. `page_size` is
    the number of items on a page.
    """

    status: int | None = None
    drop_watch_events: bool = False
    lose_answers: bool = False
    page_size: int = DEFAULT_PAGE_SIZE


@dataclass
class KvStandIn:
    """
    Items, leases and history of changes; `serve` is a handler of the HTTP server.

    `era` is the value of the header Store-Era, None for a store without the header.
    """

    faults: KvFaults = field(default_factory=KvFaults)
    revision: int = 1
    era: int | None = None
    requests: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self.leases: set[int] = set()
        self.last_lease = 6
        self.changed = asyncio.Condition()
        self._snapshot = self._state()

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item without a precondition, as an operator; return the revision."""
        async with self.changed:
            self._write(key, base64.b64encode(value).decode(), lease)
            self.changed.notify_all()
        return self.revision

    async def expire_lease(self, lease: int) -> None:
        """Expire a lease and remove its items."""
        async with self.changed:
            self.leases.discard(lease)
            for key in [k for k, i in self.items.items() if i["Lease"] == lease]:
                self._remove(key)
            self.changed.notify_all()

    def compact(self) -> None:
        """Drop the history, so that watches from an older revision get status 410."""
        self.history.clear()
        self.compacted_revision = self.revision

    def snapshot(self) -> None:
        """Keep the current state for `restore`; without a call it is the first one."""
        self._snapshot = self._state()

    async def restore(self) -> None:
        """
        Return to the snapshot and begin the next era.

        Leases and writes since the snapshot are lost, and their numbers are issued
        again. Watches that wait go on in the new era, or end with status 410.
        """
        async with self.changed:
            vars(self).update(copy.deepcopy(self._snapshot))
            self.era = (self.era or 0) + 1
            self.changed.notify_all()

    def _state(self) -> dict[str, Any]:
        state = {
            "items": self.items,
            "history": self.history,
            "revision": self.revision,
            "compacted_revision": self.compacted_revision,
            "leases": self.leases,
            "last_lease": self.last_lease,
        }
        return copy.deepcopy(state)

    async def serve(self, arrival: ReceivedRequest) -> Response:
        """Serve one request of the store's protocol."""
        response = await self._serve(arrival)
        if self.era is None:
            return response
        era = ("Store-Era", str(self.era))
        return replace(response, headers=(*response.headers, era))

    async def _serve(self, arrival: ReceivedRequest) -> Response:
        request = arrival.request
        path, _, query = request.target.partition("?")
        self.requests.append(f"{request.method} {path}")
        if self.faults.status is not None:
            return Response(self.faults.status)
        arguments = {name: values[0] for name, values in parse_qs(query).items()}
        body = json.loads(request.body) if request.body else {}
        response = await self._dispatch(f"{request.method} {path}", arguments, body)
        if self.faults.lose_answers:
            await asyncio.sleep(3600)
        return response

    async def _dispatch(
        self, endpoint: str, arguments: dict[str, str], body: dict[str, Any]
    ) -> Response:
        if endpoint == "GET /kv-range":
            return self._read_page(arguments)
        if endpoint == "GET /kv-watch":
            return await self._watch(arguments)
        if endpoint == "POST /kv-txn":
            return await self._transact(body)
        if endpoint == "POST /kv-lease":
            self.last_lease += 1
            self.leases.add(self.last_lease)
            return _json_response(200, {"Lease": self.last_lease, "Ttl": body["Ttl"]})
        if endpoint.startswith("POST /kv-keep/"):
            is_known = int(endpoint.rpartition("/")[2]) in self.leases
            return _json_response(200 if is_known else 404, {"Ttl": "1s"})
        return _json_response(404, {})

    def _read_page(self, arguments: dict[str, str]) -> Response:
        prefix, after = arguments["Prefix"], arguments.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[: self.faults.page_size]
        return _json_response(
            200,
            {
                "items": [self.items[key] for key in page],
                "Truncated": len(page) < len(keys),
                "StoreRevision": self.revision,
            },
        )

    async def _watch(self, arguments: dict[str, str]) -> Response:
        prefix, after = arguments["Prefix"], int(arguments["after"])

        def is_gone() -> bool:
            return not self.compacted_revision <= after <= self.revision

        def events() -> list[dict[str, Any]]:
            if self.faults.drop_watch_events:
                return []
            return [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]

        async with self.changed:
            try:
                async with asyncio.timeout(int(arguments["WaitMs"]) / 1000):
                    await self.changed.wait_for(lambda: is_gone() or bool(events()))
            except TimeoutError:
                pass
            if is_gone():
                return _json_response(410, {})
            return _json_response(
                200, {"events": events(), "StoreRevision": self.revision}
            )

    async def _transact(self, body: dict[str, Any]) -> Response:
        async with self.changed:
            preconditions = body["Precondition"]
            current = [self.items.get(one["Key"]) for one in preconditions]
            for one, item in zip(preconditions, current, strict=True):
                if (item["Revision"] if item else 0) != one["Revision"]:
                    return _json_response(412, {"items": [i for i in current if i]})
            for item in body["Writes"]:
                if item["Lease"] and item["Lease"] not in self.leases:
                    return _json_response(404, {})
                self._write(item["Key"], item["Value"], item["Lease"])
            for key in body["Deletes"]:
                self._remove(key)
            self.changed.notify_all()
            return _json_response(200, {"Revision": self.revision})

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


def _json_response(status: int, value: dict[str, Any]) -> Response:
    headers = (("Content-Type", "application/json"),)
    return Response(status, headers, json.dumps(value).encode())
