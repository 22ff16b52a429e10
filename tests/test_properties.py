"""One balancer keeps the rules that it can keep alone, in any legal sequence of events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from stoatgw.decisions.interface import (
    Action,
    AttemptEstablished,
    AttemptOutcome,
    AttemptStatus,
    ClientDisconnected,
    Endpoint,
    EndpointUpdateKind,
    Fail,
    HealthCheckResult,
    Idempotency,
    KeyScope,
    Lifecycle,
    Migrate,
    Reject,
    Request,
    RequestClass,
    Send,
    SessionMetric,
    SessionMetricKind,
)
from tests import balancer_harness
from tests.balancer_harness import SECOND, T0, BalancerHarness

PROFILES = tuple(
    RequestClass(200_000, SECOND, worth, idempotency, scope, 700_000, 80_000)
    for worth, idempotency, scope in (
        (3.0, Idempotency.RETRYABLE, KeyScope.ALL),
        (1.0, Idempotency.FRAGILE, KeyScope.ALL),
        (1.0, Idempotency.DEDUP, KeyScope.ALL),
        (1.0, Idempotency.DEDUP, KeyScope.ZONE),
        (1.0, Idempotency.DEDUP, KeyScope.CELL),
    )
)
NEVER_RAN = (AttemptStatus.SHED, AttemptStatus.DIAL_FAILED, AttemptStatus.UNUSED)
SERVERS = tuple(f"s{index}" for index in range(6))
NUMBER = st.floats(allow_nan=True, allow_infinity=True) | st.floats(0, 2) | st.integers(0, 50).map(float)


@dataclass
class TrackedRequest:
    """The state of one request as the client and the rules see it."""

    profile: RequestClass
    deadline_us: int
    attempts: list[Send] = field(default_factory=list)
    is_in_flight: bool = False
    is_established: bool = False
    has_ended: bool = False
    first_run: tuple[Endpoint, int] | None = None  # server and time of the first attempt that may have run


InFlight = list[tuple[str, TrackedRequest]]  # requests with an attempt in flight, by id


class World:
    """Sends legal events to a balancer and checks every action against the rules."""

    def __init__(self, draw: st.DataObject) -> None:
        self.draw = draw
        self.harness = BalancerHarness(
            balancer_harness.settings(
                profiles=PROFILES,
                balancers=draw.draw(st.integers(1, 4)),
                max_attempts=draw.draw(st.integers(1, 4)),
                can_probe=draw.draw(st.booleans()),
                groups=draw.draw(st.booleans()),
                tenant_quota_connections=draw.draw(st.sampled_from([(), (1.0, 5.0)])),
            )
        )
        self.endpoints = {name: Endpoint(name, zone=index % 3, cell=index // 2) for index, name in enumerate(SERVERS)}
        self.inactive_since_us: dict[str, int] = {}
        self.requests: dict[str, TrackedRequest] = {}
        self.check(self.harness.update_endpoints(*self.endpoints.values()))

    def check(self, actions: list[Action]) -> None:
        now_us = self.harness.now_us
        for action in actions:
            if isinstance(action, Send):
                tracked = self.requests[action.request_id]
                endpoint = self.endpoints[action.server]
                assert not tracked.has_ended
                assert not tracked.is_in_flight
                assert not tracked.is_established
                assert now_us < action.deadline_us < tracked.deadline_us
                assert len(tracked.attempts) < self.harness.context.settings.max_attempts
                if action.server in self.inactive_since_us:
                    assert now_us <= self.inactive_since_us[action.server] + SECOND
                self.check_repeat(tracked, endpoint)
                tracked.attempts.append(action)
                tracked.is_in_flight = True
            elif isinstance(action, Reject | Fail):
                tracked = self.requests[action.request_id]
                assert not tracked.has_ended
                assert not tracked.is_in_flight
                assert not tracked.is_established
                tracked.has_ended = True
                profile = tracked.profile
                if isinstance(action, Reject) and tracked.first_run is not None:
                    assert profile.idempotency is not Idempotency.FRAGILE
                    assert profile.idempotency is Idempotency.RETRYABLE or profile.key_scope is KeyScope.ALL
            elif isinstance(action, Migrate):
                assert self.requests[action.request_id].is_established
        for tracked in self.requests.values():
            assert tracked.has_ended or tracked.is_in_flight or tracked.is_established, "no request stays unanswered"

    def check_repeat(self, tracked: TrackedRequest, endpoint: Endpoint) -> None:
        if tracked.first_run is None or tracked.profile.idempotency is Idempotency.RETRYABLE:
            return
        assert tracked.profile.idempotency is Idempotency.DEDUP
        first_endpoint, sent_us = tracked.first_run
        assert self.harness.now_us <= sent_us + tracked.profile.key_ttl_us
        if tracked.profile.key_scope is KeyScope.ZONE:
            assert endpoint.zone == first_endpoint.zone
        if tracked.profile.key_scope is KeyScope.CELL:
            assert endpoint.cell == first_endpoint.cell

    def step(self) -> None:
        pick = self.draw.draw
        self.harness.now_us += pick(st.sampled_from([0, 1_000, 50_000, 400_000]))
        in_flight = [(request_id, tracked) for request_id, tracked in self.requests.items() if tracked.is_in_flight]
        overdue = [item for item in in_flight if item[1].attempts[-1].deadline_us <= self.harness.now_us]
        if overdue:
            self.end_attempt(*overdue[0], AttemptStatus.EXPIRED)
            return
        steps: list[Callable[[InFlight], None]] = [
            self.request,
            self.request,
            self.fail_attempt,
            self.establish,
            self.check_health,
            self.report_latency,
            self.change_list,
            self.end_period,
            self.disconnect,
        ]
        pick(st.sampled_from(steps))(in_flight)

    def request(self, _: InFlight) -> None:
        pick = self.draw.draw
        request_id = f"{len(self.requests):016x}"
        request_class = pick(st.integers(0, len(PROFILES) - 1))
        time_left_us = pick(st.integers(1, SECOND))
        self.requests[request_id] = TrackedRequest(PROFILES[request_class], self.harness.now_us + time_left_us)
        request = Request(
            request_id,
            request_class,
            time_left_us,
            tenant=pick(st.integers(0, 2)),
            group=pick(st.none() | st.integers(0, 3)),
            hint_us=pick(st.none() | st.integers(-5, 10**15)),
            hint_valid=pick(st.booleans()),
        )
        self.check(self.harness.handle(request))

    def fail_attempt(self, in_flight: InFlight) -> None:
        if in_flight:
            request_id, tracked = self.draw.draw(st.sampled_from(in_flight))
            failures = [status for status in AttemptStatus if status is not AttemptStatus.DELIVERED]
            self.end_attempt(request_id, tracked, self.draw.draw(st.sampled_from(failures)))

    def establish(self, in_flight: InFlight) -> None:
        if in_flight:
            request_id, tracked = self.draw.draw(st.sampled_from(in_flight))
            tracked.is_in_flight = False
            tracked.is_established = True
            attempt = len(tracked.attempts) - 1
            self.check(self.harness.handle(AttemptEstablished(request_id, attempt, tracked.attempts[-1].server, 5)))

    def check_health(self, _: InFlight) -> None:
        pick = self.draw.draw
        status = pick(st.sampled_from([AttemptStatus.DELIVERED, AttemptStatus.DELIVERED, AttemptStatus.EXPIRED]))
        load_report = (pick(NUMBER | st.none()), pick(NUMBER | st.none()))
        self.check(self.harness.handle(HealthCheckResult(pick(st.sampled_from(SERVERS)), status, 5, load_report)))

    def report_latency(self, _: InFlight) -> None:
        established = [
            request_id
            for request_id, tracked in self.requests.items()
            if tracked.is_established and not tracked.has_ended
        ]
        if established:
            request_id = self.draw.draw(st.sampled_from(established))
            server = self.requests[request_id].attempts[-1].server
            latency_ms = self.draw.draw(NUMBER | st.floats(50, 5000))
            self.check(self.harness.handle(SessionMetric(request_id, 0, server, SessionMetricKind.LATENCY, latency_ms)))

    def end_period(self, _: InFlight) -> None:
        self.check(self.harness.advance_period(0))

    def disconnect(self, in_flight: InFlight) -> None:
        if in_flight:
            request_id, tracked = self.draw.draw(st.sampled_from(in_flight))
            tracked.has_ended = True
            self.check(self.harness.handle(ClientDisconnected(request_id)))

    def change_list(self, _: InFlight) -> None:
        name = self.draw.draw(st.sampled_from(SERVERS))
        lifecycle = self.draw.draw(st.sampled_from(list(Lifecycle)))
        started_us = self.draw.draw(st.sampled_from([0, self.harness.now_us]))
        previous = self.endpoints[name]
        endpoint = Endpoint(name, lifecycle, previous.zone, previous.cell, started_us=started_us)
        self.endpoints[name] = endpoint
        if lifecycle is Lifecycle.ACTIVE:
            self.inactive_since_us.pop(name, None)
        else:
            self.inactive_since_us.setdefault(name, self.harness.now_us)
        self.check(self.harness.update_endpoints(endpoint, kind=EndpointUpdateKind.DELTA))

    def end_attempt(self, request_id: str, tracked: TrackedRequest, status: AttemptStatus) -> None:
        send = tracked.attempts[-1]
        tracked.is_in_flight = False
        if status not in NEVER_RAN and tracked.first_run is None:
            endpoint = self.endpoints[send.server]
            tracked.first_run = (endpoint, self.latest_sent_us(send, tracked))
        is_final = tracked.has_ended
        attempt = len(tracked.attempts) - 1
        self.check(self.harness.handle(AttemptOutcome(request_id, attempt, send.server, status, 5, is_final)))

    def latest_sent_us(self, send: Send, tracked: TrackedRequest) -> int:
        # The window is checked against the latest time at which the request can have been sent.
        return min(send.deadline_us, self.harness.now_us, tracked.deadline_us)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_rules_hold_in_any_legal_history(data: st.DataObject) -> None:
    world = World(data)
    assert world.harness.now_us == T0
    for _ in range(data.draw(st.integers(5, 60))):
        world.step()
