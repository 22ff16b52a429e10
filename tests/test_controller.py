"""The owner: what it does for the decisions, and that every req taken is answered."""

from __future__ import annotations

import asyncio

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from stoatgw.controller.controller import Controller
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
    RequestReceived,
    RequestState,
    RequestTimedOut,
    SessionRestored,
)
from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import (
    AttemptStatus,
    Event,
    RequestClass,
)
from stoatgw.telemetry.log import EventLog
from tests.controller_harness import ControllerHarness, RecordingHandler, run_with_harness
from tests.fleet import settings


def end(status: AttemptStatus, stage: AttemptStage) -> AttemptEnd:
    return AttemptEnd(status, stage)


def test_a_refused_connect_is_tried_once_more_then_refused_with_advice() -> None:
    async def play(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b", "c")
        req, door = harness.new_request()
        await harness.deliver(RequestReceived(req))
        await harness.deliver(AttemptEnded(req, 0, end(AttemptStatus.DIAL_FAILED, AttemptStage.CONNECTING)))
        await harness.deliver(AttemptEnded(req, 1, end(AttemptStatus.DIAL_FAILED, AttemptStage.CONNECTING)))
        (first, second, last) = door.calls
        assert (first[:2], second[:2]) == (("start_attempt", 0), ("start_attempt", 1)) and first[2] != second[2]
        assert last == ("reject", 1_000_000) and harness.controller.open_requests == 0

    run_with_harness(play)


def test_an_end_told_twice_counts_once() -> None:
    async def play(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b", "c")
        req, door = harness.new_request()
        await harness.deliver(RequestReceived(req))
        ended = AttemptEnded(req, 0, end(AttemptStatus.SHED, AttemptStage.SENT))
        await harness.deliver(ended, ended)
        assert len(door.calls) == 2 and harness.counters["attempts_shed"] == 1

    run_with_harness(play)


@pytest.mark.parametrize("up", [False, True])
def test_a_client_that_leaves_leaves_no_record(up: bool) -> None:
    async def play(harness: ControllerHarness) -> None:
        await harness.list_servers("a")
        req, door = harness.new_request()
        await harness.deliver(RequestReceived(req))
        if up:
            await harness.deliver(AttemptEstablished(req, 0))
        await harness.deliver(
            ClientDisconnected(req), AttemptEnded(req, 0, end(AttemptStatus.REVOKED, AttemptStage.SENT))
        )
        assert harness.controller.open_requests == 0 and len(door.calls) == 1

    run_with_harness(play)


def test_no_server_at_all_is_answered_at_once() -> None:
    async def play(harness: ControllerHarness) -> None:
        req, door = harness.new_request()
        await harness.deliver(RequestReceived(req))
        assert door.calls == [("reject", 1_000_000)]

    run_with_harness(play)


def test_a_drain_answers_those_who_wait_moves_those_who_stand_and_refuses_newcomers() -> None:
    async def play(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b")
        (waits, one), (stands, two), (comes, three) = (
            harness.new_request(),
            harness.new_request(),
            harness.new_request(),
        )
        await harness.deliver(
            RequestReceived(waits), SessionRestored(stands, "a"), BeginDrain(0, 0), RequestReceived(comes)
        )
        await asyncio.sleep(0.01)
        await harness.deliver()
        assert one.calls[1:] == [("reject", 0)] and two.calls == ["migrate"] and three.calls == [("reject", 0)]
        await harness.deliver(AttemptEstablished(waits, 0))
        assert one.calls[-1] == "migrate"  # an UP that crossed the refusal

    run_with_harness(play)


@pytest.mark.parametrize("deadline_us", [500_000, 2_000_000, 3_200_000])
@pytest.mark.parametrize("handed_over", [True, False])
def test_a_stop_uses_its_time_and_is_over_before_the_kill(deadline_us: int, handed_over: bool) -> None:
    """The kill comes 0.7 s after the longest deadline, which counts as 3 s at most."""
    plan = plan_shutdown(settings(profiles=(RequestClass(500_000, deadline_us),)), handed_over=handed_over)
    kill_us, last_us = (
        min(3_000_000, deadline_us) + 700_000,
        plan.drain.accept_window_us + plan.drain.migration_window_us,
    )
    assert last_us + 400_000 < kill_us and last_us <= plan.max_duration_us < kill_us
    if not handed_over:
        # Moved within a second, all clients of a proxy came to its peers between two reports.
        assert plan.drain.accept_window_us >= 400_000 and last_us >= kill_us - 800_000


@pytest.mark.parametrize("deadline_us", [50_000, 100_000, 300_000])
def test_a_stop_with_short_deadlines_is_over_before_the_kill(deadline_us: int) -> None:
    """Guards against a process that served until 1 s after SIGTERM and was killed at 0.8 s."""
    plan = plan_shutdown(settings(profiles=(RequestClass(20_000, deadline_us),)), handed_over=False)
    assert plan.min_duration_us <= plan.max_duration_us < deadline_us + 700_000
    assert (
        plan.drain.accept_window_us + plan.drain.migration_window_us
        < plan.max_duration_us
        > plan.drain.admission_window_us
        > plan.drain.accept_window_us
    )


def test_those_who_stand_are_moved_ever_faster_and_who_comes_at_first_is_served() -> None:
    """Who is moved late is served the longer; who still comes is not refused three times and lost."""

    async def play(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b")
        standing = [harness.new_request() for _ in range(100)]
        await harness.deliver(*(SessionRestored(req, "a") for req, _ in standing))
        end = plan_shutdown(settings(), handed_over=False).drain
        waits = []
        loop = asyncio.get_running_loop()
        later = loop.call_later
        loop.call_later = lambda delay, *rest: waits.append(delay) or later(delay, *rest)  # type: ignore
        (comes, door) = harness.new_request()
        try:
            await harness.deliver(end, RequestReceived(comes))
        finally:
            loop.call_later = later  # type: ignore[method-assign]
        moves = waits[1:101]
        first, last = end.accept_window_us / 1e6, (end.accept_window_us + end.migration_window_us) / 1e6
        assert moves == sorted(moves) and moves[0] == first and moves[-1] < last
        assert sum(move < (first + last) / 2 for move in moves) <= 25
        assert [each[0] for each in door.calls] == ["start_attempt"]

    run_with_harness(play)


def test_nobody_is_moved_while_newcomers_still_come_here() -> None:
    # Guards against clients moved at once, who came back to the proxy that leaves and were refused.
    async def play(harness: ControllerHarness) -> None:
        await harness.list_servers("a")
        (stands, one), (comes, two) = harness.new_request(), harness.new_request()
        await harness.deliver(SessionRestored(stands, "a"), BeginDrain(200_000, 0), RequestReceived(comes))
        (word, advice_us) = two.calls[0]
        assert word == "reject" and 0 < int(advice_us) <= 200_000 and not one.calls
        assert harness.controller._elsewhere_us() == advice_us
        while not one.calls:
            await asyncio.sleep(0.01)
            await harness.deliver()
        assert one.calls == ["migrate"]

    run_with_harness(play)


@pytest.mark.parametrize("drained", [True, False])
def test_a_req_answered_while_it_waits_for_probes_leaves_no_record(drained: bool) -> None:
    """The module may hold a req without an attempt out; the owner answers it without asking."""

    async def play(harness: ControllerHarness) -> None:
        harness.controller = Controller(settings(balancers=40), 7, harness.clock, EventLog("test"), harness.counters)
        harness.controller.start(harness.gateway)
        await harness.list_servers(*"abcdefghijkl")
        req, door = harness.new_request()
        await harness.deliver(RequestReceived(req))
        assert door.calls == []
        asked = [each[1] for each in harness.gateway.calls if each[0] == "check_health"]
        await harness.deliver(BeginDrain(0, 0) if drained else RequestTimedOut(req))
        balancer = harness.controller._balancer
        assert isinstance(balancer, Balancer)
        assert len(door.calls) == 1
        assert not balancer._context.connections
        assert not balancer._context.counts.setups_in_flight
        await harness.deliver(
            *(HealthCheckCompleted(server, AttemptStatus.DELIVERED, 1_000, (0.1, 5.0)) for server in asked)
        )
        assert len(door.calls) == 1 and harness.controller.open_requests == 0

    run_with_harness(play)


def test_the_answer_is_given_when_the_time_is_up_whatever_the_decisions_do() -> None:
    async def play(harness: ControllerHarness) -> None:
        await harness.list_servers("a")
        req, door = harness.new_request()
        await harness.deliver(RequestReceived(req), RequestTimedOut(req), RequestTimedOut(req))
        assert door.calls[1:] == ["fail"]

    run_with_harness(play)


def test_a_fault_of_the_decisions_leaves_no_req_unanswered(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(harness: ControllerHarness) -> None:
        await harness.list_servers("a")
        (out, first), (standing, _), (fresh, last) = harness.new_request(), harness.new_request(), harness.new_request()
        await harness.deliver(RequestReceived(out), SessionRestored(standing, "a"))

        def fault(event: Event, now_us: int) -> None:
            raise RuntimeError("broken")

        with monkeypatch.context() as patch:
            patch.setattr(harness.controller._balancer, "handle", fault)
            await harness.deliver(RequestReceived(fresh))
        assert last.calls == ["fail"] and harness.gateway.calls[-1] == "fetch_endpoints"
        await harness.deliver(AttemptEnded(out, 0, end(AttemptStatus.DIAL_FAILED, AttemptStage.CONNECTING)))
        assert first.calls[-1] == "fail" and harness.controller.open_requests == 1

    run_with_harness(play)


ACTS = st.lists(st.sampled_from(["ask", "up", "end", "drain", "activate", "stop", "later"]), max_size=25)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=120)
@given(ACTS)
def test_however_a_drain_is_called_and_called_back_each_client_gets_one_answer(acts: list[str]) -> None:
    """Beside a plain model: who comes while the proxy serves is placed and stays, who stands in a drain is moved."""

    async def play(harness: ControllerHarness) -> None:
        course, stage = ProxyLifecycle(), LifecycleState.SERVING
        await harness.list_servers("a", "b", "c")
        reqs: list[tuple[RequestState, RecordingHandler]] = []
        for act in acts:
            if act == "ask":
                reqs.append(harness.new_request())
                await harness.deliver(RequestReceived(reqs[-1][0]))
                placed = reqs[-1][1].calls[0][0] == "start_attempt"
                assert placed == (stage is not LifecycleState.STOPPING)
            elif act == "up":
                for req, door in reqs:
                    if req.active_attempt is not None and not req.is_established:
                        await harness.deliver(AttemptEstablished(req, req.active_attempt))
                        assert stage is not LifecycleState.SERVING or "migrate" not in door.calls
            elif act == "end":
                for req, _ in reqs:
                    if req.active_attempt is not None:
                        await harness.deliver(
                            AttemptEnded(req, req.active_attempt, end(AttemptStatus.REVOKED, AttemptStage.ESTABLISHED))
                        )
            elif act == "drain":
                assert course.begin_drain() == (stage is LifecycleState.SERVING)
                if stage is LifecycleState.SERVING:
                    stage = LifecycleState.DRAINING
                    await harness.deliver(BeginDrain(0, 0, 60_000_000))
            elif act == "activate":
                assert course.resume_serving() == (stage is not LifecycleState.STOPPING)
                if stage is LifecycleState.DRAINING:
                    stage = LifecycleState.SERVING
                    await harness.deliver(CancelDrain())
            elif act == "stop":
                course.begin_shutdown(handed_over=False)
                stage = LifecycleState.STOPPING
                await harness.deliver(BeginDrain(0, 0))
            else:
                await asyncio.sleep(0.002)
                await harness.deliver()
            assert course.state is stage and course.accepts_clients == (stage is LifecycleState.SERVING)
        if stage is not LifecycleState.SERVING:
            await asyncio.sleep(0.002)
            await harness.deliver()
            assert all(
                "migrate" in door.calls for req, door in reqs if req.is_established and req.active_attempt is not None
            )
        for _, door in reqs:
            finals = [word for word in door.calls if word == "fail" or word[0] == "reject"]
            assert len(finals) <= 1
        harness.controller._cancel_moves()

    run_with_harness(play)
