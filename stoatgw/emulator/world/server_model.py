"""A session server as a model: capacity, load, backlog, messages, reports. Pure; the clock is handed in.

Loads are in *units*, mean connections. A machine is filled by `full_units` of them while warm. What is asked over
what it can do is its utilisation u; while u is over 1, or it stands still, work piles up (`backlog_s`, seconds of
its whole capacity) and messages wait for it. docs/emulator.md derives each formula.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import numpy as np

from stoatgw.emulator.world.scenario import Fleet, Module, ServerKind
from stoatgw.emulator.world.service_accounting import ServiceAccounting

STEP_US = 25_000  # while work is piled up, its course is followed in steps of this length
MIN_WARM_UP_EXCESS_UNITS = 3.0  # units sent to a cold server beyond its budget that may be chance
SHED_TO = 0.9  # utilisation down to which a server that piles up too much drops its newest
U_MOST = 0.98  # utilisation at which the tail of message times is as long as it gets


class ServerLifecycle(Enum):
    SERVING = "SERVING"
    DRAINING = "DRAINING"
    GONE = "DELETED"  # the process ended: connections are refused
    VANISHED = "vanished"  # the machine says nothing any more


@dataclass(slots=True, eq=False)
class HeldConnection:
    """A connection on a machine."""

    connection_id: str
    request_class: int
    load_units: float
    group: int | None
    is_reachable: bool = True  # whether messages get through to its client
    on_dropped: Callable[[], None] | None = None


@dataclass(frozen=True, slots=True)
class ServerProperties:
    """A machine's drawn properties."""

    name: str
    zone: int
    kind: int
    cores: int
    speed: float
    capacity_units: float
    max_connections: int
    message_work_s: float
    full_table_overhead: float
    group_cost: float
    max_backlog_s: float
    setup_work_range_s: tuple[float, float]  # of the whole machine's time
    health_check_work_s: float
    report_interval_us: int
    report_delay_us: int
    report_noise: float
    initial_warm_up_fraction: float
    warm_up_us: int


def draw_server_properties(
    name: str, zone: int, number: int, kind: ServerKind, fleet: Fleet, aim_s: float, stream: np.random.Generator
) -> ServerProperties:
    """Draw a machine of a kind; `number` is the kind's place in the list."""
    uniform = stream.uniform
    speed = float(uniform(*kind.speed))
    full = float(uniform(*fleet.per_core)) * kind.cores * speed
    power = kind.cores * speed
    return ServerProperties(
        name=name,
        zone=zone,
        kind=number,
        cores=kind.cores,
        speed=speed,
        capacity_units=full,
        max_connections=max(1, int(full * uniform(*fleet.cap))),
        message_work_s=float(uniform(*fleet.message)) * aim_s,
        full_table_overhead=float(uniform(*fleet.full_tax)),
        group_cost=fleet.group_cost,
        max_backlog_s=float(uniform(*fleet.buffer_s)),
        setup_work_range_s=(fleet.setup_ms[0] / 1e3 / power, fleet.setup_ms[1] / 1e3 / power),
        health_check_work_s=float(uniform(*fleet.probe_ms)) / 1e3 / power,
        report_interval_us=max(1000, int(uniform(*fleet.report_ms) * 1000)),
        report_delay_us=int(uniform(*fleet.report_late_ms) * 1000),
        report_noise=float(uniform(*fleet.report_noise)),
        initial_warm_up_fraction=float(uniform(*kind.cold_from)),
        warm_up_us=int(uniform(*kind.cold_s) * 1e6),
    )


@dataclass(slots=True)
class SetupDecision:
    """What a machine does with an OPEN line: up, busy or reset, at a time."""

    outcome: str
    decided_at_us: int


@dataclass(eq=False)
class ServerModel:
    properties: ServerProperties
    latency_objectives_s: tuple[float, ...]
    rules: Module
    accounting: ServiceAccounting
    random: np.random.Generator
    now_us: int  # up to where its course is known
    started_us: int = 0  # when it last started cold; 0: long ago
    lifecycle: ServerLifecycle = ServerLifecycle.SERVING
    is_resetting: bool = False
    has_stale_reports: bool = False
    backlog_s: float = 0.0
    paused_until_us: int = 0
    connections: dict[str, HeldConnection] = field(default_factory=dict)
    groups: Counter[int] = field(default_factory=Counter)
    total_load_units: float = 0.0
    reachable_counts: list[int] = field(default_factory=list)
    setups_in_progress: int = 0
    errors: int = 0
    recent_sends: deque[tuple[int, float]] = field(default_factory=deque)
    on_collapse: Callable[[], None] | None = None
    report: dict[str, float] = field(default_factory=dict)
    _pending: list[tuple[int, dict[str, float]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.reachable_counts = [0] * len(self.latency_objectives_s)
        self.report = self._measure()

    # What it can do, and how late it is.

    def warm_up_fraction(self, now_us: int) -> float:
        """Part of its full capacity that it has by now."""
        age_us, cold_us = now_us - self.started_us, self.properties.warm_up_us
        if self.started_us <= 0 or age_us >= cold_us:
            return 1.0
        return (
            self.properties.initial_warm_up_fraction
            + (1.0 - self.properties.initial_warm_up_fraction) * age_us / cold_us
        )

    @property
    def utilization(self) -> float:
        full = self.properties.capacity_units * self.warm_up_fraction(self.now_us)
        table = 1.0 - self.properties.full_table_overhead * min(
            1.0, len(self.connections) / self.properties.max_connections
        )
        return (self.total_load_units + self.properties.group_cost * len(self.groups)) / (full * table)

    def queueing_delay_s(self) -> float:
        """What a message that comes now waits before its own work begins."""
        return self.backlog_s + max(0, self.paused_until_us - self.now_us) / 1e6

    def on_time_fraction(self, aim_s: float, wait_s: float, utilisation: float) -> float:
        """Share of the messages that are answered within an aim: an exponential tail, as M/M/1 has it."""
        if wait_s >= aim_s:
            return 0.0
        return 1.0 - math.exp(-(aim_s - wait_s) * (1.0 - min(U_MOST, utilisation)) / self.properties.message_work_s)

    def draw_message_latency_s(self) -> float:
        """The time that one message takes now, drawn."""
        tail = self.properties.message_work_s / (1.0 - min(U_MOST, self.utilization))
        return self.queueing_delay_s() + float(self.random.exponential(tail))

    def advance_to(self, now_us: int) -> None:
        """Follow its course up to a time, and book what its connections earned."""
        while self.now_us < now_us:
            paused = self.paused_until_us > self.now_us
            until = min(now_us, self.paused_until_us) if paused else now_us
            utilisation = self.utilization
            if paused or self.backlog_s > 0.0 or utilisation > 1.0:
                until = min(until, self.now_us + STEP_US)
            self._earn(until, utilisation)
            span_s = (until - self.now_us) / 1e6
            gained = utilisation if paused else utilisation - 1.0
            self.backlog_s = max(0.0, self.backlog_s + gained * span_s)
            self.now_us = until

    def _earn(self, until_us: int, utilisation: float) -> None:
        if self.lifecycle in (ServerLifecycle.GONE, ServerLifecycle.VANISHED):
            return
        wait_s = self.queueing_delay_s()
        for profile, count in enumerate(self.reachable_counts):
            if count:
                share = self.on_time_fraction(self.latency_objectives_s[profile], wait_s, utilisation)
                self.accounting.record_service(self.now_us, until_us, profile, count, share)

    # Connections.

    def handle_open(self, now_us: int, units: float, group: int | None, cut_us: int) -> SetupDecision:
        """An OPEN line has come whole. `units` is what the sender could expect of it."""
        self.advance_to(now_us)
        self._pressed(now_us, units)
        if self.is_resetting:
            return SetupDecision("reset", now_us)
        if (
            self.lifecycle is not ServerLifecycle.SERVING
            or len(self.connections) + self.setups_in_progress >= self.properties.max_connections
        ):
            return SetupDecision("busy", now_us + int(self.queueing_delay_s() * 1e6))
        self.backlog_s += float(self.random.uniform(*self.properties.setup_work_range_s))
        ready_us = now_us + int(self.queueing_delay_s() * 1e6)
        self.setups_in_progress += 1
        # One whose client's time is up when its turn comes is turned away unseen.
        return SetupDecision("up" if ready_us < cut_us else "busy", min(ready_us, max(now_us, cut_us)))

    def finish_setup(self) -> None:
        """A set-up begun by `opened` is over, one way or the other."""
        self.setups_in_progress -= 1

    def add_connection(self, now_us: int, held: HeldConnection) -> None:
        self.advance_to(now_us)
        self.connections[held.connection_id] = held
        self.total_load_units += held.load_units
        self.reachable_counts[held.request_class] += held.is_reachable
        if held.group is not None:
            self.groups[held.group] += 1

    def remove_connection(self, now_us: int, conn: str) -> HeldConnection | None:
        held = self.connections.get(conn)
        if held is None:
            return None
        self.advance_to(now_us)
        del self.connections[conn]
        self.total_load_units = self.total_load_units - held.load_units if self.connections else 0.0
        self.reachable_counts[held.request_class] -= held.is_reachable
        if held.group is not None:
            self.groups[held.group] -= 1
            if not self.groups[held.group]:
                del self.groups[held.group]
        return held

    def update_load(self, now_us: int, conn: str, units: float) -> None:
        """A connection's load is another from now on."""
        held = self.connections.get(conn)
        if held is not None:
            self.advance_to(now_us)
            self.total_load_units += units - held.load_units
            held.load_units = units

    def set_reachable(self, now_us: int, conn: str, live: bool) -> None:
        """Whether messages get through to the connection's client."""
        held = self.connections.get(conn)
        if held is not None and held.is_reachable != live:
            self.advance_to(now_us)
            held.is_reachable = live
            self.reachable_counts[held.request_class] += 1 if live else -1

    def handle_health_check(self, now_us: int) -> int:
        """A probe comes; gives when it is answered (it is served beside the queue, but not in a pause)."""
        self.advance_to(now_us)
        self.backlog_s += self.properties.health_check_work_s
        return max(now_us, self.paused_until_us) + int(self.properties.health_check_work_s * 1e6)

    # Troubles.

    def pause(self, now_us: int, span_us: int) -> None:
        self.advance_to(now_us)
        self.paused_until_us = max(self.paused_until_us, now_us + span_us)

    def expected_load_units(self, group: int | None) -> float:
        """What one more connection is expected to cost: itself, and its group where that is new here."""
        return 1.0 if group is None or self.groups[group] > 0 else 1.0 + self.properties.group_cost

    def max_warm_up_units(self, now_us: int) -> float:
        """Units that may be sent in a window of `fall_ms` while it is cold."""
        rules, share = self.rules, self.warm_up_fraction(now_us)
        budget = (
            rules.fall_multiple
            * share
            * self.properties.capacity_units
            * rules.fall_ms
            * 1000
            / self.properties.warm_up_us
        )
        return budget + MIN_WARM_UP_EXCESS_UNITS

    def _pressed(self, now_us: int, units: float) -> None:
        """Everything that reaches a cold machine presses on it, also what it turns away."""
        if self.warm_up_fraction(now_us) >= 1.0 or self.lifecycle is not ServerLifecycle.SERVING:
            self.recent_sends.clear()
            return
        self.recent_sends.append((now_us, units))
        while self.recent_sends[0][0] <= now_us - self.rules.fall_ms * 1000:
            self.recent_sends.popleft()
        if sum(each for _, each in self.recent_sends) > self.max_warm_up_units(now_us) and self.on_collapse is not None:
            self.on_collapse()

    def start_cold(self, now_us: int) -> None:
        """The process starts, cold and empty."""
        self.advance_to(now_us)
        self.lifecycle, self.started_us, self.backlog_s, self.paused_until_us = ServerLifecycle.SERVING, now_us, 0.0, 0
        self.recent_sends.clear()
        self._pending.clear()
        self.report = self._measure()

    # Once a report period.

    def refresh_report(self, now_us: int) -> list[HeldConnection]:
        """Refresh the report; gives the newest connections that it drops for work piled up."""
        self.advance_to(now_us)
        while self._pending and self._pending[0][0] <= now_us:
            self.report = self._pending.pop(0)[1]
        if not self.has_stale_reports:
            self._pending.append((now_us + self.properties.report_delay_us, self._measure()))
        if self.backlog_s <= self.properties.max_backlog_s or self.lifecycle is not ServerLifecycle.SERVING:
            return []
        dropped: list[HeldConnection] = []
        left = self.total_load_units
        full = (
            self.properties.capacity_units * self.warm_up_fraction(now_us) * (1.0 - self.properties.full_table_overhead)
        )
        for held in reversed(self.connections.values()):
            if dropped and left + self.properties.group_cost * len(self.groups) <= SHED_TO * full:
                break
            dropped.append(held)
            left -= held.load_units
        self.backlog_s = self.properties.max_backlog_s / 2
        return dropped

    def _measure(self) -> dict[str, float]:
        noise = 1.0 + self.properties.report_noise * float(self.random.standard_normal())
        load = max(0.0, (self.utilization + max(0.0, self.backlog_s - 0.05)) * noise)
        errors, self.errors = self.errors, 0
        return {
            "eps": errors * 1e6 / self.properties.report_interval_us,
            "inflight": float(len(self.connections) + self.setups_in_progress),
            "util": min(1.0, load),
            "x0": load,
        }
