"""Maintenance controllers and the emulated engine in one process; any call or response may be delayed or lost."""

from __future__ import annotations

from base64 import b64decode
from collections import Counter
from collections.abc import Coroutine, Generator
from pathlib import Path
from random import Random
from typing import Any

import pytest
from msgspec.structs import replace

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.emulator.engine.gateway import NotFoundError, handle_call
from stoatgw.emulator.engine.store import Store
from stoatgw.maintenance.controller import MaintenanceController
from stoatgw.maintenance.keys import MaintenanceKeys
from stoatgw.maintenance.rollout_planner import MachineStatus
from stoatgw.maintenance.rollout_state import RolloutState, StepState, decode, encode
from stoatgw.maintenance.settings import Clocks, MaintenanceSettings
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure
from tests.rollouts import SECOND_US, SilentLog, assert_bounds_held

Response = etcd_api.Body | CallFailure


class SuspendedCall:
    """Suspends the controller's coroutine at a call, so that the test decides when it is carried out."""

    def __init__(self, path: str, body: etcd_api.Body) -> None:
        self.call = path, body

    def __await__(self) -> Generator[tuple[str, etcd_api.Body], Response, Response]:
        return (yield self.call)


class SuspendingStore:
    async def call(self, path: str, body: etcd_api.Body) -> Response:
        return await SuspendedCall(path, body)


class IdleProxy:
    """The actions of a proxy without connections."""

    def __init__(self, machines: dict[str, MachineStatus]) -> None:
        self._machines = machines

    def set_suspended_servers(self, servers: dict[str, int]) -> None: ...
    def start_drain(self) -> None: ...
    def cancel_drain(self) -> None: ...

    def count_connections(self, server: str) -> int:
        return 0

    def count_clients(self) -> int:
        return 0

    def machine_statuses(self) -> dict[str, MachineStatus]:
        return self._machines


class World:
    """Controllers that reconcile call by call, and a store that carries out calls when the test asks for it."""

    PLAN = MaintenancePlan(
        name="p",
        machines=("s-0", "s-1", "s-2"),
        max_zone_fraction=1.0,
        settle_s=0.0,
        member_loss_timeout_s=1.0,
        step_timeout_s=9.0,
    )
    MEMBERSHIP = MembershipConfig(endpoints=("127.0.0.1:1",), lease_ttl_s=3, poll_interval_ms=100, call_timeout_ms=400)

    def __init__(self, folder: Path, count: int) -> None:
        self.now_us = SECOND_US
        self.store = Store()
        self.folder = folder
        self.machines = {name: MachineStatus("a", True, 1) for name in self.PLAN.machines}
        self.keys = MaintenanceKeys("stoatgw", "p")
        self.history: list[RolloutState] = []
        self.last_revision = 0
        self.controllers = [self.start_controller(index) for index in range(count)]
        self.passes: list[Coroutine[Any, Any, None] | None] = [None] * count
        self.calls: list[tuple[str, etcd_api.Body] | None] = [None] * count
        self.responses: list[Response | None] = [None] * count

    def start_controller(self, index: int) -> MaintenanceController:
        folder = self.folder / str(index)
        folder.mkdir(exist_ok=True)
        controller = MaintenanceController(
            MaintenanceSettings(
                membership=self.MEMBERSHIP,
                plan=self.PLAN,
                proxy_name=f"n{index}",
                incarnation=str(self.now_us),
                state_directory=str(folder),
            ),
            store=SuspendingStore(),
            actions=IdleProxy(self.machines),
            clocks=Clocks(monotonic_us=lambda: self.now_us, unix_us=lambda: self.now_us),
            log=SilentLog("n"),
            jitter=Random(index),
        )
        controller.start()
        return controller

    def restart(self, index: int) -> None:
        current = self.passes[index]
        if current is not None:
            current.close()
        self.controllers[index] = self.start_controller(index)
        self.passes[index] = None
        self.responses[index] = None

    def resume(self, index: int) -> None:
        """Run a controller up to its next call, or to the end of its pass."""
        current = self.passes[index]
        response = self.responses[index]
        if current is None:
            current = self.controllers[index].reconcile()
            self.passes[index] = current
        elif response is None:
            return
        self.responses[index] = None
        try:
            self.calls[index] = current.send(response)
        except StopIteration:
            self.passes[index] = None

    def is_call_pending(self, index: int) -> bool:
        return self.passes[index] is not None and self.responses[index] is None

    def carry_out(self, index: int, *, loses_response: bool = False) -> None:
        """Carry out the pending call at the engine; its response may be lost."""
        call = self.calls[index]
        if not self.is_call_pending(index) or call is None:
            return
        try:
            response: Response = handle_call(self.store, *call, self.now_us)
        except NotFoundError as error:
            response = CallFailure(str(error), may_have_run=True)
        self.responses[index] = CallFailure("lost", may_have_run=True) if loses_response else response
        entry = self.store.entries.get(self.keys.rollout.encode())
        if entry is not None and entry.mod_revision != self.last_revision:
            self.last_revision = entry.mod_revision
            self.history.append(decode(entry.value))

    def lose_call(self, index: int) -> None:
        """Lose the pending call before the engine receives it."""
        if self.is_call_pending(index):
            self.responses[index] = CallFailure("never received", may_have_run=True)

    def restart_evacuated_machines(self) -> None:
        """Restart the evacuated machines, as staff do."""
        if not self.history:
            return
        for name, step in self.history[-1].steps.items():
            if step.state is StepState.OUT_OF_SERVICE and step.is_evacuated:
                self.machines[name] = MachineStatus("a", True, self.now_us)

    def finish_pass(self, index: int) -> None:
        """Finish the current pass, or run a new one, without losing calls or responses."""
        self.resume(index)
        while self.passes[index] is not None:
            self.carry_out(index)
            self.resume(index)

    def verify(self) -> None:
        assert sum(controller.fencing_token > 0 for controller in self.controllers) <= 1, "two leaders"
        if self.history:
            assert_bounds_held(self.PLAN, dict.fromkeys(self.PLAN.machines, "a"), self.history)


ACTIONS = [*["resume", "carry out", "finish pass", "pause"] * 8, "lose response", "lose call", "long pause", "restart"]
ACTIONS += ["work", "work"]


def apply_action(world: World, name: str, index: int) -> None:
    match name:
        case "resume":
            world.resume(index)
        case "carry out" | "lose response":
            world.carry_out(index, loses_response=name == "lose response")
        case "lose call":
            world.lose_call(index)
        case "finish pass":
            world.finish_pass(index)
        case "pause":
            world.now_us += SECOND_US // 2
        case "long pause":
            world.now_us += 4 * SECOND_US
        case "restart":
            world.restart(index)
        case "work":
            world.restart_evacuated_machines()


def run_random_actions(folder: Path, seed: int) -> World:
    """Run three controllers through 600 random actions, and verify the invariants after each."""
    rng = Random(seed)
    world = World(folder, 3)
    for _ in range(600):
        name = rng.choice(ACTIONS)
        apply_action(world, name, rng.randrange(3))
        world.verify()
    return world


@pytest.mark.parametrize("seed", range(40))
def test_at_most_one_controller_leads_under_pauses_lost_calls_and_restarts(tmp_path: Path, seed: int) -> None:
    run_random_actions(tmp_path, seed)


def test_random_actions_reach_steps_in_progress_and_done(tmp_path: Path) -> None:
    """Guards against random actions that never start or complete a step, with which the test above checks nothing."""
    reached: Counter[StepState] = Counter()
    for seed in range(5):
        folder = tmp_path / str(seed)
        folder.mkdir()
        history = run_random_actions(folder, seed).history
        if history:
            reached.update(step.state for step in history[-1].steps.values())
    assert reached.keys() >= {StepState.OUT_OF_SERVICE, StepState.DONE}


def pause_before_write(world: World) -> None:
    """Let the first controller finish one machine, and leave the write of its next step in flight."""
    while not (world.history and world.history[-1].machines_out_of_service()):
        world.now_us += SECOND_US
        world.finish_pass(0)
    while world.history[-1].machines_out_of_service():
        world.restart_evacuated_machines()
        world.now_us += SECOND_US
        world.finish_pass(0)
    world.resume(0)
    while world.keys.rollout not in written_keys(world.calls[0]):
        world.carry_out(0)
        world.resume(0)


def written_keys(call: tuple[str, etcd_api.Body] | None) -> list[str]:
    operations = call[1].get("success", []) if call is not None else []
    puts = [operation["request_put"] for operation in operations if "request_put" in operation]
    return [b64decode(put["key"]).decode() for put in puts]


def test_a_leader_paused_before_its_write_is_fenced_off(tmp_path: Path) -> None:
    """A leader paused for longer than its lease cannot write, even if the next leader has written nothing yet."""
    world = World(tmp_path, 2)
    pause_before_write(world)
    while not world.controllers[1].fencing_token:
        world.now_us += SECOND_US
        world.resume(1)
        while not world.controllers[1].fencing_token and world.passes[1] is not None:
            world.carry_out(1)
            world.resume(1)
    count_before = len(world.history)
    world.carry_out(0)
    assert len(world.history) == count_before


def test_an_abort_between_a_snapshot_and_a_write_is_kept(tmp_path: Path) -> None:
    """The leader's write must not overwrite an abort that was written after the leader's snapshot."""
    world = World(tmp_path, 2)
    pause_before_write(world)
    aborted = encode(replace(world.history[-1], is_aborted=True))
    request = etcd_api.transaction([], [etcd_api.put_operation(world.keys.rollout, aborted)])
    handle_call(world.store, etcd_api.TRANSACTION_PATH, request, world.now_us)
    world.carry_out(0)
    assert world.history[-1].is_aborted
    assert not world.history[-1].machines_out_of_service()
    for _ in range(20):
        world.now_us += SECOND_US
        world.finish_pass(0)
    assert not world.history[-1].machines_out_of_service()
