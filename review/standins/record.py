"""The record of a run: one line for everything that was sent, answered and run, with the seconds since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes `record.txt`; all times in it are seconds of the run's clock."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self._start

    def write(self, text: str) -> float:
        """Write a line; return its time."""
        now = self.now()
        self._file.write(f"{now:8.3f} {text}\n")
        self._file.flush()
        return now
