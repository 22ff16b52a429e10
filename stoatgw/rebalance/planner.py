"""The planner: each step selects, from a snapshot, the few migrations that are worth their cost. No clock, no IO.

A step migrates only a fraction of the excess load, rounded at random: N proxies that see the same outdated snapshot
compute the same excess, and each migrates its own sessions' share of it, so that together they approach balance without
overshooting. docs/recovery.md explains the reasoning.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from stoatgw.rebalance.limits import RebalanceLimits
from stoatgw.rebalance.snapshot import FleetSnapshot, PlannedMigration, ServerSnapshot, SessionSnapshot
from stoatgw.rebalance.target_capacity import GROUP_LOAD_UNITS, MIN_LOAD_PER_CONNECTION, TargetCapacity

MAX_MODELLED_LOAD = 0.98  # cap of the on-time model: higher loads count as this load


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A session that may be migrated, with the target whose load after the migration would be the lowest."""

    session: SessionSnapshot
    target: ServerSnapshot
    migration: PlannedMigration


class _StepPlan:
    """The migrations that one step has planned, and its limits."""

    def __init__(self, fleet: FleetSnapshot, capacity: TargetCapacity, max_migrations: int) -> None:
        self.now_us = fleet.now_us
        self.capacity = capacity
        self.migrations: list[PlannedMigration] = []
        self._max_migrations = max_migrations
        self._migrations_by_group: dict[int, int] = {}

    @property
    def remaining_migrations(self) -> int:
        """The number of migrations that the step may still plan."""
        return self._max_migrations - len(self.migrations)

    def group_migrations(self, group: int | None) -> int:
        """Return the number of planned migrations of a group; 0 for sessions without a group."""
        return 0 if group is None else self._migrations_by_group.get(group, 0)

    def add(self, candidate: _Candidate) -> None:
        """Add a migration whose capacity is reserved at the target."""
        group = candidate.session.group
        if group is not None:
            self._migrations_by_group[group] = self.group_migrations(group) + 1
        self.migrations.append(candidate.migration)


class RebalancePlanner:
    """Plans migrations step by step; keeps the recently migrated clients and the allowance of the rate limit."""

    def __init__(self, limits: RebalanceLimits, seed: int) -> None:
        self._limits = limits
        self._random = random.Random(seed)
        self._migrated_at_us: dict[int | str, int] = {}  # by client; kept for min_remigration_interval_us
        self._allowance = 0.0  # token bucket: the migrations that the rate limit allows now

    def plan(self, fleet: FleetSnapshot) -> list[PlannedMigration]:
        """Return the migrations of this step, the most loaded sources first.

        The result depends only on the planner's state and the snapshot.
        """
        self._expire_old_migrations(fleet.now_us)
        max_migrations = self._max_migrations(fleet)
        capacity = TargetCapacity(fleet, self._limits)
        if max_migrations <= 0 or not capacity.targets:
            return []
        step = _StepPlan(fleet, capacity, max_migrations)
        for source in sorted(fleet.servers, key=lambda server: (-server.load, server.name)):
            if step.remaining_migrations <= 0 or source.load <= self._limits.overload_threshold:
                break
            if source.report_age_us <= self._limits.max_report_age_us:
                self._plan_source(source, step)
        self._allowance -= len(step.migrations)
        return step.migrations

    def _expire_old_migrations(self, now_us: int) -> None:
        since_us = now_us - self._limits.min_remigration_interval_us
        self._migrated_at_us = {client: at_us for client, at_us in self._migrated_at_us.items() if at_us > since_us}

    def _max_migrations(self, fleet: FleetSnapshot) -> int:
        """Refill the allowance, and return the maximum for this step, considering the migrations in flight."""
        limits = self._limits
        own_sessions = sum(len(server.own_sessions) for server in fleet.servers)
        step_s = limits.step_interval_us / 1e6
        refilled = self._allowance + limits.migration_rate * own_sessions * step_s
        self._allowance = min(max(1.0, limits.migration_rate * own_sessions), refilled)
        returning_since_us = fleet.now_us - limits.reconnect_window_us
        in_flight = sum(1 for at_us in self._migrated_at_us.values() if at_us > returning_since_us)
        return min(int(self._allowance), limits.max_migrations_in_flight - in_flight)

    def _plan_source(self, source: ServerSnapshot, step: _StepPlan) -> None:
        """Plan the migrations from one server, the highest net gain first."""
        quota = min(self._source_quota(source, step.capacity), step.remaining_migrations)
        for candidate in self._candidates(source, step.capacity):
            if quota <= 0:
                return
            session = candidate.session
            if step.group_migrations(session.group) >= self._limits.max_migrations_per_group:
                continue
            if not step.capacity.reserve(candidate.target, session):
                continue
            step.add(candidate)
            self._migrated_at_us[session.client] = step.now_us
            quota -= 1

    def _source_quota(self, source: ServerSnapshot, capacity: TargetCapacity) -> int:
        """Return this proxy's share of a fraction of the server's excess load, in sessions, rounded at random."""
        limits = self._limits
        target_load = max(limits.overload_threshold, capacity.balanced_load)
        excess = (source.load - target_load) / max(MIN_LOAD_PER_CONNECTION, source.load_per_connection)
        own_sessions = len(source.own_sessions)
        own_fraction = own_sessions / max(1.0, source.connections, float(own_sessions))
        expected = limits.excess_fraction * excess * own_fraction
        return min(limits.max_migrations_per_server, int(expected + self._random.random()))

    def _candidates(self, source: ServerSnapshot, capacity: TargetCapacity) -> list[_Candidate]:
        """Return the sessions whose migration gains more than it costs, the highest net gain first."""
        group_sizes: dict[int | None, int] = {}
        for session in source.own_sessions:
            group_sizes[session.group] = group_sizes.get(session.group, 0) + 1
        candidates = []
        for session in source.own_sessions:
            if session.client in self._migrated_at_us:
                continue
            is_last_of_group = session.group is not None and group_sizes[session.group] == 1
            candidate = self._evaluate(session, source, capacity, is_last_of_group=is_last_of_group)
            if candidate is not None and candidate.migration.gain > candidate.migration.cost:
                candidates.append(candidate)
        return sorted(
            candidates, key=lambda each: (each.migration.cost - each.migration.gain, each.migration.request_id)
        )

    def _evaluate(
        self, session: SessionSnapshot, source: ServerSnapshot, capacity: TargetCapacity, *, is_last_of_group: bool
    ) -> _Candidate | None:
        """Return the gain and cost of migrating one session, including its group's load at source and target."""
        limits = self._limits
        target = self._select_target(session, source, capacity)
        if target is None:
            return None
        load_before = capacity.load(target)
        load_after = capacity.load_with(target, session)
        freed_group_units = GROUP_LOAD_UNITS if is_last_of_group else 0.0
        freed_load = source.load_per_connection * (session.load_units + freed_group_units)
        on_time_at_source = self._on_time_fraction(source.load)
        on_time_after = self._on_time_fraction(load_after)
        gain_at_source = max(0.0, source.connections - 1.0) * (
            self._on_time_fraction(source.load - freed_load) - on_time_at_source
        )
        loss_at_target = max(0.0, target.connections) * (self._on_time_fraction(load_before) - on_time_after)
        own_gain = session.priority_weight * (on_time_after - on_time_at_source)
        migration = PlannedMigration(
            request_id=session.request_id,
            source=source.name,
            target=target.name,
            source_load=source.load,
            target_load=load_before,
            gain=gain_at_source - loss_at_target + own_gain,
            cost=session.priority_weight * limits.migration_cost_s / limits.gain_horizon_s,
        )
        return _Candidate(session, target, migration)

    def _select_target(
        self, session: SessionSnapshot, source: ServerSnapshot, capacity: TargetCapacity
    ) -> ServerSnapshot | None:
        """Return the target with the lowest load after the migration among those `min_load_gap` below the source."""
        best: ServerSnapshot | None = None
        best_load = math.inf
        for target in capacity.targets:
            if target.name == source.name:
                continue
            load_after = capacity.load_with(target, session)
            if source.load - load_after >= self._limits.min_load_gap and load_after < best_load:
                best = target
                best_load = load_after
        return best

    def _on_time_fraction(self, load: float) -> float:
        """Return the fraction of messages on time at a load, with the M/M/1 model of the emulator and the bench."""
        headroom = 1.0 - min(MAX_MODELLED_LOAD, max(0.0, load))
        return 1.0 - math.exp(-self._limits.latency_objective_ratio * headroom)
