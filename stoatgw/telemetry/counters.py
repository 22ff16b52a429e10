"""Counters of what the proxy receives, sends and answers."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counters by name; each starts at 0 when the process starts.

    A counter's name appears only where it is incremented. It consists of the counted items in the plural and their
    outcome, which may be the value of an enum: `requests_rejected`, `attempts_shed`. All counters in use are fields of
    the log events `counters_reported`, on SIGUSR1, and `proxy_stopped`.
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Add to a counter; the first use of a name creates it."""
        self._counts[name] += count

    def __getitem__(self, name: str) -> int:
        """Return a counter's value; 0 if it was never added to."""
        return self._counts[name]

    def all(self) -> dict[str, int]:
        """Return the counters in use, sorted by name."""
        return dict(sorted(self._counts.items()))
