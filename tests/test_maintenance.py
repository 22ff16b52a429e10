"""A rolling maintenance: its steps against a plain model, and real processes with faults put between them."""

from __future__ import annotations

import asyncio
import signal
import sys
from base64 import b64decode
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Generator
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from stoatgw.config.errors import ConfigError
from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.config.operators import load_operator_config
from stoatgw.emulator.engine.gateway import NotFoundError, answer
from stoatgw.emulator.engine.store import Store
from stoatgw.emulator.loopback.maintenance_run import MaintenanceRun
from stoatgw.maintenance.controller import MaintenanceController
from stoatgw.maintenance.keys import MaintenanceKeys
from stoatgw.maintenance.rollout_planner import FleetSnapshot, MachineStatus, ProxyMember, RolloutPlanner
from stoatgw.maintenance.rollout_state import RolloutState, RolloutStateError, RolloutStep, StepState, decode, encode
from stoatgw.maintenance.state_file import RolloutStateFile, RolloutStateFileError
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure
from stoatgw.telemetry.log import EventLog

FIXED = settings(derandomize=True, deadline=None, max_examples=200)
SECOND = 1_000_000


class Silent(EventLog):
    def event(self, event: str, **fields: Any) -> None:
        pass


def check(plan: MaintenancePlan, zones: dict[str, str], ledgers: list[RolloutState]) -> None:
    """Reads nothing but the ledgers that were ever true: never too many out, each machine out once, ended once."""
    for before, after in zip([RolloutState(plan_fingerprint=plan.fingerprint), *ledgers], ledgers, strict=False):
        out = [name for name in after.machines_out() if name in zones]
        assert len(out) <= plan.max_servers_out and len(after.machines_out()) - len(out) <= plan.max_proxies_out
        for zone, size in Counter(zones.values()).items():
            assert sum(zones[name] == zone for name in out) <= plan.max_zone_fraction * size
        for name, step in before.steps.items():
            assert name in after.steps and (step.state is StepState.OUT or after.steps[name] == step)
    tokens = [step.token for step in ledgers[-1].steps.values()]
    assert tokens == sorted(tokens)  # an old holder begins nothing after a new one has


# The steps.


@FIXED
@given(st.data())
def test_whatever_happens_the_bounds_hold_and_each_machine_has_one_turn(data: st.DataObject) -> None:
    zones = {f"s-{place}": "ab"[place % 2] for place in range(data.draw(st.integers(1, 7)))}
    plan = MaintenancePlan(
        name="p",
        machines=tuple(zones),
        max_servers_out=data.draw(st.integers(1, 3)),
        completion=data.draw(st.sampled_from(["empty", "restarted"])),
        max_zone_fraction=data.draw(st.sampled_from([0.34, 0.67, 1.0])),
        min_members=1,
        step_timeout_s=30.0,
        settle_s=2.0,
        member_loss_timeout_s=5.0,
    )
    machines = {name: MachineStatus(zone, True, 1) for name, zone in zones.items()}
    members = {"n0": ProxyMember("n0", 0), "n1": ProxyMember("n1", 0)}
    ledger, steward, now_us, held = (
        RolloutState(plan_fingerprint=plan.fingerprint),
        RolloutPlanner(plan),
        0,
        list[RolloutState](),
    )
    acts = ["step", "step", "tell", "empty", "restart", "later", "lose", "back", "down", "up", "holder"]
    for act in data.draw(st.lists(st.sampled_from(acts), max_size=60)):
        now_us += SECOND // 2
        name = data.draw(st.sampled_from(sorted(zones)))
        who = data.draw(st.sampled_from(["n0", "n1"]))
        out = frozenset(ledger.machines_out())
        match act:
            case "tell" if who in members:
                members[who] = ProxyMember(who, 0, out, members[who].machines_evacuated & out)
            case "empty" if who in members:
                members[who] = ProxyMember(who, 0, members[who].machines_out, members[who].machines_out)
            case "restart" if name in out and ledger.steps[name].is_evacuated:
                machines[name] = MachineStatus(zones[name], True, now_us)
            case "later":
                now_us += 10 * SECOND
            case "lose":
                members.pop(who, None)
            case "back":
                members.setdefault(who, ProxyMember(who, 0))
            case "down":
                machines[name] = MachineStatus(zones[name], False, 1)
            case "up":
                machines[name] = MachineStatus(zones[name], True, now_us)
            case "holder":
                steward = RolloutPlanner(plan)
        change = steward.next_change(ledger, FleetSnapshot(machines, members), now_us) if act == "step" else None
        if change is not None:
            if change.event == "step_out":
                # Those down by themselves count as well: the fleet cannot spare more.
                away = set(change.state.machines_out()) | {
                    each for each, machine in machines.items() if not machine.is_serving
                }
                assert members and len(away) <= plan.max_servers_out
            if change.event == "step_empty":
                step = change.state.steps[change.machine]
                assert step.is_notified and all(
                    change.machine in member.machines_evacuated for member in members.values()
                )
            ledger = change.state
            held.append(ledger)
    if held:
        check(plan, zones, held)


def step(*, is_notified: bool = False) -> RolloutStep:
    """A machine that is out, by the state's first writer."""
    return RolloutStep(
        state=StepState.OUT,
        token=1,
        started_at_ms=0,
        machine_start_ms=1,
        expected_members=("n0", "n1"),
        is_notified=is_notified,
    )


def test_a_lost_proxy_is_waited_for_and_an_aborted_maintenance_brings_all_back() -> None:
    plan = MaintenancePlan(
        name="p", machines=("s-0", "s-1"), max_zone_fraction=1.0, member_loss_timeout_s=5.0, step_timeout_s=60.0
    )
    machines = {"s-0": MachineStatus("a", True, 1), "s-1": MachineStatus("a", True, 1)}
    sight = FleetSnapshot(machines, {"n0": ProxyMember("n0", 0, frozenset(["s-0"]), frozenset(["s-0"]))})
    ledger, steward = RolloutState(plan_fingerprint=plan.fingerprint, steps={"s-0": step()}), RolloutPlanner(plan)
    assert steward.next_change(ledger, sight, 0) is None and steward.next_change(ledger, sight, 5 * SECOND - 1) is None
    change = steward.next_change(ledger, sight, 5 * SECOND)
    assert change is not None and change.event == "step_told"
    # Another holder does not know for how long it has been lost, and waits anew.
    assert RolloutPlanner(plan).next_change(change.state, sight, 6 * SECOND) is None
    late = RolloutPlanner(plan)
    assert late.next_change(ledger, sight, 0) is None
    assert (late.next_change(ledger, FleetSnapshot(machines, {}), 60 * SECOND) or change).event == "step_late"
    aborted = RolloutState(plan_fingerprint=plan.fingerprint, steps={"s-0": step()}, is_aborted=True)
    released = steward.next_change(aborted, sight, 7 * SECOND)
    assert (
        released is not None
        and released.state.machines_out() == []
        and steward.next_change(released.state, sight, 9**12) is None
    )


def test_a_ledger_cut_or_changed_anywhere_is_refused_and_its_file_left_as_it_is(tmp_path: Path) -> None:
    ledger = RolloutState(plan_fingerprint="f", steps={"s-0": step(is_notified=True)})
    data, record = encode(ledger), RolloutStateFile(tmp_path, "p")
    assert record.load() is None
    record.save(ledger)
    assert record.load() == decode(data) == ledger
    for place in range(len(data)):
        for bad in (data[:place], data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :]):
            with pytest.raises(RolloutStateError):
                decode(bad)
    file = tmp_path / "stoatgw-maintenance-p"
    file.write_bytes(data[:-1])
    with pytest.raises(RolloutStateFileError, match="stoatgw-maintenance-p: is no ledger"):
        record.load()
    assert file.read_bytes() == data[:-1]


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("[maintenance]\nname = 'p'\nmachines = ['s-0']", "membership: missing"),
        ("[maintenance]\nname = 'p'\nmachines = []", "maintenance.machines"),
        ("[maintenance]\nname = 'p'\nmachines = ['s-0', 's-0']", "machines: s-0 comes twice"),
        ("[maintenance]\nname = 'p'\nmachines = ['s 0']", "maintenance.machines"),
        ("[maintenance]\nname = 'p'\nmachines = ['s-0']\nout_mots = 2", "nearest known name: out_most"),
        ("[maintenance]\nname = 'p'\nmachines = ['s-0']\nzone_share = 0", "maintenance.zone_share"),
        ("[maintenance]\nname = 'p'\nmachines = ['s-0']\ndone = 'soon'", "maintenance.done"),
        ("[maintenance]\nname = 'p'\nmachines = ['s-0']\nrest_s = 5", "rest_s: only with"),
        ("[membership]\nengine = []", "membership.engine"),
        ("[membership]\nengine = ['engine:2379']", "membership.engine"),
        ("[membership]\nengine = ['127.0.0.1:2379']\nlease_s = 2", "lease_s: under three times"),
    ],
)
def test_a_bad_plan_is_one_line_that_names_file_and_field(tmp_path: Path, text: str, field: str) -> None:
    file = tmp_path / "own.toml"
    file.write_text("version = 1\n" + text)
    with pytest.raises(ConfigError) as fault:
        load_operator_config(str(file))
    assert field in str(fault.value) and str(file) in str(fault.value) and "\n" not in str(fault.value)


# The agents, over the stand-in's store in one process: every call may stand still, be lost, or lose its answer.


class Pause:
    """Hands a call out of the agent, to whoever drives it."""

    def __init__(self, path: str, body: etcd_api.Body) -> None:
        self.call = path, body

    def __await__(
        self,
    ) -> Generator[tuple[str, etcd_api.Body], etcd_api.Body | CallFailure, etcd_api.Body | CallFailure]:
        return (yield self.call)


class Wire:
    async def call(self, path: str, body: etcd_api.Body) -> etcd_api.Body | CallFailure:
        return await Pause(path, body)


class FakeHands:
    def __init__(self, machines: dict[str, MachineStatus]) -> None:
        self._machines = machines

    def set_servers_out(self, servers: dict[str, int]) -> None: ...
    def start_drain(self) -> None: ...
    def cancel_drain(self) -> None: ...

    def count_connections(self, server: str) -> int:
        return 0

    def count_clients(self) -> int:
        return 0

    def machine_statuses(self) -> dict[str, MachineStatus]:
        return self._machines


class World:
    """Agents that look when told to, and a store that carries their calls out when told to."""

    PLAN = MaintenancePlan(
        name="p",
        machines=("s-0", "s-1", "s-2"),
        max_zone_fraction=1.0,
        settle_s=0.0,
        member_loss_timeout_s=1.0,
        step_timeout_s=9.0,
    )

    def __init__(self, folder: Path, count: int) -> None:
        self.now_us, self.store, self.folder = SECOND, Store(), folder
        self.machines = {name: MachineStatus("a", True, 1) for name in self.PLAN.machines}
        self.keys, self.history, self.change = MaintenanceKeys("stoatgw", "p"), list[RolloutState](), 0
        self.agents = [self.agent(place) for place in range(count)]
        self.looks: list[Coroutine[Any, Any, None] | None] = [None] * count
        self.asked: list[tuple[str, etcd_api.Body] | None] = [None] * count
        self.answers: list[etcd_api.Body | CallFailure | None] = [None] * count

    def agent(self, place: int) -> MaintenanceController:
        folder = self.folder / str(place)
        folder.mkdir(exist_ok=True)
        told = MembershipConfig(endpoints=("127.0.0.1:1",), lease_ttl_s=3, poll_interval_ms=100, call_timeout_ms=400)
        agent = MaintenanceController(
            told,
            self.PLAN,
            f"n{place}",
            Wire(),
            FakeHands(self.machines),
            str(folder),
            lambda: self.now_us,
            lambda: self.now_us,
            Silent("n"),
            Random(place),
            str(self.now_us),
        )
        agent.start()
        return agent

    def restart(self, place: int) -> None:
        if (look := self.looks[place]) is not None:
            look.close()
        self.agents[place], self.looks[place], self.answers[place] = self.agent(place), None, None

    def go(self, place: int) -> None:
        """On to the next call, or to the look's end."""
        look, answer = self.looks[place], self.answers[place]
        if look is None:
            look = self.looks[place] = self.agents[place].reconcile()
        elif answer is None:
            return
        self.answers[place] = None
        try:
            self.asked[place] = look.send(answer)
        except StopIteration:
            self.looks[place] = None

    def carry(self, place: int, *, lost: bool = False) -> None:
        """The engine carries the call out; its answer may be lost."""
        call = self.asked[place]
        if self.looks[place] is None or self.answers[place] is not None or call is None:
            return
        try:
            found: etcd_api.Body | CallFailure = answer(self.store, *call, self.now_us)
        except NotFoundError as error:
            found = CallFailure(str(error), may_have_run=True)
        self.answers[place] = CallFailure("lost", may_have_run=True) if lost else found
        entry = self.store.entries.get(self.keys.rollout.encode())
        if entry is not None and entry.change != self.change:
            self.change = entry.change
            self.history.append(decode(entry.value))

    def work(self) -> None:
        """Staff restart what is empty."""
        for name, each in self.history[-1].steps.items() if self.history else ():
            if each.state is StepState.OUT and each.is_evacuated:
                self.machines[name] = MachineStatus("a", True, self.now_us)

    def whole(self, place: int) -> None:
        """One look from where it stands to its end, with nothing lost."""
        self.go(place)
        while self.looks[place] is not None:
            self.carry(place)
            self.go(place)

    def verify(self) -> None:
        assert sum(agent.fencing_token > 0 for agent in self.agents) <= 1, "two hold the duty"
        if self.history:
            check(self.PLAN, dict.fromkeys(self.PLAN.machines, "a"), self.history)


ACTS = [*["go", "carry", "whole", "later"] * 8, "lose", "drop", "long", "restart", *["work"] * 2]
REACHED: Counter[StepState] = Counter()


@pytest.mark.parametrize("seed", range(40))
def test_agents_that_stand_still_lose_calls_and_come_back_never_act_together(tmp_path: Path, seed: int) -> None:
    draws = Random(seed)
    world = World(tmp_path, 3)
    for _ in range(600):
        act, place = draws.choice(ACTS), draws.randrange(3)
        match act:
            case "go":
                world.go(place)
            case "carry" | "lose":
                world.carry(place, lost=act == "lose")
            case "drop" if world.looks[place] is not None and world.answers[place] is None:
                world.answers[place] = CallFailure("never came", may_have_run=True)
            case "whole":
                world.whole(place)
            case "later" | "long":
                world.now_us += SECOND // 2 if act == "later" else 4 * SECOND
            case "restart":
                world.restart(place)
            case "work":
                world.work()
        world.verify()
    REACHED.update(step.state for step in (world.history[-1].steps.values() if world.history else ()))


def test_the_walks_before_have_reached_all_ends() -> None:
    assert {StepState.OUT, StepState.DONE} <= REACHED.keys()


def stands_before_its_write(world: World) -> None:
    """The first has done a machine, and has asked whether it may write its next step; the write is on its way."""
    while not (world.history and world.history[-1].machines_out()):
        world.now_us += SECOND
        world.whole(0)
    while world.history[-1].machines_out():
        world.work()
        world.now_us += SECOND
        world.whole(0)
    world.go(0)
    while world.keys.rollout not in _keys(world.asked[0]):
        world.carry(0)
        world.go(0)


def test_a_holder_that_stood_still_before_its_write_writes_nothing(tmp_path: Path) -> None:
    """The one that the fence is for: frozen for longer than its lease; the next holder has written nothing."""
    world = World(tmp_path, 2)
    stands_before_its_write(world)
    while not world.agents[1].fencing_token:
        world.now_us += SECOND
        world.go(1)
        while not world.agents[1].fencing_token and world.looks[1] is not None:
            world.carry(1)
            world.go(1)
    before = len(world.history)
    world.carry(0)
    assert len(world.history) == before


def test_an_abort_between_a_look_and_a_write_stands(tmp_path: Path) -> None:
    world = World(tmp_path, 2)
    stands_before_its_write(world)
    aborted = encode(replace(world.history[-1], is_aborted=True))
    answer(world.store, etcd_api.TXN, etcd_api.txn([], [etcd_api.put(world.keys.rollout, aborted)]), world.now_us)
    world.carry(0)
    assert world.history[-1].is_aborted and not world.history[-1].machines_out()
    for _ in range(20):
        world.now_us += SECOND
        world.whole(0)
    assert not world.history[-1].machines_out()


def _keys(asked: tuple[str, etcd_api.Body] | None) -> list[str]:
    steps = asked[1].get("success", []) if asked else []
    return [b64decode(each["request_put"]["key"]).decode() for each in steps if "request_put" in each]


# Real processes: three proxies, the stand-in engine, and a fault between them.

PLAN = MaintenancePlan(
    name="p",
    machines=("s-0", "s-1", "s-2", "s-3"),
    max_servers_out=2,
    max_zone_fraction=0.5,
    min_members=1,
    step_timeout_s=60.0,
    settle_s=0.2,
    member_loss_timeout_s=1.5,
)


def begun(up: MaintenanceRun) -> Awaitable[object]:
    """A step is under way, and all proxies know of it."""
    return up.until(
        lambda look: (
            look.rollout is not None and any(look.rollout.steps[n].is_notified for n in look.rollout.machines_out())
        )
    )


async def leader_killed(up: MaintenanceRun) -> None:
    await begun(up)
    look = await up.until(lambda look: look.fencing_token > 0)
    await up.kill_proxy(up.leader(look))


async def leader_frozen(up: MaintenanceRun) -> None:
    await begun(up)
    look = await up.until(lambda look: look.fencing_token > 0)
    place = up.leader(look)
    up.proxies[place].send(signal.SIGSTOP)
    up.killed.add(place)  # its clients find nobody for a while
    await up.until(lambda after: after.fencing_token > look.fencing_token)
    up.proxies[place].send(signal.SIGCONT)


async def leader_cut_off(up: MaintenanceRun) -> None:
    await begun(up)
    look = await up.until(lambda look: look.fencing_token > 0)
    place = up.leader(look)
    up.links[place].cut = True
    await up.until(lambda after: after.fencing_token > look.fencing_token)
    up.links[place].cut = False


async def answers_lost(up: MaintenanceRun) -> None:
    await begun(up)
    for _ in range(3):
        await up.fault({"lose": 2})
        await asyncio.sleep(0.3)


async def engine_restarted(up: MaintenanceRun) -> None:
    await begun(up)
    await up.restart_engine()


async def engine_disk_full(up: MaintenanceRun) -> None:
    await begun(up)
    await up.restart_engine(full_disk=True)
    await asyncio.sleep(1.0)
    await up.restart_engine()


async def nothing(up: MaintenanceRun) -> None:
    pass


def play(
    folder: Path,
    plan: MaintenancePlan,
    test: Callable[[MaintenanceRun], Awaitable[None]],
    full_disks: tuple[int, ...] = (),
) -> None:
    async def run() -> None:
        async with MaintenanceRun(folder, plan, servers=4, full_disks=full_disks) as up, asyncio.timeout(90):
            await test(up)

    asyncio.run(run())


FAULTS = [nothing, leader_killed, leader_frozen, leader_cut_off, answers_lost, engine_restarted, engine_disk_full]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_maintenance_goes_on_through(fault: Callable[[MaintenanceRun], Awaitable[None]], tmp_path: Path) -> None:
    async def test(up: MaintenanceRun) -> None:
        await fault(up)
        last = await up.finished()
        check(PLAN, {server.name: server.zone for server in up.servers}, up.ledgers())
        assert [each.state for each in last.steps.values()] == [StepState.DONE] * 4
        # By those who did the work, whatever the ledger says: each machine once, never three at a time.
        assert up.worked == Counter(PLAN.machines) and up.most_worked <= PLAN.max_servers_out
        assert up.tally.lost == 0 and set(up.tally.answers) <= {"UP", "BUSY"}

    play(tmp_path, PLAN, test)


def test_a_proxy_is_drained_replaced_and_serves_again_and_one_with_a_full_disk_takes_part(tmp_path: Path) -> None:
    plan = MaintenancePlan(
        name="p",
        machines=("proxy/n1", "s-0", "proxy/n2"),
        max_zone_fraction=0.5,
        settle_s=0.0,
        member_loss_timeout_s=1.5,
    )

    async def test(up: MaintenanceRun) -> None:
        last = await up.finished()
        check(plan, {server.name: server.zone for server in up.servers}, up.ledgers())
        assert [each.state for each in last.steps.values()] == [StepState.DONE] * 3
        assert up.worked == Counter(plan.machines) and up.tally.lost == 0
        assert len(up.proxies[0].told("maintenance_not_kept")) == 1  # a lasting trouble is told once
        assert up.proxies[1].told("drain_started") and len(up.proxies[1].told("proxy_stopped")) == 1

    play(tmp_path, plan, test, full_disks=(0,))


def test_an_abort_by_command_brings_all_back_and_the_status_tells(tmp_path: Path) -> None:
    async def command(up: MaintenanceRun, word: str) -> tuple[int, str]:
        arguments = ["maintain", word, "--config", str(up.folder / "own-0.toml")]
        called = [sys.executable, "-m", "stoatgw", *arguments]
        program = await asyncio.create_subprocess_exec(*called, stdout=-1, stderr=-1)
        out, err = await program.communicate()
        return program.returncode or 0, (out + err).decode()

    async def test(up: MaintenanceRun) -> None:
        await begun(up)
        assert (await command(up, "plan"))[1].count("s-") == 4
        assert (await command(up, "abort"))[0] == 0
        await up.until(
            lambda look: look.rollout is not None and look.rollout.is_aborted and not look.rollout.machines_out()
        )
        status, told = await command(up, "status")
        assert status == 0 and "aborted" in told and "n0, n1, n2" in told
        assert (await command(up, "abort"))[1] == "it had ended before\n"
        await up.engine.end(signal.SIGKILL)
        status, told = await command(up, "status")
        assert status == 2 and "the engine does not answer" in told and told.count("\n") == 1

    play(tmp_path, PLAN, test)


def test_an_engine_that_lost_everything_halts_it_and_nothing_is_done_again(tmp_path: Path) -> None:
    async def test(up: MaintenanceRun) -> None:
        await begun(up)
        await up.until(lambda look: any(each.state is StepState.DONE for each in look.rollout.steps.values()))  # type: ignore[union-attr]
        await up.restart_engine(empty=True)
        while not all(proxy.told("maintenance_halted") or proxy.told("maintenance_stale") for proxy in up.proxies):
            await asyncio.sleep(0.05)
        await up.until(lambda look: len(look.members) == 3)
        await asyncio.sleep(2 * up.membership.lease_ttl_s)  # long enough for a new one to have begun
        look = await up.look()
        assert look is not None and look.rollout is None
        assert max(up.worked.values()) == 1 and up.most_worked <= PLAN.max_servers_out

    play(tmp_path, PLAN, test)
