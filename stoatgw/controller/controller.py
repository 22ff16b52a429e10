"""The controller: the one task that owns the decision policy and all request state, and reads messages from a queue.

It does for the policy what the simulator does in simulations: it numbers attempts, caps their deadlines at the
client's, marks final outcomes, and has the policy's actions executed.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from stoatgw.clock import Clock
from stoatgw.controller.actions import ActionExecutor, BackendGateway
from stoatgw.controller.attempts import AttemptTracker
from stoatgw.controller.decision_runner import DecisionRunner
from stoatgw.controller.drain import DrainSchedule
from stoatgw.controller.messages import (
    AttemptEnded,
    AttemptEstablished,
    BeginDrain,
    CancelDrain,
    ClientDisconnected,
    DrainAdmissionEnded,
    EndpointsUpdated,
    EvacuateServer,
    HealthCheckCompleted,
    Message,
    MigrateSession,
    RebalanceDue,
    RequestReceived,
    RequestTimedOut,
    SessionMetricObserved,
    SessionRestored,
    TimerFired,
)
from stoatgw.controller.migrations import MigrationPlanner, RebalanceLoop, SessionMigrator
from stoatgw.controller.policy import PolicyFactory
from stoatgw.controller.recovery import PolicyRecovery
from stoatgw.controller.requests import RequestTable
from stoatgw.controller.timers import PolicyTimers
from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import HealthCheckResult, Settings
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

MessageHandler = Callable[[Any], None]


class Controller:
    """Receives messages from all tasks of the proxy and handles them in one task.

    `start` is called once, before `run`. Other tasks only post messages and read state; they do not wait until a
    message is handled.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        make_policy: PolicyFactory = Balancer,
    ) -> None:
        self._clock = clock
        self._log = log
        self._queue: deque[Message] = deque()
        self._has_messages = asyncio.Event()
        drain = DrainSchedule(settings)
        self._decisions = DecisionRunner(settings, seed, make_policy)
        self._requests = RequestTable(settings, self._decisions, drain, self, counters)
        self._attempts = AttemptTracker(settings, self._decisions, self._requests, counters)
        self._migrations = SessionMigrator(self._requests, self._decisions, drain, self, counters)
        self._rebalancing = RebalanceLoop(self._decisions, drain, self, counters)
        self._timers = PolicyTimers(self._decisions, clock, self)
        self._actions = ActionExecutor(self._requests, self._attempts, self._migrations, self._timers, log)
        self._decisions.attach(self._actions)
        self._recovery = PolicyRecovery(self._decisions, self._requests, counters, log)
        self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[type[Message], MessageHandler]:
        return {
            RequestReceived: self._requests.handle_received,
            ClientDisconnected: self._requests.handle_disconnected,
            RequestTimedOut: self._requests.handle_timed_out,
            SessionRestored: self._handle_session_restored,
            AttemptEstablished: self._handle_attempt_established,
            AttemptEnded: self._attempts.handle_ended,
            SessionMetricObserved: self._attempts.handle_metric,
            EndpointsUpdated: self._handle_endpoints_updated,
            HealthCheckCompleted: self._handle_health_check_completed,
            TimerFired: self._timers.handle_fired,
            BeginDrain: self._migrations.handle_begin_drain,
            DrainAdmissionEnded: self._migrations.handle_admission_ended,
            CancelDrain: self._migrations.handle_cancel_drain,
            EvacuateServer: self._migrations.handle_evacuate_server,
            MigrateSession: self._migrations.handle_migrate_session,
            RebalanceDue: self._rebalancing.handle_due,
        }

    # Called from any task.

    def post(self, message: Message) -> None:
        """Queue a message, without blocking."""
        self._queue.append(message)
        self._has_messages.set()

    @property
    def open_requests(self) -> int:
        """The number of requests with state; 0 once all clients have disconnected, unless there is a leak."""
        return len(self._requests)

    def avoided_servers(self) -> list[str]:
        """Return the listed servers that the policy avoids now, without waiting for queued messages."""
        policy = self._decisions.migrating_policy
        return policy.avoided_servers(self._clock.now_us()) if policy is not None else []

    def connections_to(self, server: str) -> int:
        """Return the number of connections of this proxy to a server, established or being set up."""
        return self._requests.connections_to(server)

    # Called from the controller's task.

    def start(self, gateway: BackendGateway, migration_planner: MigrationPlanner | None = None) -> None:
        """Start the policy, and rebalancing if there is a planner."""
        self._actions.connect(gateway)
        self._decisions.now_us = self._clock.now_us()
        self._decisions.start()
        if migration_planner is not None:
            self._rebalancing.start(migration_planner)

    async def run(self) -> None:
        """Handle messages until the task is cancelled, which takes effect only while it waits for messages."""
        while True:
            await self._has_messages.wait()
            self._has_messages.clear()
            # All messages queued so far form one batch with one timestamp, as in the simulator.
            self._decisions.now_us = self._clock.now_us()
            for _ in range(len(self._queue)):
                self._handle(self._queue.popleft())

    def _handle(self, message: Message) -> None:
        """Handle a message; an exception affects this message only."""
        try:
            self._handlers[type(message)](message)
        except Exception as error:
            try:
                self._recovery.recover(error)
            except Exception as second_error:  # the new policy failed too: continue with the next message
                self._log.event("recovery_failed", error=repr(second_error))

    def _handle_session_restored(self, message: SessionRestored) -> None:
        self._attempts.handle_restored(message)
        self._migrations.on_established(message.state)

    def _handle_attempt_established(self, message: AttemptEstablished) -> None:
        if self._attempts.handle_established(message):
            self._migrations.on_established(message.state)

    def _handle_endpoints_updated(self, message: EndpointsUpdated) -> None:
        self._decisions.notify(message.update)

    def _handle_health_check_completed(self, message: HealthCheckCompleted) -> None:
        result = HealthCheckResult(message.server, message.status, message.elapsed_us, message.load_report)
        self._decisions.notify(result)
