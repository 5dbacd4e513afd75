"""Cache of issued request ids and of the daemons that issued them."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from damaskbay.client.const import MAX_REMEMBERED_ISSUERS
from damaskbay.client.options import DaemonAddress
from damaskbay.core.call import Response
from damaskbay.core.outcome import Reason, Refusal, unknown


class IssuedIds(BaseModel):
    """Body of a daemon's response to a request for ids; `valid_s` is in seconds."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    request_ids: Annotated[tuple[str, ...], Field(min_length=1)]
    valid_s: Annotated[float, Field(gt=0)]


@dataclass(frozen=True, slots=True)
class _CachedId:
    request_id: str
    use_until: float


class RequestIdCache:
    """Cache of unused request ids; ids expire after half of their validity."""

    def __init__(self) -> None:
        self._unused: deque[_CachedId] = deque()
        self._issuer_by_id: OrderedDict[str, DaemonAddress] = OrderedDict()

    def pop(self, now: float) -> str | None:
        """Remove and return an unused id, None if there is none."""
        while self._unused:
            item = self._unused.popleft()
            if item.use_until > now:
                return item.request_id
            self._issuer_by_id.pop(item.request_id, None)
        return None

    def add(
        self, ids: Sequence[str], valid_s: float, issuer: DaemonAddress, now: float
    ) -> None:
        """Add ids that were requested at `now`, with their validity in seconds."""
        for request_id in ids:
            self._unused.append(_CachedId(request_id, now + valid_s / 2))
            self._issuer_by_id[request_id] = issuer
        while len(self._issuer_by_id) > MAX_REMEMBERED_ISSUERS:
            self._issuer_by_id.popitem(last=False)

    def issuer_of(self, request_id: str) -> DaemonAddress | None:
        """Return the daemon that issued an id, None if unknown."""
        return self._issuer_by_id.get(request_id)


def parse_issued_ids(response: Response) -> IssuedIds | Refusal:
    """Return the ids in a daemon's response, or a refusal if it is invalid."""
    try:
        return IssuedIds.model_validate_json(response.body)
    except ValidationError:
        return unknown(
            Reason.INTERNAL_ERROR, detail="response has no valid request ids"
        )
