"""Ledgers as bytes: msgpack, holders by index to keep values small."""

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
from damaskbay.core.rates.names import Total

_Holder = tuple[str, NonNegativeInt, NonNegativeFloat]
_Holding = tuple[
    NonNegativeInt, NonNegativeInt, NonNegativeInt, NonNegativeInt, NonNegativeInt
]
_Bucket = tuple[
    str,
    NonNegativeInt,
    NonNegativeInt,
    NonNegativeInt,
    NonNegativeInt,
    NonNegativeInt,
    tuple[_Holding, ...],
]
_DOCUMENT: TypeAdapter[tuple[int, tuple[_Holder, ...], tuple[_Bucket, ...]]] = (
    TypeAdapter(tuple[int, tuple[_Holder, ...], tuple[_Bucket, ...]])
)


@dataclass(frozen=True, slots=True)
class BadLedger:
    """Bytes that are no ledger; nothing may be claimed or written over them."""

    detail: str


def encode_ledger(ledger: GroupLedger) -> bytes:
    """Return the ledger's bytes, the same for equal ledgers."""
    ids = sorted(ledger.holders_by_id)
    index_by_id = {holder: index for index, holder in enumerate(ids)}
    holders = [
        (
            item,
            ledger.holders_by_id[item].sequence,
            ledger.holders_by_id[item].validity_s,
        )
        for item in ids
    ]
    buckets = [
        _bucket(name, ledger.buckets_by_name[name], index_by_id)
        for name in sorted(ledger.buckets_by_name)
    ]
    return msgpack.packb((LEDGER_FORMAT, holders, buckets))  # type: ignore[no-any-return]


def decode_ledger(data: bytes) -> GroupLedger | BadLedger:
    """Return the ledger, or why the bytes are none."""
    try:
        document = _DOCUMENT.validate_python(msgpack.unpackb(data))
        if document[0] != LEDGER_FORMAT:
            return BadLedger(f"format {document[0]}")
        ids = [item[0] for item in document[1]]
        holders = {item[0]: HolderRecord(item[1], item[2]) for item in document[1]}
        buckets = {item[0]: _record(item, ids) for item in document[2]}
    except (ValidationError, ValueError, IndexError, RecursionError) as error:
        return BadLedger(type(error).__name__)
    except msgpack.exceptions.UnpackException as error:
        return BadLedger(type(error).__name__)
    return GroupLedger(holders, buckets)


def _bucket(name: str, record: BucketRecord, index_by_id: dict[str, int]) -> Any:
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
        record.mark,
        holdings,
    )


def _record(item: _Bucket, ids: list[str]) -> BucketRecord:
    holdings = {
        ids[index]: Holding(Share(rate, burst), Share(need_rate, need_burst))
        for index, rate, burst, need_rate, need_burst in item[6]
    }
    return BucketRecord(Total(item[1], item[2], item[3]), item[4], item[5], holdings)
