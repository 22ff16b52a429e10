"""Tables of many experiments: policies by scenario, and loopback runs compared with virtual runs."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import numpy as np

from stoatgw.lab.compare import confidence_interval
from stoatgw.lab.errors import LabError
from stoatgw.lab.result import MODULE, Result
from stoatgw.lab.run_task import read_results
from stoatgw.lab.tables import Value, metrics

INTERVAL_METRICS = ("service", "worst_10s", "worst_class", "goal")
COMPARED_METRICS = INTERVAL_METRICS[:3]
MEAN_METRICS = ("moves_per_client", "refused_per_try")


@dataclass(frozen=True, slots=True)
class ScenarioServices:
    """The service of each run of one scenario, by policy."""

    scenario: str
    by_policy: dict[str, np.ndarray]


@dataclass(frozen=True, slots=True, kw_only=True)
class Agreement:
    """One metric of one scenario: the interval of its mean predicted by virtual runs, and its mean in loopback runs."""

    scenario: str
    metric: str
    virtual: float
    low: float
    high: float
    loopback: float
    difference: float  # loopback minus virtual, paired by seed
    difference_low: float
    difference_high: float
    seeds: int

    @property
    def is_within(self) -> bool:
        """Whether the loopback mean is in the predicted interval."""
        return self.low <= self.loopback <= self.high

    def as_row(self) -> dict[str, Value]:
        """Return the table row."""
        return {
            "scenario": self.scenario,
            "figure": self.metric,
            "virtual": round(self.virtual, 4),
            "low": round(self.low, 4),
            "high": round(self.high, 4),
            "loopback": round(self.loopback, 4),
            "within": "yes" if self.is_within else "no",
            "difference": round(self.difference, 4),
            "difference_low": round(self.difference_low, 4),
            "difference_high": round(self.difference_high, 4),
            "seeds": self.seeds,
        }


def policies_by_scenario(folders: list[Path]) -> tuple[list[dict[str, Value]], list[ScenarioServices]]:
    """Return a row for each scenario and policy, and the service of each run for the chart.

    Raises:
        LabError: A folder contains no results, or only void ones.
    """
    rows: list[dict[str, Value]] = []
    services: list[ScenarioServices] = []
    for folder in folders:
        by_policy = _results_by_policy(folder)
        if not by_policy:
            raise LabError(f"{folder}: every run there is void")
        scenario = next(iter(by_policy.values()))[0].scenario
        rows += [_policy_row(scenario, policy, results) for policy, results in by_policy.items()]
        service = {
            policy: np.array([result.service["whole"] for result in results]) for policy, results in by_policy.items()
        }
        services.append(ScenarioServices(scenario, service))
    return rows, services


def compare_drivers(virtual: Path, loopback: Path) -> list[Agreement]:
    """Compare the runs of policy `module` under both drivers, on one scenario and the seeds that both have.

    Raises:
        LabError: A folder contains no results, the scenarios differ, or no seed was run under both.
    """
    virtual_results = _module_results_by_seed(virtual)
    loopback_results = _module_results_by_seed(loopback)
    seeds = sorted(virtual_results.keys() & loopback_results.keys())
    if not seeds:
        raise LabError(f"{virtual}, {loopback}: no seed was run under both drivers")
    first = virtual_results[seeds[0]]
    if first.scenario_digest != loopback_results[seeds[0]].scenario_digest:
        raise LabError(f"{virtual}, {loopback}: the scenarios differ")
    agreements = []
    for metric in COMPARED_METRICS:
        predicted = np.array([metrics(virtual_results[seed])[metric] for seed in seeds])
        measured = np.array([metrics(loopback_results[seed])[metric] for seed in seeds])
        agreements.append(_make_agreement(first.scenario, metric, predicted, measured))
    return agreements


def _make_agreement(scenario: str, metric: str, predicted: np.ndarray, measured: np.ndarray) -> Agreement:
    low, high = confidence_interval(predicted)
    difference_low, difference_high = confidence_interval(measured - predicted)
    return Agreement(
        scenario=scenario,
        metric=metric,
        virtual=predicted.mean(),
        low=low,
        high=high,
        loopback=measured.mean(),
        difference=(measured - predicted).mean(),
        difference_low=difference_low,
        difference_high=difference_high,
        seeds=len(predicted),
    )


def _policy_row(scenario: str, policy: str, results: list[Result]) -> dict[str, Value]:
    run_metrics = [metrics(result) for result in results]
    row: dict[str, Value] = {"scenario": scenario, "policy": policy, "seeds": len(results)}
    for name in INTERVAL_METRICS:
        values = np.array([run[name] for run in run_metrics])
        low, high = confidence_interval(values)
        row[name] = round(float(values.mean()), 4)
        row[f"{name}_low"] = round(low, 4)
        row[f"{name}_high"] = round(high, 4)
    for name in MEAN_METRICS:
        row[name] = round(float(np.mean([run[name] for run in run_metrics])), 4)
    row["rules_broken"] = sum(result.violation_count for result in results)
    return row


def _results_by_policy(folder: Path) -> dict[str, list[Result]]:
    """Read the results of an experiment that are not void, by policy."""
    by_policy: dict[str, list[Result]] = {}
    for result in read_results(folder):
        if not result.void_reason:
            by_policy.setdefault(result.policy, []).append(result)
    return by_policy


def _module_results_by_seed(folder: Path) -> dict[int, Result]:
    return {result.seed: result for result in _results_by_policy(folder).get(MODULE, [])}
