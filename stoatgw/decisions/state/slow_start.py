"""Slow start with few balancers: how many connections one balancer may send to a server that has just started.

The settings limit what all balancers together may send to a server in slow start. Each balancer enforces its share of
that budget with a token bucket, in connections of mean load. A server that is sent more collapses and does not recover.
With many balancers, `slow_start_slots` is used instead.
"""

from __future__ import annotations

from dataclasses import dataclass

from stoatgw.decisions.settings import Settings
from stoatgw.decisions.state.server_state import ServerState

USED_BUDGET_FRACTION = 0.5  # fraction of the budget in the settings that is used
NEW_GROUP_UNITS = 1.0  # extra load units of the first connection of a group on a server in slow start
# Work of a set-up plus 50 %: servers collapsed at 22 to 47 set-ups per second, none at 12.
SETUP_US = 80_000


@dataclass(frozen=True, slots=True)
class SlowStartBudget:
    """Connections that the balancers which share a server's budget may send to it.

    Attributes:
        per_us: Connections per microsecond.
        per_window: Connections per window of `Settings.fall_us`.
        balancers: Number of balancers that share the budget.
    """

    per_us: float
    per_window: float
    balancers: int


class SlowStartLimiter:
    """Enforces one balancer's share of the slow-start budgets."""

    def __init__(self, settings: Settings) -> None:
        """Create a limiter."""
        self._settings = settings
        self._max_connection_units = 1.0 + NEW_GROUP_UNITS if settings.groups else 1.0

    def shares_budget(self, server: ServerState, load_per_connection: float | None, now_us: int) -> bool:
        """Return whether this balancer is one of those that share the server's budget."""
        budget = self.budget(server.warm_up_fraction(now_us, self._settings), load_per_connection)
        rank = (server.name_offset + self._settings.rank) % self._settings.balancers
        return rank < budget.balancers

    def budget(self, warm_up_fraction: float, load_per_connection: float | None) -> SlowStartBudget:
        """Return the budget at a warm-up fraction; `load_per_connection` is None while it is not known."""
        settings = self._settings
        per_us = 1.0 / max(1, settings.fall_us)
        if load_per_connection:
            work_us = SETUP_US + load_per_connection * settings.fall_us
            per_us = USED_BUDGET_FRACTION * settings.fall_multiple * warm_up_fraction / work_us
        # A share too small for one connection would go unused: only as many balancers share the budget as can each send
        # a connection within two windows.
        max_sharing = max(1, int(2 * per_us * settings.fall_us / self._max_connection_units))
        balancers = min(settings.balancers, max_sharing)
        return SlowStartBudget(per_us, per_window=per_us * settings.fall_us, balancers=balancers)

    def has_capacity(self, server: ServerState, units: float, load_per_connection: float | None, now_us: int) -> bool:
        """Refill a server's bucket; return whether a connection of `units` load units may be sent to it.

        The credit may become negative when a heavy connection is sent.
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
        """Consume the credit for a connection of `units` load units from a server's bucket."""
        # At least one unit: the set-up of a light connection is work for a server in slow start as well.
        server.slow_start_credit -= max(1.0, units)

    def _max_credit(self, budget: SlowStartBudget) -> float:
        return max(self._max_connection_units, budget.per_window / budget.balancers)
