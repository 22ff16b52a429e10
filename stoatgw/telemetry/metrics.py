"""The figures that operators read: each counted once, where it happens, and read without waiting on anything.

`proxy.success.C`, `overload` and `error` are the final answers to clients of class C: UP, BUSY, any other line.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum


class RequestOutcome(Enum):
    """How a request was answered."""

    SUCCESS = "success"
    OVERLOAD = "overload"
    ERROR = "error"


class RequestMetrics:
    def __init__(self, classes: Iterable[str]) -> None:
        # Every class from the first reading on: 0 is a figure, a missing line is none.
        self._answers = {verdict: dict.fromkeys(classes, 0) for verdict in RequestOutcome}
        self.dispatches = 0  # attempts written whole to session servers
        self.open_requests = 0  # requests taken whose connection has not ended

    def record_outcome(self, name: str, verdict: RequestOutcome) -> None:
        if name in self._answers[verdict]:
            self._answers[verdict][name] += 1

    def render(self, targets: int, disabled: int) -> str:
        """One line a figure: counts (|c) since this process began, and what is now (|g)."""
        lines = [
            f"proxy.{verdict.value}.{name}:{count}|c"
            for verdict, counts in self._answers.items()
            for name, count in counts.items()
        ]
        lines += [
            f"proxy.dispatches:{self.dispatches}|c",
            f"proxy.concurrent:{self.open_requests}|g",
            f"proxy.targets:{targets}|g",
            f"proxy.targets_disabled:{disabled}|g",
        ]
        return "\n".join(lines) + "\n"
