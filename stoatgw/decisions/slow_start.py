"""What a just-started server may be sent by one balancer: a token bucket beside those of its peers.

Pure. The settings say what a cold server bears by all balancers together; each takes its own part of that. A server is
sent no more than its bucket holds, in connections of mean load. What is too much pushes it over for good.
"""

from __future__ import annotations

from dataclasses import dataclass

from stoatgw.decisions.interface import Settings

CAUTION, GROUP = 0.5, 1.0  # used part of the budget; what a cold server pays for a new group
SETUP_US = 80_000  # work of a set-up, and half as much again: servers fell at 22 to 47 a second, none at 12
MANY = 1.3  # many balancers use so many times the part, in a round
# So long our place among many waits for a request of ours: those alive at once are little more than one budget, which
# a storm after a quiet time would send in one window. With 8 s the sum was over N + 2 * root of N + 2.
SPAN_US = 2_000_000


@dataclass(frozen=True, slots=True)
class SlowStartBudget:
    """Connections for all who fill it: each microsecond, in a window; and how many fill it."""

    gain: float
    window: float
    owners: int


class SlowStartLimiter:
    """The settings' rule as one of their balancers follows it; `many`: the balancers fill each server in a round."""

    def __init__(self, settings: Settings, *, many: bool) -> None:
        self._settings, self._many = settings, many

    def budget(self, share: float, rate: float | None) -> SlowStartBudget:
        """At that share of a server's capacity; `rate`: mean load of a connection, None while it is not known."""
        settings = self._settings
        gain = 1.0 / max(1, settings.fall_us)
        if rate:
            work_us = rate * settings.cold_us if self._many else SETUP_US + rate * settings.fall_us
            gain = CAUTION * settings.fall_multiple * share / work_us
        if self._many:
            return SlowStartBudget(gain * MANY, gain * MANY * settings.fall_us, settings.balancers)
        # A part too small for one connection is no use: as many share it as get one in a window each.
        owners = max(1, int(2 * gain * settings.fall_us / (1.0 + GROUP * settings.groups)))
        return SlowStartBudget(gain, gain * settings.fall_us, min(settings.balancers, owners))

    def refilled(self, credit: float, budget: SlowStartBudget, share: float, since_us: int) -> float:
        """The bucket after that time."""
        settings, each = self._settings, budget.gain / budget.owners
        if not self._many:
            return min(self._most(budget), credit + since_us * each)
        # The one of 40 whose turn it was saw a request in seconds: new servers stayed empty. All count
        # from its start, each from its own place in the round: one after the other sends one.
        slope_us = (1.0 - settings.cold_from) * since_us / settings.cold_us
        credit += max(0.0, 1.0 - slope_us / 2 / share) * each * since_us
        most = 1.0 + SPAN_US * each  # beyond it the place has lapsed
        return credit % 1.0 if credit > most else min(credit, 1.0 + credit % 1.0)

    def has_room(self, credit: float, budget: SlowStartBudget, units: float) -> bool:
        """Whether a connection of so many units may be sent; a heavy one may take the bucket below zero."""
        if self._many:
            return credit >= 1.0
        most = self._most(budget)
        return credit >= min(most, max(1.0, units)) and units <= max(most, budget.window)

    def _most(self, budget: SlowStartBudget) -> float:
        return max(1.0 + GROUP * self._settings.groups, budget.window / budget.owners)
