"""Names and exit codes of the command line."""

from typing import Final

COMMANDS: Final[tuple[str, ...]] = (
    "daemon",
    "check",
    "publish",
    "show",
    "diff",
    "history",
    "keys",
    "status",
    "explain",
    "trace",
    "backend",
    "platform",
)
"""Modules of damaskbay.cli, one per sub-command, in the order of the help."""

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_INVALID: Final = 3
EXIT_CONFLICT: Final = 4
EXIT_UNKNOWN: Final = 5
"""The platform's answer was lost and could not be read back."""
EXIT_UNAVAILABLE: Final = 6
