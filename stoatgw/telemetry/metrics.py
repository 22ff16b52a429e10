"""The metrics that operators read at the management address."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum


class RequestOutcome(Enum):
    """How a request was answered; the values are part of the metrics' names."""

    SUCCESS = "success"  # UP
    OVERLOAD = "overload"  # BUSY
    ERROR = "error"  # any other line


class RequestMetrics:
    """Counts the final answers to clients, the dispatches and the open requests, all in the event loop's thread.

    Attributes:
        dispatches: Attempts whose line was written completely to a session server.
        open_requests: Requests received whose connection has not ended.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        """Create the metrics of the request classes with these names, all 0.

        Every class is reported from the first reading on, so that a reader need not treat a missing line as 0.
        """
        self._answers = {outcome: dict.fromkeys(classes, 0) for outcome in RequestOutcome}
        self.dispatches = 0
        self.open_requests = 0

    def record_outcome(self, class_name: str, outcome: RequestOutcome) -> None:
        """Count a final answer, unless its request class is not in the settings."""
        if class_name in self._answers[outcome]:
            self._answers[outcome][class_name] += 1

    def render(self, targets: int, disabled: int) -> str:
        """Return a line for each metric: counters (`|c`) since the start of the process, and gauges (`|g`).

        Args:
            targets: Number of session servers in the endpoint list.
            disabled: Number of them that the proxy avoids now.
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
