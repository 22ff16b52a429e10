"""Slow start: how much load may be sent to a server that is warming up before it collapses."""

from __future__ import annotations

from collections import deque

from stoatgw.decisions.slow_start_budget import allowed_units
from stoatgw.emulator.world.scenario import PolicySettings
from stoatgw.emulator.world.server_properties import ServerProperties

MIN_WARM_UP_EXCESS_UNITS = 3.0  # tolerance over the budget, for random variation


def warm_up_fraction(age_us: int, initial_fraction: float, warm_up_us: int) -> float:
    """Return the fraction of its capacity that a server has at an age; it rises linearly to 1."""
    return initial_fraction + (1.0 - initial_fraction) * age_us / warm_up_us


class WarmUpBudget:
    """Counts the load units sent to one server within the window of the slow-start rule."""

    def __init__(self, properties: ServerProperties, policy_settings: PolicySettings) -> None:
        self._properties = properties
        self._policy_settings = policy_settings
        self._recent_sends: deque[tuple[int, float]] = deque()  # time (us) and expected load units
        self._window_us = round(policy_settings.fall_ms * 1000)

    def max_units(self, fraction: float) -> float:
        """Return the load units that may be sent in a window at a warm-up fraction."""
        budget = allowed_units(
            fall_multiple=self._policy_settings.fall_multiple,
            warm_up_fraction=fraction,
            capacity_units=self._properties.capacity_units,
            window_us=self._window_us,
            warm_up_us=self._properties.warm_up_us,
        )
        return budget + MIN_WARM_UP_EXCESS_UNITS

    def spent_units(self, now_us: int) -> float:
        """Return the load units sent within the window that ends now."""
        return sum(units for time_us, units in self._recent_sends if time_us > now_us - self._window_us)

    def is_exceeded_by(self, now_us: int, units: float, fraction: float) -> bool:
        """Count `units` as sent now, and return whether the budget of the window is exceeded."""
        sends = self._recent_sends
        sends.append((now_us, units))
        while sends[0][0] <= now_us - self._window_us:
            sends.popleft()
        return sum(each for _, each in sends) > self.max_units(fraction)

    def reset(self) -> None:
        """Discard all counted sends."""
        self._recent_sends.clear()
