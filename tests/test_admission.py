"""The admission test and the choice, by numbers worked out by hand."""

from __future__ import annotations

import pytest

from stoatgw.decisions.interface import (
    AttemptStatus,
    CheckHealth,
    ClientDisconnected,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    HealthCheckResult,
    Log,
    Migrate,
    Reject,
    Request,
    Send,
    SessionRestored,
    TimerExpired,
)
from tests.fleet import SECOND, T0, Stand, drain, settings


def test_lowest_pressure_in_the_own_zone_wins() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.report("a", 0.50, 50)  # r = 0.010, r * (n + 1) = 0.51
    stand.report("b", 0.40, 20)  # r = 0.020, r * (n + 1) = 0.42
    stand.ask()
    assert stand.sent_to() == "b"


def test_rate_is_the_mean_of_the_ratios_over_the_lookback() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    # a: r = (0.010 + 0.030) / 2 = 0.020, with n = 20: 0.42. The last report alone would say 0.63.
    stand.report("a", 0.10, 10)
    stand.report("a", 0.60, 20)
    # b: r = 0.022, with n = 20: 0.462.
    stand.report("b", 0.44, 20)
    stand.ask()
    assert stand.sent_to() == "a"


@pytest.mark.parametrize(("count", "admitted"), [(38, True), (39, False)])
def test_margin_is_strict(count: int, admitted: bool) -> None:
    stand = Stand()
    stand.fleet(a=0)
    stand.report("a", 0.02 * count, count)  # passes while 0.02 * (count + 1) < 0.8
    stand.ask()
    assert (stand.sent_to() == "a") is admitted


@pytest.mark.parametrize(("count", "admitted"), [(31, True), (32, False)])
def test_low_worth_meets_a_tighter_margin(count: int, admitted: bool) -> None:
    stand = Stand()
    stand.fleet(a=0)
    # Worth 1 of 5: margin 0.8 * (1 - 0.4 * 0.5) = 0.64, so r * (n + 1) = 0.02 * 33 does not pass.
    stand.report("a", 0.02 * count, count)
    stand.ask(profile=1)
    assert (stand.sent_to() == "a") is admitted
    stand.ask(profile=0)
    assert stand.sent_to() == "a"


def test_beyond_its_share_a_tenant_is_refused_first() -> None:
    stand = Stand(settings(tenant_quota_connections=(2.0, 100.0), over_share_worth=0.1))
    stand.fleet(a=0)
    stand.report("a", 0.60, 30)
    for _ in range(2):
        stand.ask(tenant=0)
        assert stand.sent_to() == "a"
    stand.ask(tenant=0)
    assert stand.of(Reject)
    stand.ask(tenant=1)
    assert stand.sent_to() == "a"


@pytest.mark.parametrize(("held", "admitted"), [(3, True), (12, False)])
def test_a_share_is_divided_by_who_holds_what_not_evenly(held: int, admitted: bool) -> None:
    # Guards against a proxy whose peer is away: it holds all, and took most of it for beyond the tenants' shares.
    stand = Stand(settings(balancers=2, tenant_quota_connections=(5.0, 100.0), over_share_worth=0.1))
    stand.fleet(a=0)
    for _ in range(3):
        stand.ask(tenant=0)
    stand.report("a", 0.02 * held, held)  # ours are all, or a quarter, of what is there
    stand.event(TimerExpired(0))
    stand.now_us += SECOND
    stand.report("a", 0.66, 33)  # with one more 0.68: under the margin, over that of low worth
    stand.ask(tenant=0)
    assert (stand.sent_to() == "a") is admitted


def test_own_zone_up_to_the_spill_load_then_across_then_refuse() -> None:
    stand = Stand()
    stand.fleet(near=0, far=1)
    stand.report("near", 0.56, 28)
    stand.report("far", 0.10, 5)
    stand.ask()  # near at 0.58 is under the spill load and the own zone comes first
    assert stand.sent_to() == "near"
    stand.report("near", 0.60, 30)
    stand.ask()  # near would be at 0.62 or more
    assert stand.sent_to() == "far"
    stand.report("near", 0.90, 45)
    stand.report("far", 0.90, 45)
    stand.ask()
    assert stand.of(Reject) and stand.sent_to() is None


def test_without_any_sample_the_own_zone_server_with_fewest_connections() -> None:
    stand = Stand(settings(can_probe=False, report_columns=()))
    stand.fleet(a=0, b=0, c=1)
    seen = []
    for _ in range(6):
        stand.ask()
        seen.append(stand.sent_to())
    assert sorted(str(name) for name in seen) == ["a", "a", "a", "b", "b", "b"]


def test_a_server_not_heard_from_is_the_last_choice() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0, silent=0)
    stand.report("a", 0.50, 25)
    stand.ask()
    assert stand.sent_to() == "a"
    stand.report("a", 0.80, 40)
    stand.ask()  # a no longer passes; the fleet's mean r = 0.02 stands in for the silent ones
    assert stand.sent_to() in ("b", "silent")


def test_placements_count_until_a_report_can_show_them() -> None:
    stand = Stand()
    stand.fleet(a=0)
    stand.report("a", 0.36, 18)
    for _ in range(21):
        stand.ask()
        assert stand.sent_to() == "a"
        stand.begin(f"{stand.asked:016x}", "a")
    stand.ask()  # 0.02 * (18 + 21 + 1) = 0.8
    assert stand.of(Reject)
    stand.now_us += SECOND // 2
    stand.report("a", 0.36, 18)  # too soon: this report cannot show the burst yet
    stand.ask()
    assert stand.of(Reject)
    stand.now_us += SECOND // 4
    stand.report("a", 0.36, 18)
    stand.ask()
    assert stand.sent_to() == "a"


def test_unshown_placements_are_expected_of_every_balancer() -> None:
    # Guards against a warmed server filled to 1.3 by several balancers between two reports.
    stand = Stand(settings(balancers=3))
    stand.fleet(a=0)
    stand.report("a", 0.36, 18)
    admitted = 0
    while not stand.of(Reject):
        stand.ask()
        admitted += 1
    assert admitted - 1 == 7  # 0.02 * (18 + 3 * 7 + 1) = 0.8


def test_a_failed_set_up_leaves_n_at_once() -> None:
    stand = Stand()
    stand.fleet(a=0)
    stand.report("a", 0.76, 38)
    stand.ask(request="f" * 16)
    assert stand.sent_to() == "a"
    stand.ask()
    assert stand.of(Reject)
    stand.ended("f" * 16, "a", AttemptStatus.REVOKED)
    stand.ask()
    assert stand.sent_to() == "a"


def test_heavy_hints_count_for_more() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    for _ in range(3):
        stand.ask(hint_us=10_000, hint_valid=True)
    stand.period(3)
    stand.report("a", 0.70, 35)
    stand.report("b", 0.70, 35)
    stand.ask(hint_us=40_000, hint_valid=True)  # counts as 4: 0.02 * 39 = 0.78 passes still
    assert stand.sent_to() is not None
    stand.ask(hint_us=60_000, hint_valid=True)  # 60,000 over a mean of 17,500: 0.02 * 38.4 passes
    assert stand.sent_to() is not None
    stand.ask(hint_us=10**11, hint_valid=True)  # beyond belief: counted as 8 at most, not admitted
    assert stand.of(Reject)
    stand.period(3)
    stand.report("a", 0.60, 30)
    stand.ask(hint_us=60_000, hint_valid=True)  # and the mean has not run away with it
    assert stand.context.connections[f"{stand.asked:016x}"].load_units > 1.0


def test_a_group_goes_where_it_is_paid_for_already() -> None:
    stand = Stand(settings(groups=True))
    stand.fleet(a=0, b=0)
    stand.report("a", 0.40, 20)
    stand.report("b", 0.41, 20)
    stand.ask(group=5)
    first = stand.sent_to()
    stand.ask(group=5)
    assert stand.sent_to() == first


def test_a_late_message_closes_a_server_at_once() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.report("a", 0.20, 10)
    stand.report("b", 0.40, 20)
    stand.ask(request="1" * 16)
    assert stand.sent_to() == "a"
    stand.begin("1" * 16, "a")
    stand.late("1" * 16, "a", 60.0)  # the shortest aim: stands for a load of tau
    stand.ask()
    assert stand.sent_to() == "b"
    stand.now_us += 2 * SECOND
    stand.ask()  # no further note: the delay is over
    assert stand.sent_to() == "a"


def test_relief_moves_a_few_off_a_server_with_late_messages() -> None:
    # Guards against hundreds of connections kept to the end on a hung or overfull server.
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.report("a", 0.10, 10)
    stand.report("b", 0.59, 40)
    for index in range(10):
        stand.ask(request=f"{index:016x}", profile=index % 2)
        assert stand.sent_to() == "a"
        stand.begin(f"{index:016x}", "a")
    stand.late("0" * 16, "a", 50.0)  # on time for its class: nobody is moved
    assert not stand.of(Migrate)
    stand.report("b", 0.10, 10)
    stand.late("0" * 16, "a", 400.0)
    assert len(stand.of(Migrate)) in (1, 2)
    assert {int(move.request_id, 16) % 2 for move in stand.of(Migrate)} == {1}  # worth least per work


def test_relief_leaves_all_alone_where_nobody_has_room() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.report("a", 0.30, 30)
    stand.report("b", 0.35, 20)
    stand.ask(request="1" * 16)
    stand.begin("1" * 16, "a")
    stand.report("b", 0.90, 45)
    stand.late("1" * 16, "a", 400.0)
    assert not stand.of(Migrate)
    stand.report("a", 1.40, 30)  # over the margin: those worth least leave even so
    moves = 0
    for _ in range(60):  # a tenth of one connection: left to chance
        stand.late("1" * 16, "a", 400.0)
        moves += len(stand.of(Migrate))
    assert moves == 1


def test_estimates_do_not_stay_poisoned() -> None:
    # Guards against a server that hung, showed a huge load over one connection, and was shunned.
    stand = Stand()
    stand.fleet(a=0, b=0)
    for _ in range(5):
        stand.report("a", 0.40, 20)
        stand.report("b", 9.0, 1)
        stand.period()
    stand.report("b", 0.0, 0)
    for _ in range(12):
        stand.ask()
    assert stand.sent_to() is not None
    stand.period(3)
    stand.report("b", 0.0, 0)
    stand.report("a", 0.60, 30)
    stand.ask()
    assert stand.sent_to() == "b"


def test_a_jam_does_not_raise_the_rate_for_the_time_after() -> None:
    # Guards against a fleet that, relieved of an overload, refused clients at half of its capacity.
    stand = Stand()
    stand.fleet(a=0)
    for _ in range(3):
        stand.report("a", 0.40, 40)
    for _ in range(10):
        stand.period()
        stand.report("a", 2.5, 40)
    stand.ask()
    assert stand.of(Reject)  # the reported load alone closes it
    stand.report("a", 0.50, 50)
    stand.ask()
    assert stand.sent_to() == "a"


@pytest.mark.parametrize("load", [float("nan"), float("inf"), -1.0, 1e300, None])
@pytest.mark.parametrize("count", [float("nan"), float("inf"), -5.0, 1e300, None, 0.0])
def test_reports_beyond_belief_change_nothing(load: float | None, count: float | None) -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    for _ in range(3):
        stand.report("a", 0.40, 20)
        stand.report("b", 0.44, 20)
    stand.report("a", load, count)
    stand.ask()
    assert stand.sent_to() == "a"


def test_an_emptied_server_that_still_hangs_gets_nothing() -> None:
    # Guards against set-ups drawn to a hung server without connections: its r (n + 1) was lowest.
    stand = Stand()
    stand.fleet(a=0, b=0)
    for _ in range(3):
        stand.report("a", 0.30, 15)
        stand.report("b", 0.40, 20)
    stand.report("a", 9.0, 0)
    stand.ask()
    assert stand.sent_to() == "b"
    stand.report("a", 0.0, 0)
    stand.ask()
    assert stand.sent_to() == "a"


def test_a_server_that_fails_set_ups_is_ejected_with_backoff() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0, c=0)
    stand.report("a", 0.10, 10)
    stand.report("b", 0.40, 20)
    stand.report("c", 0.40, 20)
    stand.ask(request="1" * 16)
    stand.ended("1" * 16, "a", AttemptStatus.EXPIRED)
    assert stand.sent_to() in ("b", "c")  # the one further try
    stand.ask()
    assert stand.sent_to() != "a"
    stand.now_us += SECOND + 1
    stand.context.counts.setup_window = 200.0  # the window for set-ups has a test of its own
    stand.ask(request="2" * 16)
    assert stand.sent_to() == "a"
    stand.ended("2" * 16, "a", AttemptStatus.EXPIRED)
    stand.context.counts.setup_window = 200.0
    stand.now_us += SECOND + 1
    stand.ask()
    assert stand.sent_to() != "a"  # twice as long now
    stand.now_us += SECOND
    stand.ask()
    assert stand.sent_to() == "a"


def test_a_shared_cause_does_not_eject_the_fleet() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0, c=0)
    for name in "abc":
        stand.report(name, 0.20, 10)
    for index in range(3):
        stand.ask(request=f"{index:016x}")
    for index in range(3):
        name = "abc"[index]
        stand.ended(f"{index:016x}", name, AttemptStatus.EXPIRED)
    stand.context.counts.setup_window = 200.0  # the window for set-ups has a test of its own
    stand.ask()
    assert stand.sent_to() is not None


def test_failing_set_ups_narrow_what_is_under_way() -> None:
    # Guards against a storm: while the shared store is slow, more set-ups at once only fail more.
    stand = Stand()
    names = [f"s{index}" for index in range(40)]
    stand.servers(*(Endpoint(name) for name in names))
    for name in names:
        stand.report(name, 0.10, 10)
    for index in range(30):
        stand.ask(request=f"{index:016x}")
        stand.ended(f"{index:016x}", str(stand.sent_to()), AttemptStatus.EXPIRED)
        stand.ended(f"{index:016x}", str(stand.sent_to()), AttemptStatus.EXPIRED, attempt=1)
    admitted: list[tuple[str, str]] = []
    for index in range(100, 120):
        stand.ask(request=f"{index:016x}")
        if stand.sent_to():
            admitted.append((f"{index:016x}", str(stand.sent_to())))
    assert len(admitted) == 2
    for request, server in admitted:
        stand.begin(request, server)
    sent = 0
    for index in range(200, 220):
        stand.ask(request=f"{index:016x}")
        sent += stand.sent_to() is not None
    assert sent == 4  # each that stood adds one


def test_second_failure_is_refused_with_advice() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0, c=0)
    for name in "abc":
        stand.report(name, 0.20, 10)
    stand.ask(request="1" * 16)
    stand.ended("1" * 16, str(stand.sent_to()), AttemptStatus.SHED)
    assert stand.sent_to() is not None
    stand.ended("1" * 16, str(stand.sent_to()), AttemptStatus.SHED, attempt=1)
    assert stand.of(Reject) == [Reject("1" * 16, SECOND)]


def test_without_a_price_every_ready_server_is_probed_each_period() -> None:
    stand = Stand()
    stand.fleet(a=0, b=1)
    assert sorted(probe.server for probe in stand.of(CheckHealth)) == ["a", "b"]
    stand.event(HealthCheckResult("a", AttemptStatus.DELIVERED, 900, (0.1, 5.0)))
    stand.event(HealthCheckResult("b", AttemptStatus.EXPIRED, 900))
    stand.servers(drain("b", 1), kind=EndpointUpdateKind.DELTA)
    stand.period()
    assert [probe.server for probe in stand.of(CheckHealth)] == ["a"]


def test_silence_of_all_probes_still_places() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.report("a", 0.40, 20)
    stand.report("b", 0.30, 15)
    for _ in range(30):
        stand.period()
    stand.ask()
    assert stand.sent_to() == "b"


def test_placements_under_probe_silence_do_not_grow_memory() -> None:
    stand = Stand()
    stand.fleet(a=0)
    stand.report("a", 0.01, 1)
    for index in range(50):
        request = f"{index:016x}"
        stand.ask(request=request)
        stand.begin(request, "a")
        stand.ended(request, "a", AttemptStatus.DELIVERED, final=True)
        stand.period(2)
    assert len(stand.server("a").unreported_changes) <= 3
    assert not stand.context.connections


def test_ties_are_broken_by_the_seed_alone() -> None:
    def picks(seed: int) -> list[str | None]:
        stand = Stand(seed=seed)
        stand.fleet(a=0, b=0, c=0, d=0)
        out = []
        for _ in range(40):
            for name in "abcd":
                stand.report(name, 0.20, 10)
            stand.ask()
            out.append(stand.sent_to())
            stand.now_us += 10 * SECOND
        return out

    assert picks(1) == picks(1)
    assert picks(1) != picks(2)


def test_a_restarted_process_is_a_new_server() -> None:
    stand = Stand()
    stand.fleet(a=0)
    stand.report("a", 0.70, 35)
    stand.servers(Endpoint("a", started_us=T0 - SECOND), kind=EndpointUpdateKind.DELTA)
    assert stand.server("a").reported_connections is None


def test_an_empty_list_refuses() -> None:
    stand = Stand()
    stand.event(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 2, ()))
    stand.ask()
    assert stand.of(Reject) and not stand.of(Send)


def test_a_reported_load_over_one_moves_some_away_but_not_beside_a_delay_note() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.report("a", 0.5, 20)
    stand.report("b", 0.1, 20)
    for index in range(40):
        stand.event(SessionRestored(Request(f"{index:016x}", 0, 0), "a"))
    assert stand.report("a", 1.4, 40) and len(stand.of(Migrate)) == 4
    stand.late(f"{39:016x}", "a", 30.0)
    assert not stand.report("a", 1.4, 36)


def test_a_storm_of_set_ups_is_spread_and_then_refused() -> None:
    # Guards against the server that looked emptiest getting 45 set-ups in a second: 25 timed out.
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.report("a", 0.02, 10)
    stand.report("b", 0.50, 50)
    sent = []
    for _ in range(40):
        stand.ask()
        sent.append(stand.sent_to())
    assert (sent.count("a"), sent.count("b"), sent.count(None)) == (16, 16, 8)
    stand.begin(f"{1:016x}", "a")
    stand.ask()
    assert stand.sent_to() == "a"


def test_a_bad_request_that_errs_everywhere_takes_no_server_out() -> None:
    stand = Stand()
    stand.fleet(a=0, b=0, c=0, d=0, e=0)
    stand.report("a", 0.2, 10)
    stand.report("b", 0.4, 10)
    for name in "cde":
        stand.report(name, 0.5, 10)
    stand.ask(request="f" * 16)
    stand.ended("f" * 16, "a", AttemptStatus.APP_ERROR)
    assert stand.sent_to() == "b"
    stand.ended("f" * 16, "b", AttemptStatus.APP_ERROR, attempt=1)
    assert stand.of(Reject)
    stand.ask()
    assert stand.sent_to() == "a"


@pytest.mark.parametrize("served_elsewhere", [True, False])
def test_a_server_that_errs_is_left_out(served_elsewhere: bool) -> None:
    stand = Stand()
    stand.fleet(a=0, b=0, c=0)
    stand.report("a", 0.2, 10)
    stand.report("b", 0.4, 10)
    stand.report("c", 0.5, 10)
    for request in ("e" * 16, "f" * 16)[served_elsewhere:]:
        stand.ask(request=request)
        assert stand.sent_to() == "a"
        stand.ended(request, "a", AttemptStatus.APP_ERROR)
        assert stand.sent_to() == "b"
        if served_elsewhere:
            stand.begin(request, "b", 1)
        else:
            stand.ended(request, "b", AttemptStatus.APP_ERROR, attempt=1)
    stand.ask()
    assert stand.sent_to() != "a"


def test_a_server_that_holds_the_group_is_preferred_to_one_a_little_emptier() -> None:
    stand = Stand(settings(groups=True))
    stand.fleet(a=0)
    stand.report("a", 0.40, 20)
    stand.ask(group=7)
    stand.begin(f"{stand.asked:016x}", "a")
    stand.fleet(a=0, b=0)
    stand.report("b", 0.38, 20)
    stand.ask(group=7)
    assert stand.sent_to() == "a"
    stand.ask(group=8)
    assert stand.sent_to() == "b"


@pytest.mark.parametrize(("delay_ms", "least", "most"), [(60.0, 1, 2), (90.0, 1, 3), (6_000.0, 4, 5)])
def test_the_later_the_messages_the_more_leave(delay_ms: float, least: int, most: int) -> None:
    # Guards against seconds of piled up work that a tenth at a time took ten seconds to come off.
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.report("a", 0.10, 10)
    stand.report("b", 0.50, 10)
    for index in range(20):
        stand.ask(request=f"e{index:015x}")
        stand.begin(f"e{index:015x}", "a")
    stand.report("b", 0.05, 10)
    stand.late("e" + "0" * 15, "a", delay_ms)
    assert least <= len(stand.of(Migrate)) <= most


def test_clients_sent_here_by_a_peers_drain_are_not_expected_of_the_peers_too() -> None:
    # Guards against refusals at half the load while one of two proxies restarts.
    def admitted(returned: bool) -> int:
        stand = Stand(settings(balancers=2))
        stand.fleet(a=0)
        stand.report("a", 0.36, 18)
        while True:
            stand.ask(is_returning=returned)
            if stand.of(Reject):
                return stand.asked - 1
            stand.begin(f"{stand.asked:016x}", "a")

    assert (admitted(False), admitted(True)) == (11, 21)


def test_a_server_never_heard_from_comes_after_all_that_pass() -> None:
    # Guards against a broken server, which looks empty, being sent each client once others are over SPILL.
    stand = Stand()
    stand.fleet(a=0, b=0)
    stand.report("a", 0.66, 33)
    stand.ask()
    assert stand.sent_to() == "a"


@pytest.mark.parametrize("heard", [True, False])
def test_errors_of_a_server_never_heard_from_slow_nobody_else_down(heard: bool) -> None:
    stand = Stand()
    stand.fleet(a=0, b=0)
    if heard:
        stand.report("b", 0.01, 1)
    for _ in range(2):
        stand.ask()
        stand.ended(f"{stand.asked:016x}", str(stand.sent_to()), AttemptStatus.APP_ERROR)
    assert (stand.context.counts.setup_window < 200) == heard


def test_a_refusal_asks_servers_how_they_stand() -> None:
    # Guards against a storm being refused for a second by reports that its own drain has made untrue.
    stand = Stand()
    stand.fleet(a=0)
    stand.report("a", 0.9, 45)
    stand.ask()
    assert [type(action) for action in stand.actions] == [Reject, Log]  # asked just now
    stand.now_us += SECOND * 8 // 10
    stand.ask()
    assert [type(action) for action in stand.actions] == [Reject, CheckHealth]


def test_a_client_that_leaves_does_not_eject_its_server_but_a_draining_one_does() -> None:
    """Where many clients left and came back at once, each took its server out for 4 s, and most were refused."""
    for left, sent_to in ((True, "a"), (False, None)):
        stand = Stand()
        stand.fleet(a=0)
        stand.report("a", 0.1, 10)
        stand.ask(request="f" * 16)
        stand.begin("f" * 16, "a")
        if left:
            stand.event(ClientDisconnected("f" * 16))
        stand.ended("f" * 16, "a", AttemptStatus.REVOKED, final=True)
        stand.fleet(a=0, b=0)
        stand.report("b", 0.5, 50)
        stand.ask()
        assert (stand.sent_to() == "a") == left, sent_to


@pytest.mark.parametrize(("ours", "many", "chosen"), [(13, 2, "a"), (0, 2, "b"), (13, 40, "b")])
def test_a_group_new_to_a_server_weighs_three_as_far_as_we_know(ours: int, many: int, chosen: str) -> None:
    """At one deployment a group costs a server three mean connections, at another one; no setting tells which.

    Guards against a process just started, or one of many, that takes its peers' groups for new ones and refuses.
    """
    stand = Stand(settings(groups=True, balancers=many))
    stand.fleet(a=0, b=0)
    for number in range(ours):
        for server, group in (("a", 7), ("b", 8)):
            stand.event(SessionRestored(Request(f"{server}{number:015x}", 0, 0, group=group), server))
    if not ours:
        stand.event(SessionRestored(Request("a" * 16, 0, 0, group=7), "a"))
    stand.now_us += 2 * SECOND
    stand.report("a", 0.50, 50)  # 0.51 for one more of the group, 0.05 less for the pull
    stand.report("b", 0.43, 43)  # 0.47 with three for the group, 0.45 with one
    stand.ask(group=7)
    assert stand.sent_to() == chosen


def test_low_worth_forgoes_more_only_while_higher_worth_is_refused() -> None:
    # Guards against light connections of little worth being refused for heavy ones that nobody refuses.
    stand = Stand()
    stand.fleet(a=0)
    stand.report("a", 0.60, 60)  # 0.61 with one more; worth of a fifth passes under 0.8 - 0.16 at any time
    stand.ask(1)
    assert stand.sent_to() == "a"
    stand.report("a", 1.20, 60)
    stand.ask(0)  # the highest worth is refused: now a fifth forgoes 0.256
    assert stand.sent_to() is None
    stand.report("a", 0.60, 60)
    stand.period()
    stand.report("a", 0.60, 60)
    stand.ask(1)
    assert stand.sent_to() is None
    stand.ask(0)
    assert stand.sent_to() == "a"
    for _ in range(12):
        stand.period()
    stand.report("a", 0.60, 60)
    stand.ask(1)
    assert stand.sent_to() == "a"


def test_a_group_new_to_a_cold_server_weighs_one() -> None:
    # Guards against cold servers that stay empty: at a fifth of their capacity three connections are half of it.
    stand = Stand(settings(groups=True, balancers=1))
    stand.servers(Endpoint("a", started_us=T0 - 2 * SECOND))
    stand.now_us += SECOND
    stand.report("a", 0.55, 5)  # 0.77 with two more, 0.99 with four
    stand.ask(group=7)
    assert stand.sent_to() == "a"
