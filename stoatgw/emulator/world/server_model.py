"""Models a session server: capacity, load, backlog, messages and load reports. Does no I/O and reads no clock.

A load *unit* is the mean load of a connection; `capacity_units` of them fill a warm server. Utilization is the load
divided by the current capacity. While it is over 1, or the server is paused, a backlog grows (`backlog_s`, in seconds
of the whole machine's time), and messages wait for it. docs/emulator.md derives each formula.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import numpy as np

from stoatgw.emulator.world.scenario import PolicySettings
from stoatgw.emulator.world.server_properties import ServerProperties
from stoatgw.emulator.world.service_accounting import ServiceAccounting
from stoatgw.emulator.world.setup_decision import SetupDecision, SetupOutcome
from stoatgw.emulator.world.warm_up import WarmUpBudget, warm_up_fraction

BACKLOG_STEP_US = 25_000  # maximum step of the integration while there is a backlog
SHED_TO_UTILIZATION = 0.9  # a server with too much backlog drops its newest connections down to this utilization
MAX_TAIL_UTILIZATION = 0.98  # at higher utilization the tail of message latencies no longer grows
UNREPORTED_BACKLOG_S = 0.05  # backlog up to this is not included in the load report


class ServerLifecycle(Enum):
    """The state of a server; the values of the first three appear in the endpoint list."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    GONE = "DELETED"  # the process has ended: connections are refused
    VANISHED = "vanished"  # the machine has disappeared from the network

    @property
    def is_dead(self) -> bool:
        """Whether the server no longer responds."""
        return self in (ServerLifecycle.GONE, ServerLifecycle.VANISHED)


@dataclass(slots=True, eq=False)
class HeldConnection:
    """An established connection on a server.

    Attributes:
        connection_id: Its key among the server's connections.
        request_class: Index in the scenario's list of classes.
        load_units: Its current load.
        group: Its affinity group, if any.
        is_reachable: Whether messages reach its client.
        on_dropped: Called when the server closes the connection because of its backlog.
    """

    connection_id: str
    request_class: int
    load_units: float
    group: int | None
    is_reachable: bool = True
    on_dropped: Callable[[], None] | None = None


@dataclass(eq=False)
class ServerModel:
    """The state of one server at `now_us`; times passed to its methods must not be earlier than that.

    Attributes:
        properties: The drawn, fixed properties.
        latency_objectives_s: The latency objectives of messages, by class.
        policy_settings: The settings of the decision policy, which also limit sends in slow start.
        accounting: Records the service of the connections.
        random: The server's random stream.
        now_us: The time up to which the state is computed.
        started_us: When its process last started; 0 for a process that has been warm since before the run.
        lifecycle: Whether it serves, drains or is dead.
        is_resetting: Whether it resets new sessions, by a fault.
        has_stale_reports: Whether its load report is not refreshed, by a fault.
        backlog_s: Queued work, in seconds of the whole machine's time.
        paused_until_us: Until when it does no work.
        connections: The established connections, the newest last.
        groups: Number of connections of each affinity group.
        total_load_units: Sum of the connections' loads.
        reachable_counts: Number of connections with a reachable client, by class.
        setups_in_progress: Number of accepted set-ups that have not finished.
        warm_up_budget: Counts the load units that it has been sent in slow start.
        on_collapse: Called when it collapses in slow start.
        report: The load report that health checks return.
    """

    properties: ServerProperties
    latency_objectives_s: tuple[float, ...]
    policy_settings: PolicySettings
    accounting: ServiceAccounting
    random: np.random.Generator
    now_us: int
    started_us: int = 0
    lifecycle: ServerLifecycle = ServerLifecycle.SERVING
    is_resetting: bool = False
    has_stale_reports: bool = False
    backlog_s: float = 0.0
    paused_until_us: int = 0
    connections: dict[str, HeldConnection] = field(default_factory=dict)
    groups: Counter[int] = field(default_factory=Counter)
    total_load_units: float = 0.0
    reachable_counts: list[int] = field(init=False)
    setups_in_progress: int = 0
    warm_up_budget: WarmUpBudget = field(init=False)
    on_collapse: Callable[[], None] | None = None
    report: dict[str, float] = field(init=False)
    _pending_reports: list[tuple[int, dict[str, float]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.reachable_counts = [0] * len(self.latency_objectives_s)
        self.warm_up_budget = WarmUpBudget(self.properties, self.policy_settings)
        self.report = self._measure()

    @property
    def name(self) -> str:
        """Its name in the endpoint list."""
        return self.properties.name

    # Capacity and latency.

    def warm_up_fraction(self, now_us: int) -> float:
        """Return the fraction of the full capacity that it has at a time."""
        age_us = now_us - self.started_us
        if self.started_us <= 0 or age_us >= self.properties.warm_up_us:
            return 1.0
        return warm_up_fraction(age_us, self.properties.initial_warm_up_fraction, self.properties.warm_up_us)

    @property
    def utilization(self) -> float:
        """Load divided by the current capacity; over 1 the backlog grows."""
        properties = self.properties
        capacity_units = properties.capacity_units * self.warm_up_fraction(self.now_us)
        table_fill = min(1.0, len(self.connections) / properties.max_connections)
        remaining_share = 1.0 - properties.full_table_overhead * table_fill
        load_units = self.total_load_units + properties.group_cost * len(self.groups)
        return load_units / (capacity_units * remaining_share)

    def queueing_delay_s(self) -> float:
        """Return how long a message received now waits before it is processed."""
        return self.backlog_s + max(0, self.paused_until_us - self.now_us) / 1e6

    def on_time_fraction(self, latency_objective_s: float, delay_s: float, utilization: float) -> float:
        """Return the fraction of messages within a latency objective: an exponential tail, as in an M/M/1 queue."""
        if delay_s >= latency_objective_s:
            return 0.0
        idle_share = 1.0 - min(MAX_TAIL_UTILIZATION, utilization)
        return 1.0 - math.exp(-(latency_objective_s - delay_s) * idle_share / self.properties.message_work_s)

    def draw_message_latency_s(self) -> float:
        """Draw the latency of a message received now."""
        mean_s = self.properties.message_work_s / (1.0 - min(MAX_TAIL_UTILIZATION, self.utilization))
        return self.queueing_delay_s() + float(self.random.exponential(mean_s))

    def advance_to(self, now_us: int) -> None:
        """Advance the backlog to a time, and record the service of its connections until then."""
        while self.now_us < now_us:
            is_paused = self.paused_until_us > self.now_us
            until_us = min(now_us, self.paused_until_us) if is_paused else now_us
            utilization = self.utilization
            if is_paused or self.backlog_s > 0.0 or utilization > 1.0:
                until_us = min(until_us, self.now_us + BACKLOG_STEP_US)
            self._record_service(until_us, utilization)
            span_s = (until_us - self.now_us) / 1e6
            growth = utilization if is_paused else utilization - 1.0
            self.backlog_s = max(0.0, self.backlog_s + growth * span_s)
            self.now_us = until_us

    def _record_service(self, until_us: int, utilization: float) -> None:
        if self.lifecycle.is_dead:
            return
        delay_s = self.queueing_delay_s()
        for request_class, count in enumerate(self.reachable_counts):
            if count:
                share = self.on_time_fraction(self.latency_objectives_s[request_class], delay_s, utilization)
                self.accounting.record_service(self.now_us, until_us, request_class, count, share)

    # Session set-up.

    def handle_open(self, now_us: int, units: float, group: int | None, deadline_us: int) -> SetupDecision:
        """Decide on a complete session request.

        Args:
            now_us: When it was received.
            units: The load that the proxy could expect of it, which counts against the slow-start budget.
            group: The affinity group of the session, if any.
            deadline_us: The deadline of the request.
        """
        self.advance_to(now_us)
        self._charge_warm_up(now_us, units)
        if self.is_resetting:
            return SetupDecision(SetupOutcome.RESET, now_us)
        is_full = len(self.connections) + self.setups_in_progress >= self.properties.max_connections
        if self.lifecycle is not ServerLifecycle.SERVING or is_full:
            return SetupDecision(SetupOutcome.BUSY, now_us + int(self.queueing_delay_s() * 1e6))
        self.backlog_s += float(self.random.uniform(*self.properties.setup_work_range_s))
        ready_us = now_us + int(self.queueing_delay_s() * 1e6)
        self.setups_in_progress += 1
        # A request whose deadline has passed when it is dequeued is rejected without any work.
        outcome = SetupOutcome.ESTABLISHED if ready_us < deadline_us else SetupOutcome.BUSY
        return SetupDecision(outcome, min(ready_us, max(now_us, deadline_us)))

    def finish_setup(self) -> None:
        """End a set-up that `handle_open` began, whatever its outcome."""
        self.setups_in_progress -= 1

    def expected_load_units(self, group: int | None) -> float:
        """Return the load expected of one more connection, including its group's if the group is new to the server."""
        if group is None or self.groups[group] > 0:
            return 1.0
        return 1.0 + self.properties.group_cost

    def max_warm_up_units(self, now_us: int) -> float:
        """Return the load units that may be sent within the window of the slow-start rule."""
        return self.warm_up_budget.max_units(self.warm_up_fraction(now_us))

    def _charge_warm_up(self, now_us: int, units: float) -> None:
        """Charge a request to the slow-start budget, even one that is rejected; collapse if it exceeds the budget."""
        fraction = self.warm_up_fraction(now_us)
        if fraction >= 1.0 or self.lifecycle is not ServerLifecycle.SERVING:
            self.warm_up_budget.reset()
            return
        if self.warm_up_budget.is_exceeded_by(now_us, units, fraction) and self.on_collapse is not None:
            self.on_collapse()

    # Connections.

    def add_connection(self, now_us: int, connection: HeldConnection) -> None:
        """Add an established connection."""
        self.advance_to(now_us)
        self.connections[connection.connection_id] = connection
        self.total_load_units += connection.load_units
        if connection.is_reachable:
            self.reachable_counts[connection.request_class] += 1
        if connection.group is not None:
            self.groups[connection.group] += 1

    def remove_connection(self, now_us: int, connection_id: str) -> HeldConnection | None:
        """Remove and return a connection; return None if it does not exist."""
        connection = self.connections.get(connection_id)
        if connection is None:
            return None
        self.advance_to(now_us)
        del self.connections[connection_id]
        self.total_load_units = self.total_load_units - connection.load_units if self.connections else 0.0
        if connection.is_reachable:
            self.reachable_counts[connection.request_class] -= 1
        if connection.group is not None:
            self.groups[connection.group] -= 1
            if not self.groups[connection.group]:
                del self.groups[connection.group]
        return connection

    def update_load(self, now_us: int, connection_id: str, units: float) -> None:
        """Change the load of a connection, if it exists."""
        connection = self.connections.get(connection_id)
        if connection is not None:
            self.advance_to(now_us)
            self.total_load_units += units - connection.load_units
            connection.load_units = units

    def set_reachable(self, now_us: int, connection_id: str, is_reachable: bool) -> None:
        """Set whether messages reach the connection's client."""
        connection = self.connections.get(connection_id)
        if connection is not None and connection.is_reachable != is_reachable:
            self.advance_to(now_us)
            connection.is_reachable = is_reachable
            self.reachable_counts[connection.request_class] += 1 if is_reachable else -1

    def handle_health_check(self, now_us: int) -> int:
        """Handle a health check, and return when it is answered: it skips the queue, but waits for a pause to end."""
        self.advance_to(now_us)
        self.backlog_s += self.properties.health_check_work_s
        return max(now_us, self.paused_until_us) + int(self.properties.health_check_work_s * 1e6)

    # Faults and reports.

    def pause(self, now_us: int, span_us: int) -> None:
        """Stop all work for `span_us`."""
        self.advance_to(now_us)
        self.paused_until_us = max(self.paused_until_us, now_us + span_us)

    def start_cold(self, now_us: int) -> None:
        """Start the process, without connections and in slow start."""
        self.advance_to(now_us)
        self.lifecycle = ServerLifecycle.SERVING
        self.started_us = now_us
        self.backlog_s = 0.0
        self.paused_until_us = 0
        self.warm_up_budget.reset()
        self._pending_reports.clear()
        self.report = self._measure()

    def refresh_report(self, now_us: int) -> list[HeldConnection]:
        """Refresh the load report; return the newest connections, to be closed, if the backlog is too long."""
        self.advance_to(now_us)
        while self._pending_reports and self._pending_reports[0][0] <= now_us:
            self.report = self._pending_reports.pop(0)[1]
        if not self.has_stale_reports:
            self._pending_reports.append((now_us + self.properties.report_delay_us, self._measure()))
        if self.backlog_s <= self.properties.max_backlog_s or self.lifecycle is not ServerLifecycle.SERVING:
            return []
        return self._shed_connections(now_us)

    def _shed_connections(self, now_us: int) -> list[HeldConnection]:
        """Select the newest connections, at least one, until the others fit; the caller closes them."""
        properties = self.properties
        remaining_units = self.total_load_units
        capacity_units = (
            properties.capacity_units * self.warm_up_fraction(now_us) * (1.0 - properties.full_table_overhead)
        )
        dropped: list[HeldConnection] = []
        for connection in reversed(self.connections.values()):
            load_units = remaining_units + properties.group_cost * len(self.groups)
            if dropped and load_units <= SHED_TO_UTILIZATION * capacity_units:
                break
            dropped.append(connection)
            remaining_units -= connection.load_units
        self.backlog_s = properties.max_backlog_s / 2
        return dropped

    def _measure(self) -> dict[str, float]:
        noise = 1.0 + self.properties.report_noise * float(self.random.standard_normal())
        load = max(0.0, (self.utilization + max(0.0, self.backlog_s - UNREPORTED_BACKLOG_S)) * noise)
        return {
            "eps": 0.0,  # the model has no application errors
            "inflight": float(len(self.connections) + self.setups_in_progress),
            "util": min(1.0, load),
            "x0": load,
        }
