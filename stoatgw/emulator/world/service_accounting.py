"""Computes service: earned divided by demanded priority weight, by second and class.

A client demands its class's weight in each second from its arrival to its departure. A session earns it, multiplied by
the fraction of its messages that meet the latency objective.
"""

from __future__ import annotations

import numpy as np

WINDOW_S = 10
PENALTY_RATES = {"cross_zone": 0.1, "waste": 0.2, "probe": 0.004, "moves": 0.01, "late_fail": 0.08}
SHARE_WEIGHTS = {"whole": 0.55, "worst_window": 0.15, "worst_class": 0.3}
US_PER_S = 1_000_000


class ServiceAccounting:
    """Sums demanded and earned priority weight, by class and second.

    Attributes:
        demanded_weight: Demanded weight by class and second.
    """

    def __init__(self, start_us: int, length_s: float, priority_weights: tuple[float, ...]) -> None:
        self._start_us = start_us
        self._priority_weights = priority_weights
        self._seconds = int(np.ceil(length_s))
        self._length_us = int(length_s * 1e6)
        self._earned = [[0.0] * self._seconds for _ in priority_weights]
        self.demanded_weight = np.zeros((len(priority_weights), self._seconds))

    def start_at(self, start_us: int) -> None:
        """Set the start of the run; must be called before anything is recorded."""
        self._start_us = start_us

    def record_service(
        self, from_us: int, to_us: int, request_class: int, connections: float, on_time_share: float
    ) -> None:
        """Record that connections of a class were served, with a share of their messages on time."""
        if connections <= 0 or on_time_share <= 0.0:
            return
        weight = connections * on_time_share * self._priority_weights[request_class]
        earned = self._earned[request_class]
        position_us = max(0, from_us - self._start_us)
        end_us = min(to_us - self._start_us, self._length_us)
        while position_us < end_us:
            second = position_us // US_PER_S
            bucket_end_us = min(end_us, (second + 1) * US_PER_S)
            earned[second] += weight * (bucket_end_us - position_us) / 1e6
            position_us = bucket_end_us

    def record_demand(self, request_classes: np.ndarray, from_us: np.ndarray, to_us: np.ndarray) -> None:
        """Record the demanded sessions as arrays of class, begin and end (us of the run's clock)."""
        edges_us = np.arange(self._seconds + 1) * US_PER_S
        for request_class, weight in enumerate(self._priority_weights):
            selected = request_classes == request_class
            begin_us = np.clip(from_us[selected] - self._start_us, 0, self._length_us)
            end_us = np.clip(to_us[selected] - self._start_us, 0, self._length_us)
            # Demanded seconds up to each edge, summed over clients; their differences are the buckets.
            seconds_before = [(np.clip(edge_us, begin_us, end_us) - begin_us).sum() / 1e6 for edge_us in edges_us]
            self.demanded_weight[request_class] += weight * np.diff(seconds_before)

    @property
    def earned_weight(self) -> np.ndarray:
        """Earned weight by class and second."""
        return np.array(self._earned)

    def service_shares(self) -> dict[str, float]:
        """Return the service of the run, of the worst 10 s, of the worst class and of each class, from 0 to 1.

        The keys are `whole`, `worst_window`, `worst_class` and `class_N`.
        """
        earned = self.earned_weight
        demanded = self.demanded_weight
        windows = [slice(first, first + WINDOW_S) for first in range(max(1, self._seconds - WINDOW_S + 1))]
        by_class = [_share(earned[each].sum(), demanded[each].sum()) for each in range(len(self._priority_weights))]
        shares = {
            "whole": _share(earned.sum(), demanded.sum()),
            "worst_window": min(_share(earned[:, span].sum(), demanded[:, span].sum()) for span in windows),
            "worst_class": min(by_class),
        }
        return shares | {f"class_{number}": share for number, share in enumerate(by_class)}


def compute_goal(service_shares: dict[str, float], penalized_shares: dict[str, float]) -> float:
    """Return the operators' objective: weighted service minus penalties; `penalized_shares` are capped at 1."""
    total = sum(SHARE_WEIGHTS[name] * service_shares[name] for name in SHARE_WEIGHTS)
    return total - sum(rate * min(1.0, penalized_shares.get(name, 0.0)) for name, rate in PENALTY_RATES.items())


def _share(earned: float, demanded: float) -> float:
    return float(min(1.0, earned / demanded)) if demanded > 0 else 1.0
