"""Slow start in a large fleet: when one balancer may send a connection to a server that has just started.

The settings say what a server in slow start bears within a window from all balancers together, which share nothing.
Each server therefore has a schedule of places that all balancers compute alike from its start: a place belongs to one
balancer, is good for one connection and stays open until a number of later places have begun. As many places touch
any window as the budget has connections, whoever asks and whenever.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from stoatgw.decisions.events import Request
from stoatgw.decisions.settings import Settings
from stoatgw.decisions.state.server_state import ServerState

NEW_GROUP_UNITS = 1.0  # what a server in slow start pays for a new group
EXCESS_UNITS = 3.0  # load units over the budget that a server bears
MAX_STARTS = 64  # places that begin within a window
START_BITS = 6
MAX_REQUEST_INTERVAL_US = 10_000_000
INTERVAL_SMOOTHING = 0.2  # weight of the last interval in the mean
GOLDEN_RATIO = 2_654_435_769  # as a part of 2**32: its multiples spread evenly over the balancers
HASH_MASK = 0xFFFF_FFFF


@dataclass(frozen=True, slots=True)
class PlaceSchedule:
    """How the places of a server follow one another.

    Attributes:
        starts: Places that begin within a window; 0 for one in every second window.
        open_places: The latest places that are still open at any time.
    """

    starts: int
    open_places: int


# When the places of a window begin, by their number, in MAX_STARTS parts of it: fewer begin at a subset.
_REVERSED_BITS = [int(f"{index:0{START_BITS}b}"[::-1], 2) for index in range(MAX_STARTS)]
START_OFFSETS = [sorted(_REVERSED_BITS[:starts]) for starts in range(MAX_STARTS + 1)]


class SlowStartPlaces:
    """The settings' budget as one of many balancers follows it."""

    def __init__(self, settings: Settings) -> None:
        """Create a limiter that has seen no request."""
        self._settings = settings
        self._window_us = max(1, settings.fall_us)
        self._has_groups = False
        self._last_request_us = 0
        self._request_interval_us = float(MAX_REQUEST_INTERVAL_US)  # mean

    def record_request(self, request: Request, now_us: int) -> None:
        """Note a request: how often they come, and whether they have groups."""
        interval_us = min(MAX_REQUEST_INTERVAL_US, now_us - self._last_request_us)
        self._request_interval_us += INTERVAL_SMOOTHING * (interval_us - self._request_interval_us)
        self._last_request_us = now_us
        self._has_groups = self._has_groups or (self._settings.groups and request.group is not None)

    def has_capacity(self, server: ServerState, units: float, load_per_connection: float | None, now_us: int) -> bool:
        """Return whether a connection of so many load units may be sent to the server.

        `load_per_connection` is what a connection takes of the server's full capacity, None while it is not known.
        """
        budget = self._budget(server, load_per_connection, now_us)
        if units > max(self._place_units, budget / 2):
            return False
        if self._open_place(server, budget, now_us) is not None:
            return True
        return max(1.0, units) <= server.slow_start_units_left and self._is_used_place_open(server, budget, now_us)

    def take(self, server: ServerState, units: float, load_per_connection: float | None, now_us: int) -> None:
        """Take a connection of so many load units from the server's budget."""
        if server.warm_up_fraction(now_us, self._settings) >= 1.0:
            return
        place = self._open_place(server, self._budget(server, load_per_connection, now_us), now_us)
        if place is not None:
            server.slow_start_place = place
            server.slow_start_units_left = self._place_units
        server.slow_start_units_left -= max(1.0, units)

    @property
    def _place_units(self) -> float:
        return 1.0 + NEW_GROUP_UNITS if self._has_groups else 1.0

    def _budget(self, server: ServerState, load_per_connection: float | None, now_us: int) -> float:
        """Return how many connections all balancers may send to the server within a window."""
        settings = self._settings
        if not load_per_connection:
            return 0.0
        warm_up_fraction = server.warm_up_fraction(now_us, settings)
        warm_up_load = load_per_connection * max(1, settings.cold_us)
        return settings.fall_multiple * warm_up_fraction * self._window_us / warm_up_load

    def _schedule(self, budget: float) -> PlaceSchedule:
        """Divide the budget, and what is allowed beyond it, into places that begin and places that stay open.

        Where requests are rare most places stay open, where they are frequent most begin within the window.
        """
        place_units = self._place_units
        max_places = int((budget + EXCESS_UNITS) / place_units)
        if max_places < 2:
            return PlaceSchedule(starts=0, open_places=1)
        rarity = self._request_interval_us / (self._request_interval_us + self._window_us)
        open_places = min(max_places - 1, max(1, round(max_places * rarity)))
        max_starts = max(1, int((budget + place_units - 1.0) / place_units))
        return PlaceSchedule(min(MAX_STARTS, max_starts, max_places - open_places), open_places)

    def _open_place(self, server: ServerState, budget: float, now_us: int) -> int | None:
        """Return the latest open place of this balancer that comes after those that it has used."""
        settings = self._settings
        for place in self._open_places(server, budget, now_us):
            if place <= server.slow_start_place:
                return None
            place_hash = (place * GOLDEN_RATIO + 4 * server.name_offset) & HASH_MASK
            if place_hash * settings.balancers >> 32 == settings.rank % settings.balancers:
                return place
        return None

    def _is_used_place_open(self, server: ServerState, budget: float, now_us: int) -> bool:
        return server.slow_start_place in self._open_places(server, budget, now_us)

    def _open_places(self, server: ServerState, budget: float, now_us: int) -> Iterator[int]:
        """Give the numbers of the places that are open, the latest first."""
        schedule = self._schedule(budget)
        age_us = max(0, now_us - server.start_us(now_us))
        window, offset_us = divmod(age_us, self._window_us)
        if schedule.starts == 0:
            if window % 2 == 0:
                yield window * MAX_STARTS
            return
        offsets = START_OFFSETS[schedule.starts]
        part = offset_us * MAX_STARTS // self._window_us
        begun = window * schedule.starts + sum(offset <= part for offset in offsets)
        for index in range(begun - 1, max(-1, begun - 1 - schedule.open_places), -1):
            window, number = divmod(index, schedule.starts)
            yield window * MAX_STARTS + offsets[number]
