"""Tests of how one of many proxies reacts to servers and zones that stop responding, and to servers that recover."""

from __future__ import annotations

from stoatgw.decisions.interface import AttemptStatus, CheckHealth, HealthCheckResult, Reject
from tests.balancer_harness import BalancerHarness, settings

LOST_ZONE = ("a0", "a1", "a2", "a3")


def two_zone_harness(**changes: object) -> BalancerHarness:
    harness = BalancerHarness(settings(balancers=40, **changes))
    harness.list_servers(a0=0, a1=0, a2=0, a3=0, b0=1, b1=1)
    for name in LOST_ZONE:
        harness.report(name, 0.2, 10)
    harness.report("b0", 0.4, 20)
    harness.report("b1", 0.4, 20)
    harness.now_us += 1_000_000
    return harness


def fail(harness: BalancerHarness, server: str, status: AttemptStatus = AttemptStatus.DIAL_FAILED) -> None:
    harness.handle(HealthCheckResult(server, status, 250_000, ()))


def test_unresponsive_servers_stay_ejected_in_panic_mode() -> None:
    # Guards against ejection being disabled once four of six servers were lost: they got 60 set-ups a second.
    harness = two_zone_harness()
    for name in LOST_ZONE:
        fail(harness, name)
    for name in LOST_ZONE:
        server = harness.server(name)
        server.ejected_until_us, server.setup_failures = harness.now_us + 4_000_000, 2
    harness.context.fleet.update_panic_mode(harness.now_us)
    assert not harness.context.fleet.honors_ejection
    harness.request()
    assert harness.sent_to() in ("b0", "b1")


def test_two_failures_make_a_zone_suspected_until_it_answers() -> None:
    # Guards against attempts at one server of a lost zone after another: two connect timeouts per request.
    harness = two_zone_harness(can_probe=False)
    fail(harness, "a0")
    harness.request()
    assert harness.sent_to() in LOST_ZONE[1:]  # a single failure does not make the zone suspected
    fail(harness, "a1")
    harness.request()
    assert harness.sent_to() in ("b0", "b1")
    for name in LOST_ZONE:
        harness.report(name, 0.2, 10)
    harness.request()
    assert harness.sent_to() in LOST_ZONE


def test_health_checks_for_a_request_show_that_its_zone_is_unresponsive() -> None:
    harness = two_zone_harness()
    for name in LOST_ZONE:
        harness.health_check_results[name] = HealthCheckResult(name, AttemptStatus.DIAL_FAILED, 250_000, ())
    harness.request()
    assert harness.sent_to() in ("b0", "b1")
    assert {check.server for check in harness.actions_of(CheckHealth)} & set(LOST_ZONE)


def test_unresponsive_servers_are_attempted_if_no_other_is_admitted() -> None:
    harness = two_zone_harness()
    for name in (*LOST_ZONE, "b0", "b1"):
        fail(harness, name)
    harness.request()
    assert not harness.actions_of(Reject)


def count_attempts(harness: BalancerHarness, server: str) -> int:
    count = 0
    for _ in range(60):
        harness.request()
        count += harness.sent_to() == server
    return count


def test_a_server_that_recovers_without_connections_is_in_slow_start_before_the_list_shows_a_restart() -> None:
    # Guards against 14 set-ups in one second at a server that restarted 0.4 s before, which the list did not show yet.
    harness = two_zone_harness()
    fail(harness, "a0", AttemptStatus.DROPPED)
    harness.now_us += 1_000_000
    harness.report("a0", 0.0, 0)
    assert harness.warm_up_fraction("a0") < 0.3
    assert count_attempts(harness, "a0") <= 1
    harness.now_us += 9_000_000  # the list never showed a restart, so there was none
    harness.advance_period(0)
    assert harness.warm_up_fraction("a0") == 1.0


def test_a_server_that_kept_its_connections_while_unresponsive_stays_warm() -> None:
    harness = two_zone_harness()
    fail(harness, "a0", AttemptStatus.EXPIRED)
    harness.report("a0", 0.2, 9)
    assert harness.warm_up_fraction("a0") == 1.0
