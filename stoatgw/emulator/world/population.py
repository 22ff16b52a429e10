"""Draws the clients of a run before it starts: arrivals, departures and behaviour, as arrays.

The demand is open-loop: it does not depend on the proxies' answers, so runs with the same seed and different settings
have the same demand. A client demands service from its arrival to its departure, whether it has a session or not.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from stoatgw.emulator.world.scenario import Clients, Scenario
from stoatgw.emulator.world.scenario_faults import Rush
from stoatgw.emulator.world.streams import RandomStreams

ARRIVAL_STEP_US = 100_000  # resolution of the arrival rate
DRAWS_PER_CLIENT = 16  # uniform random numbers for each client's own choices; reused cyclically
LOADS_PER_CLIENT = 8  # load factors of each client; reused cyclically
MAX_ID = 1 << 62


@dataclass(frozen=True, eq=False)
class Population:
    """Arrays over clients, in the order of arrival; the first `established_count` have sessions at the start.

    Attributes:
        established_count: Number of clients that have sessions at the start.
        arrival_us: Arrival times, relative to the start of the run.
        departure_us: Departure times, relative to the start of the run.
        request_class: Index in the scenario's list of classes.
        load_units: Mean load of each client's session.
        zone: Index of the client's zone.
        group: Id of the affinity group.
        idempotency_key: The key of a client's requests.
        request_id_base: The number from which a client derives its request ids.
        honors_retry_after: Whether the client waits as long as `BUSY MS` asks for.
        uniform_draws: Random numbers for each client's own choices, DRAWS_PER_CLIENT each.
        load_factors: Factors of the mean load, LOADS_PER_CLIENT each.
        load_intervals_us: How long each load factor lasts.
    """

    established_count: int
    arrival_us: np.ndarray
    departure_us: np.ndarray
    request_class: np.ndarray
    load_units: np.ndarray
    zone: np.ndarray
    group: np.ndarray
    idempotency_key: np.ndarray
    request_id_base: np.ndarray
    honors_retry_after: np.ndarray
    uniform_draws: np.ndarray
    load_factors: np.ndarray
    load_intervals_us: np.ndarray

    def __len__(self) -> int:
        return len(self.arrival_us)


def draw_population(scenario: Scenario, capacity_units: float, streams: RandomStreams) -> Population:
    """Draw all clients of a run for a fleet with a given warm capacity.

    All numbers except those of the arrival rate are drawn from one stream: reordering the draws changes the clients.
    """
    clients = scenario.clients
    stream = streams.create_generator("demand")
    mean_length_s = float(stream.uniform(*clients.life_s))
    rate = clients.load * capacity_units / mean_length_s  # sessions per second; the mean load of a session is one unit
    curve = _arrival_curve(scenario, streams.create_generator("arrivals"))
    arrival_count = int(stream.poisson(rate * curve.sum() * ARRIVAL_STEP_US / 1e6))
    established_count = int(stream.poisson(rate * mean_length_s)) if clients.standing else 0
    total = established_count + arrival_count
    arrivals_us = _draw_arrivals(curve, arrival_count, stream)
    arrivals_us = np.minimum(arrivals_us, int(scenario.length_s * 1e6) - 1)
    arrivals_us = np.concatenate([np.zeros(established_count, dtype=np.int64), arrivals_us])
    lengths_s = _draw_session_lengths(clients, mean_length_s, established_count, total, stream)
    request_class, load_units = _draw_loads(clients, total, stream)
    group = _draw_groups(clients, rate * mean_length_s, total, stream)
    load_factors, load_intervals_us = _draw_load_changes(clients, request_class, stream)
    return Population(
        established_count=established_count,
        arrival_us=arrivals_us.astype(np.int64),
        departure_us=(arrivals_us + np.maximum(1.0, lengths_s * 1e6)).astype(np.int64),
        request_class=request_class,
        load_units=load_units,
        zone=stream.integers(0, len(scenario.fleet.zones), total),
        group=group,
        idempotency_key=stream.integers(1, MAX_ID, total),
        request_id_base=stream.integers(1, MAX_ID, total),
        honors_retry_after=stream.random(total) < float(stream.uniform(*clients.honour)),
        uniform_draws=stream.random((total, DRAWS_PER_CLIENT), dtype=np.float32),
        load_factors=load_factors,
        load_intervals_us=load_intervals_us,
    )


def _arrival_curve(scenario: Scenario, stream: np.random.Generator) -> np.ndarray:
    """Return the relative arrival rate in steps of ARRIVAL_STEP_US; its mean is 1 before rushes are applied."""
    steps = max(1, round(scenario.length_s * 1e6 / ARRIVAL_STEP_US))
    time_s = (np.arange(steps) + 0.5) * ARRIVAL_STEP_US / 1e6
    curve = np.ones(steps)
    clients = scenario.clients
    if clients.arrivals == "bursty":
        period_s = float(stream.uniform(8.0, 20.0))
        phase = float(stream.uniform(0.0, 2 * np.pi))
        curve += clients.swing * np.sin(2 * np.pi * time_s / period_s + phase)
        bursts = stream.lognormal(-0.08, 0.4, steps // 10 + 1)
        curve *= np.repeat(bursts, 10)[:steps]
        curve /= curve.mean()
    for fault in scenario.faults:
        if isinstance(fault, Rush):
            curve[(time_s >= fault.at_s) & (time_s < fault.at_s + fault.for_s)] *= fault.times
    return curve


def _draw_arrivals(curve: np.ndarray, count: int, stream: np.random.Generator) -> np.ndarray:
    """Draw sorted arrival times that follow a rate, in us from the start."""
    steps = np.searchsorted(np.cumsum(curve) / curve.sum(), stream.random(count))
    return np.sort(steps * ARRIVAL_STEP_US + stream.integers(0, ARRIVAL_STEP_US, count))


def _draw_session_lengths(
    clients: Clients, mean_length_s: float, established_count: int, total: int, stream: np.random.Generator
) -> np.ndarray:
    """Draw how long each client wants its session, from its arrival or from the start of the run."""
    sigma = clients.life_sigma
    mean_log = np.log(mean_length_s) - sigma**2 / 2
    lengths_s = stream.lognormal(mean_log, sigma, total)
    # Sessions observed at a point in time are length-biased, and a part of each has already passed.
    biased_lengths_s = stream.lognormal(mean_log + sigma**2, sigma, established_count)
    lengths_s[:established_count] = biased_lengths_s * stream.random(established_count)
    return lengths_s


def _draw_loads(clients: Clients, total: int, stream: np.random.Generator) -> tuple[np.ndarray, np.ndarray]:
    """Draw the class and mean load of each client; the mean over all clients is one unit."""
    classes = clients.classes
    shares = np.array([each.share for each in classes])
    loads = np.array([float(stream.uniform(*each.load)) for each in classes])
    loads /= (shares / shares.sum() * loads).sum()
    request_class = stream.choice(len(classes), total, p=shares / shares.sum())
    sigmas = np.array([each.load_sigma for each in classes])[request_class]
    units = loads[request_class] * np.exp(sigmas * stream.standard_normal(total) - sigmas**2 / 2)
    return request_class, np.clip(units, 0.01, 50.0)


def _draw_groups(clients: Clients, mean_sessions: float, total: int, stream: np.random.Generator) -> np.ndarray:
    """Draw the affinity group of each client; group sizes follow Zipf's law."""
    group_count = max(1, round(mean_sessions / float(stream.uniform(*clients.group_size))))
    weights = np.arange(1, group_count + 1) ** -clients.group_zipf
    group_ids = stream.integers(1, MAX_ID, group_count)
    return group_ids[stream.choice(group_count, total, p=weights / weights.sum())]


def _draw_load_changes(
    clients: Clients, request_class: np.ndarray, stream: np.random.Generator
) -> tuple[np.ndarray, np.ndarray]:
    """Draw each client's load factors, and how long each of them lasts (us)."""
    shape = (len(request_class), LOADS_PER_CLIENT)
    factors = np.ones(shape, dtype=np.float32)
    intervals_us = np.ones(shape)
    for number, each in enumerate(clients.classes):
        selected = request_class == number
        selected_shape = (int(selected.sum()), LOADS_PER_CLIENT)
        sigma = each.swing_sigma
        idle_share = float(stream.uniform(*each.idle))
        drawn = np.exp(sigma * stream.standard_normal(selected_shape) - sigma**2 / 2)
        is_busy = stream.random(selected_shape) >= idle_share
        factors[selected] = drawn * is_busy / max(0.05, 1.0 - idle_share)
        intervals_us[selected] = stream.uniform(*each.change_s, selected_shape) * 1e6
    return factors, np.maximum(1000.0, intervals_us).astype(np.int64)
