"""The clients of a run: who wants a connection from when to when, and how each behaves. Drawn ahead, as arrays.

Demand does not wait for answers: two settings on one seed meet the same wishes. A wish is worth something in
every second from its arrival to its end, whether a connection stands or not.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from stoatgw.emulator.world.scenario import Clients, Scenario
from stoatgw.emulator.world.scenario_faults import Rush
from stoatgw.emulator.world.streams import RandomStreams

GRID_US = 100_000  # arrivals follow a curve of this step
DRAWS = 16  # uniform numbers that each client has for its own choices; used in a ring
SWINGS = 8  # and loads that it takes in turn
ROUND_S = (1.0, 2.0)  # after a try and its retries a client waits so long, twice as long each round
ROUND_DOUBLINGS = 3
ADVICE_SPREAD = 0.25  # a client that heeds `BUSY MS` comes up to this part of it later
MASK = (1 << 64) - 1


@dataclass(frozen=True, eq=False)
class Population:
    """Arrays over clients, in the order of arrival; the first `standing` stand at the start."""

    established_count: int
    arrival_us: np.ndarray  # from the run's start
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


def draw_population(scenario: Scenario, full_units: float, streams: RandomStreams) -> Population:
    """Draw all clients of a run before a fleet that `full_units` fill."""
    clients, length_us = scenario.clients, int(scenario.length_s * 1e6)
    stream = streams.of("demand")
    life_s = float(stream.uniform(*clients.life_s))
    rate = clients.load * full_units / life_s  # connections a second; one is a unit in the mean
    curve = _curve(scenario, streams.of("arrivals"))
    count = int(stream.poisson(rate * curve.sum() * GRID_US / 1e6))
    standing = int(stream.poisson(rate * life_s)) if clients.standing else 0
    total = standing + count
    at = np.searchsorted(np.cumsum(curve) / curve.sum(), stream.random(count)) * GRID_US
    arrive = np.sort(at + stream.integers(0, GRID_US, count))
    arrive = np.concatenate([np.zeros(standing, dtype=np.int64), np.minimum(arrive, length_us - 1)])
    sigma = clients.life_sigma
    mean_log = np.log(life_s) - sigma**2 / 2
    lives = stream.lognormal(mean_log, sigma, total)
    # Who stands at a given moment has a longer life than most (by its length), and a part of it is over.
    long_lives = stream.lognormal(mean_log + sigma**2, sigma, standing)
    lives[:standing] = long_lives * stream.random(standing)
    profile, units = _loads(clients, total, stream)
    zones = len(scenario.fleet.zones)
    groups = max(1, round(rate * life_s / float(stream.uniform(*clients.group_size))))
    weights = np.arange(1, groups + 1) ** -clients.group_zipf
    numbers = stream.integers(1, 1 << 62, groups)
    group = numbers[stream.choice(groups, total, p=weights / weights.sum())]
    swings, waits = _swings(clients, profile, stream)
    return Population(
        established_count=standing,
        arrival_us=arrive.astype(np.int64),
        departure_us=(arrive + np.maximum(1.0, lives * 1e6)).astype(np.int64),
        request_class=profile,
        load_units=units,
        zone=stream.integers(0, zones, total),
        group=group,
        idempotency_key=stream.integers(1, 1 << 62, total),
        request_id_base=stream.integers(1, 1 << 62, total),
        honors_retry_after=stream.random(total) < float(stream.uniform(*clients.honour)),
        uniform_draws=stream.random((total, DRAWS), dtype=np.float32),
        load_factors=swings,
        load_intervals_us=waits,
    )


def _curve(scenario: Scenario, stream: np.random.Generator) -> np.ndarray:
    """Relative rate of arrivals over the run, in steps of GRID_US; its mean is 1 but for rushes."""
    steps = max(1, round(scenario.length_s * 1e6 / GRID_US))
    at_s = (np.arange(steps) + 0.5) * GRID_US / 1e6
    curve = np.ones(steps)
    clients = scenario.clients
    if clients.arrivals == "bursty":
        period_s, phase = float(stream.uniform(8.0, 20.0)), float(stream.uniform(0.0, 2 * np.pi))
        curve += clients.swing * np.sin(2 * np.pi * at_s / period_s + phase)
        bursts = stream.lognormal(-0.08, 0.4, steps // 10 + 1)
        curve *= np.repeat(bursts, 10)[:steps]
        curve /= curve.mean()
    for fault in scenario.faults:
        if isinstance(fault, Rush):
            curve[(at_s >= fault.at_s) & (at_s < fault.at_s + fault.for_s)] *= fault.times
    return curve


def _loads(clients: Clients, total: int, stream: np.random.Generator) -> tuple[np.ndarray, np.ndarray]:
    """Class and load of each client; the mean load is one unit."""
    classes = clients.classes
    shares = np.array([each.share for each in classes])
    loads = np.array([float(stream.uniform(*each.load)) for each in classes])
    loads /= (shares / shares.sum() * loads).sum()
    profile = stream.choice(len(classes), total, p=shares / shares.sum())
    sigmas = np.array([each.load_sigma for each in classes])[profile]
    units = loads[profile] * np.exp(sigmas * stream.standard_normal(total) - sigmas**2 / 2)
    return profile, np.clip(units, 0.01, 50.0)


def _swings(clients: Clients, profile: np.ndarray, stream: np.random.Generator) -> tuple[np.ndarray, np.ndarray]:
    """For each client, factors of its load that it takes in turn, and how long it keeps each (us)."""
    shape = (len(profile), SWINGS)
    factors, waits = np.ones(shape, dtype=np.float32), np.ones(shape)
    for number, each in enumerate(clients.classes):
        mine = profile == number
        sub = (int(mine.sum()), SWINGS)
        sigma, idle = each.swing_sigma, float(stream.uniform(*each.idle))
        drawn = np.exp(sigma * stream.standard_normal(sub) - sigma**2 / 2)
        busy = stream.random(sub) >= idle
        factors[mine] = drawn * busy / max(0.05, 1.0 - idle)
        waits[mine] = stream.uniform(*each.change_s, sub) * 1e6
    return factors, np.maximum(1000.0, waits).astype(np.int64)


class Client:
    """One client's course: how it comes, retries, waits and returns. Pure; both drivers ask it what is next."""

    __slots__ = ("_clients", "_drawn", "_population", "index", "is_returning", "rounds", "swing", "tries", "tries_made")

    def __init__(self, index: int, population: Population, clients: Clients) -> None:
        self.index, self._population, self._clients = index, population, clients
        self.tries = 0  # retries made since the first try of this round
        self.rounds = 0  # rounds without success
        self.tries_made = 0
        self.is_returning = False
        self.swing = 0
        self._drawn = 0

    def _draw(self) -> float:
        self._drawn += 1
        return float(self._population.uniform_draws[self.index, self._drawn % DRAWS])

    def _between(self, low: float, high: float) -> float:
        return low + (high - low) * self._draw()

    @property
    def is_retrying(self) -> bool:
        """Whether its next try is a retry, and not a first try."""
        return self.tries > 0

    def next_request_id(self) -> str:
        """A new id for each connection."""
        self.tries_made += 1
        return (
            f"{(int(self._population.request_id_base[self.index]) + self.tries_made * 0x9E3779B97F4A7C15) & MASK:016x}"
        )

    def next_load(self) -> tuple[float, int]:
        """Its load from now on, in units, and how long it keeps it (us)."""
        swing, self.swing = self.swing % SWINGS, self.swing + 1
        population = self._population
        units = float(population.load_units[self.index]) * float(population.load_factors[self.index, swing])
        return units, int(population.load_intervals_us[self.index, swing])

    def record_success(self) -> None:
        self.tries = self.rounds = 0

    def delay_after_failure_us(self, advice_us: int) -> int:
        """How long it waits after a try that was refused (with advice, or 0) or failed, us."""
        self.tries += 1
        if self.tries > self._clients.retries:
            self.tries = 0
            self.rounds += 1
            doubled = 2 ** min(ROUND_DOUBLINGS, self.rounds - 1)
            return max(advice_us, int(self._between(*ROUND_S) * doubled * 1e6))
        if advice_us and self._population.honors_retry_after[self.index]:
            return int(advice_us * (1.0 + ADVICE_SPREAD * self._draw()))
        return int(self._between(*self._clients.backoff_ms) * 2 ** (self.tries - 1) * 1000)

    def delay_after_disconnect_us(self, within_us: int = 0) -> int:
        """How long it waits after MOVE or a break; within a span where the trouble gives one."""
        self.is_returning, self.tries = True, 0
        if within_us:
            return int(within_us * self._draw())
        return int(self._between(*self._clients.rejoin_ms) * 1000)
