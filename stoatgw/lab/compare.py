"""Two sets of runs on the same seeds: the mean difference of each figure, with a bootstrap interval."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import numpy as np

from stoatgw.lab.errors import LabError
from stoatgw.lab.experiment import read_manifest, read_results
from stoatgw.lab.runner import Result
from stoatgw.lab.tables import Value, metrics

RESAMPLES, LEVEL = 10_000, 0.95


@dataclass(frozen=True, slots=True)
class Row:
    """One figure: its mean in A and B, and B less A with the interval's ends."""

    name: str
    mean_a: float
    mean_b: float
    difference: float
    low: float
    high: float
    seeds: int

    @property
    def sure(self) -> bool:
        """Whether the interval leaves out zero."""
        return self.low > 0.0 or self.high < 0.0

    def record(self) -> dict[str, Value]:
        return {
            "figure": self.name,
            "a": round(self.mean_a, 6),
            "b": round(self.mean_b, 6),
            "difference": round(self.difference, 6),
            "low": round(self.low, 6),
            "high": round(self.high, 6),
            "seeds": self.seeds,
        }


def interval(values: np.ndarray) -> tuple[float, float]:
    """The bootstrap interval of a mean (percentiles), from a fixed stream: the same for the same values."""
    if len(values) < 2:
        return float("-inf"), float("inf")
    draws = np.random.Generator(np.random.PCG64(0)).integers(0, len(values), (RESAMPLES, len(values)))
    low, high = np.percentile(values[draws].mean(axis=1), [50 * (1 - LEVEL), 50 * (1 + LEVEL)])
    return float(low), float(high)


def compare(a: list[Result], b: list[Result]) -> list[Row]:
    """Pair by seed. Void runs do not count."""
    mine = {result.seed: metrics(result) for result in a if not result.void}
    theirs = {result.seed: metrics(result) for result in b if not result.void}
    seeds = sorted(mine.keys() & theirs.keys())
    if not seeds:
        raise LabError("no seed was played on both sides")
    rows = []
    for name in mine[seeds[0]]:
        left = np.array([mine[seed][name] for seed in seeds])
        right = np.array([theirs[seed][name] for seed in seeds])
        low, high = interval(right - left)
        rows.append(Row(name, left.mean(), right.mean(), (right - left).mean(), low, high, len(seeds)))
    return rows


def compare_folders(dir_a: Path, policy_a: str, dir_b: Path, policy_b: str) -> list[Row]:
    chosen = []
    for folder, policy in ((dir_a, policy_a), (dir_b, policy_b)):
        if policy not in read_manifest(folder).policies:
            raise LabError(f"{folder}: policy {policy} was not run there")
        chosen.append([result for result in read_results(folder) if result.policy == policy])
    return compare(chosen[0], chosen[1])
