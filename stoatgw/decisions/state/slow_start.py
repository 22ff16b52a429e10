"""Slow start: how many connections one balancer may send to a server that has just started.

The settings say what a server in slow start bears from all balancers together. Each balancer takes its own part of that
as a token bucket, in connections of mean load. Too much of it overloads the server for good.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from stoatgw.decisions.events import Endpoint
from stoatgw.decisions.settings import Settings
from stoatgw.decisions.state.server_state import ServerState

USED_BUDGET_PART = 0.5  # of the budget that the settings allow
NEW_GROUP_UNITS = 1.0  # what a server in slow start pays for a new group
SETUP_US = 80_000  # work of a set-up, and half as much again: servers fell at 22 to 47 a second, none at 12
LARGE_FLEET_FACTOR = 1.3  # many balancers use so many times the part, by rank
# How long our rank's place among many is kept for a request of ours: those alive at once are little more than one
# budget, which a storm after a quiet time would send in one window. With 8 s the sum was over N + 2 * root of N + 2.
PLACE_LIFETIME_US = 2_000_000


@dataclass(frozen=True, slots=True)
class SlowStartBudget:
    """Connections that all balancers which fill a server may send to it."""

    per_us: float
    per_window: float
    balancers: int  # how many fill it


class SlowStartLimiter:
    """The settings' budget as one of their balancers follows it."""

    def __init__(self, settings: Settings, *, is_large_fleet: bool) -> None:
        """Create a limiter; in a large fleet all balancers fill each server, one after the other by rank."""
        self._settings = settings
        self._is_large_fleet = is_large_fleet
        self._max_connection_units = 1.0 + NEW_GROUP_UNITS if settings.groups else 1.0

    def create_server(self, endpoint: Endpoint, now_us: int) -> ServerState:
        """Return the state of a newly listed server, with this balancer's rank in its slow start."""
        balancers = self._settings.balancers
        rank = (random.Random(endpoint.name).randrange(1 << 30) + self._settings.rank) % balancers
        if not self._is_large_fleet:
            return ServerState(endpoint, slow_start_refilled_us=now_us, slow_start_rank=rank)
        # All count from its start, each from its own rank.
        return ServerState(
            endpoint,
            slow_start_refilled_us=endpoint.started_us,
            slow_start_rank=rank,
            slow_start_credit=rank / balancers,
        )

    def budget(self, warm_up_fraction: float, load_per_connection: float | None) -> SlowStartBudget:
        """Return the budget of a server so far warmed up; the mean load is None while it is not known."""
        settings = self._settings
        per_us = 1.0 / max(1, settings.fall_us)
        if load_per_connection:
            if self._is_large_fleet:
                work_us = load_per_connection * settings.cold_us
            else:
                work_us = SETUP_US + load_per_connection * settings.fall_us
            per_us = USED_BUDGET_PART * settings.fall_multiple * warm_up_fraction / work_us
        if self._is_large_fleet:
            per_us *= LARGE_FLEET_FACTOR
            return SlowStartBudget(per_us, per_window=per_us * settings.fall_us, balancers=settings.balancers)
        # A part too small for one connection is no use: as many share it as get one in a window each.
        sharing = max(1, int(2 * per_us * settings.fall_us / self._max_connection_units))
        balancers = min(settings.balancers, sharing)
        return SlowStartBudget(per_us, per_window=per_us * settings.fall_us, balancers=balancers)

    def has_capacity(self, server: ServerState, units: float, load_per_connection: float | None, now_us: int) -> bool:
        """Refill a server's bucket; return whether a connection of so many load units may be sent to it.

        A heavy connection may take the bucket below zero.
        """
        warm_up_fraction = server.warm_up_fraction(now_us, self._settings)
        elapsed_us = now_us - server.slow_start_refilled_us
        budget = self.budget(warm_up_fraction, load_per_connection)
        server.slow_start_refilled_us = now_us
        server.slow_start_credit = self._refill(server.slow_start_credit, budget, warm_up_fraction, elapsed_us)
        if self._is_large_fleet:
            return server.slow_start_credit >= 1.0
        max_credit = self._max_credit(budget)
        is_affordable = server.slow_start_credit >= min(max_credit, max(1.0, units))
        return is_affordable and units <= max(max_credit, budget.per_window)

    def _refill(self, credit: float, budget: SlowStartBudget, warm_up_fraction: float, elapsed_us: int) -> float:
        settings = self._settings
        own_per_us = budget.per_us / budget.balancers
        if not self._is_large_fleet:
            return min(self._max_credit(budget), credit + elapsed_us * own_per_us)
        # The one of 40 whose turn it was saw a request in seconds: new servers stayed empty. All count
        # from its start, each from its own place by rank: one after the other sends one.
        slope = (1.0 - settings.cold_from) * elapsed_us / settings.cold_us
        credit += max(0.0, 1.0 - slope / 2 / warm_up_fraction) * own_per_us * elapsed_us
        max_credit = 1.0 + PLACE_LIFETIME_US * own_per_us  # beyond it the place has lapsed
        return credit % 1.0 if credit > max_credit else min(credit, 1.0 + credit % 1.0)

    def _max_credit(self, budget: SlowStartBudget) -> float:
        return max(self._max_connection_units, budget.per_window / budget.balancers)
