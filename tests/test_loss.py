"""What one proxy among many makes of servers and zones that stop answering, and of servers that come back."""

from __future__ import annotations

from stoatgw.decisions.interface import AttemptStatus, CheckHealth, HealthCheckResult, Reject
from tests.fleet import Stand, settings

LOST = ("a0", "a1", "a2", "a3")


def two_zones(**changes: object) -> Stand:
    stand = Stand(settings(balancers=40, **changes))
    stand.fleet(a0=0, a1=0, a2=0, a3=0, b0=1, b1=1)
    for name in LOST:
        stand.report(name, 0.2, 10)
    stand.report("b0", 0.4, 20)
    stand.report("b1", 0.4, 20)
    stand.now_us += 1_000_000
    return stand


def fail(stand: Stand, server: str, status: AttemptStatus = AttemptStatus.DIAL_FAILED) -> None:
    stand.event(HealthCheckResult(server, status, 250_000, ()))


def test_servers_that_are_gone_stay_out_though_they_are_most_of_the_fleet() -> None:
    # Guards against ejection given up once four of six were gone: 60 set-ups a second went there.
    stand = two_zones()
    for name in LOST:
        fail(stand, name)
    for name in LOST:
        server = stand.server(name)
        server.ejected_until_us, server.setup_failures = stand.now_us + 4_000_000, 2
    stand.context.fleet.update_panic_mode(stand.now_us)
    assert not stand.context.fleet.honors_ejection
    stand.ask()
    assert stand.sent_to() in ("b0", "b1")


def test_two_that_fail_put_their_zone_in_doubt_and_an_answer_ends_it() -> None:
    # Guards against each server of a lost zone being tried in turn, two connect time-outs a request.
    stand = two_zones(can_probe=False)
    fail(stand, "a0")
    stand.ask()
    assert stand.sent_to() in LOST[1:]  # one alone is one alone
    fail(stand, "a1")
    stand.ask()
    assert stand.sent_to() in ("b0", "b1")
    for name in LOST:
        stand.report(name, 0.2, 10)
    stand.ask()
    assert stand.sent_to() in LOST


def test_probes_sent_for_a_client_find_out_that_its_zone_is_lost() -> None:
    stand = two_zones()
    for name in LOST:
        stand.told[name] = HealthCheckResult(name, AttemptStatus.DIAL_FAILED, 250_000, ())
    stand.ask()
    assert stand.sent_to() in ("b0", "b1")
    assert {probe.server for probe in stand.of(CheckHealth)} & set(LOST)


def test_what_does_not_answer_is_still_tried_where_nothing_else_passes() -> None:
    stand = two_zones()
    for name in (*LOST, "b0", "b1"):
        fail(stand, name)
    stand.ask()
    assert not stand.of(Reject)


def admitted(stand: Stand, server: str) -> int:
    count = 0
    for _ in range(60):
        stand.ask()
        count += stand.sent_to() == server
    return count


def test_a_server_back_empty_is_taken_for_cold_before_the_list_says_so() -> None:
    # Guards against 14 set-ups in one second at a server 0.4 s old that the list still called settled.
    stand = two_zones()
    fail(stand, "a0", AttemptStatus.DROPPED)
    stand.now_us += 1_000_000
    stand.report("a0", 0.0, 0)
    assert stand.warm_up_fraction("a0") < 0.3
    assert admitted(stand, "a0") <= 1
    stand.now_us += 9_000_000  # the list never told of a restart: there was none
    stand.period(0)
    assert stand.warm_up_fraction("a0") == 1.0


def test_a_server_that_was_cut_off_and_kept_its_connections_is_no_cold_one() -> None:
    stand = two_zones()
    fail(stand, "a0", AttemptStatus.EXPIRED)
    stand.report("a0", 0.2, 9)
    assert stand.warm_up_fraction("a0") == 1.0
