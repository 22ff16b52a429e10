"""Slow start in a small fleet: how many connections one balancer may send to a server that has just started.

The settings say what a server in slow start bears from all balancers together. Each balancer takes its own part of that
as a token bucket, in connections of mean load. Too much of it overloads the server for good. Large fleets follow
`slow_start_slots`.
"""

from __future__ import annotations

from dataclasses import dataclass

from stoatgw.decisions.settings import Settings
from stoatgw.decisions.state.server_state import ServerState

USED_BUDGET_FRACTION = 0.5  # of the budget that the settings allow
NEW_GROUP_UNITS = 1.0  # what a server in slow start pays for a new group
SETUP_US = 80_000  # work of a set-up, and half as much again: servers fell at 22 to 47 a second, none at 12


@dataclass(frozen=True, slots=True)
class SlowStartBudget:
    """Connections that all balancers which fill a server may send to it."""

    per_us: float
    per_window: float
    balancers: int  # how many fill it


class SlowStartLimiter:
    """The settings' budget as one of their balancers follows it."""

    def __init__(self, settings: Settings) -> None:
        """Create a limiter."""
        self._settings = settings
        self._max_connection_units = 1.0 + NEW_GROUP_UNITS if settings.groups else 1.0

    def shares_budget(self, server: ServerState, load_per_connection: float | None, now_us: int) -> bool:
        """Return whether this balancer is one of those that share a server's budget."""
        budget = self.budget(server.warm_up_fraction(now_us, self._settings), load_per_connection)
        rank = (server.name_offset + self._settings.rank) % self._settings.balancers
        return rank < budget.balancers

    def budget(self, warm_up_fraction: float, load_per_connection: float | None) -> SlowStartBudget:
        """Return the budget of a server so far warmed up; the mean load is None while it is not known."""
        settings = self._settings
        per_us = 1.0 / max(1, settings.fall_us)
        if load_per_connection:
            work_us = SETUP_US + load_per_connection * settings.fall_us
            per_us = USED_BUDGET_FRACTION * settings.fall_multiple * warm_up_fraction / work_us
        # A part too small for one connection is no use: as many share it as get one in a window each.
        max_sharing = max(1, int(2 * per_us * settings.fall_us / self._max_connection_units))
        balancers = min(settings.balancers, max_sharing)
        return SlowStartBudget(per_us, per_window=per_us * settings.fall_us, balancers=balancers)

    def has_capacity(self, server: ServerState, units: float, load_per_connection: float | None, now_us: int) -> bool:
        """Refill a server's bucket; return whether a connection of so many load units may be sent to it.

        A heavy connection may take the bucket below zero.
        """
        warm_up_fraction = server.warm_up_fraction(now_us, self._settings)
        elapsed_us = now_us - server.slow_start_refilled_us
        budget = self.budget(warm_up_fraction, load_per_connection)
        server.slow_start_refilled_us = now_us
        max_credit = self._max_credit(budget)
        credit = server.slow_start_credit + elapsed_us * budget.per_us / budget.balancers
        server.slow_start_credit = min(max_credit, credit)
        is_affordable = server.slow_start_credit >= min(max_credit, max(1.0, units))
        return is_affordable and units <= max(max_credit, budget.per_window)

    def consume(self, server: ServerState, units: float) -> None:
        """Take a connection of so many load units from a server's bucket."""
        # One at least: setting up a light connection is work for a server in slow start as well.
        server.slow_start_credit -= max(1.0, units)

    def _max_credit(self, budget: SlowStartBudget) -> float:
        return max(self._max_connection_units, budget.per_window / budget.balancers)
