"""Tests of the rules that a balancer obeys: one final answer, idempotency, the endpoint list, slow start budgets."""

from __future__ import annotations

import pytest

from stoatgw.decisions.interface import (
    AttemptStatus,
    ClientDisconnected,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    Idempotency,
    KeyScope,
    Lifecycle,
    PeerMessage,
    Reject,
    Request,
    RequestClass,
    Send,
    SessionRestored,
    Subscribe,
)
from stoatgw.decisions.state.slow_start import SETUP_US
from tests.balancer_harness import SECOND, T0, BalancerHarness, draining, settings

REQUEST_ID = "a" * 16


def harness_with_idempotency(
    idempotency: Idempotency, scope: KeyScope = KeyScope.ALL, ttl_us: int = 5 * SECOND
) -> BalancerHarness:
    profile = RequestClass(300_000, 2 * SECOND, 1.0, idempotency, scope, ttl_us)
    harness = BalancerHarness(settings(profiles=(profile,)))
    harness.update_endpoints(
        Endpoint("a", zone=0, cell=0),
        Endpoint("b", zone=0, cell=1),
        Endpoint("c", zone=1, cell=2),
    )
    harness.report("a", 0.10, 10)
    harness.report("b", 0.50, 30)
    harness.report("c", 0.20, 20)
    harness.request(request_id=REQUEST_ID)
    assert harness.sent_to() == "a"
    return harness


def test_attempts_time_out_before_the_clients_deadline() -> None:
    harness = BalancerHarness()
    harness.list_servers(a=0, b=0)
    harness.request(request_id=REQUEST_ID)
    first = harness.actions_of(Send)[0]
    assert T0 + 300_000 <= first.deadline_us <= T0 + SECOND  # leaves time for a retry
    harness.now_us = first.deadline_us
    harness.end_attempt(REQUEST_ID, first.server, AttemptStatus.EXPIRED)
    second = harness.actions_of(Send)[0]
    assert second.server != first.server
    assert second.deadline_us < T0 + 2 * SECOND
    harness.now_us = second.deadline_us
    harness.end_attempt(REQUEST_ID, second.server, AttemptStatus.EXPIRED, attempt=1)
    assert harness.actions_of(Reject)


def test_a_fragile_request_spends_all_its_time_on_one_attempt_as_it_is_not_retried() -> None:
    harness = harness_with_idempotency(Idempotency.FRAGILE)
    assert harness.actions_of(Send)[0].deadline_us > T0 + 1_900_000


def test_nothing_follows_a_final_answer() -> None:
    harness = BalancerHarness()
    harness.list_servers(a=0, b=0)
    harness.request(request_id=REQUEST_ID)
    harness.end_attempt(REQUEST_ID, "a", AttemptStatus.DELIVERED, is_final=True)
    assert not harness.actions
    harness.end_attempt(REQUEST_ID, "a", AttemptStatus.DROPPED)
    harness.handle(ClientDisconnected(REQUEST_ID))
    assert not harness.actions


def test_a_disconnected_client_gets_no_retry() -> None:
    harness = BalancerHarness()
    harness.list_servers(a=0, b=0)
    harness.request(request_id=REQUEST_ID)
    server = str(harness.sent_to())
    harness.handle(ClientDisconnected(REQUEST_ID))
    harness.end_attempt(REQUEST_ID, server, AttemptStatus.EXPIRED)
    assert not harness.actions_of(Send)
    assert not harness.actions_of(Reject)
    assert not harness.actions_of(Fail)
    assert not harness.context.connections


def test_a_broken_stream_is_not_answered_again() -> None:
    harness = BalancerHarness()
    harness.list_servers(a=0, b=0)
    harness.request(request_id=REQUEST_ID)
    server = str(harness.sent_to())
    harness.establish(REQUEST_ID, server)
    harness.end_attempt(REQUEST_ID, server, AttemptStatus.DROPPED, is_final=True)
    assert not harness.actions


@pytest.mark.parametrize(
    "status", [AttemptStatus.EXPIRED, AttemptStatus.APP_ERROR, AttemptStatus.DROPPED, AttemptStatus.REVOKED]
)
def test_a_fragile_request_that_may_have_run_fails(status: AttemptStatus) -> None:
    harness = harness_with_idempotency(Idempotency.FRAGILE)
    harness.end_attempt(REQUEST_ID, "a", status)
    assert harness.actions_of(Fail)
    assert not harness.actions_of(Send)
    assert not harness.actions_of(Reject)


@pytest.mark.parametrize("status", [AttemptStatus.SHED, AttemptStatus.DIAL_FAILED])
def test_a_fragile_request_that_never_ran_is_retried(status: AttemptStatus) -> None:
    harness = harness_with_idempotency(Idempotency.FRAGILE)
    harness.end_attempt(REQUEST_ID, "a", status)
    assert harness.sent_to() in ("b", "c")


@pytest.mark.parametrize(("scope", "target"), [(KeyScope.ALL, "b"), (KeyScope.ZONE, "b"), (KeyScope.CELL, None)])
def test_a_dedup_request_is_retried_within_its_key_scope(scope: KeyScope, target: str | None) -> None:
    harness = harness_with_idempotency(Idempotency.DEDUP, scope)
    harness.end_attempt(REQUEST_ID, "a", AttemptStatus.EXPIRED)
    assert harness.sent_to() == target
    if target is None:
        assert harness.actions_of(Fail)


def test_a_dedup_request_is_retried_across_zones_only_if_its_key_is_valid_in_all() -> None:
    for scope in (KeyScope.ALL, KeyScope.ZONE):
        harness = harness_with_idempotency(Idempotency.DEDUP, scope)
        harness.report("b", 0.90, 30)
        harness.report("b", 0.90, 30)
        harness.report("b", 0.90, 30)
        harness.end_attempt(REQUEST_ID, "a", AttemptStatus.EXPIRED)
        assert harness.sent_to() == ("c" if scope is KeyScope.ALL else None)
        assert bool(harness.actions_of(Fail)) is (scope is KeyScope.ZONE)


def test_a_dedup_request_is_not_retried_after_its_key_expires() -> None:
    harness = harness_with_idempotency(Idempotency.DEDUP, KeyScope.ALL, ttl_us=500_000)
    harness.now_us += 500_001
    harness.end_attempt(REQUEST_ID, "a", AttemptStatus.EXPIRED)
    assert not harness.actions_of(Send)
    assert harness.actions_of(Reject)


def test_a_draining_or_removed_server_gets_no_request() -> None:
    harness = BalancerHarness()
    harness.list_servers(a=0, b=1)
    harness.report("a", 0.10, 10)
    harness.report("b", 0.50, 20)
    harness.update_endpoints(draining("a"), kind=EndpointUpdateKind.DELTA)
    harness.request()
    assert harness.sent_to() == "b"
    harness.update_endpoints(Endpoint("b", Lifecycle.REMOVED, 1), kind=EndpointUpdateKind.DELTA)
    harness.request()
    assert harness.actions_of(Reject)
    harness.update_endpoints(Endpoint("a"), kind=EndpointUpdateKind.DELTA)
    harness.request()
    assert harness.sent_to() == "a"


def test_a_snapshot_removes_servers_it_does_not_list() -> None:
    harness = BalancerHarness()
    harness.list_servers(a=0, b=0)
    harness.list_servers(b=0)
    harness.request()
    assert harness.sent_to() == "b"


def slow_start_harness(balancers: int = 3, rank: int = 0) -> BalancerHarness:
    harness = BalancerHarness(settings(balancers=balancers, rank=rank))
    harness.update_endpoints(Endpoint("old"), Endpoint("young", started_us=T0))
    harness.report("old", 1.0, 50)  # load per connection 0.02: 50 connections at full load
    return harness


def test_all_balancers_together_keep_a_slow_start_budget() -> None:
    # The budget of any window of fall_us is fall_multiple x current capacity x window; each connection consumes its
    # set-up and its load over the window.
    sends: list[int] = []
    for rank in range(3):
        harness = slow_start_harness(rank=rank)
        for step in range(100):
            harness.now_us = T0 + step * SECOND // 10
            for _ in range(20):
                harness.request()
                if harness.sent_to() == "young":
                    sends.append(harness.now_us)
    assert sends
    for start_us in sends:
        sent = sum(start_us <= at_us < start_us + SECOND for at_us in sends)
        warm_up_fraction = 0.2 + 0.8 * (start_us - T0) / (10 * SECOND)
        assert sent * (SETUP_US / SECOND + 0.02) <= 3.0 * warm_up_fraction
    # When each connection was charged for the load of the whole warm-up, only 4 were sent and others were rejected.
    assert sum(at_us < T0 + 3 * SECOND for at_us in sends) >= 7


def test_slow_start_budget_counts_shed_attempts() -> None:
    harness = slow_start_harness(balancers=1)
    harness.now_us += SECOND
    sent = 0
    for index in range(30):
        request = f"{index:016x}"
        harness.request(request_id=request)
        if harness.sent_to() == "young":
            sent += 1
            harness.end_attempt(request, "young", AttemptStatus.SHED)
            harness.server("young").ejected_until_us = 0
    assert 0 < sent * (SETUP_US / SECOND + 0.02) <= 3.0 * 0.28


def test_slow_start_budget_charges_the_groups_load() -> None:
    # Guards against 58 connections, each with its group's load, at a server that had started 3.5 s before.
    def sent(groups: bool) -> int:
        harness = BalancerHarness(settings(balancers=1, groups=groups))
        harness.update_endpoints(Endpoint("old"), Endpoint("young", started_us=T0))
        harness.report("old", 1.0, 50)
        count = 0
        for step in range(40):
            harness.now_us = T0 + step * SECOND // 10
            for inner in range(5):
                harness.request(group=100 * step + inner)
                count += harness.sent_to() == "young"
        return count

    assert 0 < sent(True) <= 0.7 * sent(False)  # without groups, admission limits some of them before the budget does


def test_slow_start_budget_charges_light_connections() -> None:
    # Guards against 26 light connections within 1.5 s at a server that had started 11.7 s before: each costs a set-up.
    def sent(hint_us: int) -> int:
        harness = slow_start_harness(balancers=1)
        for _ in range(20):
            harness.request(hint_us=10_000, hint_valid=True)
        count = 0
        for step in range(40):
            harness.now_us = T0 + step * SECOND // 10
            for _ in range(5):
                harness.request(hint_us=hint_us, hint_valid=True)
                count += harness.sent_to() == "young"
        return count

    assert 0 < sent(1_000) <= sent(10_000) + 1


def test_many_empty_servers_do_not_widen_the_slow_start_budget() -> None:
    # Guards against a mean load per connection lowered by servers that have only connections in set-up.
    harness = slow_start_harness(balancers=1)
    names = [f"s{index}" for index in range(12)]
    harness.update_endpoints(*(Endpoint(name) for name in names), kind=EndpointUpdateKind.DELTA)
    for _ in range(10):
        for name in names:
            harness.report(name, 0.0, 3)
        harness.report("old", 1.0, 50)
        harness.advance_period()
    assert harness.context.fleet.load_per_connection is not None
    assert harness.context.fleet.load_per_connection > 0.01


def test_subscription_is_requested_until_it_is_active() -> None:
    harness = BalancerHarness(settings(must_subscribe=True, ask_within_us=10 * SECOND))
    assert harness.actions_of(Subscribe) == [Subscribe(True)]
    harness.update_endpoints(Endpoint("a"), kind=EndpointUpdateKind.CACHED)
    harness.handle(EndpointUpdate(EndpointUpdateKind.ERROR))
    harness.advance_period(1)
    assert harness.actions_of(Subscribe) == [Subscribe(True)]
    harness.update_endpoints(Endpoint("a"))
    for _ in range(8):
        harness.advance_period()
        assert not harness.actions_of(Subscribe)
    harness.handle(EndpointUpdate(EndpointUpdateKind.ERROR))
    harness.advance_period()
    assert harness.actions_of(Subscribe) == [Subscribe(True)]


def test_peer_messages_are_ignored() -> None:
    harness = BalancerHarness(settings(can_tell=True, balancers=2))
    harness.list_servers(a=0, b=0)
    for payload in (b"", b"\xff garbage", b"77 a", b"0" * 256):
        assert not harness.handle(PeerMessage(10**9, payload))
    harness.request()
    assert harness.sent_to() in ("a", "b")


def test_restored_sessions_are_counted_and_not_sent_again() -> None:
    harness = BalancerHarness()
    harness.list_servers(a=0, b=0)
    for index in range(5):
        harness.handle(SessionRestored(Request(f"{index:016x}", 0, 0), "a"))
        assert not harness.actions
    harness.request()
    assert harness.sent_to() == "b"
    harness.end_attempt("0" * 16, "a", AttemptStatus.DELIVERED, is_final=True)
    harness.handle(SessionRestored(Request("f" * 16, 0, 0), "unknown"))
    assert not harness.actions
