"""The metrics that operators read at the second address."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum


class RequestOutcome(Enum):
    """How a request was answered; the values are part of the metrics' names."""

    SUCCESS = "success"  # UP
    OVERLOAD = "overload"  # BUSY
    ERROR = "error"  # any other line


class RequestMetrics:
    """Counts the final answers to clients and what is in flight; written and read in the event loop's thread.

    Attributes:
        dispatches: Attempts whose line was written completely to a session server.
        open_requests: Requests received whose connection has not ended.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        """Makes metrics for the request classes of these names, all 0.

        Every class is there from the first reading on: 0 is a value, a missing line is none.
        """
        self._answers = {outcome: dict.fromkeys(classes, 0) for outcome in RequestOutcome}
        self.dispatches = 0
        self.open_requests = 0

    def record_outcome(self, class_name: str, outcome: RequestOutcome) -> None:
        """Counts a final answer; one to a class that the settings do not name is not counted."""
        if class_name in self._answers[outcome]:
            self._answers[outcome][class_name] += 1

    def render(self, targets: int, disabled: int) -> str:
        """Returns a line for each metric: counters (`|c`) since the process began, and gauges (`|g`).

        Args:
            targets: How many session servers are listed.
            disabled: How many of them the proxy avoids now.
        """
        lines = [
            f"proxy.{outcome.value}.{class_name}:{count}|c"
            for outcome, counts in self._answers.items()
            for class_name, count in counts.items()
        ]
        lines += [
            f"proxy.dispatches:{self.dispatches}|c",
            f"proxy.concurrent:{self.open_requests}|g",
            f"proxy.targets:{targets}|g",
            f"proxy.targets_disabled:{disabled}|g",
        ]
        return "\n".join(lines) + "\n"
