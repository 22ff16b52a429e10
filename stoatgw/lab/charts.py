"""Charts as PNG files, drawn by matplotlib; each function draws one chart of the given results."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib as mpl
import numpy as np

mpl.use("Agg")

from matplotlib import pyplot as plt

from stoatgw.lab.compare import Difference, confidence_interval
from stoatgw.lab.overview import Agreement, ScenarioServices
from stoatgw.lab.result import Result

BLUE = "#1f5fa8"
RED = "#b5542b"
GREEN = "#3a8a4d"
GREY = "#888888"
POLICY_COLOURS = {"module": BLUE, "floor": RED, "top": GREEN}
OTHER_COLOUR = "black"
METADATA = {"Software": "stoatgw"}  # replaces the version of matplotlib, which would be in the file otherwise
RESOLUTION_DPI = 110
MIN_FAULT_WIDTH_S = 0.3  # keeps short faults visible
SETUP_PERCENTILES = (1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9)
MAX_LABELLED_SERVERS = 8


def _save(figure: Any, path: Path) -> Path:
    figure.tight_layout()
    figure.savefig(path, dpi=RESOLUTION_DPI, metadata=METADATA)
    plt.close(figure)
    return path


def _mark_faults(axes: Any, result: Result) -> None:
    """Shade the time of each fault; faults of the same name share a legend entry."""
    begun_at_s: dict[str, float] = {}
    labelled: set[str] = set()
    for time_s, text in result.faults:
        name, _, change = text.rpartition(" ")
        if change == "begins":
            begun_at_s[name] = time_s
        elif name in begun_at_s:
            begin_s = begun_at_s.pop(name)
            end_s = max(time_s, begin_s + MIN_FAULT_WIDTH_S)
            label = None if name in labelled else name
            labelled.add(name)
            axes.axvspan(begin_s, end_s, color=GREY, alpha=0.18, label=label)


def _service_by_second(result: Result) -> np.ndarray:
    earned = np.array(result.earned_weight).sum(axis=0)
    demanded = np.array(result.demanded_weight).sum(axis=0)
    return np.asarray(np.divide(earned, demanded, out=np.ones_like(earned), where=demanded > 0))


def _policies(results: list[Result]) -> list[str]:
    return list(dict.fromkeys(result.policy for result in results))


def _colour(policy: str) -> str:
    return POLICY_COLOURS.get(policy, OTHER_COLOUR)


def _error_bar_lengths(rows: Sequence[tuple[float, float, float]]) -> np.ndarray:
    """Return error bar lengths below and above the middle of rows (middle, low, high); infinite ends give 0."""
    lengths = np.array([[middle - low, high - middle] for middle, low, high in rows]).T
    return np.where(np.isfinite(lengths), np.maximum(lengths, 0.0), 0.0)


def draw_service(results: list[Result], path: Path) -> Path:
    """Draw service over time: mean over the seeds, 10th to 90th percentile shaded, faults marked."""
    figure, axes = plt.subplots(figsize=(9, 4))
    for policy in _policies(results):
        rows = np.array([_service_by_second(result) for result in results if result.policy == policy])
        seconds = np.arange(rows.shape[1]) + 0.5
        axes.plot(seconds, rows.mean(axis=0), color=_colour(policy), label=policy)
        if len(rows) > 2:
            low, high = np.percentile(rows, [10, 90], axis=0)
            axes.fill_between(seconds, low, high, color=_colour(policy), alpha=0.15, linewidth=0)
    _mark_faults(axes, results[0])
    axes.set(
        xlabel="s", ylabel="service", ylim=(0, 1.03), title=f"{results[0].scenario}: share of priority weight served"
    )
    axes.legend(loc="lower left", fontsize=8)
    return _save(figure, path)


def draw_loads(result: Result, path: Path) -> Path:
    """Draw the utilization of each server, or quantiles of a large fleet, in one run."""
    figure, axes = plt.subplots(figsize=(9, 4))
    has_server_labels = len(result.utilization) < MAX_LABELLED_SERVERS
    for name, samples in result.utilization.items():
        values = np.array(samples)
        seconds = np.arange(len(values))
        values = np.where(values < 0, np.nan, values)
        if name == "mean":
            axes.plot(seconds, values, color="black", linewidth=2, label="mean")
        else:
            axes.plot(seconds, values, linewidth=0.8, alpha=0.8, label=name if has_server_labels else None)
    axes.axhline(1.0, color=RED, linewidth=0.8, linestyle="--")
    _mark_faults(axes, result)
    axes.set(xlabel="s", ylabel="load / capacity", title=f"{result.policy}, seed {result.seed}: utilization per server")
    axes.legend(loc="upper left", fontsize=7)
    return _save(figure, path)


def draw_setups(results: list[Result], path: Path) -> Path:
    """Draw the distribution of set-up times over all seeds, from the HDR histograms."""
    figure, axes = plt.subplots(figsize=(9, 4))
    percentiles = np.array(SETUP_PERCENTILES)
    for policy in _policies(results):
        total, *others = (result.setup_times() for result in results if result.policy == policy)
        for histogram in others:
            total.add(histogram)
        if not total.get_total_count():
            continue
        times_ms = [max(1, total.get_value_at_percentile(float(percentile))) / 1e3 for percentile in percentiles]
        axes.plot(times_ms, percentiles, marker="o", color=_colour(policy), label=policy)
    axes.set(xscale="log", xlabel="set-up time, ms", ylabel="percentile", title="set-up times of served requests")
    axes.legend(fontsize=8)
    return _save(figure, path)


def draw_counts(results: list[Result], policy: str, path: Path) -> Path:
    """Draw answers and migrations per second: means over the seeds of one policy."""
    figure, axes = plt.subplots(figsize=(9, 4))
    policy_results = [result for result in results if result.policy == policy]
    for name, colour in (("up", GREEN), ("busy", RED), ("err", OTHER_COLOUR), ("moved", BLUE)):
        rows = np.array([result.counts_by_second[name] for result in policy_results])
        if rows.any():
            axes.plot(np.arange(rows.shape[1]) + 0.5, rows.mean(axis=0), color=colour, label=name)
    _mark_faults(axes, policy_results[0])
    axes.set(xlabel="s", ylabel="per second", title=f"{policy}: answers and migrations")
    axes.legend(fontsize=8)
    return _save(figure, path)


def draw_comparison(differences: list[Difference], path: Path) -> Path:
    """Draw the differences of all metrics except times and rule violations, with their intervals."""
    shown = [each for each in differences if not each.name.endswith("_ms") and each.name != "rules_broken"]
    figure, axes = plt.subplots(figsize=(8, 0.45 * len(shown) + 1.2))
    positions = np.arange(len(shown))[::-1]
    middles = np.array([each.difference for each in shown])
    errors = _error_bar_lengths([(each.difference, each.low, each.high) for each in shown])
    axes.errorbar(middles, positions, xerr=errors, fmt="o", color=BLUE, capsize=3)
    axes.axvline(0.0, color="black", linewidth=0.8)
    axes.set_yticks(positions, [each.name for each in shown])
    axes.set(xlabel="B minus A", title=f"{shown[0].seeds} paired seeds, 95% intervals")
    return _save(figure, path)


def draw_scenarios(services: list[ScenarioServices], path: Path, title: str) -> Path:
    """Draw the mean service of each scenario by policy, with its interval."""
    figure, axes = plt.subplots(figsize=(9, 0.5 * len(services) + 1.4))
    for position, scenario in enumerate(reversed(services)):
        for index, (policy, values) in enumerate(scenario.by_policy.items()):
            low, high = confidence_interval(values)
            mean = values.mean()
            axes.errorbar(
                [mean],
                [position + 0.22 - 0.22 * index],
                xerr=[[mean - low], [high - mean]],
                fmt="o",
                color=_colour(policy),
                capsize=2,
                label=policy if position == 0 else None,
            )
    axes.set_yticks(range(len(services)), [scenario.scenario for scenario in reversed(services)])
    axes.set(xlabel=title, xlim=(None, 1.01))
    axes.grid(axis="x", alpha=0.3)
    axes.legend(fontsize=8, loc="lower left")
    return _save(figure, path)


def draw_speed(rows: list[dict[str, Any]], path: Path) -> Path:
    """Draw simulated seconds per wall second, and the cost per simulated second and session, by fleet size."""
    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 4))
    servers = [float(row["servers"]) for row in rows]
    left.plot(servers, [float(row["speed"]) for row in rows], marker="o", color=BLUE)
    left.axhline(1.0, color="black", linewidth=0.6)
    left.set(xscale="log", yscale="log", xlabel="servers", ylabel="simulated s per wall s", title="speed")
    cost = [1e6 * float(row["wall_s"]) / float(row["simulated_s"]) / float(row["standing"]) for row in rows]
    right.plot([float(row["standing"]) for row in rows], cost, marker="o", color=RED)
    right.set(xscale="log", xlabel="established sessions", ylabel="us per simulated s and session", title="cost")
    right.set_ylim(0, None)
    return _save(figure, path)


def draw_agreement(rows: list[Agreement], path: Path) -> Path:
    """Draw, for each scenario and metric, the interval that virtual runs predict and the loopback mean."""
    figure, axes = plt.subplots(figsize=(9, 0.4 * len(rows) + 1.4))
    positions = np.arange(len(rows))[::-1]
    middles = np.array([row.virtual for row in rows])
    errors = _error_bar_lengths([(row.virtual, row.low, row.high) for row in rows])
    axes.errorbar(middles, positions, xerr=errors, fmt="|", color=BLUE, capsize=4, label="virtual, 95% interval")
    axes.plot([row.loopback for row in rows], positions, "o", color=RED, label="loopback")
    axes.set_yticks(positions, [f"{row.scenario}: {row.metric}" for row in rows])
    axes.set(title=f"{min(row.seeds for row in rows)} or more seeds each")
    axes.legend(fontsize=8, loc="lower left")
    return _save(figure, path)


def draw_cost_by_axis(rows: list[dict[str, Any]], path: Path) -> Path:
    """Draw wall seconds per simulated second against each size of a scenario, with the other sizes constant."""
    names = list(dict.fromkeys(row["axis"] for row in rows))
    figure, panels = plt.subplots(1, len(names), figsize=(3.6 * len(names), 3.6), sharey=True)
    for axes, name in zip(np.atleast_1d(panels), names, strict=True):
        axis_rows = [row for row in rows if row["axis"] == name]
        cost = [float(row["wall_s"]) / float(row["simulated_s"]) for row in axis_rows]
        axes.plot([float(row["value"]) for row in axis_rows], cost, marker="o", color=BLUE)
        axes.set(xlabel=name, ylim=(0, None))
    np.atleast_1d(panels)[0].set_ylabel("wall s per simulated s")
    return _save(figure, path)


def draw_maintenance(rows: list[dict[str, Any]], path: Path) -> Path:
    """Draw the duration of a rolling maintenance by the limit of servers out of service, with and without a fault."""
    figure, axes = plt.subplots(figsize=(7, 4))
    for killed, label in ((0, "no fault"), (1, "the leader is killed halfway")):
        selected = [row for row in rows if row["killed"] == killed]
        bounds = [row["out_most"] for row in selected]
        medians = np.array([row["median_s"] for row in selected])
        errors = [
            medians - [row["least_s"] for row in selected],
            np.array([row["most_s"] for row in selected]) - medians,
        ]
        axes.errorbar(bounds, medians, yerr=errors, marker="o", capsize=4, label=label)
    axes.set(xlabel="out_most: session servers out of service at once", ylabel="seconds", ylim=(0, None))
    axes.set_title(f"Rolling maintenance of {rows[0]['servers']} session servers")
    axes.legend()
    return _save(figure, path)


def draw_shared_health_checks(rows: list[dict[str, Any]], path: Path) -> Path:
    """Draw health checks per second of all servers, while one of three proxies fails and, unless killed, recovers."""
    figure, axes = plt.subplots(figsize=(7, 4))
    for fault in dict.fromkeys(row["how"] for row in rows):
        selected = [row for row in rows if row["how"] == fault]
        axes.step([row["second"] for row in selected], [row["probes"] for row in selected], where="post", label=fault)
    axes.axvspan(4, 10, color=GREY, alpha=0.18, label="one of three proxies has failed")
    axes.set(xlabel="seconds", ylabel="health checks per second", ylim=(0, None))
    axes.set_title("Shared health checks: 30 servers, four checks per second each")
    axes.legend()
    return _save(figure, path)
