"""A test harness: one balancer with a clock, and short methods to send it events."""

from __future__ import annotations

from typing import Any, TypeVar

from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import (
    Action,
    AttemptEstablished,
    AttemptOutcome,
    AttemptStatus,
    CheckHealth,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    HealthCheckResult,
    Lifecycle,
    Request,
    RequestClass,
    Send,
    SessionMetric,
    SessionMetricKind,
    Settings,
    TimerExpired,
)
from stoatgw.decisions.state.context import DecisionContext
from stoatgw.decisions.state.server_state import ServerState

ActionT = TypeVar("ActionT", bound=Action)
SECOND = 1_000_000
T0 = 1_000 * SECOND


def settings(**changes: Any) -> Settings:
    """Return the settings of a simple deployment, with changes."""
    defaults: dict[str, Any] = {
        "profiles": (
            RequestClass(on_time_us=300_000, deadline_us=2 * SECOND, worth=5.0, message_aim_us=100_000),
            RequestClass(on_time_us=300_000, deadline_us=2 * SECOND, worth=1.0, message_aim_us=60_000),
        ),
        "max_attempts": 4,
        "can_probe": True,
        "can_cancel": True,
        "can_advise_retry_after": True,
        "max_retry_after_us": 1_500_000,
        "counted_by_work": True,
        "report_columns": ("x0", "outstanding"),
        "answer_slack_us": 20_000,
        "cold_from": 0.2,
        "cold_us": 10 * SECOND,
        "drain_grace_us": SECOND,
        "fall_multiple": 3.0,
        "fall_us": SECOND,
        "granularity_us": 5_000,
    }
    return Settings(**(defaults | changes))


class BalancerHarness:
    """Drives one balancer and stores the actions of the last event."""

    def __init__(self, config: Settings | None = None, seed: int = 7) -> None:
        self.balancer = Balancer(config or settings(), seed)
        self.now_us = T0
        self.request_count = 0
        # The last result of each server, which answers every later health check of it.
        self.health_check_results: dict[str, HealthCheckResult] = {}
        self.actions = self.balancer.start(self.now_us)

    @property
    def context(self) -> DecisionContext:
        """The state of the balancer."""
        return self.balancer._context

    def server(self, name: str) -> ServerState:
        """Return the state of a listed server."""
        return self.context.fleet.servers[name]

    def warm_up_fraction(self, name: str) -> float:
        """Return a server's warm-up fraction, as the balancer computes it."""
        return self.server(name).warm_up_fraction(self.now_us, self.context.settings)

    def handle(self, event: Event) -> list[Action]:
        """Handle one event at the current time."""
        self.actions = self.balancer.handle(event, self.now_us)
        if isinstance(event, HealthCheckResult):
            self.health_check_results[event.server] = event
        return self.actions

    def update_endpoints(
        self, *endpoints: Endpoint, kind: EndpointUpdateKind = EndpointUpdateKind.SNAPSHOT
    ) -> list[Action]:
        """Handle an update of the endpoint list."""
        return self.handle(EndpointUpdate(kind, 1, endpoints))

    def list_servers(self, **zones: int) -> None:
        """List these warm servers, given by name and zone, and no others."""
        self.update_endpoints(*(Endpoint(name, zone=zone) for name, zone in zones.items()))

    def report(self, server: str, load: float | None, count: float | None) -> list[Action]:
        """Handle a health check's result with a load report."""
        return self.handle(HealthCheckResult(server, AttemptStatus.DELIVERED, 1_000, (load, count)))

    def advance_period(self, seconds: float = 1.0) -> list[Action]:
        """Advance the clock by `seconds` and end the period."""
        self.now_us += int(seconds * SECOND)
        return self.handle(TimerExpired(0))

    def request(self, request_class: int = 0, **fields: Any) -> list[Action]:
        """Request a connection, and answer the health checks that the request causes."""
        self.request_count += 1
        request_id = fields.pop("request_id", f"{self.request_count:016x}")
        return self.answer_health_checks(self.handle(Request(request_id, request_class, 2 * SECOND, **fields)))

    def answer_health_checks(self, actions: list[Action]) -> list[Action]:
        """Answer each health check in the actions with its server's last result, or a timeout; return all actions."""
        all_actions: list[Action] = []
        while actions:
            all_actions += actions
            checked = [action.server for action in actions if isinstance(action, CheckHealth)]
            actions = []
            for server in checked:
                unanswered = HealthCheckResult(server, AttemptStatus.EXPIRED, 500_000, ())
                actions += self.balancer.handle(self.health_check_results.get(server, unanswered), self.now_us)
        self.actions = all_actions
        return all_actions

    def establish(self, request_id: str, server: str, attempt: int = 0) -> list[Action]:
        """Establish the connection of an attempt."""
        return self.handle(AttemptEstablished(request_id, attempt, server, 10_000))

    def end_attempt(
        self, request_id: str, server: str, status: AttemptStatus, *, is_final: bool = False, attempt: int = 0
    ) -> list[Action]:
        """End an attempt or its established connection."""
        return self.handle(AttemptOutcome(request_id, attempt, server, status, 10_000, is_final))

    def report_latency(self, request_id: str, server: str, latency_ms: float) -> list[Action]:
        """Handle a message latency."""
        return self.handle(SessionMetric(request_id, 0, server, SessionMetricKind.LATENCY, latency_ms))

    def actions_of(self, kind: type[ActionT]) -> list[ActionT]:
        """Return the last actions that are of one type."""
        return [action for action in self.actions if isinstance(action, kind)]

    def sent_to(self) -> str | None:
        """Return the server that the last actions send a request to, if any."""
        sends = self.actions_of(Send)
        return sends[0].server if sends else None


def draining(name: str, zone: int = 0) -> Endpoint:
    """Return an endpoint that is draining."""
    return Endpoint(name, Lifecycle.DRAINING, zone)
