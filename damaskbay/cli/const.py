"""Sub-command names and exit codes of the command line."""

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
"""Modules of damaskbay.cli, one for each sub-command, in the order of the help."""

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_INVALID: Final = 3
EXIT_CONFLICT: Final = 4
EXIT_UNKNOWN: Final = 5
"""The platform's reply was lost and the outcome could not be read."""
EXIT_UNAVAILABLE: Final = 6
