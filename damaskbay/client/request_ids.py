"""The stock of issued request ids, and who issued them."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from damaskbay.client.const import MAX_REMEMBERED_ISSUERS
from damaskbay.client.options import DaemonAddress
from damaskbay.core.call import Answer
from damaskbay.core.outcome import Reason, Refusal, unknown


class IssuedIds(BaseModel):
    """A daemon's answer to a request for ids; `valid_s` in seconds."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    request_ids: Annotated[tuple[str, ...], Field(min_length=1)]
    valid_s: Annotated[float, Field(gt=0)]


@dataclass(frozen=True, slots=True)
class _Stocked:
    request_id: str
    use_until: float


class RequestIdStock:
    """Ids that are not used yet. An id is handed out for half of its validity."""

    def __init__(self) -> None:
        self._stock: deque[_Stocked] = deque()
        self._issuer_by_id: OrderedDict[str, DaemonAddress] = OrderedDict()

    def take(self, now: float) -> str | None:
        """Return an unused id, None where there is none."""
        while self._stock:
            item = self._stock.popleft()
            if item.use_until > now:
                return item.request_id
            self._issuer_by_id.pop(item.request_id, None)
        return None

    def add(
        self, ids: Sequence[str], valid_s: float, issuer: DaemonAddress, now: float
    ) -> None:
        """Take in ids that were asked for at `now`."""
        for request_id in ids:
            self._stock.append(_Stocked(request_id, now + valid_s / 2))
            self._issuer_by_id[request_id] = issuer
        while len(self._issuer_by_id) > MAX_REMEMBERED_ISSUERS:
            self._issuer_by_id.popitem(last=False)

    def issuer(self, request_id: str) -> DaemonAddress | None:
        """Return the daemon that issued an id, None where that is not known."""
        return self._issuer_by_id.get(request_id)


def parse_issued(answer: Answer) -> IssuedIds | Refusal:
    """Return the ids in a daemon's answer."""
    try:
        return IssuedIds.model_validate_json(answer.body)
    except ValidationError:
        return unknown(Reason.INTERNAL_ERROR, detail="not an answer with request ids")
