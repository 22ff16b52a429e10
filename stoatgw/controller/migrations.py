"""Migration of established sessions: in a drain, away from suspended servers, and for rebalancing."""

from __future__ import annotations

import asyncio
from typing import Protocol

from stoatgw.controller.decision_runner import DecisionRunner
from stoatgw.controller.drain import DrainSchedule
from stoatgw.controller.messages import (
    BeginDrain,
    CancelDrain,
    DrainAdmissionEnded,
    EvacuateServer,
    MessageQueue,
    MigrateSession,
    RebalanceDue,
    RequestState,
)
from stoatgw.controller.reasons import MigrationReason
from stoatgw.controller.requests import RequestTable
from stoatgw.controller.timers import post_later
from stoatgw.decisions.interface import Migrate, ServerEstimate
from stoatgw.telemetry.counters import Counters


class SessionMigrator:
    """Migrates sessions in drains and away from suspended servers, each at its scheduled time.

    Called from the controller's task only.
    """

    def __init__(
        self,
        requests: RequestTable,
        decisions: DecisionRunner,
        drain: DrainSchedule,
        queue: MessageQueue,
        counters: Counters,
    ) -> None:
        self._requests = requests
        self._decisions = decisions
        self._drain = drain
        self._queue = queue
        self._counters = counters
        self._drain_timers: list[asyncio.TimerHandle] = []
        self._evacuation_timers: dict[str, list[asyncio.TimerHandle]] = {}  # by suspended server

    # Drain.

    def handle_begin_drain(self, message: BeginDrain) -> None:
        """Begin a drain: waiting requests are answered now or when admission ends, and all sessions migrate."""
        self._cancel_drain_timers()
        self._drain.begin(message, self._decisions.now_us)
        sessions = list(self._requests.established())
        if message.admission_window_us:
            self._drain_timers.append(post_later(self._queue, message.admission_window_us / 1e6, DrainAdmissionEnded()))
        else:
            self._requests.answer_all_waiting()
        for state, delay_s in zip(sessions, self._drain.migration_delays_s(len(sessions)), strict=True):
            self._drain_timers.append(post_later(self._queue, delay_s, MigrateSession(state, MigrationReason.DRAIN)))

    def handle_admission_ended(self, _message: DrainAdmissionEnded) -> None:
        """Answer the requests that are still waiting."""
        self._requests.answer_all_waiting()

    def handle_cancel_drain(self, _message: CancelDrain) -> None:
        """Cancel the drain; sessions that have not migrated yet remain."""
        self._cancel_drain_timers()
        self._drain.cancel()

    def _cancel_drain_timers(self) -> None:
        for timer in self._drain_timers:
            timer.cancel()
        self._drain_timers.clear()

    # Suspended servers.

    def handle_evacuate_server(self, message: EvacuateServer) -> None:
        """Schedule the migrations away from a suspended server, one after another, or cancel them once it is resumed.

        The endpoint list does not show the server as draining, so its restart would break the sessions.
        """
        for timer in self._evacuation_timers.pop(message.server, []):
            timer.cancel()
        if not message.is_suspended:
            return
        sessions = [state for state in self._requests.established() if state.server == message.server]
        window_s = message.migration_window_us / 1e6
        self._evacuation_timers[message.server] = [
            post_later(
                self._queue,
                window_s * index / len(sessions),
                MigrateSession(state, MigrationReason.SERVER_SUSPENDED),
            )
            for index, state in enumerate(sessions)
        ]

    # Single sessions.

    def handle_migrate_session(self, message: MigrateSession) -> None:
        """Migrate a session that is due in a drain or an evacuation, if it is still established."""
        state = message.state
        if state.is_established and state.active_attempt is not None:
            self._migrate(state, message.reason)

    def on_established(self, state: RequestState) -> None:
        """Migrate or schedule a new session if the proxy is draining or its server was suspended in the meantime."""
        if self._drain.is_draining:
            delay_s = self._drain.next_late_migration_delay_s(self._decisions.now_us)
            if delay_s > 0:
                self._drain_timers.append(
                    post_later(self._queue, delay_s, MigrateSession(state, MigrationReason.DRAIN))
                )
            else:
                self._migrate(state, MigrationReason.DRAIN)
        elif state.server in self._evacuation_timers:
            self._migrate(state, MigrationReason.SERVER_SUSPENDED)

    def perform_migrate(self, action: Migrate) -> None:
        """Migrate a session for the policy, or for a rebalancing plan whose migration the policy has recorded."""
        state = self._requests.get(action.request_id)
        if state is not None and state.is_established:
            self._counters.add("migrations")
            state.migration_reason = MigrationReason.POLICY
            state.handler.migrate()

    def _migrate(self, state: RequestState, reason: MigrationReason) -> None:
        """Migrate a session after the policy has recorded the migration.

        Otherwise the policy would mistake the sessions ended by this proxy's drain for failures of the servers, and
        avoid all servers for seconds after the drain is cancelled.
        """
        policy = self._decisions.migrating_policy
        if policy is not None:
            policy.migrate(state.request.request_id)
        state.migration_reason = reason
        state.handler.migrate()


class MigrationPlanner(Protocol):
    """Plans migrations of established sessions; used only if the operators' file enables rebalancing.

    Attributes:
        interval_us: The time between two steps.
    """

    interval_us: int

    def plan(self, estimates: list[ServerEstimate], now_us: int) -> list[str]:
        """Return the ids of the requests whose sessions migrate in this step, in order."""
        ...


class RebalanceLoop:
    """Runs a planner at an interval and migrates the sessions that it selects, until a drain begins.

    Called from the controller's task only.
    """

    def __init__(
        self, decisions: DecisionRunner, drain: DrainSchedule, queue: MessageQueue, counters: Counters
    ) -> None:
        self._decisions = decisions
        self._drain = drain
        self._queue = queue
        self._counters = counters
        self._planner: MigrationPlanner | None = None

    def start(self, planner: MigrationPlanner) -> None:
        """Schedule the first step."""
        self._planner = planner
        self._schedule_step(planner)

    def handle_due(self, _message: RebalanceDue) -> None:
        """Execute one step; the next one is scheduled first, so that an exception ends this step only."""
        planner = self._planner
        if planner is None or self._drain.is_draining:
            return
        self._schedule_step(planner)
        policy = self._decisions.migrating_policy
        if policy is None:
            return
        now_us = self._decisions.now_us
        for request_id in planner.plan(policy.estimates(now_us), now_us):
            self._counters.add("migrations_planned")
            self._decisions.perform(policy.migrate(request_id))

    def _schedule_step(self, planner: MigrationPlanner) -> None:
        post_later(self._queue, planner.interval_us / 1e6, RebalanceDue())
