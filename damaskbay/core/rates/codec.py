"""Encoding of ledgers as msgpack; refers to holders by index to save space."""

from dataclasses import dataclass
from typing import Any

import msgpack
from pydantic import NonNegativeFloat, NonNegativeInt, TypeAdapter, ValidationError

from damaskbay.core.rates.bucket import Share
from damaskbay.core.rates.const import LEDGER_FORMAT
from damaskbay.core.rates.ledger import (
    BucketRecord,
    GroupLedger,
    HolderRecord,
    Holding,
)
from damaskbay.core.rates.names import BucketLimit

_HolderItem = tuple[str, NonNegativeInt, NonNegativeFloat]
_HoldingItem = tuple[
    NonNegativeInt, NonNegativeInt, NonNegativeInt, NonNegativeInt, NonNegativeInt
]
_BucketItem = tuple[
    str,
    NonNegativeInt,
    NonNegativeInt,
    NonNegativeInt,
    NonNegativeInt,
    NonNegativeInt,
    tuple[_HoldingItem, ...],
]
_DOCUMENT: TypeAdapter[tuple[int, tuple[_HolderItem, ...], tuple[_BucketItem, ...]]] = (
    TypeAdapter(tuple[int, tuple[_HolderItem, ...], tuple[_BucketItem, ...]])
)


@dataclass(frozen=True, slots=True)
class BadLedger:
    """Invalid ledger bytes, with the reason; they must not be overwritten."""

    detail: str


def encode_ledger(ledger: GroupLedger) -> bytes:
    """Return the encoded ledger; equal ledgers give equal bytes."""
    holder_ids = sorted(ledger.holders_by_id)
    index_by_id = {holder: index for index, holder in enumerate(holder_ids)}
    holders = [
        (
            item,
            ledger.holders_by_id[item].sequence,
            ledger.holders_by_id[item].validity_s,
        )
        for item in holder_ids
    ]
    buckets = [
        _encode_bucket(name, ledger.buckets_by_name[name], index_by_id)
        for name in sorted(ledger.buckets_by_name)
    ]
    return msgpack.packb((LEDGER_FORMAT, holders, buckets))  # type: ignore[no-any-return]


def decode_ledger(data: bytes) -> GroupLedger | BadLedger:
    """Return the decoded ledger, or a `BadLedger` with the reason."""
    try:
        document = _DOCUMENT.validate_python(msgpack.unpackb(data))
        if document[0] != LEDGER_FORMAT:
            return BadLedger(f"format {document[0]}")
        holder_ids = [item[0] for item in document[1]]
        holders = {item[0]: HolderRecord(item[1], item[2]) for item in document[1]}
        buckets = {item[0]: _decode_bucket(item, holder_ids) for item in document[2]}
    except (ValidationError, ValueError, IndexError, RecursionError) as error:
        return BadLedger(type(error).__name__)
    except msgpack.exceptions.UnpackException as error:
        return BadLedger(type(error).__name__)
    return GroupLedger(holders, buckets)


def _encode_bucket(name: str, record: BucketRecord, index_by_id: dict[str, int]) -> Any:
    holdings = [
        (
            index_by_id[holder],
            holding.share.rate_millis,
            holding.share.burst_millis,
            holding.need.rate_millis,
            holding.need.burst_millis,
        )
        for holder, holding in sorted(record.holdings_by_holder.items())
    ]
    total = record.total
    return (
        name,
        total.rate_millis,
        total.burst_millis,
        total.version,
        record.spare_millis,
        record.free_version,
        holdings,
    )


def _decode_bucket(item: _BucketItem, holder_ids: list[str]) -> BucketRecord:
    holdings = {
        holder_ids[index]: Holding(Share(rate, burst), Share(need_rate, need_burst))
        for index, rate, burst, need_rate, need_burst in item[6]
    }
    return BucketRecord(
        BucketLimit(item[1], item[2], item[3]), item[4], item[5], holdings
    )
