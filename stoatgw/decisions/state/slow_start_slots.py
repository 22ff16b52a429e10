"""Slow start with many balancers: when one balancer may send a connection to a server that has just started.

The settings limit what all balancers together may send to a server in slow start within a window, but the balancers
share no state. Each server therefore has a schedule of slots, which every balancer derives in the same way from the
server's start time. A slot belongs to one balancer, allows one connection, and stays open until a number of later slots
have begun. The number of slots that overlap any window is limited to the connections in the budget, whichever
balancers use the slots and whenever they do.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from stoatgw.decisions.events import Request
from stoatgw.decisions.settings import Settings
from stoatgw.decisions.slow_start_budget import MIN_EXCESS_UNITS, allowed_units
from stoatgw.decisions.state.server_state import ServerState

NEW_GROUP_UNITS = 1.0  # extra load units of the first connection of a group on a server in slow start
MAX_SLOTS_PER_WINDOW = 64  # maximum number of slots that begin within a window
SLOT_BITS = 6  # bits of a slot's number within its window
MAX_REQUEST_INTERVAL_US = 10_000_000
INTERVAL_SMOOTHING = 0.2  # weight of the last interval in the mean
GOLDEN_RATIO = 2_654_435_769  # as a fraction of 2**32; its multiples are distributed evenly over the balancers
HASH_MASK = 0xFFFF_FFFF


@dataclass(frozen=True, slots=True)
class SlotSchedule:
    """The sequence of the slots of a server.

    Attributes:
        slots_per_window: Number of slots that begin within a window; 0 means one slot in every second window.
        open_slots: Number of the latest slots that are open at any time.
    """

    slots_per_window: int
    open_slots: int


# Offsets at which the slots of a window begin, in units of window / MAX_SLOTS_PER_WINDOW, by the number of slots. The
# offsets of fewer slots are a subset of the offsets of more slots.
_REVERSED_BITS = [int(f"{index:0{SLOT_BITS}b}"[::-1], 2) for index in range(MAX_SLOTS_PER_WINDOW)]
SLOT_OFFSETS = [sorted(_REVERSED_BITS[:slots_per_window]) for slots_per_window in range(MAX_SLOTS_PER_WINDOW + 1)]


class SlowStartSlots:
    """Enforces the slow-start budgets as one of many balancers."""

    def __init__(self, settings: Settings) -> None:
        """Create a limiter that has received no request."""
        self._settings = settings
        self._window_us = max(1, settings.fall_us)
        self._has_groups = False
        self._last_request_us = 0
        self._request_interval_us = float(MAX_REQUEST_INTERVAL_US)  # smoothed mean

    def record_request(self, request: Request, now_us: int) -> None:
        """Record a request: update the mean interval, and whether requests have groups."""
        interval_us = min(MAX_REQUEST_INTERVAL_US, now_us - self._last_request_us)
        self._request_interval_us += INTERVAL_SMOOTHING * (interval_us - self._request_interval_us)
        self._last_request_us = now_us
        self._has_groups = self._has_groups or (self._settings.groups and request.group is not None)

    def has_capacity(self, server: ServerState, units: float, load_per_connection: float | None, now_us: int) -> bool:
        """Return whether a connection of `units` load units may be sent to the server.

        `load_per_connection` is the fraction of the server's full capacity that one connection uses; None while it is
        not known.
        """
        budget = self._budget(server, load_per_connection, now_us)
        if units > max(self._slot_units, budget / 2):
            return False
        if self._open_slot(server, budget, now_us) is not None:
            return True
        return max(1.0, units) <= server.slow_start_units_left and self._is_used_slot_open(server, budget, now_us)

    def consume(self, server: ServerState, units: float, load_per_connection: float | None, now_us: int) -> None:
        """Consume the slot, or a part of the slot in use, for a connection of `units` load units."""
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
        """Return how many connections all balancers together may send to the server within a window."""
        settings = self._settings
        if not load_per_connection:
            return 0.0
        return allowed_units(
            fall_multiple=settings.fall_multiple,
            warm_up_fraction=server.warm_up_fraction(now_us, settings),
            capacity_units=1.0 / load_per_connection,
            window_us=self._window_us,
            warm_up_us=settings.cold_us,
        )

    def _schedule(self, budget: float) -> SlotSchedule:
        """Divide the budget plus the excess into slots that begin within a window and earlier slots that stay open.

        If requests are rare, most of the slots are earlier ones that stay open; if they are frequent, most begin within
        the window.
        """
        slot_units = self._slot_units
        max_slots = int((budget + MIN_EXCESS_UNITS) / slot_units)
        if max_slots < 2:
            return SlotSchedule(slots_per_window=0, open_slots=1)
        rarity = self._request_interval_us / (self._request_interval_us + self._window_us)
        open_slots = min(max_slots - 1, max(1, round(max_slots * rarity)))
        budgeted_slots = max(1, int((budget + slot_units - 1.0) / slot_units))
        return SlotSchedule(min(MAX_SLOTS_PER_WINDOW, budgeted_slots, max_slots - open_slots), open_slots)

    def _open_slot(self, server: ServerState, budget: float, now_us: int) -> int | None:
        """Return this balancer's latest open slot that is later than the last one it used; None if there is none."""
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
        """Yield the numbers of the open slots, latest first."""
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
