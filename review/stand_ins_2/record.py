"""The record of a case: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Lines with the seconds since the start, written to a file at the end."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began_at = time.monotonic()
        self._lines: list[str] = []

    def add(self, line: str) -> None:
        """Add a line."""
        self._lines.append(f"{time.monotonic() - self._began_at:8.3f} {line}")

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")
