"""HTTP client of the platform's metadata store."""

import asyncio
import base64
import binascii
import json
from collections.abc import Mapping
from dataclasses import replace
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
from damaskbay.platform.era import Era
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


_NO_LEASE = StoreFailure(StoreProblem.NO_LEASE, "the store was restored")
_NO_HISTORY = StoreFailure(StoreProblem.COMPACTED, "the store was restored")
_LATE = StoreFailure(StoreProblem.UNANSWERED, "reply from before a restore")


class KvStore:
    """
    Implements `ports.store.Store`; closes a connection whose request timed out.

    The era that the store names is the epoch. A call with a number of an earlier one
    fails, also if the store has issued the number again, so each call checks its
    numbers before the request and after the reply, which may begin an era.
    """

    def __init__(self, address: PeerAddress) -> None:
        self._host = str(address)
        self._client = HttpClient(address, HttpClientOptions())
        self._era = Era(self._end_watches)
        self._watch_timeouts: set[asyncio.Timeout] = set()

    @property
    def epoch(self) -> int:
        """Return the current epoch as far as it is known, at first 0."""
        return self._era.current

    async def read(self, prefix: str) -> StoreSnapshot | StoreFailure:
        """
        Return all items whose key starts with the prefix; request page by page.

        Pages are read one after the other, so the revision is that of the first one:
        a watch from there also shows what changed on it meanwhile.
        """
        items: list[StoreItem] = []
        after, first_revision, epoch = "", None, self.epoch
        while True:
            query = {"Prefix": prefix} | ({"after": after} if after else {})
            page = await self._request("GET", f"/kv-range?{urlencode(query)}")
            if isinstance(page, StoreFailure):
                return page
            if epoch != self.epoch and after:
                # The earlier pages were read before the store was restored.
                items, after, first_revision, epoch = [], "", None, self.epoch
                continue
            epoch = self.epoch
            try:
                page_items = self._decode_items(page, "items")
                revision = self._read_revision(page)
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
        """
        Return changes after a revision; no items if none came within `wait_s`.

        A watch ends as soon as a reply to another request begins an era.
        """
        number = self._era.revision_number(after)
        if number is None:
            return _NO_HISTORY
        query = urlencode(
            {"Prefix": prefix, "after": number, "WaitMs": int(wait_s * 1000)}
        )
        try:
            async with asyncio.timeout(None) as timeout:
                self._watch_timeouts.add(timeout)
                try:
                    reply = await self._request(
                        "GET",
                        f"/kv-watch?{query}",
                        timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
                    )
                finally:
                    self._watch_timeouts.discard(timeout)
        except TimeoutError:
            return _NO_HISTORY
        if self._era.revision_number(after) is None:
            return _NO_HISTORY
        if isinstance(reply, StoreFailure):
            return reply
        try:
            events = self._decode_items(reply, "events")
            return StoreSnapshot(tuple(events), self._read_revision(reply))
        except FieldError as error:
            return StoreFailure(StoreProblem.UNANSWERED, str(error))

    async def write(
        self, key: str, value: bytes, *, expected: int, lease: int
    ) -> int | StoreConflict | StoreFailure:
        """Write if the key's revision is the expected one; return the new revision."""
        failure = await self._find_lost(key, expected, lease)
        if failure is not None:
            return failure
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode("ascii"),
            "Lease": self._era.lease_number(lease),
        }
        body = {
            "Precondition": [
                {"Key": key, "Revision": self._era.revision_number(expected)}
            ],
            "Writes": [item],
            "Deletes": [],
        }
        reply = await self._send("POST", "/kv-txn", body, STORE_TIMEOUT_S)
        # The request may have run with numbers that were issued again.
        failure = await self._find_lost(key, expected, lease)
        if isinstance(failure, StoreFailure) and failure != _NO_LEASE:
            return replace(failure, problem=StoreProblem.UNANSWERED)
        if failure is not None:
            return failure
        return self._decode_write(reply, key)

    async def create_lease(self, ttl_s: float) -> int | StoreFailure:
        """Create a lease; return its id."""
        body = {"Ttl": f"{int(ttl_s * 1000)}ms"}
        reply = await self._request("POST", "/kv-lease", body)
        if isinstance(reply, StoreFailure):
            return reply
        try:
            return self._era.lease(read_integer(reply, "Lease"))
        except FieldError as error:
            return StoreFailure(StoreProblem.UNANSWERED, str(error))

    async def renew_lease(self, lease: int) -> StoreFailure | None:
        """Renew a lease; return None, or why it failed."""
        number = self._era.lease_number(lease)
        if number is None:
            return _NO_LEASE
        reply = await self._request("POST", f"/kv-keep/{number}")
        if self._era.lease_number(lease) is None:
            return _NO_LEASE
        return reply if isinstance(reply, StoreFailure) else None

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def _find_lost(
        self, key: str, expected: int, lease: int
    ) -> StoreConflict | StoreFailure | None:
        """Return why a write with numbers of an earlier era fails, None otherwise."""
        if self._era.revision_number(expected) is None:
            reading = await self.read(key)
            if isinstance(reading, StoreFailure):
                return reading
            found = (item.revision for item in reading.items if item.key == key)
            return StoreConflict(next(found, 0))
        return _NO_LEASE if self._era.lease_number(lease) is None else None

    def _decode_write(
        self, reply: Response | StoreFailure, key: str
    ) -> int | StoreConflict | StoreFailure:
        """Return the new revision, or the current one if another was expected."""
        if isinstance(reply, StoreFailure):
            return reply
        is_conflict = reply.status == HTTPStatus.PRECONDITION_FAILED
        table = _decode_body(reply) if is_conflict else _decode_reply(reply)
        if isinstance(table, StoreFailure):
            return table
        try:
            if is_conflict:
                return StoreConflict(self._era.revision(_read_conflict(table, key)))
            return self._era.revision(read_integer(table, "Revision"))
        except FieldError as error:
            return StoreFailure(StoreProblem.UNANSWERED, str(error))

    def _decode_items(self, reply: Table, name: str) -> list[StoreItem]:
        """Return the items in a field of a reply; raise FieldError."""
        return [self._decode_item(item) for item in _read_objects(reply, name)]

    def _decode_item(self, item: Table) -> StoreItem:
        """Return an item or an event of the store; a removed one has no value."""
        key = read_string(item, "Key")
        revision = self._era.revision(read_integer(item, "Revision"))
        if item.get("Removed"):
            return StoreItem(key, None, revision)
        encoded = item.get("Value", "")
        try:
            value = base64.b64decode(encoded, validate=True)
        except (binascii.Error, TypeError, ValueError):
            raise FieldError(f"Value of {key}: not valid base64") from None
        return StoreItem(key, value, revision)

    def _read_revision(self, reply: Table) -> int:
        return self._era.revision(read_integer(reply, "StoreRevision"))

    def _end_watches(self) -> None:
        """
        End the watches, and close the idle connections.

        These may be connections to a process that the restored store has replaced.
        """
        now = asyncio.get_running_loop().time()
        while self._watch_timeouts:
            self._watch_timeouts.pop().reschedule(now)
        self._client.close()

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
        era_when_sent = self._era.current
        reply = await self._client.send(request, timeout_s=timeout_s)
        if isinstance(reply, HttpFailure):
            not_sent = reply.problem in NOT_SENT_PROBLEMS
            problem = StoreProblem.UNAVAILABLE if not_sent else StoreProblem.UNANSWERED
            return StoreFailure(problem, reply.problem.value)
        if not self._era.record(reply, era_when_sent):
            self._client.close()
            return _LATE
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


def _read_conflict(reply: Table, key: str) -> int:
    """Return the current revision of the key, 0 if the reply doesn't contain it."""
    for item in reply.get("items") or ():
        if isinstance(item, dict) and item.get("Key") == key:
            return read_integer(item, "Revision", 0)
    return 0


def _read_objects(reply: Table, name: str) -> list[Table]:
    """Return a field that is a list of objects; raise FieldError."""
    value = reply.get(name)
    if not isinstance(value, list) or not all(isinstance(i, dict) for i in value):
        raise FieldError(f"{name}: expected a list of objects")
    return value
