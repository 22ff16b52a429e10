"""Tests of a rolling maintenance with real processes: three proxies, and a fault of a proxy, its link or the engine."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from msgspec.structs import replace

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.emulator.loopback.maintenance.addresses import free_port, unique_host
from stoatgw.emulator.loopback.maintenance.run import MaintenanceRun
from stoatgw.maintenance.keys import StoreSnapshot
from stoatgw.maintenance.rollout_state import StepState
from tests.rollouts import assert_bounds_held

Fault = Callable[[MaintenanceRun], Awaitable[None]]

PLAN = MaintenancePlan(
    name="p",
    machines=("s-0", "s-1", "s-2", "s-3"),
    max_unavailable_servers=2,
    max_zone_fraction=0.5,
    min_members=1,
    step_timeout_s=60.0,
    settle_s=0.2,
    member_loss_timeout_s=1.5,
)


def test_free_ports_of_a_run_are_all_different() -> None:
    """A proxy whose port is in use ends at its start, and the run would continue without it."""
    host = unique_host()
    ports = [free_port(host) for _ in range(1000)]
    assert len(set(ports)) == len(ports)


def is_notified(snapshot: StoreSnapshot) -> bool:
    """Return whether a step is in progress of which all proxies have been notified."""
    rollout = snapshot.rollout
    return rollout is not None and any(rollout.steps[name].is_notified for name in rollout.machines_out_of_service())


async def wait_for_leader(run: MaintenanceRun) -> StoreSnapshot:
    await run.wait_for(is_notified)
    return await run.wait_for(lambda snapshot: snapshot.fencing_token > 0)


async def leader_killed(run: MaintenanceRun) -> None:
    snapshot = await wait_for_leader(run)
    await run.kill_proxy(run.leader_index(snapshot))


async def leader_frozen(run: MaintenanceRun) -> None:
    snapshot = await wait_for_leader(run)
    leader = run.leader_index(snapshot)
    run.proxies[leader].send_signal(signal.SIGSTOP)
    run.clients.killed_proxies.add(leader)  # its clients get no answers while it is frozen
    await run.wait_for(lambda after: after.fencing_token > snapshot.fencing_token)
    run.proxies[leader].send_signal(signal.SIGCONT)


async def leader_cut_off(run: MaintenanceRun) -> None:
    snapshot = await wait_for_leader(run)
    link = run.links[run.leader_index(snapshot)]
    link.cut()
    await run.wait_for(lambda after: after.fencing_token > snapshot.fencing_token)
    link.restore()


async def responses_lost(run: MaintenanceRun) -> None:
    await run.wait_for(is_notified)
    for _ in range(3):
        await run.lose_responses(2)
        await asyncio.sleep(0.3)


async def engine_restarted(run: MaintenanceRun) -> None:
    await run.wait_for(is_notified)
    await run.restart_engine()


async def engine_disk_full(run: MaintenanceRun) -> None:
    await run.wait_for(is_notified)
    await run.restart_engine(has_full_disk=True)
    await asyncio.sleep(1.0)
    await run.restart_engine()


async def no_fault(run: MaintenanceRun) -> None:
    pass


def run_maintenance(folder: Path, plan: MaintenancePlan, test: Fault, *, full_disks: tuple[int, ...] = ()) -> None:
    async def run_test() -> None:
        async with MaintenanceRun(folder, plan, servers=4, full_disks=full_disks) as run, asyncio.timeout(90):
            await test(run)

    asyncio.run(run_test())


def assert_run_kept_bounds(run: MaintenanceRun) -> None:
    assert_bounds_held(run.plan, {server.name: server.zone for server in run.servers}, run.rollout_history())


FAULTS = [no_fault, leader_killed, leader_frozen, leader_cut_off, responses_lost, engine_restarted, engine_disk_full]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_maintenance_completes_despite_a_fault(fault: Fault, tmp_path: Path) -> None:
    """After any fault of a proxy, its link or the engine, each machine is still restarted once and within bounds."""

    async def test(run: MaintenanceRun) -> None:
        await fault(run)
        rollout = await run.wait_until_finished()
        assert_run_kept_bounds(run)
        assert [step.state for step in rollout.steps.values()] == [StepState.DONE] * 4
        # As the operators saw it, not as the stored state has it: each machine was restarted once, never three at once.
        assert run.restart_counts == Counter(PLAN.machines)
        assert run.max_servers_down <= PLAN.max_unavailable_servers
        assert run.clients.tally.lost == 0
        assert set(run.clients.tally.answers) <= {"UP", "BUSY"}

    run_maintenance(tmp_path, PLAN, test)


def test_proxies_are_drained_and_restarted_while_another_has_a_full_disk(tmp_path: Path) -> None:
    """Proxies are machines of a plan too; one that cannot write its state file still takes part in the rollout."""
    plan = MaintenancePlan(
        name="p",
        machines=("proxy/n1", "s-0", "proxy/n2"),
        max_zone_fraction=0.5,
        settle_s=0.0,
        member_loss_timeout_s=1.5,
    )

    async def test(run: MaintenanceRun) -> None:
        rollout = await run.wait_until_finished()
        assert_run_kept_bounds(run)
        assert [step.state for step in rollout.steps.values()] == [StepState.DONE] * 3
        assert run.restart_counts == Counter(plan.machines)
        assert run.clients.tally.lost == 0
        # A condition that persists is logged once.
        assert len(run.proxies[0].events_named("maintenance_state_file_write_failed")) == 1
        assert run.proxies[1].events_named("drain_started")
        assert len(run.proxies[1].events_named("proxy_stopped")) == 1

    run_maintenance(tmp_path, plan, test, full_disks=(0,))


async def run_command(run: MaintenanceRun, subcommand: str) -> tuple[int, str]:
    arguments = ["maintain", subcommand, "--config", str(run.folder / "own-0.toml")]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "stoatgw",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode or 0, (output + errors).decode()


def test_the_abort_command_releases_all_machines_and_the_status_command_shows_it(tmp_path: Path) -> None:
    # Machines stay out of service for longer than the test takes, so that even on a busy host the rollout cannot finish
    # before the abort.
    plan = replace(PLAN, completion="empty", min_evacuated_s=50.0)

    async def test(run: MaintenanceRun) -> None:
        await run.wait_for(is_notified)
        _, printed = await run_command(run, "plan")
        assert printed.count("s-") == 4
        status, printed = await run_command(run, "abort")
        assert status == 0
        assert printed.startswith("aborted; ")
        snapshot = await run.wait_for(
            lambda latest: (
                latest.rollout is not None
                and latest.rollout.is_aborted
                and not latest.rollout.machines_out_of_service()
            )
        )
        assert snapshot.rollout is not None
        assert {step.state for step in snapshot.rollout.steps.values()} == {StepState.RELEASED}
        status, printed = await run_command(run, "status")
        assert status == 0
        assert "aborted" in printed
        assert "n0, n1, n2" in printed
        _, printed = await run_command(run, "abort")
        assert printed == "it had ended before\n"
        await run.engine.end(signal.SIGKILL)
        status, printed = await run_command(run, "status")
        assert status == 2
        assert "the engine does not answer" in printed
        assert printed.count("\n") == 1

    run_maintenance(tmp_path, plan, test)


def has_halted(run: MaintenanceRun, index: int) -> bool:
    """Return whether a proxy has logged that the engine lost its data."""
    proxy = run.proxies[index]
    return bool(
        proxy.events_named("maintenance_rollout_halted") or proxy.events_named("maintenance_stale_revision_detected")
    )


def test_an_engine_that_lost_its_data_halts_the_rollout_and_no_machine_is_restarted_twice(tmp_path: Path) -> None:
    async def test(run: MaintenanceRun) -> None:
        await run.wait_for(is_notified)
        await run.wait_for(
            lambda latest: (
                latest.rollout is not None
                and any(step.state is StepState.DONE for step in latest.rollout.steps.values())
            )
        )
        await run.restart_engine(loses_data=True)
        while not all(has_halted(run, index) for index in range(len(run.proxies))):
            await asyncio.sleep(0.05)
        await run.wait_for(lambda latest: len(latest.members) == 3)
        await asyncio.sleep(2 * run.membership.lease_ttl_s)  # long enough that a new rollout would have started
        snapshot = await run.read_snapshot()
        assert snapshot is not None
        assert snapshot.rollout is None
        assert max(run.restart_counts.values()) == 1
        assert run.max_servers_down <= PLAN.max_unavailable_servers

    run_maintenance(tmp_path, PLAN, test)
