"""Tracks the era of the platform's store, and the numbers that it issues in each."""

import logging
from collections.abc import Callable

from damaskbay.core.call import Response
from damaskbay.platform.const import ERA_HEADER, MAX_ERA
from damaskbay.platform.exceptions import FieldError
from damaskbay.ports.store import EPOCH_BITS

_LOGGER = logging.getLogger(__name__)

LEASE_BITS = 64
"""Bits of a lease's id below its era; the store names no bound for its ids."""


class Era:
    """
    The era of the store, which rises each time that the store is restored.

    The store issues revisions and leases again in each era, so that its numbers are
    joined with the era. It is 0 while no response has named one; numbers then stay as
    they are. `on_restore` is called when a known store has been restored.
    """

    def __init__(self, on_restore: Callable[[], None]) -> None:
        self.current = 0
        self._on_restore = on_restore
        self._has_response = False
        self._logged_value: str | None = None

    def record(self, response: Response, era_when_sent: int) -> bool:
        """
        Take the era from a response; return False for one from before the current era.

        The store can only have sent such a response if the request was sent before
        that era was known. Otherwise an earlier era is as invalid as one that is no
        number: the known one stays.
        """
        value = _header(response)
        era = _parse(value)
        if era is None or era < self.current:
            if era_when_sent < self.current:
                return False
            if value is not None:
                self._log_invalid(value)
        elif era > self.current:
            self._begin(era)
        self._has_response = True
        return True

    def revision(self, number: int) -> int:
        """Return a revision of the current era; raise FieldError if it is too high."""
        return self._join(number, EPOCH_BITS)

    def lease(self, number: int) -> int:
        """Return a lease of the current era; raise FieldError if it is too high."""
        return self._join(number, LEASE_BITS)

    def revision_number(self, revision: int) -> int | None:
        """Return the store's number of a revision; None if it is of another era."""
        return self._split(revision, EPOCH_BITS)

    def lease_number(self, lease: int) -> int | None:
        """Return the store's number of a lease; None if it is of another era."""
        return self._split(lease, LEASE_BITS)

    def _join(self, number: int, bits: int) -> int:
        if not self.current or not number:
            return number
        if number >> bits:
            raise FieldError(f"{number}: expected less than 2**{bits}")
        return self.current << bits | number

    def _split(self, joined: int, bits: int) -> int | None:
        if not self.current or not joined:
            return joined
        era, number = joined >> bits, joined & ((1 << bits) - 1)
        return number if era == self.current else None

    def _begin(self, era: int) -> None:
        before, self.current = self.current, era
        if not self._has_response:
            return
        _LOGGER.warning(
            "store: has been restored from a snapshot.",
            extra={"epoch": era, "epoch_before": before},
        )
        self._on_restore()

    def _log_invalid(self, value: str) -> None:
        """Log a value that is not used, once while the store repeats it."""
        if value == self._logged_value:
            return
        self._logged_value = value
        _LOGGER.warning(
            "store: header is not used.",
            extra={
                "field": ERA_HEADER,
                "value": value[:100],
                "epoch": self.current,
            },
        )


def _header(response: Response) -> str | None:
    for name, value in response.headers:
        if name.lower() == ERA_HEADER.lower():
            return value
    return None


def _parse(value: str | None) -> int | None:
    """Return the era in a header; None if there is none or it is invalid."""
    if value is None or not (value.isascii() and value.isdigit()):
        return None
    # The length bounds the work for a value of many digits.
    era = int(value) if len(value) <= len(str(MAX_ERA)) else MAX_ERA + 1
    return era if era <= MAX_ERA else None
