"""A small stand for the tests: one balancer, a clock, and shorthands for events. No bench."""

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

A = TypeVar("A", bound=Action)
SECOND = 1_000_000
T0 = 1_000 * SECOND


def settings(**changes: Any) -> Settings:
    """Settings of a plain deployment, with changes."""
    base: dict[str, Any] = {
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
    return Settings(**(base | changes))


class Stand:
    """Drives one balancer and remembers the actions of the last event."""

    def __init__(self, config: Settings | None = None, seed: int = 7) -> None:
        self.balancer = Balancer(config or settings(), seed)
        self.now_us = T0
        self.asked = 0
        self.told: dict[str, HealthCheckResult] = {}  # what each server last said, and says again when it is probed
        self.actions = self.balancer.start(self.now_us)

    @property
    def context(self) -> DecisionContext:
        """What the balancer knows."""
        return self.balancer._context

    def server(self, name: str) -> ServerState:
        """What the balancer knows of a listed server."""
        return self.context.fleet.servers[name]

    def warm_up_fraction(self, name: str) -> float:
        """How far a server has warmed up, by what the balancer knows."""
        return self.server(name).warm_up_fraction(self.now_us, self.context.settings)

    def event(self, event: Event) -> list[Action]:
        self.actions = self.balancer.handle(event, self.now_us)
        if isinstance(event, HealthCheckResult):
            self.told[event.server] = event
        return self.actions

    def servers(self, *entries: Endpoint, kind: EndpointUpdateKind = EndpointUpdateKind.SNAPSHOT) -> list[Action]:
        return self.event(EndpointUpdate(kind, 1, entries))

    def fleet(self, **zones: int) -> None:
        """A list of settled servers by name and zone."""
        self.servers(*(Endpoint(name, zone=zone) for name, zone in zones.items()))

    def report(self, server: str, load: float | None, count: float | None) -> list[Action]:
        return self.event(HealthCheckResult(server, AttemptStatus.DELIVERED, 1_000, (load, count)))

    def period(self, seconds: float = 1.0) -> list[Action]:
        self.now_us += int(seconds * SECOND)
        return self.event(TimerExpired(0))

    def ask(self, profile: int = 0, **fields: Any) -> list[Action]:
        self.asked += 1
        request = fields.pop("request", f"{self.asked:016x}")
        left_us = fields.pop("patience_left_us", 2 * SECOND)
        return self.answered(self.event(Request(request, profile, left_us, **fields)))

    def answered(self, actions: list[Action]) -> list[Action]:
        """What comes of these once every probe among them is answered: by what its server last said, or by nothing."""
        done: list[Action] = []
        while actions:
            done += actions
            probes = [action.server for action in actions if isinstance(action, CheckHealth)]
            actions = []
            for server in probes:
                silent = HealthCheckResult(server, AttemptStatus.EXPIRED, 500_000, ())
                actions += self.balancer.handle(self.told.get(server, silent), self.now_us)
        self.actions = done
        return done

    def begin(self, request: str, server: str, attempt: int = 0) -> list[Action]:
        return self.event(AttemptEstablished(request, attempt, server, 10_000))

    def ended(
        self, request: str, server: str, status: AttemptStatus, final: bool = False, attempt: int = 0
    ) -> list[Action]:
        return self.event(AttemptOutcome(request, attempt, server, status, 10_000, final))

    def late(self, request: str, server: str, delay_ms: float) -> list[Action]:
        return self.event(SessionMetric(request, 0, server, SessionMetricKind.DELAY, delay_ms))

    def of(self, kind: type[A]) -> list[A]:
        return [action for action in self.actions if isinstance(action, kind)]

    def sent_to(self) -> str | None:
        sends = self.of(Send)
        return sends[0].server if sends else None


def drain(name: str, zone: int = 0) -> Endpoint:
    return Endpoint(name, Lifecycle.DRAINING, zone)
