"""Tests of the controller: its services for the decision policy, and one answer for every accepted request."""

from __future__ import annotations

import asyncio
from typing import get_args

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from stoatgw.controller.graceful_shutdown import plan_shutdown
from stoatgw.controller.lifecycle import LifecycleState, ProxyLifecycle
from stoatgw.controller.messages import (
    AttemptEnd,
    AttemptEnded,
    AttemptEstablished,
    AttemptStage,
    BeginDrain,
    CancelDrain,
    ClientDisconnected,
    HealthCheckCompleted,
    Message,
    RequestReceived,
    RequestState,
    RequestTimedOut,
    SessionRestored,
)
from stoatgw.controller.policy import MigratingPolicy
from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import Action, AttemptStatus, Event, RequestClass
from tests.balancer_harness import settings
from tests.controller_harness import ControllerHarness, RecordingHandler, run_with_harness

CONNECT_FAILED = AttemptEnd(AttemptStatus.DIAL_FAILED, AttemptStage.CONNECTING)
SHED = AttemptEnd(AttemptStatus.SHED, AttemptStage.SENT)
REVOKED_BEFORE_ESTABLISHED = AttemptEnd(AttemptStatus.REVOKED, AttemptStage.SENT)
REVOKED_WHEN_ESTABLISHED = AttemptEnd(AttemptStatus.REVOKED, AttemptStage.ESTABLISHED)


# Dispatch.


def test_each_message_has_a_handler_and_each_action_a_performer() -> None:
    async def test(harness: ControllerHarness) -> None:
        assert set(harness.controller._handlers) == set(get_args(Message))
        assert set(harness.controller._actions._performers) == set(get_args(Action))

    run_with_harness(test)


def test_the_balancer_is_a_migrating_policy() -> None:
    balancer: MigratingPolicy = Balancer(settings(), 7)  # checked by mypy
    assert isinstance(balancer, MigratingPolicy)  # checked at run time, as in the controller


# Attempts and answers.


def test_a_failed_connect_is_retried_once_at_another_server_then_rejected_with_a_retry_delay() -> None:
    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b", "c")
        state, handler = harness.new_request()
        await harness.deliver(RequestReceived(state))
        await harness.deliver(AttemptEnded(state, 0, CONNECT_FAILED))
        await harness.deliver(AttemptEnded(state, 1, CONNECT_FAILED))
        (first, second, last) = handler.calls
        assert first[:2] == ("start_attempt", 0)
        assert second[:2] == ("start_attempt", 1)
        assert first[2] != second[2]
        assert last == ("reject", 1_000_000)
        assert harness.controller.open_requests == 0

    run_with_harness(test)


def test_an_attempt_that_ends_twice_counts_once() -> None:
    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b", "c")
        state, handler = harness.new_request()
        await harness.deliver(RequestReceived(state))
        ended = AttemptEnded(state, 0, SHED)
        await harness.deliver(ended, ended)
        assert len(handler.calls) == 2
        assert harness.counters["attempts_shed"] == 1

    run_with_harness(test)


@pytest.mark.parametrize("is_established", [False, True])
def test_a_client_that_disconnects_leaves_no_state(is_established: bool) -> None:
    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers("a")
        state, handler = harness.new_request()
        await harness.deliver(RequestReceived(state))
        if is_established:
            await harness.deliver(AttemptEstablished(state, 0))
        await harness.deliver(ClientDisconnected(state), AttemptEnded(state, 0, REVOKED_BEFORE_ESTABLISHED))
        assert harness.controller.open_requests == 0
        assert len(handler.calls) == 1

    run_with_harness(test)


def test_a_request_is_rejected_immediately_while_no_server_is_listed() -> None:
    async def test(harness: ControllerHarness) -> None:
        state, handler = harness.new_request()
        await harness.deliver(RequestReceived(state))
        assert handler.calls == [("reject", 1_000_000)]

    run_with_harness(test)


@pytest.mark.parametrize("by_drain", [True, False])
def test_a_request_answered_while_it_waits_for_health_checks_leaves_no_state(by_drain: bool) -> None:
    """The policy may delay a request without an attempt; the controller answers it without the policy."""

    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers(*"abcdefghijkl")
        state, handler = harness.new_request()
        await harness.deliver(RequestReceived(state))
        assert handler.calls == []
        checked = [call[1] for call in harness.gateway.calls if call[0] == "check_health"]
        await harness.deliver(BeginDrain(0, 0) if by_drain else RequestTimedOut(state))
        balancer = harness.controller._decisions._policy
        assert isinstance(balancer, Balancer)
        assert len(handler.calls) == 1
        assert not balancer._context.connections
        assert not balancer._context.counts.setups_in_flight
        await harness.deliver(
            *(HealthCheckCompleted(server, AttemptStatus.DELIVERED, 1_000, (0.1, 5.0)) for server in checked)
        )
        assert len(handler.calls) == 1
        assert harness.controller.open_requests == 0

    run_with_harness(test, settings(balancers=40))


def test_a_request_is_answered_at_its_deadline_whatever_the_policy_does() -> None:
    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers("a")
        state, handler = harness.new_request()
        await harness.deliver(RequestReceived(state), RequestTimedOut(state), RequestTimedOut(state))
        assert handler.calls[1:] == ["fail"]

    run_with_harness(test)


def test_an_exception_of_the_policy_leaves_no_request_unanswered(monkeypatch: pytest.MonkeyPatch) -> None:
    def handle(event: Event, now_us: int) -> None:
        raise RuntimeError("broken")

    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers("a")
        in_flight, in_flight_handler = harness.new_request()
        established, _ = harness.new_request()
        new, new_handler = harness.new_request()
        await harness.deliver(RequestReceived(in_flight), SessionRestored(established, "a"))
        with monkeypatch.context() as patch:
            patch.setattr(harness.controller._decisions._policy, "handle", handle)
            await harness.deliver(RequestReceived(new))
        assert new_handler.calls == ["fail"]
        assert harness.gateway.calls[-1] == "fetch_endpoints"
        await harness.deliver(AttemptEnded(in_flight, 0, CONNECT_FAILED))
        assert in_flight_handler.calls[-1] == "fail"
        assert harness.controller.open_requests == 1

    run_with_harness(test)


# Drain.


def test_a_drain_answers_waiting_requests_migrates_sessions_and_rejects_new_requests() -> None:
    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b")
        waiting, waiting_handler = harness.new_request()
        established, established_handler = harness.new_request()
        new, new_handler = harness.new_request()
        await harness.deliver(
            RequestReceived(waiting), SessionRestored(established, "a"), BeginDrain(0, 0), RequestReceived(new)
        )
        await asyncio.sleep(0.01)
        await harness.deliver()
        assert waiting_handler.calls[1:] == [("reject", 0)]
        assert established_handler.calls == ["migrate"]
        assert new_handler.calls == [("reject", 0)]
        await harness.deliver(AttemptEstablished(waiting, 0))
        assert waiting_handler.calls[-1] == "migrate"  # the session was established while the request was rejected

    run_with_harness(test)


def test_sessions_migrate_at_an_increasing_rate_and_early_requests_are_served() -> None:
    """Sessions that migrate late are served longer; new requests are served, not rejected three times and lost."""

    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b")
        established = [harness.new_request() for _ in range(100)]
        await harness.deliver(*(SessionRestored(state, "a") for state, _ in established))
        drain = plan_shutdown(settings(), handed_over=False).drain
        delays_s = []
        loop = asyncio.get_running_loop()
        call_later = loop.call_later
        loop.call_later = lambda delay, *rest: delays_s.append(delay) or call_later(delay, *rest)  # type: ignore
        new, new_handler = harness.new_request()
        try:
            await harness.deliver(drain, RequestReceived(new))
        finally:
            loop.call_later = call_later  # type: ignore[method-assign]
        migrations_s = delays_s[1:101]
        first_s = drain.accept_window_us / 1e6
        last_s = (drain.accept_window_us + drain.migration_window_us) / 1e6
        assert migrations_s == sorted(migrations_s)
        assert migrations_s[0] == first_s
        assert migrations_s[-1] < last_s
        assert len([delay_s for delay_s in migrations_s if delay_s < (first_s + last_s) / 2]) <= 25
        assert [call[0] for call in new_handler.calls] == ["start_attempt"]

    run_with_harness(test)


def test_no_session_migrates_while_new_clients_are_routed_here() -> None:
    """Guards against clients that migrated immediately, reconnected to the draining proxy and were rejected."""

    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers("a")
        established, established_handler = harness.new_request()
        new, new_handler = harness.new_request()
        await harness.deliver(SessionRestored(established, "a"), BeginDrain(200_000, 0), RequestReceived(new))
        (answer, retry_after_us) = new_handler.calls[0]
        assert answer == "reject"
        assert 0 < int(retry_after_us) <= 200_000
        assert not established_handler.calls
        controller = harness.controller
        assert controller._requests._drain.retry_after_us(controller._decisions.now_us) == retry_after_us
        while not established_handler.calls:
            await asyncio.sleep(0.01)
            await harness.deliver()
        assert established_handler.calls == ["migrate"]

    run_with_harness(test)


@pytest.mark.parametrize("deadline_us", [500_000, 2_000_000, 3_200_000])
@pytest.mark.parametrize("handed_over", [True, False])
def test_a_shutdown_uses_its_time_and_ends_before_sigkill(deadline_us: int, handed_over: bool) -> None:
    """SIGKILL is sent 0.7 s after the longest deadline, which is capped at 3 s."""
    plan = plan_shutdown(settings(profiles=(RequestClass(500_000, deadline_us),)), handed_over=handed_over)
    kill_us = min(3_000_000, deadline_us) + 700_000
    last_migration_us = plan.drain.accept_window_us + plan.drain.migration_window_us
    assert last_migration_us + 400_000 < kill_us
    assert last_migration_us <= plan.max_duration_us < kill_us
    if not handed_over:
        # When all clients migrated within a second, they reached the peers between two load reports.
        assert plan.drain.accept_window_us >= 400_000
        assert last_migration_us >= kill_us - 800_000


@pytest.mark.parametrize("deadline_us", [50_000, 100_000, 300_000])
def test_a_shutdown_with_short_deadlines_ends_before_sigkill(deadline_us: int) -> None:
    """Guards against a process that served until 1 s after SIGTERM and was killed at 0.8 s."""
    plan = plan_shutdown(settings(profiles=(RequestClass(20_000, deadline_us),)), handed_over=False)
    assert plan.min_duration_us <= plan.max_duration_us < deadline_us + 700_000
    assert plan.drain.accept_window_us + plan.drain.migration_window_us < plan.max_duration_us
    assert plan.drain.accept_window_us < plan.drain.admission_window_us < plan.max_duration_us


class DrainModel:
    """A reference model of drains, compared with the controller: each step runs one operation and checks its effect.

    A request received while the proxy serves is attempted, and its session stays; a session established in a drain
    migrates.
    """

    def __init__(self, harness: ControllerHarness) -> None:
        self._harness = harness
        self._lifecycle = ProxyLifecycle()
        self._state = LifecycleState.SERVING
        self._requests: list[tuple[RequestState, RecordingHandler]] = []

    async def request(self) -> None:
        state, handler = self._harness.new_request()
        self._requests.append((state, handler))
        await self._harness.deliver(RequestReceived(state))
        is_attempted = handler.calls[0][0] == "start_attempt"
        assert is_attempted == (self._state is not LifecycleState.STOPPING)

    async def establish(self) -> None:
        for state, handler in self._requests:
            if state.active_attempt is not None and not state.is_established:
                await self._harness.deliver(AttemptEstablished(state, state.active_attempt))
                assert self._state is not LifecycleState.SERVING or "migrate" not in handler.calls

    async def end(self) -> None:
        for state, _ in self._requests:
            if state.active_attempt is not None:
                await self._harness.deliver(AttemptEnded(state, state.active_attempt, REVOKED_WHEN_ESTABLISHED))

    async def begin_drain(self) -> None:
        assert self._lifecycle.begin_drain() == (self._state is LifecycleState.SERVING)
        if self._state is LifecycleState.SERVING:
            self._state = LifecycleState.DRAINING
            await self._harness.deliver(BeginDrain(0, 0, 60_000_000))

    async def cancel_drain(self) -> None:
        assert self._lifecycle.resume_serving() == (self._state is not LifecycleState.STOPPING)
        if self._state is LifecycleState.DRAINING:
            self._state = LifecycleState.SERVING
            await self._harness.deliver(CancelDrain())

    async def stop(self) -> None:
        self._lifecycle.begin_shutdown(handed_over=False)
        self._state = LifecycleState.STOPPING
        await self._harness.deliver(BeginDrain(0, 0))

    async def wait(self) -> None:
        await asyncio.sleep(0.002)
        await self._harness.deliver()

    async def play(self, step: str) -> None:
        await getattr(self, step)()
        assert self._lifecycle.state is self._state
        assert self._lifecycle.accepts_clients == (self._state is LifecycleState.SERVING)

    async def finish(self) -> None:
        if self._state is not LifecycleState.SERVING:
            await self.wait()
            for state, handler in self._requests:
                if state.is_established and state.active_attempt is not None:
                    assert "migrate" in handler.calls
        for _, handler in self._requests:
            answers = [call for call in handler.calls if call == "fail" or call[0] == "reject"]
            assert len(answers) <= 1


STEPS = st.lists(
    st.sampled_from(["request", "establish", "end", "begin_drain", "cancel_drain", "stop", "wait"]), max_size=25
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=120)
@given(STEPS)
def test_any_sequence_of_drains_answers_each_client_once(steps: list[str]) -> None:
    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b", "c")
        model = DrainModel(harness)
        for step in steps:
            await model.play(step)
        await model.finish()

    run_with_harness(test)
