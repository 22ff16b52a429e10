"""Counters of what the proxy receives, sends and answers."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counters by name, from 0 at the start of the process.

    A counter's name is written where it is counted, and nowhere else: the counted thing in the plural, then what
    became of it, which may be the value of an enum: `requests_rejected`, `attempts_shed`. All counters in use are
    fields of the log events `counters_reported`, on SIGUSR1, and `proxy_stopped`.
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Adds to a counter; its first use creates it."""
        self._counts[name] += count

    def __getitem__(self, name: str) -> int:
        """Returns a counter; 0 if it was never added to."""
        return self._counts[name]

    def all(self) -> dict[str, int]:
        """Returns the counters in use, in the order of their names."""
        return dict(sorted(self._counts.items()))
