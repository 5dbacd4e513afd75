"""HTTP client of the platform's metadata store."""

import base64
import binascii
import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from damaskbay.adapters.http1.client import (
    NOT_SENT_PROBLEMS,
    HttpClient,
    HttpClientOptions,
    HttpFailure,
)
from damaskbay.core.call import Request, Response
from damaskbay.platform.const import STORE_TIMEOUT_S, WATCH_TIMEOUT_MARGIN_S
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.fields import Table, read_integer, read_string
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import (
    StoreConflict,
    StoreFailure,
    StoreItem,
    StoreProblem,
    StoreSnapshot,
)

_PROBLEMS_BY_STATUS = {
    HTTPStatus.GONE: StoreProblem.COMPACTED,
    HTTPStatus.TOO_MANY_REQUESTS: StoreProblem.BUSY,
    HTTPStatus.SERVICE_UNAVAILABLE: StoreProblem.UNAVAILABLE,
    HTTPStatus.NOT_FOUND: StoreProblem.NO_LEASE,
}


class KvStore:
    """Implements `ports.store.Store`; closes a connection whose request timed out."""

    def __init__(self, address: PeerAddress) -> None:
        self._host = str(address)
        self._client = HttpClient(address, HttpClientOptions())

    async def read(self, prefix: str) -> StoreSnapshot | StoreFailure:
        """
        Return all items whose key starts with the prefix; request page by page.

        Pages are read one after the other, so the revision is that of the first one:
        a watch from there also shows what changed on it meanwhile.
        """
        items: list[StoreItem] = []
        after, first_revision = "", None
        while True:
            query = {"Prefix": prefix} | ({"after": after} if after else {})
            page = await self._request("GET", f"/kv-range?{urlencode(query)}")
            if isinstance(page, StoreFailure):
                return page
            try:
                page_items = [
                    _decode_item(item) for item in _read_objects(page, "items")
                ]
                revision = read_integer(page, "StoreRevision")
            except FieldError as error:
                return StoreFailure(StoreProblem.UNANSWERED, str(error))
            first_revision = revision if first_revision is None else first_revision
            items += page_items
            if not page.get("Truncated") or not page_items:
                return StoreSnapshot(tuple(items), first_revision)
            after = page_items[-1].key

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> StoreSnapshot | StoreFailure:
        """Return changes after a revision; no items if none came within `wait_s`."""
        wait_ms = int(wait_s * 1000)
        query = urlencode({"Prefix": prefix, "after": after, "WaitMs": wait_ms})
        reply = await self._request(
            "GET", f"/kv-watch?{query}", timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S
        )
        if isinstance(reply, StoreFailure):
            return reply
        try:
            events = tuple(
                _decode_item(event) for event in _read_objects(reply, "events")
            )
            return StoreSnapshot(events, read_integer(reply, "StoreRevision"))
        except FieldError as error:
            return StoreFailure(StoreProblem.UNANSWERED, str(error))

    async def write(
        self, key: str, value: bytes, *, expected: int, lease: int
    ) -> int | StoreConflict | StoreFailure:
        """Write if the key's revision is the expected one; return the new revision."""
        encoded = base64.b64encode(value).decode("ascii")
        item = {"Key": key, "Value": encoded, "Lease": lease}
        return await self._transact(key, expected, {"Writes": [item], "Deletes": []})

    async def create_lease(self, ttl_s: float) -> int | StoreFailure:
        """Create a lease; return its id."""
        body = {"Ttl": f"{int(ttl_s * 1000)}ms"}
        return _integer_or_failure(
            await self._request("POST", "/kv-lease", body), "Lease"
        )

    async def renew_lease(self, lease: int) -> StoreFailure | None:
        """Renew a lease; return None, or why it failed."""
        reply = await self._request("POST", f"/kv-keep/{lease}")
        return reply if isinstance(reply, StoreFailure) else None

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def _transact(
        self, key: str, expected: int, operations: dict[str, Any]
    ) -> int | StoreConflict | StoreFailure:
        body = {"Precondition": [{"Key": key, "Revision": expected}], **operations}
        reply = await self._send("POST", "/kv-txn", body, STORE_TIMEOUT_S)
        if (
            isinstance(reply, Response)
            and reply.status == HTTPStatus.PRECONDITION_FAILED
        ):
            return _decode_conflict(_decode_body(reply), key)
        return _integer_or_failure(_decode_reply(reply), "Revision")

    async def _request(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None = None,
        *,
        timeout_s: float = STORE_TIMEOUT_S,
    ) -> Table | StoreFailure:
        return _decode_reply(await self._send(method, target, body, timeout_s))

    async def _send(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        timeout_s: float,
    ) -> Response | StoreFailure:
        data = b"" if body is None else json.dumps(body).encode()
        headers = (("Content-Type", "application/json"),) if data else ()
        request = Request(method, self._host, target, headers, data)
        reply = await self._client.send(request, timeout_s=timeout_s)
        if isinstance(reply, HttpFailure):
            not_sent = reply.problem in NOT_SENT_PROBLEMS
            problem = StoreProblem.UNAVAILABLE if not_sent else StoreProblem.UNANSWERED
            return StoreFailure(problem, reply.problem.value)
        return reply


def _decode_reply(reply: Response | StoreFailure) -> Table | StoreFailure:
    """Return the body of a reply with status 200; otherwise a failure."""
    if isinstance(reply, StoreFailure):
        return reply
    if reply.status != HTTPStatus.OK:
        is_known = reply.status in _PROBLEMS_BY_STATUS
        problem = (
            _PROBLEMS_BY_STATUS[HTTPStatus(reply.status)]
            if is_known
            else StoreProblem.UNAVAILABLE
        )
        return StoreFailure(problem, f"status {reply.status}")
    return _decode_body(reply)


def _decode_body(reply: Response) -> Table | StoreFailure:
    try:
        value = json.loads(reply.body)
    except (ValueError, RecursionError):
        return StoreFailure(StoreProblem.UNANSWERED, "reply is not JSON")
    if not isinstance(value, dict):
        return StoreFailure(StoreProblem.UNANSWERED, "reply is not a JSON object")
    return value


def _integer_or_failure(reply: Table | StoreFailure, name: str) -> int | StoreFailure:
    """Return an integer field of a reply; pass a failure through."""
    if isinstance(reply, StoreFailure):
        return reply
    try:
        return read_integer(reply, name)
    except FieldError as error:
        return StoreFailure(StoreProblem.UNANSWERED, str(error))


def _decode_conflict(
    reply: Table | StoreFailure, key: str
) -> StoreConflict | StoreFailure:
    """Return the current revision of the key, 0 if the reply doesn't contain it."""
    if isinstance(reply, StoreFailure):
        return reply
    for item in reply.get("items") or ():
        if isinstance(item, dict) and item.get("Key") == key:
            return StoreConflict(int(item.get("Revision") or 0))
    return StoreConflict(0)


def _read_objects(reply: Table, name: str) -> list[Table]:
    """Return a field that is a list of objects; raise FieldError."""
    value = reply.get(name)
    if not isinstance(value, list) or not all(isinstance(i, dict) for i in value):
        raise FieldError(f"{name}: expected a list of objects")
    return value


def _decode_item(item: Table) -> StoreItem:
    """Return an item or an event of the store; a removed one has no value."""
    key, revision = read_string(item, "Key"), read_integer(item, "Revision")
    if item.get("Removed"):
        return StoreItem(key, None, revision)
    encoded = item.get("Value", "")
    try:
        value = base64.b64decode(encoded, validate=True)
    except (binascii.Error, TypeError, ValueError):
        raise FieldError(f"Value of {key}: not valid base64") from None
    return StoreItem(key, value, revision)
