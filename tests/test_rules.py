"""The four rules of the wire, one by one."""

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
from tests.fleet import SECOND, T0, Stand, drain, settings

R = "a" * 16


def keyed(idempotency: Idempotency, scope: KeyScope = KeyScope.ALL, ttl_us: int = 5 * SECOND) -> Stand:
    profile = RequestClass(300_000, 2 * SECOND, 1.0, idempotency, scope, ttl_us)
    stand = Stand(settings(profiles=(profile,)))
    stand.servers(
        Endpoint("a", zone=0, cell=0),
        Endpoint("b", zone=0, cell=1),
        Endpoint("c", zone=1, cell=2),
    )
    stand.report("a", 0.10, 10)
    stand.report("b", 0.50, 30)
    stand.report("c", 0.20, 20)
    stand.ask(request=R)
    assert stand.sent_to() == "a"
    return stand


def test_attempts_end_before_the_client_gives_up() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.ask(request=R)
    first = stand.of(Send)[0]
    assert T0 + 300_000 <= first.deadline_us <= T0 + SECOND  # leaves room for another
    stand.now_us = first.deadline_us
    stand.ended(R, first.server, AttemptStatus.EXPIRED)
    second = stand.of(Send)[0]
    assert second.server != first.server
    assert second.deadline_us < T0 + 2 * SECOND
    stand.now_us = second.deadline_us
    stand.ended(R, second.server, AttemptStatus.EXPIRED, attempt=1)
    assert stand.of(Reject)


def test_fragile_gets_its_whole_time_as_no_other_attempt_may_follow() -> None:
    stand = keyed(Idempotency.FRAGILE)
    assert stand.of(Send)[0].deadline_us > T0 + 1_900_000


def test_nothing_follows_a_final_answer() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.ask(request=R)
    stand.ended(R, "a", AttemptStatus.DELIVERED, final=True)
    assert not stand.actions
    stand.ended(R, "a", AttemptStatus.DROPPED)
    stand.event(ClientDisconnected(R))
    assert not stand.actions


def test_a_client_that_left_gets_no_further_attempt() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.ask(request=R)
    server = str(stand.sent_to())
    stand.event(ClientDisconnected(R))
    stand.ended(R, server, AttemptStatus.EXPIRED)
    assert not stand.of(Send) and not stand.of(Reject) and not stand.of(Fail)
    assert not stand.context.connections


def test_a_broken_stream_is_not_answered_again() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.ask(request=R)
    server = str(stand.sent_to())
    stand.begin(R, server)
    stand.ended(R, server, AttemptStatus.DROPPED, final=True)
    assert not stand.actions


@pytest.mark.parametrize(
    "status", [AttemptStatus.EXPIRED, AttemptStatus.APP_ERROR, AttemptStatus.DROPPED, AttemptStatus.REVOKED]
)
def test_fragile_that_may_have_run_fails(status: AttemptStatus) -> None:
    stand = keyed(Idempotency.FRAGILE)
    stand.ended(R, "a", status)
    assert stand.of(Fail) and not stand.of(Send) and not stand.of(Reject)


@pytest.mark.parametrize("status", [AttemptStatus.SHED, AttemptStatus.DIAL_FAILED])
def test_fragile_that_never_ran_goes_on(status: AttemptStatus) -> None:
    stand = keyed(Idempotency.FRAGILE)
    stand.ended(R, "a", status)
    assert stand.sent_to() in ("b", "c")


@pytest.mark.parametrize(("scope", "target"), [(KeyScope.ALL, "b"), (KeyScope.ZONE, "b"), (KeyScope.CELL, None)])
def test_dedup_stays_in_its_scope(scope: KeyScope, target: str | None) -> None:
    stand = keyed(Idempotency.DEDUP, scope)
    stand.ended(R, "a", AttemptStatus.EXPIRED)
    assert stand.sent_to() == target
    if target is None:
        assert stand.of(Fail)


def test_dedup_crosses_zones_only_where_all_drop_repeats() -> None:
    for scope in (KeyScope.ALL, KeyScope.ZONE):
        stand = keyed(Idempotency.DEDUP, scope)
        stand.report("b", 0.90, 30)
        stand.report("b", 0.90, 30)
        stand.report("b", 0.90, 30)
        stand.ended(R, "a", AttemptStatus.EXPIRED)
        assert stand.sent_to() == ("c" if scope is KeyScope.ALL else None)
        assert bool(stand.of(Fail)) is (scope is KeyScope.ZONE)


def test_dedup_is_not_sent_after_its_window() -> None:
    stand = keyed(Idempotency.DEDUP, KeyScope.ALL, ttl_us=500_000)
    stand.now_us += 500_001
    stand.ended(R, "a", AttemptStatus.EXPIRED)
    assert not stand.of(Send) and stand.of(Reject)


def test_a_draining_or_gone_server_gets_nothing_new() -> None:
    stand = Stand()
    stand.fleet(a=0, b=1)
    stand.report("a", 0.10, 10)
    stand.report("b", 0.50, 20)
    stand.servers(drain("a"), kind=EndpointUpdateKind.DELTA)
    stand.ask()
    assert stand.sent_to() == "b"
    stand.servers(Endpoint("b", Lifecycle.REMOVED, 1), kind=EndpointUpdateKind.DELTA)
    stand.ask()
    assert stand.of(Reject)
    stand.servers(Endpoint("a"), kind=EndpointUpdateKind.DELTA)
    stand.ask()
    assert stand.sent_to() == "a"


def test_a_snapshot_removes_what_it_does_not_name() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.fleet(b=0)
    stand.ask()
    assert stand.sent_to() == "b"


def cold_stand(balancers: int = 3, rank: int = 0) -> Stand:
    stand = Stand(settings(balancers=balancers, rank=rank))
    stand.servers(Endpoint("old"), Endpoint("young", started_us=T0))
    stand.report("old", 1.0, 50)  # r = 0.02: a full server holds 50 connections
    return stand


def test_all_balancers_together_stay_inside_a_cold_servers_budget() -> None:
    # In any window of fall_us: multiple x capacity now x window, each with its set-up and its load for so long.
    sends: list[int] = []
    for rank in range(3):
        stand = cold_stand(rank=rank)
        for step in range(100):
            stand.now_us = T0 + step * SECOND // 10
            for _ in range(20):
                stand.ask()
                if stand.sent_to() == "young":
                    sends.append(stand.now_us)
    assert sends
    for start_us in sends:
        sent = sum(start_us <= at_us < start_us + SECOND for at_us in sends)
        share = 0.2 + 0.8 * (start_us - T0) / (10 * SECOND)
        assert sent * (SETUP_US / SECOND + 0.02) <= 3.0 * share
    # With the load of the whole warm-up charged at once it was 4, and others were refused.
    assert sum(at_us < T0 + 3 * SECOND for at_us in sends) >= 7


def test_cold_budget_counts_rejected_work() -> None:
    stand = cold_stand(balancers=1)
    stand.now_us += SECOND
    sent = 0
    for index in range(30):
        request = f"{index:016x}"
        stand.ask(request=request)
        if stand.sent_to() == "young":
            sent += 1
            stand.ended(request, "young", AttemptStatus.SHED)
            stand.server("young").ejected_until_us = 0
    assert 0 < sent * (SETUP_US / SECOND + 0.02) <= 3.0 * 0.28


def test_cold_budget_charges_the_groups_load() -> None:
    # Guards against a server 3.5 s old that got 58 connections, each with its group's load.
    def sent(groups: bool) -> int:
        stand = Stand(settings(balancers=1, groups=groups))
        stand.servers(Endpoint("old"), Endpoint("young", started_us=T0))
        stand.report("old", 1.0, 50)
        count = 0
        for step in range(40):
            stand.now_us = T0 + step * SECOND // 10
            for inner in range(5):
                stand.ask(group=100 * step + inner)
                count += stand.sent_to() == "young"
        return count

    assert 0 < sent(True) <= 0.7 * sent(False)  # the admission test binds some of the lighter ones first


def test_light_connections_charge_the_cold_budget_too() -> None:
    # Guards against 26 light connections within 1.5 s on a server 11.7 s old: each is a set-up.
    def sent(hint_us: int) -> int:
        stand = cold_stand(balancers=1)
        for _ in range(20):
            stand.ask(hint_us=10_000, hint_valid=True)
        count = 0
        for step in range(40):
            stand.now_us = T0 + step * SECOND // 10
            for _ in range(5):
                stand.ask(hint_us=hint_us, hint_valid=True)
                count += stand.sent_to() == "young"
        return count

    assert 0 < sent(1_000) <= sent(10_000) + 1


def test_many_empty_servers_do_not_open_the_cold_budget() -> None:
    # Guards against a fleet's mean r dragged down by servers that hold only set-ups.
    stand = cold_stand(balancers=1)
    names = [f"s{index}" for index in range(12)]
    stand.servers(*(Endpoint(name) for name in names), kind=EndpointUpdateKind.DELTA)
    for _ in range(10):
        for name in names:
            stand.report(name, 0.0, 3)
        stand.report("old", 1.0, 50)
        stand.period()
    assert stand.context.fleet.load_per_connection is not None
    assert stand.context.fleet.load_per_connection > 0.01


def test_subscription_is_asked_for_until_it_stands() -> None:
    stand = Stand(settings(must_subscribe=True, ask_within_us=10 * SECOND))
    assert stand.of(Subscribe) == [Subscribe(True)]
    stand.servers(Endpoint("a"), kind=EndpointUpdateKind.CACHED)
    stand.event(EndpointUpdate(EndpointUpdateKind.ERROR))
    stand.period(1)
    assert stand.of(Subscribe) == [Subscribe(True)]
    stand.servers(Endpoint("a"))
    for _ in range(8):
        stand.period()
        assert not stand.of(Subscribe)
    stand.event(EndpointUpdate(EndpointUpdateKind.ERROR))
    stand.period()
    assert stand.of(Subscribe) == [Subscribe(True)]


def test_peer_messages_of_any_kind_change_nothing() -> None:
    stand = Stand(settings(can_tell=True, balancers=2))
    stand.fleet(a=0, b=0)
    for payload in (b"", b"\xff garbage", b"77 a", b"0" * 256):
        assert not stand.event(PeerMessage(10**9, payload))
    stand.ask()
    assert stand.sent_to() in ("a", "b")


def test_existing_connections_are_counted_and_never_sent() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    for index in range(5):
        stand.event(SessionRestored(Request(f"{index:016x}", 0, 0), "a"))
        assert not stand.actions
    stand.ask()
    assert stand.sent_to() == "b"
    stand.ended("0" * 16, "a", AttemptStatus.DELIVERED, final=True)
    stand.event(SessionRestored(Request("f" * 16, 0, 0), "unknown"))
    assert not stand.actions
