"""Arbitrary legal histories: the rules that one balancer can keep are kept in all of them."""

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
class Seen:
    """What the client's and the rules' side knows of one request."""

    profile: RequestClass
    deadline_us: int
    attempts: list[Send] = field(default_factory=list)
    in_flight: bool = False
    established: bool = False
    over: bool = False
    first_run: tuple[Endpoint, int] | None = None


InFlight = list[tuple[str, Seen]]  # requests with an attempt in flight, by id


class World:
    """Plays legal events and checks every action against the rules."""

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
        self.entries = {name: Endpoint(name, zone=index % 3, cell=index // 2) for index, name in enumerate(SERVERS)}
        self.down_us: dict[str, int] = {}
        self.requests: dict[str, Seen] = {}
        self.check(self.harness.update_endpoints(*self.entries.values()))

    def check(self, actions: list[Action]) -> None:
        now_us = self.harness.now_us
        for action in actions:
            if isinstance(action, Send):
                seen = self.requests[action.request_id]
                entry = self.entries[action.server]
                assert not seen.over
                assert not seen.in_flight
                assert not seen.established
                assert now_us < action.deadline_us < seen.deadline_us
                assert len(seen.attempts) < self.harness.context.settings.max_attempts
                if action.server in self.down_us:
                    assert now_us <= self.down_us[action.server] + SECOND
                self.check_repeat(seen, entry)
                seen.attempts.append(action)
                seen.in_flight = True
            elif isinstance(action, Reject | Fail):
                seen = self.requests[action.request_id]
                assert not seen.over
                assert not seen.in_flight
                assert not seen.established
                seen.over = True
                profile = seen.profile
                if isinstance(action, Reject) and seen.first_run is not None:
                    assert profile.idempotency is not Idempotency.FRAGILE
                    assert profile.idempotency is Idempotency.RETRYABLE or profile.key_scope is KeyScope.ALL
            elif isinstance(action, Migrate):
                assert self.requests[action.request_id].established
        for seen in self.requests.values():
            assert seen.over or seen.in_flight or seen.established, "nothing stays unanswered"

    def check_repeat(self, seen: Seen, entry: Endpoint) -> None:
        if seen.first_run is None or seen.profile.idempotency is Idempotency.RETRYABLE:
            return
        assert seen.profile.idempotency is Idempotency.DEDUP
        first, sent_us = seen.first_run
        assert self.harness.now_us <= sent_us + seen.profile.key_ttl_us
        if seen.profile.key_scope is KeyScope.ZONE:
            assert entry.zone == first.zone
        if seen.profile.key_scope is KeyScope.CELL:
            assert entry.cell == first.cell

    def step(self) -> None:
        pick = self.draw.draw
        self.harness.now_us += pick(st.sampled_from([0, 1_000, 50_000, 400_000]))
        in_flight = [(name, seen) for name, seen in self.requests.items() if seen.in_flight]
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
        left_us = pick(st.integers(1, SECOND))
        self.requests[request_id] = Seen(PROFILES[request_class], self.harness.now_us + left_us)
        request = Request(
            request_id,
            request_class,
            left_us,
            tenant=pick(st.integers(0, 2)),
            group=pick(st.none() | st.integers(0, 3)),
            hint_us=pick(st.none() | st.integers(-5, 10**15)),
            hint_valid=pick(st.booleans()),
        )
        self.check(self.harness.handle(request))

    def fail_attempt(self, in_flight: InFlight) -> None:
        if in_flight:
            name, seen = self.draw.draw(st.sampled_from(in_flight))
            failures = [status for status in AttemptStatus if status is not AttemptStatus.DELIVERED]
            self.end_attempt(name, seen, self.draw.draw(st.sampled_from(failures)))

    def establish(self, in_flight: InFlight) -> None:
        if in_flight:
            name, seen = self.draw.draw(st.sampled_from(in_flight))
            seen.in_flight = False
            seen.established = True
            attempt = len(seen.attempts) - 1
            self.check(self.harness.handle(AttemptEstablished(name, attempt, seen.attempts[-1].server, 5)))

    def check_health(self, _: InFlight) -> None:
        pick = self.draw.draw
        status = pick(st.sampled_from([AttemptStatus.DELIVERED, AttemptStatus.DELIVERED, AttemptStatus.EXPIRED]))
        row = (pick(NUMBER | st.none()), pick(NUMBER | st.none()))
        self.check(self.harness.handle(HealthCheckResult(pick(st.sampled_from(SERVERS)), status, 5, row)))

    def report_latency(self, _: InFlight) -> None:
        established = [name for name, seen in self.requests.items() if seen.established and not seen.over]
        if established:
            name = self.draw.draw(st.sampled_from(established))
            server = self.requests[name].attempts[-1].server
            value = self.draw.draw(NUMBER | st.floats(50, 5000))
            self.check(self.harness.handle(SessionMetric(name, 0, server, SessionMetricKind.DELAY, value)))

    def end_period(self, _: InFlight) -> None:
        self.check(self.harness.advance_period(0))

    def disconnect(self, in_flight: InFlight) -> None:
        if in_flight:
            name, seen = self.draw.draw(st.sampled_from(in_flight))
            seen.over = True
            self.check(self.harness.handle(ClientDisconnected(name)))

    def change_list(self, _: InFlight) -> None:
        name = self.draw.draw(st.sampled_from(SERVERS))
        lifecycle = self.draw.draw(st.sampled_from(list(Lifecycle)))
        started_us = self.draw.draw(st.sampled_from([0, self.harness.now_us]))
        old = self.entries[name]
        entry = Endpoint(name, lifecycle, old.zone, old.cell, started_us=started_us)
        self.entries[name] = entry
        if lifecycle is Lifecycle.ACTIVE:
            self.down_us.pop(name, None)
        else:
            self.down_us.setdefault(name, self.harness.now_us)
        self.check(self.harness.update_endpoints(entry, kind=EndpointUpdateKind.DELTA))

    def end_attempt(self, name: str, seen: Seen, status: AttemptStatus) -> None:
        sent = seen.attempts[-1]
        seen.in_flight = False
        if status not in NEVER_RAN and seen.first_run is None:
            old = self.entries[sent.server]
            seen.first_run = (old, self.sent_us(sent, seen))
        final = seen.over
        attempt = len(seen.attempts) - 1
        self.check(self.harness.handle(AttemptOutcome(name, attempt, sent.server, status, 5, final)))

    def sent_us(self, sent: Send, seen: Seen) -> int:
        # The latest time at which it can have been sent is what the window is checked against.
        return min(sent.deadline_us, self.harness.now_us, seen.deadline_us)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_rules_hold_in_any_legal_history(data: st.DataObject) -> None:
    world = World(data)
    assert world.harness.now_us == T0
    for _ in range(data.draw(st.integers(5, 60))):
        world.step()
