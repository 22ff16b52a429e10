"""Charts by matplotlib, as PNG. Each function draws one picture of results that it is handed."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib as mpl
import numpy as np

mpl.use("Agg")

from matplotlib import pyplot as plt

from stoatgw.lab.compare import Row, interval
from stoatgw.lab.overview import Agreement
from stoatgw.lab.runner import Result, read_setups

COLOURS = {"module": "#1f5fa8", "floor": "#b5542b", "top": "#3a8a4d"}
META = {"Software": "stoatgw"}  # without it the file would name the library's version


def _save(figure: Any, path: Path) -> Path:
    figure.tight_layout()
    figure.savefig(path, dpi=110, metadata=META)
    plt.close(figure)
    return path


def _mark_faults(axes: Any, result: Result) -> None:
    open_at: dict[str, float] = {}
    seen: set[str] = set()
    for at_s, text in result.faults:
        name, _, what = text.rpartition(" ")
        if what == "begins":
            open_at[name] = at_s
        elif name in open_at:
            begin = open_at.pop(name)
            label = None if name in seen else name
            seen.add(name)
            axes.axvspan(begin, max(at_s, begin + 0.3), color="#888888", alpha=0.18, label=label)


def _share(result: Result) -> np.ndarray:
    earned, asked = np.array(result.earned).sum(axis=0), np.array(result.asked).sum(axis=0)
    return np.asarray(np.divide(earned, asked, out=np.ones_like(earned), where=asked > 0))


def draw_service(results: list[Result], path: Path) -> Path:
    """Service over time: the mean over seeds, the 10th to 90th percentile shaded, the troubles marked."""
    figure, axes = plt.subplots(figsize=(9, 4))
    for policy in dict.fromkeys(result.policy for result in results):
        rows = np.array([_share(result) for result in results if result.policy == policy])
        seconds = np.arange(rows.shape[1]) + 0.5
        colour = COLOURS.get(policy, "black")
        axes.plot(seconds, rows.mean(axis=0), color=colour, label=policy)
        if len(rows) > 2:
            low, high = np.percentile(rows, [10, 90], axis=0)
            axes.fill_between(seconds, low, high, color=colour, alpha=0.15, linewidth=0)
    _mark_faults(axes, results[0])
    axes.set(xlabel="s", ylabel="service", ylim=(0, 1.03), title=f"{results[0].scenario}: share of worth served")
    axes.legend(loc="lower left", fontsize=8)
    return _save(figure, path)


def draw_loads(result: Result, path: Path) -> Path:
    """Utilisation of each server (or quantiles of a large fleet) in one run."""
    figure, axes = plt.subplots(figsize=(9, 4))
    for name, values in result.loads.items():
        shown = np.array(values)
        seconds = np.arange(len(shown))
        shown = np.where(shown < 0, np.nan, shown)
        if name == "mean":
            axes.plot(seconds, shown, color="black", linewidth=2, label="mean")
        else:
            axes.plot(seconds, shown, linewidth=0.8, alpha=0.8, label=name if len(result.loads) < 8 else None)
    axes.axhline(1.0, color="#b5542b", linewidth=0.8, linestyle="--")
    _mark_faults(axes, result)
    axes.set(xlabel="s", ylabel="load over capacity", title=f"{result.policy}, seed {result.seed}: load per server")
    axes.legend(loc="upper left", fontsize=7)
    return _save(figure, path)


def draw_setups(results: list[Result], path: Path) -> Path:
    """Distribution of set-up times, from the HDR histograms, all seeds together."""
    figure, axes = plt.subplots(figsize=(9, 4))
    points = np.array([1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9])
    for policy in dict.fromkeys(result.policy for result in results):
        total = None
        for result in results:
            if result.policy != policy:
                continue
            for histogram in read_setups(result):
                if total is None:
                    total = histogram
                else:
                    total.add(histogram)
        if total is None or not total.get_total_count():
            continue
        values = [max(1, total.get_value_at_percentile(float(point))) / 1e3 for point in points]
        axes.plot(values, points, marker="o", color=COLOURS.get(policy, "black"), label=policy)
    axes.set(xscale="log", xlabel="set-up time, ms", ylabel="percentile", title="set-up times of served requests")
    axes.legend(fontsize=8)
    return _save(figure, path)


def draw_counts(results: list[Result], policy: str, path: Path) -> Path:
    """Answers, moves and attempts a second: means over the seeds of one policy."""
    figure, axes = plt.subplots(figsize=(9, 4))
    mine = [result for result in results if result.policy == policy]
    for name, colour in (("up", "#3a8a4d"), ("busy", "#b5542b"), ("err", "black"), ("moved", "#1f5fa8")):
        rows = np.array([result.seconds[name] for result in mine])
        if rows.any():
            axes.plot(np.arange(rows.shape[1]) + 0.5, rows.mean(axis=0), color=colour, label=name)
    _mark_faults(axes, mine[0])
    axes.set(xlabel="s", ylabel="a second", title=f"{policy}: answers and moves")
    axes.legend(fontsize=8)
    return _save(figure, path)


def draw_comparison(rows: list[Row], path: Path) -> Path:
    """Differences of the shares, with their intervals."""
    shown = [row for row in rows if not row.name.endswith("_ms") and row.name != "rules_broken"]
    figure, axes = plt.subplots(figsize=(8, 0.45 * len(shown) + 1.2))
    places = np.arange(len(shown))[::-1]
    middle = np.array([row.difference for row in shown])
    spans = np.array([[row.difference - row.low, row.high - row.difference] for row in shown]).T
    spans = np.where(np.isfinite(spans), np.maximum(spans, 0.0), 0.0)
    axes.errorbar(middle, places, xerr=spans, fmt="o", color="#1f5fa8", capsize=3)
    axes.axvline(0.0, color="black", linewidth=0.8)
    axes.set_yticks(places, [row.name for row in shown])
    axes.set(xlabel="B less A", title=f"{shown[0].seeds} paired seeds, 95% intervals")
    return _save(figure, path)


def draw_scenarios(rows: list[tuple[str, dict[str, np.ndarray]]], path: Path, title: str) -> Path:
    """For each scenario, the mean of a figure by policy, with its interval."""
    figure, axes = plt.subplots(figsize=(9, 0.5 * len(rows) + 1.4))
    for place, (_, policies) in enumerate(reversed(rows)):
        for offset, (policy, values) in enumerate(policies.items()):
            low, high = interval(values)
            mean = values.mean()
            label = policy if place == 0 else None
            axes.errorbar(
                [mean],
                [place + 0.22 - 0.22 * offset],
                xerr=[[mean - low], [high - mean]],
                fmt="o",
                color=COLOURS.get(policy, "black"),
                capsize=2,
                label=label,
            )
    axes.set_yticks(range(len(rows)), [name for name, _ in reversed(rows)])
    axes.set(xlabel=title, xlim=(None, 1.01))
    axes.grid(axis="x", alpha=0.3)
    axes.legend(fontsize=8, loc="lower left")
    return _save(figure, path)


def draw_speed(rows: list[dict[str, Any]], path: Path) -> Path:
    """Simulated seconds a wall second, and cost a simulated second for each standing connection, by fleet size."""
    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 4))
    servers = [float(row["servers"]) for row in rows]
    left.plot(servers, [float(row["speed"]) for row in rows], marker="o", color="#1f5fa8")
    left.axhline(1.0, color="black", linewidth=0.6)
    left.set(xscale="log", yscale="log", xlabel="servers", ylabel="simulated s a wall s", title="speed")
    cost = [1e6 * float(row["wall_s"]) / float(row["simulated_s"]) / float(row["standing"]) for row in rows]
    right.plot([float(row["standing"]) for row in rows], cost, marker="o", color="#b5542b")
    right.set(xscale="log", xlabel="standing connections", ylabel="us a simulated s and connection", title="cost")
    right.set_ylim(0, None)
    return _save(figure, path)


def draw_agreement(rows: list[Agreement], path: Path) -> Path:
    """For each scenario and figure: the interval that virtual runs foretell, and the loopback mean."""
    figure, axes = plt.subplots(figsize=(9, 0.4 * len(rows) + 1.4))
    places = np.arange(len(rows))[::-1]
    middle = np.array([row.virtual for row in rows])
    spans = np.array([[row.virtual - row.low, row.high - row.virtual] for row in rows]).T
    spans = np.where(np.isfinite(spans), np.maximum(spans, 0.0), 0.0)
    axes.errorbar(middle, places, xerr=spans, fmt="|", color="#1f5fa8", capsize=4, label="virtual, 95% interval")
    axes.plot([row.loopback for row in rows], places, "o", color="#b5542b", label="loopback")
    axes.set_yticks(places, [f"{row.scenario}: {row.figure}" for row in rows])
    axes.set(title=f"{min(row.seeds for row in rows)} or more seeds each")
    axes.legend(fontsize=8, loc="lower left")
    return _save(figure, path)


def draw_axes(rows: list[dict[str, Any]], path: Path) -> Path:
    """Wall seconds a simulated second along each size, the others kept."""
    names = list(dict.fromkeys(row["axis"] for row in rows))
    figure, pictures = plt.subplots(1, len(names), figsize=(3.6 * len(names), 3.6), sharey=True)
    for axes, name in zip(np.atleast_1d(pictures), names):
        mine = [row for row in rows if row["axis"] == name]
        cost = [float(row["wall_s"]) / float(row["simulated_s"]) for row in mine]
        axes.plot([float(row["value"]) for row in mine], cost, marker="o", color="#1f5fa8")
        axes.set(xlabel=name, ylim=(0, None))
    np.atleast_1d(pictures)[0].set_ylabel("wall s a simulated s")
    return _save(figure, path)


def draw_maintenance(rows: list[dict[str, Any]], path: Path) -> Path:
    """Seconds of a whole maintenance by how many machines may be out, with and without a proxy killed."""
    figure, axes = plt.subplots(figsize=(7, 4))
    for killed, label in ((0, "no fault"), (1, "the proxy that leads is killed halfway")):
        picked = [row for row in rows if row["killed"] == killed]
        at = [row["out_most"] for row in picked]
        middle = np.array([row["median_s"] for row in picked])
        spread = [middle - [row["least_s"] for row in picked], np.array([row["most_s"] for row in picked]) - middle]
        axes.errorbar(at, middle, yerr=spread, marker="o", capsize=4, label=label)
    axes.set(xlabel="out_most: session servers out at once", ylabel="seconds", ylim=(0, None))
    axes.set_title(f"A rolling maintenance of {rows[0]['servers']} session servers")
    axes.legend()
    return _save(figure, path)


def draw_shared_health_checks(rows: list[dict[str, Any]], path: Path) -> Path:
    """Probes a second at all servers together, while one of three proxies is lost and, where it can be, back."""
    figure, axes = plt.subplots(figsize=(7, 4))
    for how in dict.fromkeys(row["how"] for row in rows):
        picked = [row for row in rows if row["how"] == how]
        axes.step([row["second"] for row in picked], [row["probes"] for row in picked], where="post", label=how)
    axes.axvspan(4, 10, color="#888888", alpha=0.18, label="one of three is lost")
    axes.set(xlabel="seconds", ylabel="probes a second", ylim=(0, None))
    axes.set_title("Shared probing: 30 servers, four probes a second each")
    axes.legend()
    return _save(figure, path)
