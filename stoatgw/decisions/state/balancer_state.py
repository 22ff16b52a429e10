"""Counters of one balancer's own connections, set-ups and health checks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

PERIOD_US = 1_000_000  # length of a period of the counters and of the lookback
ARRIVALS_SMOOTHING = 0.2  # weight of the last period in the mean
MIN_LOAD_UNITS = 0.2  # plausible range of one connection's load, in mean connections
MAX_LOAD_UNITS = 8.0
MIN_SETUP_WINDOW = 2.0
MAX_SETUP_WINDOW = 200.0
SETUP_WINDOW_DECREASE = 0.7  # a failed set-up multiplies the window by this
SETUP_WINDOW_INCREASE = 1.0  # an established connection adds this


@dataclass(slots=True)
class BalancerState:
    """The counters of one balancer."""

    health_check_credit: float  # number of health checks that may be sent now
    setup_window: float = MAX_SETUP_WINDOW  # number of set-ups that may be in flight
    setups_in_flight: int = 0
    rejected_priority: float = 0.0  # highest recently rejected priority weight; it decays
    connection_share: float = 0.0  # this balancer's fraction of all connections, and so of a tenant's quota
    period_arrivals: int = 0  # requests in this period, without repeats by clients
    mean_arrivals: float = 0.0  # smoothed mean of `period_arrivals`
    placed_this_period: float = 0.0  # load units placed minus load units ended
    placed_last_period: float = 0.0
    tenant_connections: Counter[int] = field(default_factory=Counter)
    hint_sum_us: float = 0.0  # sum of the hints received, each limited to the plausible range
    hint_count: float = 0.0

    def load_units(self, hint_us: float) -> float:
        """Return a hint relative to the mean hint, and add it to the mean; implausible hints are limited in both."""
        mean_us = self.hint_sum_us / self.hint_count if self.hint_count else hint_us
        units = min(MAX_LOAD_UNITS, max(MIN_LOAD_UNITS, hint_us / mean_us))
        self.hint_sum_us += units * mean_us
        self.hint_count += 1
        return units

    def begin_period(self) -> None:
        """Add the counters of the period that has ended to the means."""
        weight = ARRIVALS_SMOOTHING if self.mean_arrivals else 1.0
        self.mean_arrivals += (self.period_arrivals - self.mean_arrivals) * weight
        self.period_arrivals = 0
        self.placed_last_period = self.placed_this_period
        self.placed_this_period = 0.0

    def widen_setup_window(self) -> None:
        """Allow one more set-up in flight: a connection has been established."""
        self.setup_window = min(MAX_SETUP_WINDOW, self.setup_window + SETUP_WINDOW_INCREASE)

    def narrow_setup_window(self) -> None:
        """Allow fewer set-ups than are in flight: a set-up has failed."""
        self.setup_window = min(self.setup_window, self.setups_in_flight + 1.0)
        self.setup_window = max(MIN_SETUP_WINDOW, self.setup_window * SETUP_WINDOW_DECREASE)

    def record_rejected_priority(self, priority_weight: float) -> None:
        """Record the priority weight of a request that is rejected."""
        self.rejected_priority = max(self.rejected_priority, priority_weight)
