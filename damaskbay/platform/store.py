"""The platform's metadata store over HTTP."""

import asyncio
import base64
import binascii
import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from damaskbay.adapters.http1.client import (
    HttpClient,
    HttpClientOptions,
    HttpFailure,
    HttpProblem,
)
from damaskbay.core.call import Answer, Request
from damaskbay.platform.const import STORE_TIMEOUT_S, WATCH_GRACE_S
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.fields import Table, text, whole
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import (
    StoreConflict,
    StoreFailure,
    StoreItem,
    StoreProblem,
    StoreReading,
)

_PROBLEMS_BY_STATUS = {
    HTTPStatus.GONE: StoreProblem.COMPACTED,
    HTTPStatus.TOO_MANY_REQUESTS: StoreProblem.BUSY,
    HTTPStatus.SERVICE_UNAVAILABLE: StoreProblem.UNAVAILABLE,
    HTTPStatus.NOT_FOUND: StoreProblem.NO_LEASE,
}


class KvStore:
    """Implements `ports.store.Store`; a connection without an answer is dropped."""

    def __init__(self, address: PeerAddress) -> None:
        self._host = str(address)
        self._client = HttpClient(address, HttpClientOptions())

    async def read(self, prefix: str) -> StoreReading | StoreFailure:
        """Return all items whose key starts with the prefix, page by page."""
        items: list[StoreItem] = []
        after = ""
        while True:
            query = {"Prefix": prefix} | ({"after": after} if after else {})
            page = await self._call("GET", f"/kv-range?{urlencode(query)}")
            if isinstance(page, StoreFailure):
                return page
            try:
                found = [_item(item) for item in _list(page, "items")]
                revision = whole(page, "StoreRevision")
            except FieldError as error:
                return StoreFailure(StoreProblem.UNANSWERED, str(error))
            items += found
            if not page.get("Truncated") or not found:
                return StoreReading(tuple(items), revision)
            after = found[-1].key

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> StoreReading | StoreFailure:
        """Wait for changes after a revision; no items: time is up."""
        wait_ms = int(wait_s * 1000)
        query = urlencode({"Prefix": prefix, "after": after, "WaitMs": wait_ms})
        reply = await self._call(
            "GET", f"/kv-watch?{query}", timeout_s=wait_s + WATCH_GRACE_S
        )
        if isinstance(reply, StoreFailure):
            return reply
        try:
            events = tuple(_item(event) for event in _list(reply, "events"))
            return StoreReading(events, whole(reply, "StoreRevision"))
        except FieldError as error:
            return StoreFailure(StoreProblem.UNANSWERED, str(error))

    async def write(
        self, key: str, value: bytes, *, expected: int, lease: int
    ) -> int | StoreConflict | StoreFailure:
        """Write if the key's revision is the expected one; return the new one."""
        encoded = base64.b64encode(value).decode("ascii")
        written = {"Key": key, "Value": encoded, "Lease": lease}
        return await self._change(key, expected, {"Writes": [written], "Deletes": []})

    async def grant(self, ttl_s: float) -> int | StoreFailure:
        """Return a new lease."""
        body = {"Ttl": f"{int(ttl_s * 1000)}ms"}
        return _whole_of(await self._call("POST", "/kv-lease", body), "Lease")

    async def keep(self, lease: int) -> StoreFailure | None:
        """Renew a lease."""
        reply = await self._call("POST", f"/kv-keep/{lease}")
        return reply if isinstance(reply, StoreFailure) else None

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def _change(
        self, key: str, expected: int, change: dict[str, Any]
    ) -> int | StoreConflict | StoreFailure:
        body = {"Precondition": [{"Key": key, "Revision": expected}], **change}
        reply = await self._send("POST", "/kv-txn", body, STORE_TIMEOUT_S)
        if isinstance(reply, Answer) and reply.status == HTTPStatus.PRECONDITION_FAILED:
            return _conflict(_decoded(reply), key)
        return _whole_of(_judged(reply), "Revision")

    async def _call(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None = None,
        *,
        timeout_s: float = STORE_TIMEOUT_S,
    ) -> Table | StoreFailure:
        return _judged(await self._send(method, target, body, timeout_s))

    async def _send(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        timeout_s: float,
    ) -> Answer | StoreFailure:
        data = b"" if body is None else json.dumps(body).encode()
        headers = (("Content-Type", "application/json"),) if data else ()
        request = Request(method, self._host, target, headers, data)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._client.send(request)
        except TimeoutError:
            return StoreFailure(StoreProblem.UNANSWERED, "no answer in time")
        if isinstance(reply, HttpFailure):
            unsent = reply.problem is HttpProblem.NOT_SENT
            problem = StoreProblem.UNAVAILABLE if unsent else StoreProblem.UNANSWERED
            return StoreFailure(problem, reply.problem.value)
        return reply


def _judged(reply: Answer | StoreFailure) -> Table | StoreFailure:
    if isinstance(reply, StoreFailure):
        return reply
    if reply.status != HTTPStatus.OK:
        known = reply.status in _PROBLEMS_BY_STATUS
        problem = (
            _PROBLEMS_BY_STATUS[HTTPStatus(reply.status)]
            if known
            else StoreProblem.UNAVAILABLE
        )
        return StoreFailure(problem, f"status {reply.status}")
    return _decoded(reply)


def _decoded(reply: Answer) -> Table | StoreFailure:
    try:
        value = json.loads(reply.body)
    except (ValueError, RecursionError):
        return StoreFailure(StoreProblem.UNANSWERED, "answer is no JSON")
    if not isinstance(value, dict):
        return StoreFailure(StoreProblem.UNANSWERED, "answer is no table")
    return value


def _whole_of(reply: Table | StoreFailure, name: str) -> int | StoreFailure:
    if isinstance(reply, StoreFailure):
        return reply
    try:
        return whole(reply, name)
    except FieldError as error:
        return StoreFailure(StoreProblem.UNANSWERED, str(error))


def _conflict(reply: Table | StoreFailure, key: str) -> StoreConflict | StoreFailure:
    if isinstance(reply, StoreFailure):
        return reply
    for item in reply.get("items") or ():
        if isinstance(item, dict) and item.get("Key") == key:
            return StoreConflict(int(item.get("Revision") or 0))
    return StoreConflict(0)


def _list(reply: Table, name: str) -> list[Table]:
    value = reply.get(name)
    if not isinstance(value, list) or not all(isinstance(i, dict) for i in value):
        raise FieldError(f"{name}: a list of tables is wanted")
    return value


def _item(item: Table) -> StoreItem:
    key, revision = text(item, "Key"), whole(item, "Revision")
    if item.get("Removed"):
        return StoreItem(key, None, revision)
    encoded = item.get("Value", "")
    try:
        value = base64.b64decode(encoded, validate=True)
    except (binascii.Error, TypeError, ValueError):
        raise FieldError(f"Value of {key}: no base64") from None
    return StoreItem(key, value, revision)
