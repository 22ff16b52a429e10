"""Many experiments side by side: policies by scenario, and what loopback showed against what virtual time foretold."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import numpy as np

from stoatgw.lab.compare import interval
from stoatgw.lab.errors import LabError
from stoatgw.lab.experiment import read_results
from stoatgw.lab.runner import Result
from stoatgw.lab.tables import Value, metrics

FIGURES = ("service", "worst_10s", "worst_class", "goal")


def _by_policy(results: list[Result]) -> dict[str, list[Result]]:
    found: dict[str, list[Result]] = {}
    for result in results:
        if not result.void:
            found.setdefault(result.policy, []).append(result)
    return found


def by_scenario(folders: list[Path]) -> tuple[list[dict[str, Value]], list[tuple[str, dict[str, np.ndarray]]]]:
    """A row for each scenario and policy, and the service of each run for the chart."""
    rows: list[dict[str, Value]] = []
    shown: list[tuple[str, dict[str, np.ndarray]]] = []
    for folder in folders:
        policies = _by_policy(read_results(folder))
        if not policies:
            raise LabError(f"{folder}: every run there is void")
        scenario = next(iter(policies.values()))[0].scenario
        services = {}
        for policy, results in policies.items():
            row: dict[str, Value] = {"scenario": scenario, "policy": policy, "seeds": len(results)}
            for name in FIGURES:
                values = np.array([metrics(result)[name] for result in results])
                low, high = interval(values)
                ends = {f"{name}_low": round(low, 4), f"{name}_high": round(high, 4)}
                row |= {name: round(float(values.mean()), 4), **ends}
            row["moves_per_client"] = round(float(np.mean([metrics(each)["moves_per_client"] for each in results])), 4)
            row["refused_per_try"] = round(float(np.mean([metrics(each)["refused_per_try"] for each in results])), 4)
            row["rules_broken"] = sum(result.broken_count for result in results)
            rows.append(row)
            services[policy] = np.array([result.service["whole"] for result in results])
        shown.append((scenario, services))
    return rows, shown


@dataclass(frozen=True, slots=True)
class Agreement:
    """One figure of one scenario: the interval that virtual runs foretell for a mean, and what loopback showed."""

    scenario: str
    figure: str
    virtual: float
    low: float
    high: float
    loopback: float
    difference: float  # loopback less virtual, paired by seed
    difference_low: float
    difference_high: float
    seeds: int

    @property
    def within(self) -> bool:
        return self.low <= self.loopback <= self.high

    def record(self) -> dict[str, Value]:
        return {
            "scenario": self.scenario,
            "figure": self.figure,
            "virtual": round(self.virtual, 4),
            "low": round(self.low, 4),
            "high": round(self.high, 4),
            "loopback": round(self.loopback, 4),
            "within": "yes" if self.within else "no",
            "difference": round(self.difference, 4),
            "difference_low": round(self.difference_low, 4),
            "difference_high": round(self.difference_high, 4),
            "seeds": self.seeds,
        }


def agreement(virtual: Path, loopback: Path) -> list[Agreement]:
    """Compare the module's runs of one scenario under both drivers, on the seeds that both have."""
    foretold = {each.seed: each for each in _by_policy(read_results(virtual)).get("module", [])}
    shown = {each.seed: each for each in _by_policy(read_results(loopback)).get("module", [])}
    seeds = sorted(foretold.keys() & shown.keys())
    if not seeds:
        raise LabError(f"{virtual}, {loopback}: no seed was played under both drivers")
    if foretold[seeds[0]].digest != shown[seeds[0]].digest:
        raise LabError(f"{virtual}, {loopback}: the scenarios differ")
    found = []
    for name in FIGURES[:3]:
        ours = np.array([metrics(foretold[seed])[name] for seed in seeds])
        theirs = np.array([metrics(shown[seed])[name] for seed in seeds])
        low, high = interval(ours)
        change = interval(theirs - ours)
        found.append(
            Agreement(
                foretold[seeds[0]].scenario,
                name,
                ours.mean(),
                low,
                high,
                theirs.mean(),
                (theirs - ours).mean(),
                change[0],
                change[1],
                len(seeds),
            )
        )
    return found
