"""Shared health checks: assignment, takeover and check rates, in virtual time and with real proxy processes."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.emulator.loopback.maintenance.child_process import ChildProcess
from stoatgw.emulator.loopback.maintenance.run import MaintenanceRun
from stoatgw.lab.shared_health_checks import ProxyFault, SimulatedFleet
from stoatgw.membership.rendezvous import MAX_LOAD_FACTOR, assign, rank_members
from stoatgw.shared_health_checks.assignment import HealthCheckAssignment
from tests.operator_files import assert_rejected_in_one_line

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=60)
NAMES = st.sets(st.text("abcdefgh", min_size=1, max_size=5), min_size=2, max_size=12)


@DETERMINISTIC
@given(NAMES, st.integers(1, 200), st.data())
def test_a_lost_member_moves_few_servers_of_others(members: set[str], count: int, data: st.DataObject) -> None:
    servers = [f"s-{index}" for index in range(count)]
    before = assign(servers, dict.fromkeys(members, 1.0))
    max_load = -(-MAX_LOAD_FACTOR * count // len(members))
    assert all(load <= max_load for load in Counter(ranked[0] for ranked in before.values()).values())
    assert all(sorted(ranked) == sorted(members) for ranked in before.values())
    lost = data.draw(st.sampled_from(sorted(members)))
    after = assign(servers, dict.fromkeys(members - {lost}, 1.0))
    moved = [name for name in servers if before[name][0] != after[name][0] and before[name][0] != lost]
    # The load limit grows when a member is lost, so servers that had overflowed to a lower rank move back.
    assert len(moved) <= count // 2
    ranked = rank_members("s-1", dict.fromkeys(members, 1.0))
    assert ranked == rank_members("s-1", dict.fromkeys(sorted(members), 1.0))


def test_a_member_of_weight_two_is_ranked_first_twice_as_often() -> None:
    weights = {"a": 2.0, "b": 1.0, "c": 1.0}
    first = Counter(rank_members(f"s-{index}", weights)[0] for index in range(4000))
    assert 0.47 < first["a"] / 4000 < 0.53


@pytest.mark.parametrize("is_receiving", [True, False])
def test_a_server_of_another_member_is_taken_over_unless_this_proxy_is_partitioned(is_receiving: bool) -> None:
    config = SharedHealthChecksConfig(check_interval_ms=250, takeover_delay_ms=900)
    assignment = HealthCheckAssignment("n0", config)
    servers = [f"s-{index}" for index in range(30)]
    assignment.update(servers, ["n0", "n1"], 0)
    own = [name for name in servers if assignment.assignees[name] == "n0"]
    assert sorted(assignment.select_due(250_000, is_receiving=is_receiving)) == sorted(own)
    due = assignment.select_due(900_000, is_receiving=is_receiving)
    assert sorted(due) == sorted(servers if is_receiving else own)
    # A takeover in progress also ends when no results are received.
    assert sorted(assignment.select_due(1_200_000, is_receiving=False)) == sorted(own)


@pytest.fixture
def fleet() -> SimulatedFleet:
    """Three proxies and thirty servers, with health checks in a steady state."""
    fleet = SimulatedFleet(3, 30)
    fleet.run(6.0)
    fleet.reset_measurement()
    return fleet


def test_each_server_is_checked_by_one_proxy_and_all_receive_the_results(fleet: SimulatedFleet) -> None:
    fleet.run(4.0)
    assert set(fleet.check_rates().values()) <= {3.75, 4.0, 4.25}  # 4 per second, from the three proxies together
    servers = {f"s-{index}" for index in range(30)}
    assert all(proxy.servers_reported >= servers for proxy in fleet.proxies)
    assert sum(len(proxy.checker.assigned_servers) for proxy in fleet.proxies) == 30


@pytest.mark.parametrize("fault", list(ProxyFault))
def test_when_a_proxy_is_lost_check_gaps_stay_within_a_second_and_rates_stay_steady(
    fleet: SimulatedFleet, fault: ProxyFault
) -> None:
    fleet.inject_fault(0, fault)
    fleet.run(10.0)
    assert fleet.longest_gap_s() <= 1.0
    # A partitioned proxy continues with its last assignment until its lease expires, then stops sharing.
    assert not fleet.proxies[0].checker.is_sharing
    # Until then its servers are checked by two proxies: sharing guarantees at least one check, not at most one.
    max_rate = 1.35 if fault is ProxyFault.CUT_OFF else 1.1
    assert all(0.9 <= rate / 4.0 <= max_rate for rate in fleet.check_rates().values())


@pytest.mark.parametrize("fault", [ProxyFault.FROZEN, ProxyFault.CUT_OFF])
def test_a_recovered_proxy_takes_over_no_servers_of_others(fleet: SimulatedFleet, fault: ProxyFault) -> None:
    """The missed results of a frozen or partitioned proxy must not make other members seem failed."""
    fleet.inject_fault(0, fault)
    fleet.run(10.0)
    fleet.reset_measurement()
    fleet.recover(0)
    for _ in range(10):
        count_before = len(fleet.checks)
        fleet.run(1.0)
        assert len(fleet.checks) - count_before <= 1.1 * 4 * 30
    assert fleet.proxies[0].checker.is_sharing
    assert len(fleet.proxies[0].checker.assigned_servers) > 0
    assert all(abs(rate / 4.0 - 1.0) <= 0.1 for rate in fleet.check_rates().values())


def test_without_the_engine_each_proxy_runs_just_the_checks_that_its_decisions_request() -> None:
    fleet = SimulatedFleet(3, 10)
    fleet.run(6.0)
    for index in range(3):
        fleet.inject_fault(index, ProxyFault.CUT_OFF)
    fleet.run(4.0)
    assert not any(proxy.checker.is_sharing for proxy in fleet.proxies)
    fleet.reset_measurement()
    fleet.proxies[1].checker.request_health_check("s-3")
    fleet.run(1.0)
    assert fleet.check_rates() == {f"s-{index}": 1.0 if index == 3 else 0.0 for index in range(10)}


def test_an_expired_lease_prevents_publishing_and_unknown_formats_are_ignored() -> None:
    fleet = SimulatedFleet(2, 4)
    fleet.run(6.0)
    fleet.inject_fault(0, ProxyFault.FROZEN)
    fleet.run(4.0)
    results_before = fleet.proxies[1].peer_result_count
    fleet.recover(0)  # it resumes, and tries to write before it has read a new snapshot
    fleet.poll(0)
    assert fleet.proxies[1].peer_result_count == results_before
    fleet.publish_malformed_report(1)
    fleet.run(1.0)


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("[sharing]", "membership: missing"),
        ("[membership]\nengine = ['127.0.0.1:1']\n[sharing]\nprobe_ms = 10", "sharing.probe_ms"),
        ("[membership]\nengine = ['127.0.0.1:1']\n[sharing]\nstale_ms = 900", "sharing.stale_ms: under probe_ms"),
    ],
)
def test_the_error_for_invalid_settings_is_one_line_with_file_and_field(tmp_path: Path, text: str, field: str) -> None:
    assert_rejected_in_one_line(tmp_path, text, field)


async def wait_for_checks(run: MaintenanceRun, count: int) -> None:
    """Wait until each server has answered `count` more health checks."""
    answered = {server.name: server.health_checks for server in run.servers}
    while not all(server.health_checks >= answered[server.name] + count for server in run.servers):
        await asyncio.sleep(0.02)


async def wait_for_event(processes: list[ChildProcess], event: str, count: int = 1) -> None:
    """Wait until each process has logged an event `count` times."""
    while not all(len(process.events_named(event)) >= count for process in processes):
        await asyncio.sleep(0.02)


def test_real_proxies_share_take_over_and_fall_back(tmp_path: Path) -> None:
    """Checks continue after one of three proxy processes is killed, and after the engine is killed and restarted."""
    plan = MaintenancePlan(name="none", machines=("s-0",), min_members=99)  # starts nothing

    async def test() -> None:
        sharing = SharedHealthChecksConfig(check_interval_ms=100, takeover_delay_ms=600)
        async with MaintenanceRun(tmp_path, plan, sharing=sharing) as run, asyncio.timeout(60):
            await wait_for_event(run.proxies, "health_check_sharing_started")
            await wait_for_checks(run, 10)
            await run.kill_proxy(0)
            await wait_for_checks(run, 10)
            await run.engine.end(signal.SIGKILL)
            await wait_for_event(run.proxies[1:], "health_check_sharing_stopped")
            await wait_for_checks(run, 2)
            await run.restart_engine()
            await wait_for_event(run.proxies[1:], "health_check_sharing_started", count=2)
            assert all(len(proxy.events_named("health_check_sharing_started")) == 2 for proxy in run.proxies[1:])
            assert run.clients.tally.lost == 0
            assert run.clients.tally.answers["UP"] > 0
            assert not any(proxy.events_named("health_check_sharing_failed") for proxy in run.proxies)

    asyncio.run(test())
