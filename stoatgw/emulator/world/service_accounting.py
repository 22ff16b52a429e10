"""Service: the worth of well-served connection seconds over the worth asked for, by second and class."""

from __future__ import annotations

import numpy as np

WINDOW_S = 10
PENALTY_RATES = {"cross_zone": 0.1, "waste": 0.2, "probe": 0.004, "moves": 0.01, "late_fail": 0.08}
SHARE_WEIGHTS = {"whole": 0.55, "worst_window": 0.15, "worst_class": 0.3}


class ServiceAccounting:
    """Earned and asked worth in buckets of a second."""

    def __init__(self, start_us: int, length_s: float, worths: tuple[float, ...]) -> None:
        self._start_us, self._worths = start_us, worths
        self._seconds = int(np.ceil(length_s))
        self._length_us = int(length_s * 1e6)
        self._earned = [[0.0] * self._seconds for _ in worths]
        self.demanded_weight = np.zeros((len(worths), self._seconds))

    def start_at(self, start_us: int) -> None:
        """The run's first moment; nothing was booked yet."""
        self._start_us = start_us

    def record_service(self, from_us: int, to_us: int, profile: int, connections: float, share: float) -> None:
        """So many connections of a class were served for a time; `share` of their messages in time."""
        if connections <= 0 or share <= 0.0:
            return
        worth, earned = connections * share * self._worths[profile], self._earned[profile]
        at = max(0, from_us - self._start_us)
        end = min(to_us - self._start_us, self._length_us)
        while at < end:
            second = at // 1_000_000
            until = min(end, (second + 1) * 1_000_000)
            earned[second] += worth * (until - at) / 1e6
            at = until

    def record_demand(self, profiles: np.ndarray, from_us: np.ndarray, to_us: np.ndarray) -> None:
        """What clients want: arrays of class, begin and end (us of the run's clock)."""
        edges = np.arange(self._seconds + 1) * 1_000_000
        for profile, worth in enumerate(self._worths):
            mine = profiles == profile
            begin = np.clip(from_us[mine] - self._start_us, 0, self._length_us)
            end = np.clip(to_us[mine] - self._start_us, 0, self._length_us)
            # Seconds wanted up to each edge, summed over clients: differences give each bucket.
            upto = [(np.clip(edge, begin, end) - begin).sum() / 1e6 for edge in edges]
            self.demanded_weight[profile] += worth * np.diff(upto)

    @property
    def earned_weight(self) -> np.ndarray:
        return np.array(self._earned)

    def service_shares(self) -> dict[str, float]:
        """Shares from 0 to 1: `whole`, `worst_window` (10 s), `worst_class`, and each class by number."""
        earned, asked = self.earned_weight, self.demanded_weight
        result = {"whole": _share(earned.sum(), asked.sum())}
        windows = range(max(1, self._seconds - WINDOW_S + 1))
        result["worst_window"] = min(
            _share(earned[:, at : at + WINDOW_S].sum(), asked[:, at : at + WINDOW_S].sum()) for at in windows
        )
        classes = [_share(earned[each].sum(), asked[each].sum()) for each in range(len(self._worths))]
        result["worst_class"] = min(classes)
        return result | {f"class_{number}": share for number, share in enumerate(classes)}


def compute_goal(service: dict[str, float], shares: dict[str, float]) -> float:
    """The operators' figure: weighted service less the prices; `shares` has what is priced, from 0 up."""
    total = sum(SHARE_WEIGHTS[name] * service[name] for name in SHARE_WEIGHTS)
    return total - sum(price * min(1.0, shares.get(name, 0.0)) for name, price in PENALTY_RATES.items())


def _share(earned: float, asked: float) -> float:
    return float(min(1.0, earned / asked)) if asked > 0 else 1.0
