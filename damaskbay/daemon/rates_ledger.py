"""Reads and writes the ledgers of rate shares in the platform's store."""

import logging

from damaskbay.const import MAX_PLATFORM_VALUE_BYTES
from damaskbay.core.rates.codec import BadLedger, decode_ledger, encode_ledger
from damaskbay.core.rates.const import LEDGER_KEY_PREFIX
from damaskbay.core.rates.ledger import GroupLedger
from damaskbay.core.rates.node import (
    LedgerRequest,
    LedgerResult,
    NoEffect,
    StoredLedger,
    Unresolved,
    WriteLedger,
    WriteSucceeded,
)
from damaskbay.ports.platform import (
    Conflict,
    Entry,
    Platform,
    PlatformFailure,
    PlatformProblem,
)

_LOGGER = logging.getLogger(__name__)

CALL_TIMEOUT_S = 2.0


class LedgerStore:
    """Store of ledgers in the platform. Methods block."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def run(self, call: LedgerRequest) -> LedgerResult:
        """Read or write a ledger; return failures as values instead of raising."""
        key = f"{LEDGER_KEY_PREFIX}{call.group}"
        if isinstance(call, WriteLedger):
            return self._write(key, call)
        entry = self._platform.get(key, timeout_s=CALL_TIMEOUT_S)
        if isinstance(entry, PlatformFailure):
            return NoEffect()
        return _current_ledger(entry)

    def _write(self, key: str, call: WriteLedger) -> LedgerResult:
        value = encode_ledger(call.proposal.ledger)
        if len(value) > MAX_PLATFORM_VALUE_BYTES:
            _LOGGER.error(
                "rates: ledger exceeds the platform's value limit. %s: %d bytes",
                key,
                len(value),
            )
            return NoEffect()
        result = self._platform.compare_and_swap(
            key,
            value,
            expected_revision=call.proposal.expected_revision,
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(result, Entry):
            return WriteSucceeded(result.revision)
        if isinstance(result, Conflict):
            return _current_ledger(result.current)
        if result.problem is PlatformProblem.ANSWER_LOST:
            return Unresolved()
        return NoEffect()


def _current_ledger(entry: Entry | None) -> LedgerResult:
    if entry is None:
        return StoredLedger(GroupLedger(), 0)
    ledger = decode_ledger(entry.value)
    if isinstance(ledger, BadLedger):
        _LOGGER.error(
            "rates: stored ledger can't be decoded. %s: %s", entry.key, ledger.detail
        )
        return Unresolved()
    return StoredLedger(ledger, entry.revision)
