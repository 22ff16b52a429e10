"""The planner: each step takes a snapshot and gives the few migrations that are worth their cost. No clock, no IO.

A step migrates a fraction of the excess only, and a random one: N proxies that see the same late snapshot compute the
same excess, and each migrates its own sessions' share of it, so that together they come near balance without passing
it. docs/recovery.md has the reasoning.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from stoatgw.rebalance.limits import RebalanceLimits
from stoatgw.rebalance.snapshot import FleetSnapshot, PlannedMigration, ServerSnapshot, SessionSnapshot
from stoatgw.rebalance.target_capacity import GROUP_LOAD_UNITS, MIN_LOAD_PER_CONNECTION, TargetCapacity

MAX_MODELLED_LOAD = 0.98  # messages' timeliness is modelled up to this load


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A session that may be migrated, with the target that would have the least load after it."""

    session: SessionSnapshot
    target: ServerSnapshot
    migration: PlannedMigration


class _Step:
    """What one step has planned so far, and what it may plan."""

    def __init__(self, fleet: FleetSnapshot, capacity: TargetCapacity, max_migrations: int) -> None:
        self.now_us = fleet.now_us
        self.capacity = capacity
        self.migrations: list[PlannedMigration] = []
        self._max_migrations = max_migrations
        self._migrations_by_group: dict[int, int] = {}

    @property
    def remaining_migrations(self) -> int:
        """How many migrations the step may still plan."""
        return self._max_migrations - len(self.migrations)

    def group_migrations(self, group: int | None) -> int:
        """Planned migrations of a group; 0 for sessions of none."""
        return 0 if group is None else self._migrations_by_group.get(group, 0)

    def add(self, candidate: _Candidate) -> None:
        """Add a migration whose capacity is reserved."""
        group = candidate.session.group
        if group is not None:
            self._migrations_by_group[group] = self.group_migrations(group) + 1
        self.migrations.append(candidate.migration)


class RebalancePlanner:
    """Plans migrations step by step; remembers which clients it migrated, and its rate's allowance."""

    def __init__(self, limits: RebalanceLimits, seed: int) -> None:
        self._limits = limits
        self._random = random.Random(seed)
        self._migrated_at_us: dict[int | str, int] = {}  # by client, within min_remigration_interval_us
        self._allowance = 0.0  # a token bucket: migrations that the rate allows by now

    def plan(self, fleet: FleetSnapshot) -> list[PlannedMigration]:
        """The migrations of this step, by source from the highest load. Same state and snapshot, same plan."""
        self._forget_old_migrations(fleet.now_us)
        max_migrations = self._max_migrations(fleet)
        capacity = TargetCapacity(fleet, self._limits)
        if max_migrations <= 0 or not capacity.targets:
            return []
        step = _Step(fleet, capacity, max_migrations)
        for source in sorted(fleet.servers, key=lambda server: (-server.load, server.name)):
            if step.remaining_migrations <= 0 or source.load <= self._limits.overload_threshold:
                break
            if source.report_age_us <= self._limits.max_report_age_us:
                self._plan_source(source, step)
        self._allowance -= len(step.migrations)
        return step.migrations

    def _forget_old_migrations(self, now_us: int) -> None:
        since_us = now_us - self._limits.min_remigration_interval_us
        self._migrated_at_us = {client: at_us for client, at_us in self._migrated_at_us.items() if at_us > since_us}

    def _max_migrations(self, fleet: FleetSnapshot) -> int:
        """Refill the allowance, and take from it what is still in flight."""
        limits = self._limits
        own_sessions = sum(len(server.own_sessions) for server in fleet.servers)
        step_s = limits.step_interval_us / 1e6
        refilled = self._allowance + limits.migration_rate * own_sessions * step_s
        self._allowance = min(max(1.0, limits.migration_rate * own_sessions), refilled)
        returning_since_us = fleet.now_us - limits.reconnect_window_us
        in_flight = sum(1 for at_us in self._migrated_at_us.values() if at_us > returning_since_us)
        return min(int(self._allowance), limits.max_migrations_in_flight - in_flight)

    def _plan_source(self, source: ServerSnapshot, step: _Step) -> None:
        """Plan the migrations from one server, the best first."""
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
        """This proxy's share of a fraction of the server's excess, in sessions, rounded at random."""
        limits = self._limits
        target_load = max(limits.overload_threshold, capacity.balanced_load)
        excess = (source.load - target_load) / max(MIN_LOAD_PER_CONNECTION, source.load_per_connection)
        own_sessions = len(source.own_sessions)
        own_fraction = own_sessions / max(1.0, source.connections, float(own_sessions))
        expected = limits.excess_fraction * excess * own_fraction
        return min(limits.max_migrations_per_server, int(expected + self._random.random()))

    def _candidates(self, source: ServerSnapshot, capacity: TargetCapacity) -> list[_Candidate]:
        """The sessions whose migration gains more than it costs, by net gain."""
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
        """What migrating one session gains and costs, its group's load on both sides included."""
        limits = self._limits
        target = self._select_target(session, source, capacity)
        if target is None:
            return None
        load_before = capacity.load(target)
        load_after = capacity.load_with(target, session)
        freed_group_units = GROUP_LOAD_UNITS if is_last_of_group else 0.0
        freed_load = source.load_per_connection * (session.load_units + freed_group_units)
        timeliness_at_source = self._timeliness(source.load)
        timeliness_after = self._timeliness(load_after)
        gain_at_source = max(0.0, source.connections - 1.0) * (
            self._timeliness(source.load - freed_load) - timeliness_at_source
        )
        loss_at_target = max(0.0, target.connections) * (self._timeliness(load_before) - timeliness_after)
        own_gain = session.priority_weight * (timeliness_after - timeliness_at_source)
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
        """The target with the least load after the migration, if that stays enough under the source's."""
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

    def _timeliness(self, load: float) -> float:
        """Fraction of messages in time at a load, as the emulator's and the bench's servers have it."""
        headroom = 1.0 - min(MAX_MODELLED_LOAD, max(0.0, load))
        return 1.0 - math.exp(-self._limits.latency_objective_ratio * headroom)
