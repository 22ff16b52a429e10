"""The rules, their limits, and the violations that the checker reports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from stoatgw.emulator.world.warm_up import MIN_WARM_UP_EXCESS_UNITS


class Rule(StrEnum):
    """The rules that a proxy must follow; the values appear in stored results."""

    SINGLE_ANSWER = "one final answer"
    ANSWER_IN_TIME = "an answer in time"
    SINGLE_ATTEMPT = "never two attempts out"
    NO_SEND_TO_DRAINING = "nothing new to a leaving server"
    SLOW_START_BUDGET = "cold servers within their budget"
    NO_BROKEN_SESSION = "no standing connection cut"
    NO_LEAKED_REQUEST = "no req held or lost"
    NO_PROGRAM_FAULT = "no fault inside the program"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule, with the proxy, the request and the server; `time_us` is relative to the start of the run."""

    rule: Rule
    time_us: int
    proxy: str
    request_id: str
    server: str
    reason: str

    def __str__(self) -> str:
        names = " ".join(name for name in (self.proxy, self.request_id, self.server) if name)
        return f"{self.time_us / 1e6:.6f} s {names}: {self.rule.value}: {self.reason}"


def default_excess_units(budget_units: float) -> float:
    """Return the tolerance over a slow-start budget for random variation, in load units; the same for any budget."""
    return MIN_WARM_UP_EXCESS_UNITS


@dataclass(frozen=True, slots=True)
class CheckerLimits:
    """The limits of the rules.

    Attributes:
        drain_grace_us: How long a proxy may still send to a server after it was notified of the server's drain.
        slow_start_multiple: Allowed rate, as a multiple of the rate that would fill the server's current capacity
            within its warm-up time.
        slow_start_window_us: The window in which sends are counted.
        allowed_excess_units: Returns the tolerance over a budget, both in load units.
        answer_grace_us: How long after the deadline an answer is still in time.
    """

    drain_grace_us: int
    slow_start_multiple: float
    slow_start_window_us: int
    allowed_excess_units: Callable[[float], float] = default_excess_units
    answer_grace_us: int = 50_000
