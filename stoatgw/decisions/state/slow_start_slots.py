"""Slow start in a large fleet: when one balancer may send a connection to a server that has just started.

The settings say what a server in slow start bears within a window from all balancers together, which share nothing.
Each server therefore has a schedule of slots that all balancers compute alike from its start: a slot belongs to one
balancer, is good for one connection and stays open until a number of later slots have begun. As many slots touch
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
MAX_SLOTS_PER_WINDOW = 64  # slots that begin within a window
SLOT_BITS = 6
MAX_REQUEST_INTERVAL_US = 10_000_000
INTERVAL_SMOOTHING = 0.2  # weight of the last interval in the mean
GOLDEN_RATIO = 2_654_435_769  # as a part of 2**32: its multiples spread evenly over the balancers
HASH_MASK = 0xFFFF_FFFF


@dataclass(frozen=True, slots=True)
class SlotSchedule:
    """How the slots of a server follow one another.

    Attributes:
        slots_per_window: Slots that begin within a window; 0 for one in every second window.
        open_slots: The latest slots that are still open at any time.
    """

    slots_per_window: int
    open_slots: int


# When the slots of a window begin, by their number, in MAX_SLOTS_PER_WINDOW parts of it: fewer begin at a subset.
_REVERSED_BITS = [int(f"{index:0{SLOT_BITS}b}"[::-1], 2) for index in range(MAX_SLOTS_PER_WINDOW)]
SLOT_OFFSETS = [sorted(_REVERSED_BITS[:slots_per_window]) for slots_per_window in range(MAX_SLOTS_PER_WINDOW + 1)]


class SlowStartSlots:
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
        if units > max(self._slot_units, budget / 2):
            return False
        if self._open_slot(server, budget, now_us) is not None:
            return True
        return max(1.0, units) <= server.slow_start_units_left and self._is_used_slot_open(server, budget, now_us)

    def consume(self, server: ServerState, units: float, load_per_connection: float | None, now_us: int) -> None:
        """Take a connection of so many load units from the server's budget."""
        if server.warm_up_fraction(now_us, self._settings) >= 1.0:
            return
        slot = self._open_slot(server, self._budget(server, load_per_connection, now_us), now_us)
        if slot is not None:
            server.slow_start_slot = slot
            server.slow_start_units_left = self._slot_units
        server.slow_start_units_left -= max(1.0, units)

    @property
    def _slot_units(self) -> float:
        return 1.0 + NEW_GROUP_UNITS if self._has_groups else 1.0

    def _budget(self, server: ServerState, load_per_connection: float | None, now_us: int) -> float:
        """Return how many connections all balancers may send to the server within a window."""
        settings = self._settings
        if not load_per_connection:
            return 0.0
        warm_up_fraction = server.warm_up_fraction(now_us, settings)
        warm_up_load = load_per_connection * max(1, settings.cold_us)
        return settings.fall_multiple * warm_up_fraction * self._window_us / warm_up_load

    def _schedule(self, budget: float) -> SlotSchedule:
        """Divide the budget, and what is allowed beyond it, into slots that begin and slots that stay open.

        Where requests are rare most slots stay open, where they are frequent most begin within the window.
        """
        slot_units = self._slot_units
        max_slots = int((budget + EXCESS_UNITS) / slot_units)
        if max_slots < 2:
            return SlotSchedule(slots_per_window=0, open_slots=1)
        rarity = self._request_interval_us / (self._request_interval_us + self._window_us)
        open_slots = min(max_slots - 1, max(1, round(max_slots * rarity)))
        budgeted_slots = max(1, int((budget + slot_units - 1.0) / slot_units))
        return SlotSchedule(min(MAX_SLOTS_PER_WINDOW, budgeted_slots, max_slots - open_slots), open_slots)

    def _open_slot(self, server: ServerState, budget: float, now_us: int) -> int | None:
        """Return the latest open slot of this balancer that comes after those that it has used."""
        settings = self._settings
        for slot in self._open_slots(server, budget, now_us):
            if slot <= server.slow_start_slot:
                return None
            slot_hash = (slot * GOLDEN_RATIO + 4 * server.name_offset) & HASH_MASK
            if slot_hash * settings.balancers >> 32 == settings.rank % settings.balancers:
                return slot
        return None

    def _is_used_slot_open(self, server: ServerState, budget: float, now_us: int) -> bool:
        return server.slow_start_slot in self._open_slots(server, budget, now_us)

    def _open_slots(self, server: ServerState, budget: float, now_us: int) -> Iterator[int]:
        """Give the numbers of the slots that are open, the latest first."""
        schedule = self._schedule(budget)
        age_us = max(0, now_us - server.start_us(now_us))
        window, offset_us = divmod(age_us, self._window_us)
        if schedule.slots_per_window == 0:
            if window % 2 == 0:
                yield window * MAX_SLOTS_PER_WINDOW
            return
        offsets = SLOT_OFFSETS[schedule.slots_per_window]
        position = offset_us * MAX_SLOTS_PER_WINDOW // self._window_us
        started_slots = window * schedule.slots_per_window + sum(offset <= position for offset in offsets)
        for index in range(started_slots - 1, max(-1, started_slots - 1 - schedule.open_slots), -1):
            window, number = divmod(index, schedule.slots_per_window)
            yield window * MAX_SLOTS_PER_WINDOW + offsets[number]
