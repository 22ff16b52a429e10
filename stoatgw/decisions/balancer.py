"""The policy: it maps events to actions, whose types are in `stoatgw/decisions/interface.py`.

One `Balancer` is one balancer instance: it handles an event at a given time and returns actions.
docs/design.md explains the rule: a ready server is admitted while r * (n + 1) is below the margin.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stoatgw.decisions import admission, health_checking, overload, placement, server_selection
from stoatgw.decisions import interface as api
from stoatgw.decisions.state import PERIOD_US, DecisionContext, LoadReport, ServerState

# If there are more, each receives a request only every few seconds, and slow start is shared by slots.
MANY_BALANCERS_THRESHOLD = 8
PERIOD_TIMER = 0  # token of the timer that ends a period


class Balancer:
    """The decisions of one balancer, which handles events in order and returns the actions for each."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Create a balancer without any observations; `seed` determines its random draws."""
        self._context = DecisionContext.create(
            settings,
            seed=seed,
            has_many_balancers=settings.balancers > MANY_BALANCERS_THRESHOLD,
            health_check_credit=health_checking.INITIAL_CHECKS,
        )
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self._on_request,
            api.SessionRestored: self._context.restore_session,
            api.AttemptEstablished: self._on_attempt_established,
            api.AttemptOutcome: self._on_attempt_outcome,
            api.ClientDisconnected: self._context.record_disconnect,
            api.SessionMetric: self._on_session_metric,
            api.EndpointUpdate: self._on_endpoint_update,
            api.HealthCheckResult: self._on_health_check_result,
            api.TimerExpired: self._on_timer_expired,
        }

    def start(self, now_us: int) -> list[api.Action]:
        """Begin the first period, and subscribe to the endpoint list if the settings require it."""
        return self.handle(api.TimerExpired(PERIOD_TIMER), now_us)

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        """Handle one event and return the resulting actions in order; events of other types are ignored."""
        context = self._context
        context.now_us = now_us
        context.actions = []
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return context.actions

    def estimates(self, now_us: int) -> list[api.ServerEstimate]:
        """Return the estimates of each ready server; the call does not affect decisions."""
        self._context.now_us = now_us
        return self._context.estimate_servers(max_setups=server_selection.MAX_SETUPS_PER_SERVER)

    def avoided_servers(self, now_us: int) -> list[str]:
        """Return the listed servers that are draining or unhealthy; the call does not affect decisions."""
        self._context.now_us = now_us
        return self._context.avoided_servers()

    def migrate(self, request_id: str) -> list[api.Action]:
        """Migrate a connection, as planned elsewhere; return no action if it is no longer established."""
        return [api.Migrate(request_id)] if self._context.begin_migration(request_id) else []

    def _on_request(self, request: api.Request) -> None:
        placement.place(self._context, self._context.open_request(request))

    def _on_attempt_established(self, event: api.AttemptEstablished) -> None:
        context = self._context
        connection = context.connections.get(event.request_id)
        if connection is not None and connection.server is not None:
            context.record_established(connection, connection.server)
            if connection.erring_server is not None:
                # Another server accepted the request, so the error was the fault of the first one.
                overload.eject_for_setup(context, connection.erring_server, api.AttemptStatus.APP_ERROR)

    def _on_attempt_outcome(self, event: api.AttemptOutcome) -> None:
        context = self._context
        connection = context.connections.get(event.request_id)
        if connection is None:
            return
        server = connection.server
        if server is not None:
            context.record_outcome(connection, server, event.status)
            self._record_report(server, event.load_report)
            overload.eject_for_outcome(context, connection, server, event.status)
        placement.retry_or_close(context, connection, is_answered=event.is_final)

    def _on_session_metric(self, event: api.SessionMetric) -> None:
        server = self._context.fleet.servers.get(event.server)
        if server is not None and event.kind is api.SessionMetricKind.LATENCY:
            overload.check_message_latency(self._context, server, event.value)

    def _on_endpoint_update(self, event: api.EndpointUpdate) -> None:
        if self._context.apply_endpoint_update(event):
            self._rebuild_pools()

    def _on_health_check_result(self, event: api.HealthCheckResult) -> None:
        context = self._context
        server = context.fleet.servers.get(event.server)
        if server is not None:
            server.record_health_check(has_responded=event.status is api.AttemptStatus.DELIVERED)
            context.fleet.record_contact(server, event.status, context.now_us)
            self._record_report(server, event.load_report)
            overload.check_reported_load(context, server)
        self._place_waiting(context.pending_checks.complete(event.server))

    def _record_report(self, server: ServerState, row: tuple[float | None, ...]) -> None:
        context = self._context
        report = LoadReport.parse(context.settings.report_columns, row)
        if report is not None:
            if server.shows_restart(report.connections):
                server.record_restart(context.now_us)
                self._rebuild_pools()
            context.estimator.record_report(server, report, context.now_us)

    def _on_timer_expired(self, event: api.TimerExpired) -> None:
        if event.token == PERIOD_TIMER:
            self._begin_period()
        else:
            self._place_waiting(self._context.pending_checks.expire(event.token))

    def _begin_period(self) -> None:
        context = self._context
        context.actions.append(api.SetTimer(context.now_us + PERIOD_US, PERIOD_TIMER))
        if context.subscription.begin_if_due(context.now_us):
            context.actions.append(api.Subscribe(True))
        context.begin_period()
        context.counts.rejected_priority *= admission.REJECTED_PRIORITY_DECAY
        health_checking.grant_health_checks(context)
        self._rebuild_pools()

    def _rebuild_pools(self) -> None:
        self._context.rebuild_server_pools(max_report_age_us=server_selection.RECENT_REPORT_US)
        health_checking.check_oldest(self._context)

    def _place_waiting(self, request_ids: list[str]) -> None:
        for request_id in request_ids:
            placement.place(self._context, self._context.connections[request_id])
