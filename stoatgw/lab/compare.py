"""Comparison of two sets of runs on the same seeds: mean difference of each metric, with a bootstrap interval."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import numpy as np

from stoatgw.lab.errors import LabError
from stoatgw.lab.manifest import read_manifest
from stoatgw.lab.result import Result
from stoatgw.lab.run_task import read_results
from stoatgw.lab.tables import Value, metrics

RESAMPLES = 10_000
CONFIDENCE = 0.95


@dataclass(frozen=True, slots=True)
class Difference:
    """One metric: its mean in A and in B, and the difference B minus A with its confidence interval."""

    name: str
    mean_a: float
    mean_b: float
    difference: float
    low: float
    high: float
    seeds: int

    @property
    def is_significant(self) -> bool:
        """Whether the confidence interval excludes zero."""
        return self.low > 0.0 or self.high < 0.0

    def as_row(self) -> dict[str, Value]:
        """Return the table row."""
        return {
            "figure": self.name,
            "a": round(self.mean_a, 6),
            "b": round(self.mean_b, 6),
            "difference": round(self.difference, 6),
            "low": round(self.low, 6),
            "high": round(self.high, 6),
            "seeds": self.seeds,
        }


def confidence_interval(values: np.ndarray) -> tuple[float, float]:
    """Return the percentile bootstrap interval of a mean; a fixed random seed makes it the same for the same values."""
    if len(values) < 2:
        return float("-inf"), float("inf")
    draws = np.random.Generator(np.random.PCG64(0)).integers(0, len(values), (RESAMPLES, len(values)))
    low, high = np.percentile(values[draws].mean(axis=1), [50 * (1 - CONFIDENCE), 50 * (1 + CONFIDENCE)])
    return float(low), float(high)


def format_mean(values: np.ndarray) -> str:
    """Format a mean, with its confidence interval if there are at least two values."""
    if len(values) < 2:
        return f"{values.mean():.3f}"
    low, high = confidence_interval(values)
    return f"{values.mean():.3f} [{low:.3f}, {high:.3f}]"


def compare(results_a: list[Result], results_b: list[Result]) -> list[Difference]:
    """Compare results paired by seed, without void runs.

    Raises:
        LabError: No seed was run on both sides.
    """
    metrics_a = _metrics_by_seed(results_a)
    metrics_b = _metrics_by_seed(results_b)
    seeds = sorted(metrics_a.keys() & metrics_b.keys())
    if not seeds:
        raise LabError("no seed was run on both sides")
    differences = []
    for name in metrics_a[seeds[0]]:
        values_a = np.array([metrics_a[seed][name] for seed in seeds])
        values_b = np.array([metrics_b[seed][name] for seed in seeds])
        low, high = confidence_interval(values_b - values_a)
        mean_difference = (values_b - values_a).mean()
        differences.append(Difference(name, values_a.mean(), values_b.mean(), mean_difference, low, high, len(seeds)))
    return differences


def compare_folders(dir_a: Path, policy_a: str, dir_b: Path, policy_b: str) -> list[Difference]:
    """Compare a policy of one experiment with a policy of another, or of the same.

    Raises:
        LabError: A folder contains no results of the policy, or no seed was run on both sides.
    """
    return compare(_read_policy(dir_a, policy_a), _read_policy(dir_b, policy_b))


def _metrics_by_seed(results: list[Result]) -> dict[int, dict[str, float]]:
    return {result.seed: metrics(result) for result in results if not result.void_reason}


def _read_policy(folder: Path, policy: str) -> list[Result]:
    if policy not in read_manifest(folder).policies:
        raise LabError(f"{folder}: policy {policy} was not run there")
    return [result for result in read_results(folder) if result.policy == policy]
