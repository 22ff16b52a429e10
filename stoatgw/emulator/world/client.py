"""The behaviour of one client: request ids, loads, retries and delays. Does no I/O; both drivers use it."""

from __future__ import annotations

from stoatgw.emulator.world.population import DRAWS_PER_CLIENT, LOADS_PER_CLIENT, Population
from stoatgw.emulator.world.scenario import Clients

BACKOFF_S = (1.0, 2.0)  # delay after an attempt and all its retries have failed; doubled after each such series
MAX_BACKOFF_DOUBLINGS = 3
RETRY_AFTER_JITTER = 0.25  # a client that honours `BUSY MS` adds up to this fraction of the delay
REQUEST_ID_MASK = (1 << 64) - 1
REQUEST_ID_STEP = 0x9E3779B97F4A7C15  # 2**64 / golden ratio: consecutive ids differ in many bits


class Client:
    """One client of a population, from its first connection to its departure.

    Attributes:
        index: Its position in the arrays of `Population`.
        is_returning: Whether it has had a session before.
    """

    __slots__ = (
        "_clients",
        "_drawn",
        "_failed_series",
        "_next_load_index",
        "_population",
        "_requests_made",
        "_retries",
        "index",
        "is_returning",
    )

    def __init__(self, index: int, population: Population, clients: Clients) -> None:
        self.index = index
        self.is_returning = False
        self._population = population
        self._clients = clients
        self._retries = 0  # after the first attempt of the current series
        self._failed_series = 0  # series of an attempt and all its retries, since the last success
        self._requests_made = 0
        self._next_load_index = 0
        self._drawn = 0

    def _draw(self) -> float:
        self._drawn += 1
        return float(self._population.uniform_draws[self.index, self._drawn % DRAWS_PER_CLIENT])

    def _draw_between(self, low: float, high: float) -> float:
        return low + (high - low) * self._draw()

    @property
    def is_retrying(self) -> bool:
        """Whether its next attempt is a retry."""
        return self._retries > 0

    def next_request_id(self) -> str:
        """Return a new request id, for the next connection."""
        self._requests_made += 1
        base = int(self._population.request_id_base[self.index])
        return f"{(base + self._requests_made * REQUEST_ID_STEP) & REQUEST_ID_MASK:016x}"

    def next_load(self) -> tuple[float, int]:
        """Return the next load of the session, in load units, and how long it lasts (us)."""
        index = self._next_load_index % LOADS_PER_CLIENT
        self._next_load_index += 1
        population = self._population
        units = float(population.load_units[self.index]) * float(population.load_factors[self.index, index])
        return units, int(population.load_intervals_us[self.index, index])

    def record_success(self) -> None:
        """Reset the backoff: the session is established."""
        self._retries = 0
        self._failed_series = 0

    def delay_after_failure_us(self, retry_after_us: int) -> int:
        """Return the delay before the next attempt, after one was rejected or failed.

        Args:
            retry_after_us: The delay that the proxy asked for in `BUSY MS`, or 0.
        """
        self._retries += 1
        if self._retries > self._clients.retries:
            self._retries = 0
            self._failed_series += 1
            factor = 2 ** min(MAX_BACKOFF_DOUBLINGS, self._failed_series - 1)
            return max(retry_after_us, int(self._draw_between(*BACKOFF_S) * factor * 1e6))
        if retry_after_us and self._population.honors_retry_after[self.index]:
            return int(retry_after_us * (1.0 + RETRY_AFTER_JITTER * self._draw()))
        return int(self._draw_between(*self._clients.backoff_ms) * 2 ** (self._retries - 1) * 1000)

    def delay_after_disconnect_us(self, within_us: int = 0) -> int:
        """Return the delay before reconnecting after MOVE or a broken connection.

        Args:
            within_us: The maximum delay, where a fault specifies it; 0 for the delay of the scenario.
        """
        self.is_returning = True
        self._retries = 0
        if within_us:
            return int(within_us * self._draw())
        return int(self._draw_between(*self._clients.rejoin_ms) * 1000)
