"""The slow-start rule: how much all proxies together may send to a server while it warms up."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from stoatgw.decisions.slow_start_budget import allowed_units
from stoatgw.emulator.checker.rules import CheckerLimits
from stoatgw.emulator.world.events import Event
from stoatgw.emulator.world.warm_up import warm_up_fraction

DEFAULT_UNITS = 1.0  # load of an attempt whose record contains none


@dataclass(frozen=True, slots=True)
class _Send:
    time_us: int
    units: float
    by_notified_proxy: bool


@dataclass(slots=True)
class _WarmingServer:
    """A server in slow start, since its last start."""

    started_us: int
    capacity_units: float
    initial_fraction: float
    warm_up_us: int
    sends: deque[_Send] = field(default_factory=deque)  # within the window of the rule
    is_over_budget: bool = False


class SlowStartAudit:
    """Tracks the servers in slow start, and detects violations of the rule."""

    def __init__(self, limits: CheckerLimits) -> None:
        self._limits = limits
        self._servers: dict[str, _WarmingServer] = {}
        self._notified_start_us: dict[tuple[str, str], int] = {}  # by proxy and server

    def start_server(self, event: Event) -> None:
        """Record the start of a server, in slow start."""
        initial_fraction, warm_up_us = event.detail.split(",")
        self._servers[event.server] = _WarmingServer(
            event.time_us, event.number / 1000, float(initial_fraction), int(warm_up_us)
        )

    def record_notified_start(self, event: Event) -> None:
        """Record that a proxy was notified of a serving server and its last start."""
        self._notified_start_us[event.proxy, event.server] = event.number

    def record_attempt(self, event: Event) -> str | None:
        """Record an attempt that reached a server; return the violation of the rule, if any."""
        server = self._servers.get(event.server)
        if server is None or server.is_over_budget:
            return None
        age_us = event.time_us - server.started_us
        if age_us >= server.warm_up_us:
            del self._servers[event.server]
            return None
        notified_us = self._notified_start_us.get((event.proxy, event.server), -1)
        units = float(event.detail or DEFAULT_UNITS)
        sends = server.sends
        sends.append(_Send(event.time_us, units, by_notified_proxy=notified_us >= server.started_us))
        while sends[0].time_us <= event.time_us - self._limits.slow_start_window_us:
            sends.popleft()
        max_units = self._max_units(server, age_us)
        total_units = sum(send.units for send in sends)
        if total_units <= max_units:
            return None
        server.is_over_budget = True
        notified_units = sum(send.units for send in sends if send.by_notified_proxy)
        if notified_units < total_units * 2 / 3:  # over a third came from proxies not yet notified of the start
            return None
        return f"sent {total_units:.1f} units within the window, {max_units:.1f} are allowed"

    def record_collapse(self, event: Event) -> str | None:
        """Record the collapse of a server; return the violation if the log does not explain it."""
        server = self._servers.get(event.server)
        if server is None or server.is_over_budget:
            return None
        return "it fell over, though the log shows less than its budget"

    def _max_units(self, server: _WarmingServer, age_us: int) -> float:
        limits = self._limits
        fraction = warm_up_fraction(age_us, server.initial_fraction, server.warm_up_us)
        budget = allowed_units(
            fall_multiple=limits.slow_start_multiple,
            warm_up_fraction=fraction,
            capacity_units=server.capacity_units,
            window_us=limits.slow_start_window_us,
            warm_up_us=server.warm_up_us,
        )
        return budget + limits.allowed_excess_units(budget)
