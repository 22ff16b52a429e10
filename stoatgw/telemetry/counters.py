"""Counts of what the proxy takes in, sends and answers."""

from __future__ import annotations

from collections import Counter


class Counters:
    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        self._counts[name] += count

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def all(self) -> dict[str, int]:
        return dict(sorted(self._counts.items()))
