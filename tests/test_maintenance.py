"""The rollout planner against a model of a fleet, the state file, and the plan's validation."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.maintenance.events import RolloutEvent
from stoatgw.maintenance.rollout_planner import (
    FleetSnapshot,
    MachineStatus,
    ProxyMember,
    RolloutChange,
    RolloutPlanner,
)
from stoatgw.maintenance.rollout_state import RolloutState, RolloutStateError, RolloutStep, StepState, decode, encode
from stoatgw.maintenance.state_file import RolloutStateFile, RolloutStateFileError
from tests.operator_files import assert_rejected_in_one_line
from tests.rollouts import SECOND_US, assert_bounds_held

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=200)
IDENTITIES = ["n0", "n1"]


def make_plan(data: st.DataObject, zones: dict[str, str]) -> MaintenancePlan:
    return MaintenancePlan(
        name="p",
        machines=tuple(zones),
        max_unavailable_servers=data.draw(st.integers(1, 3)),
        completion=data.draw(st.sampled_from(["empty", "restarted"])),
        max_zone_fraction=data.draw(st.sampled_from([0.34, 0.67, 1.0])),
        min_members=1,
        step_timeout_s=30.0,
        settle_s=2.0,
        member_loss_timeout_s=5.0,
    )


class RolloutModel:
    """A fleet of two proxies in which the planner's changes are applied immediately."""

    ACTIONS = (
        "step",
        "step",
        "take out",
        "evacuate",
        "restart server",
        "pause",
        "lose member",
        "regain member",
        "server down",
        "server up",
        "new leader",
    )

    def __init__(self, plan: MaintenancePlan, zones: dict[str, str]) -> None:
        self.plan = plan
        self.zones = zones
        self.machines = {name: MachineStatus(zone, True, 1) for name, zone in zones.items()}
        self.members = {identity: ProxyMember(identity, 0) for identity in IDENTITIES}
        self.state = RolloutState(plan_fingerprint=plan.fingerprint)
        self.planner = RolloutPlanner(plan)
        self.now_us = 0
        self.history: list[RolloutState] = []

    def apply_action(self, action: str, server: str, identity: str) -> None:
        self.now_us += SECOND_US // 2
        match action:
            case "step":
                self._step()
            case "pause":
                self.now_us += 10 * SECOND_US
            case "new leader":
                self.planner = RolloutPlanner(self.plan)
            case "take out" | "evacuate" | "lose member" | "regain member":
                self._change_member(action, identity)
            case _:
                self._change_server(action, server)

    def _change_member(self, action: str, identity: str) -> None:
        member = self.members.get(identity)
        if action == "lose member":
            self.members.pop(identity, None)
        elif action == "regain member":
            self.members.setdefault(identity, ProxyMember(identity, 0))
        elif member is not None and action == "take out":
            out = frozenset(self.state.machines_out_of_service())
            self.members[identity] = ProxyMember(identity, 0, out, member.machines_evacuated & out)
        elif member is not None:
            self.members[identity] = ProxyMember(
                identity, 0, member.machines_out_of_service, member.machines_out_of_service
            )

    def _change_server(self, action: str, server: str) -> None:
        if action == "server down":
            self.machines[server] = MachineStatus(self.zones[server], False, 1)
        elif action == "server up" or self._may_be_worked_on(server):
            self.machines[server] = MachineStatus(self.zones[server], True, self.now_us)

    def _may_be_worked_on(self, server: str) -> bool:
        return server in self.state.machines_out_of_service() and self.state.steps[server].is_evacuated

    def _step(self) -> None:
        change = self.planner.next_change(self.state, FleetSnapshot(self.machines, self.members), self.now_us)
        if change is None:
            return
        self._verify(change)
        self.state = change.state
        self.history.append(change.state)

    def _verify(self, change: RolloutChange) -> None:
        if change.event is RolloutEvent.STEP_STARTED:
            # Servers that are down count towards the limit as well.
            down = {name for name, machine in self.machines.items() if not machine.is_serving}
            assert self.members
            assert len(down | set(change.state.machines_out_of_service())) <= self.plan.max_unavailable_servers
        if change.event is RolloutEvent.STEP_EVACUATED:
            assert change.state.steps[change.machine].is_notified
            assert all(change.machine in member.machines_evacuated for member in self.members.values())


@DETERMINISTIC
@given(st.data())
def test_plan_limits_hold_and_each_machine_has_one_step_under_random_events(data: st.DataObject) -> None:
    zones = {f"s-{index}": "ab"[index % 2] for index in range(data.draw(st.integers(1, 7)))}
    model = RolloutModel(make_plan(data, zones), zones)
    for action in data.draw(st.lists(st.sampled_from(RolloutModel.ACTIONS), max_size=60)):
        server = data.draw(st.sampled_from(sorted(zones)))
        identity = data.draw(st.sampled_from(IDENTITIES))
        model.apply_action(action, server, identity)
    if model.history:
        assert_bounds_held(model.plan, zones, model.history)


def make_step(*, is_notified: bool = False) -> RolloutStep:
    """Make the step of a machine that is out of service."""
    return RolloutStep(
        state=StepState.OUT_OF_SERVICE,
        token=1,
        started_at_ms=0,
        machine_start_ms=1,
        expected_members=("n0", "n1"),
        is_notified=is_notified,
    )


LOST_MEMBER_PLAN = MaintenancePlan(
    name="p", machines=("s-0", "s-1"), max_zone_fraction=1.0, member_loss_timeout_s=5.0, step_timeout_s=60.0
)
MACHINES = {"s-0": MachineStatus("a", True, 1), "s-1": MachineStatus("a", True, 1)}
WITHOUT_N1 = FleetSnapshot(MACHINES, {"n0": ProxyMember("n0", 0, frozenset(["s-0"]), frozenset(["s-0"]))})


@pytest.fixture
def first_step() -> RolloutState:
    return RolloutState(plan_fingerprint=LOST_MEMBER_PLAN.fingerprint, steps={"s-0": make_step()})


def test_each_leader_waits_for_a_lost_member_anew(first_step: RolloutState) -> None:
    """A leader counts a lost member as dead after the timeout, measured from its own first observation."""
    planner = RolloutPlanner(LOST_MEMBER_PLAN)
    assert planner.next_change(first_step, WITHOUT_N1, 0) is None
    assert planner.next_change(first_step, WITHOUT_N1, 5 * SECOND_US - 1) is None
    change = planner.next_change(first_step, WITHOUT_N1, 5 * SECOND_US)
    assert change is not None
    assert change.event is RolloutEvent.STEP_NOTIFIED
    # A new leader does not know for how long the member has been lost.
    assert RolloutPlanner(LOST_MEMBER_PLAN).next_change(change.state, WITHOUT_N1, 6 * SECOND_US) is None


def test_a_step_is_evacuated_only_after_every_member_confirms_it() -> None:
    state = RolloutState(plan_fingerprint=LOST_MEMBER_PLAN.fingerprint, steps={"s-0": make_step(is_notified=True)})
    out = frozenset(["s-0"])
    evacuated = ProxyMember("n0", 0, out, out)
    planner = RolloutPlanner(LOST_MEMBER_PLAN)
    waiting = FleetSnapshot(MACHINES, {"n0": evacuated, "n1": ProxyMember("n1", 0, out)})
    assert planner.next_change(state, waiting, 0) is None
    confirmed = FleetSnapshot(MACHINES, {"n0": evacuated, "n1": ProxyMember("n1", 0, out, out)})
    change = planner.next_change(state, confirmed, SECOND_US)
    assert change is not None
    assert change.event is RolloutEvent.STEP_EVACUATED


def test_a_step_that_no_member_confirms_times_out(first_step: RolloutState) -> None:
    planner = RolloutPlanner(LOST_MEMBER_PLAN)
    assert planner.next_change(first_step, WITHOUT_N1, 0) is None
    change = planner.next_change(first_step, FleetSnapshot(MACHINES, {}), 60 * SECOND_US)
    assert change is not None
    assert change.event is RolloutEvent.STEP_TIMED_OUT


def test_an_aborted_maintenance_releases_all_machines_and_starts_no_step(first_step: RolloutState) -> None:
    planner = RolloutPlanner(LOST_MEMBER_PLAN)
    assert planner.next_change(first_step, WITHOUT_N1, 0) is None
    aborted = RolloutState(plan_fingerprint=LOST_MEMBER_PLAN.fingerprint, steps=first_step.steps, is_aborted=True)
    released = planner.next_change(aborted, WITHOUT_N1, 7 * SECOND_US)
    assert released is not None
    assert released.state.machines_out_of_service() == []
    assert planner.next_change(released.state, WITHOUT_N1, 9**12) is None


def test_a_truncated_or_corrupt_state_is_rejected_and_its_file_is_kept(tmp_path: Path) -> None:
    state = RolloutState(plan_fingerprint="f", steps={"s-0": make_step(is_notified=True)})
    data = encode(state)
    state_file = RolloutStateFile(tmp_path, "p")
    assert state_file.load() is None
    state_file.save(state)
    assert state_file.load() == state
    assert decode(data) == state
    for index in range(len(data)):
        truncated = data[:index]
        changed = truncated + bytes([data[index] ^ 1]) + data[index + 1 :]
        for damaged in (truncated, changed):
            with pytest.raises(RolloutStateError):
                decode(damaged)
    file = tmp_path / "stoatgw-maintenance-p"
    file.write_bytes(data[:-1])
    with pytest.raises(RolloutStateFileError, match="stoatgw-maintenance-p: is no ledger"):
        state_file.load()
    assert file.read_bytes() == data[:-1]


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("[maintenance]\nname = 'p'\nmachines = ['s-0']", "membership: missing"),
        ("[maintenance]\nname = 'p'\nmachines = []", "maintenance.machines"),
        ("[maintenance]\nname = 'p'\nmachines = ['s-0', 's-0']", "machines: s-0 is listed twice"),
        ("[maintenance]\nname = 'p'\nmachines = ['s 0']", "maintenance.machines"),
        ("[maintenance]\nname = 'p'\nmachines = ['s-0']\nout_mots = 2", "nearest known name: out_most"),
        ("[maintenance]\nname = 'p'\nmachines = ['s-0']\nzone_share = 0", "maintenance.zone_share"),
        ("[maintenance]\nname = 'p'\nmachines = ['s-0']\ndone = 'soon'", "maintenance.done"),
        ("[maintenance]\nname = 'p'\nmachines = ['s-0']\nrest_s = 5", "rest_s: only allowed with"),
        ("[membership]\nengine = []", "membership.engine"),
        ("[membership]\nengine = ['engine:2379']", "membership.engine"),
        ("[membership]\nengine = ['127.0.0.1:2379']\nlease_s = 2", "lease_s: under three times"),
    ],
)
def test_the_error_for_an_invalid_plan_is_one_line_with_file_and_field(tmp_path: Path, text: str, field: str) -> None:
    assert_rejected_in_one_line(tmp_path, text, field)
