"""Sizes and times of the counting of rate and burst."""

from typing import Final

MILLIS: Final = 1000
"""Thousandths of a token in one token; ledgers count in whole thousandths."""
