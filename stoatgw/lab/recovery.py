"""Recovery time, overshoot and spread of a run, computed from its values per second."""

from __future__ import annotations

import numpy as np

Faults = list[tuple[float, str]]  # time in seconds and text of the begin and end of each fault

RECOVERED_MARGIN = 0.02  # service counts as recovered at most this much below the baseline
BASELINE_S = 10  # time before the first fault, with which service and load are compared
SMOOTHING_S = 3
STABLE_S = 5  # service must stay recovered this long
SPREAD_S = 10  # time at the end of the run over which the spread is averaged
MEAN = "mean"
SERVER_PREFIX = "s-"  # distinguishes servers from the quantiles of a large fleet


def recovery_s(demanded_weight: np.ndarray, earned_weight: np.ndarray, faults: Faults) -> float:
    """Return the seconds from the end of the last fault until service stays within 2% of its mean before the first.

    The result is 0 if there was no fault or service never decreased, and the rest of the run if it did not recover.
    """
    if not faults:
        return 0.0
    begin, end = _fault_span(faults)
    service = np.divide(earned_weight, demanded_weight, out=np.ones_like(earned_weight), where=demanded_weight > 0)
    smoothed = np.convolve(service, np.ones(SMOOTHING_S) / SMOOTHING_S, mode="same")
    baseline = service[max(0, begin - BASELINE_S) : max(1, begin)].mean()
    recovered = smoothed >= baseline - RECOVERED_MARGIN
    if len(recovered) > 1:
        recovered[-1] = recovered[-2]  # the last average lacks a value and is too low
    for second in range(min(end, len(recovered) - 1), len(recovered)):
        if recovered[second : second + STABLE_S].all():
            return float(second - end)
    return float(len(recovered) - end)


def overshoot(utilization: dict[str, list[float]], faults: Faults) -> float:
    """Return how much further the most loaded server exceeded the mean after the faults than before them."""
    if not faults:
        return 0.0
    begin, end = _fault_span(faults)
    excess = _max_over_mean(utilization)
    before = excess[max(0, begin - BASELINE_S) : begin]
    after = excess[end:]
    if not len(before) or not len(after):
        return 0.0
    return float(max(0.0, after.max() - before.max()))


def spread(utilization: dict[str, list[float]]) -> float:
    """Return the standard deviation of load among serving servers, last ten seconds; 0 if only quantiles are stored."""
    rows = [samples for name, samples in utilization.items() if name.startswith(SERVER_PREFIX)]
    if not rows:
        return 0.0
    seconds = max(len(samples) for samples in rows)
    deviations = []
    for second in range(max(0, seconds - SPREAD_S), seconds):
        serving = [samples[second] for samples in rows if len(samples) > second and samples[second] >= 0.0]
        if serving:
            deviations.append(float(np.std(serving)))
    return float(np.mean(deviations)) if deviations else 0.0


def _fault_span(faults: Faults) -> tuple[int, int]:
    """Return the seconds at which the first fault begins and the last one ends."""
    begin_s = min(time_s for time_s, text in faults if text.endswith("begins"))
    end_s = max(time_s for time_s, _ in faults)
    return int(begin_s), int(end_s)


def _max_over_mean(utilization: dict[str, list[float]]) -> np.ndarray:
    """Return, for each second, how far the most loaded server exceeded the mean."""
    mean = np.array(utilization.get(MEAN, []))
    rows = [samples for name, samples in utilization.items() if name != MEAN]
    if not rows or not len(mean):
        return np.zeros(0)
    table = np.full((len(rows), len(mean)), -1.0)
    for index, samples in enumerate(rows):
        table[index, : len(samples)] = samples[: len(mean)]
    return np.asarray(table.max(axis=0) - mean)
