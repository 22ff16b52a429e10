"""The slow-start budget: how many connections the settings allow a server that is warming up within a window."""

from __future__ import annotations

MIN_EXCESS_UNITS = 3.0  # load units by which any budget may be exceeded without harm to the server
LARGE_BUDGET_UNITS = 30.0  # budgets from this size on tolerate less in proportion


def tolerated_excess_units(budget: float) -> float:
    """Return by how many connections of mean load a budget may be exceeded before the server collapses."""
    if budget < LARGE_BUDGET_UNITS:
        return 3.0 * float(budget**0.5) + MIN_EXCESS_UNITS
    return 2.0 * float(budget**0.5) + 2.0


def allowed_units(
    *, fall_multiple: float, warm_up_fraction: float, capacity_units: float, window_us: int, warm_up_us: int
) -> float:
    """Return the budget of all balancers together for a window, in connections of mean load.

    A server in slow start can take new connections no faster than fills it evenly over its warm-up.

    Args:
        fall_multiple: The multiple of that rate at which the server collapses.
        warm_up_fraction: The fraction of its full capacity that the server has now.
        capacity_units: The connections of mean load that fill the warm server.
        window_us: Length of the window (microseconds).
        warm_up_us: Length of the warm-up (microseconds).
    """
    fill_units = capacity_units * window_us / max(1, warm_up_us)
    return fall_multiple * warm_up_fraction * fill_units
