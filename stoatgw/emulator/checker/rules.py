"""The rules, their limits, and what a broken one looks like."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from stoatgw.emulator.world.warm_up import MIN_WARM_UP_EXCESS_UNITS


class Rule(StrEnum):
    """What a proxy promises; the values are those of the stored results."""

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
    """A broken rule: which, when (us from the run's start), and by whom."""

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
    """Load units over a slow-start budget that may be due to chance, whatever the budget."""
    return MIN_WARM_UP_EXCESS_UNITS


@dataclass(frozen=True, slots=True)
class CheckerLimits:
    """What the rules are measured by."""

    drain_grace_us: int
    slow_start_multiple: float  # of the even rate at which a server could warm up
    slow_start_window_us: int
    allowed_excess_units: Callable[[float], float] = default_excess_units  # of a budget in load units
    answer_grace_us: int = 50_000  # after the deadline
