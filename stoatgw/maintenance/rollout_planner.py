"""The next change of a rollout: pure. Only the leader plans; the engine accepts one change at a time.

Times are the planner's own monotonic microseconds, counted from when it first saw a thing: clocks that differ do not
matter, and a new leader waits a little longer, never shorter.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from math import floor

from msgspec.structs import replace

from stoatgw.config.maintenance import PROXY_PREFIX, MaintenancePlan
from stoatgw.maintenance.events import RolloutEvent
from stoatgw.maintenance.rollout_state import RolloutState, RolloutStep, StepState

# What a machine was first seen to be; an absent member is recorded by its identity instead.
OUT_OF_SERVICE = "out"
EVACUATED = "empty"
ENDED = "ended"

END_EVENTS = {
    StepState.DONE: RolloutEvent.STEP_COMPLETED,
    StepState.LATE: RolloutEvent.STEP_TIMED_OUT,
    StepState.RELEASED: RolloutEvent.STEP_RELEASED,
}
ROUNDING_TOLERANCE = 1e-9  # 0.34 of a hundred servers are 34, whatever the float product is


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """A session server as discovery lists it, or a proxy as the engine does."""

    zone: str
    is_serving: bool
    start_ms: int


@dataclass(frozen=True, slots=True)
class ProxyMember:
    """A proxy at the engine: what it has taken out, and to which of that it has no connections."""

    name: str
    start_ms: int
    machines_out_of_service: frozenset[str] = frozenset()
    machines_evacuated: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """What the leader sees now. `members` by identity, which differs for each process."""

    machines: Mapping[str, MachineStatus]
    members: Mapping[str, ProxyMember]

    def find(self, name: str) -> MachineStatus | None:
        """A session server or a proxy by the name that the plan has for it; None if it is not in service."""
        if not name.startswith(PROXY_PREFIX):
            return self.machines.get(name)
        start_times_ms = [member.start_ms for member in self.members.values() if PROXY_PREFIX + member.name == name]
        return MachineStatus("", True, max(start_times_ms)) if start_times_ms else None

    def concerned_members(self, name: str) -> list[str]:
        """Identities of the members that a machine's step concerns: all for a session server, a proxy for itself."""
        if not name.startswith(PROXY_PREFIX):
            return sorted(self.members)
        return sorted(identity for identity, member in self.members.items() if PROXY_PREFIX + member.name == name)


@dataclass(frozen=True, slots=True)
class RolloutChange:
    """A state to write, and what happened, for the log."""

    state: RolloutState
    event: RolloutEvent
    machine: str = ""


@dataclass(frozen=True, slots=True)
class _FleetCapacity:
    """How many machines do not serve now, of how many."""

    unavailable_servers: int
    unavailable_proxies: int
    zone_sizes: Counter[str]
    unavailable_by_zone: Counter[str]

    @classmethod
    def measure(cls, fleet: FleetSnapshot, unavailable: set[str]) -> _FleetCapacity:
        """Count what is unavailable, session servers by zone."""
        unavailable_proxies = sum(name.startswith(PROXY_PREFIX) for name in unavailable)
        return cls(
            unavailable_servers=len(unavailable) - unavailable_proxies,
            unavailable_proxies=unavailable_proxies,
            zone_sizes=Counter(machine.zone for machine in fleet.machines.values()),
            unavailable_by_zone=Counter(
                machine.zone for name, machine in fleet.machines.items() if name in unavailable
            ),
        )


class RolloutPlanner:
    """Plans one tenure of a leader.

    Attributes:
        blocked_reason: Why no step begins though machines are left; "" if one does, or none is left.
    """

    def __init__(self, plan: MaintenancePlan) -> None:
        self._plan = plan
        self._first_seen_us: dict[tuple[str, str], int] = {}
        self.blocked_reason = ""

    def next_change(self, state: RolloutState, fleet: FleetSnapshot, now_us: int) -> RolloutChange | None:
        """The next change, if one is due."""
        self.blocked_reason = ""
        for name, step in state.steps.items():
            if step.state is not StepState.OUT_OF_SERVICE:
                self._elapsed_s(now_us, name, ENDED)
            elif (change := self._advance_step(state, name, fleet, now_us)) is not None:
                return change
        if state.is_aborted or state.is_finished:
            return None
        remaining = [name for name in self._plan.machines if name not in state.steps]
        if remaining:
            return self._start_step(state, remaining, fleet, now_us)
        if state.machines_out_of_service():
            return None
        return RolloutChange(replace(state, is_finished=True), RolloutEvent.ROLLOUT_FINISHED)

    def _elapsed_s(self, now_us: int, machine: str, condition: str) -> float:
        """Since a condition of a machine was first seen."""
        return (now_us - self._first_seen_us.setdefault((machine, condition), now_us)) / 1e6

    def _advance_step(self, state: RolloutState, name: str, fleet: FleetSnapshot, now_us: int) -> RolloutChange | None:
        """The next change of a step that is under way."""
        step = state.steps[name]
        final = self._final_state(state, name, fleet, now_us)
        if final is None and not step.is_evacuated:
            return self._confirm_by_members(state, name, fleet, now_us)
        if final is None and self._evacuation_completes_step(name, now_us):
            final = StepState.DONE
        if final is None:
            return None
        return RolloutChange(state.with_step(name, replace(step, state=final)), END_EVENTS[final], name)

    def _evacuation_completes_step(self, name: str, now_us: int) -> bool:
        """Whether an evacuated machine is done by that alone."""
        if self._plan.completion != "empty":
            return False
        return self._elapsed_s(now_us, name, EVACUATED) >= self._plan.min_evacuated_s

    def _final_state(self, state: RolloutState, name: str, fleet: FleetSnapshot, now_us: int) -> StepState | None:
        """How a step has ended, whatever its members have confirmed; None while it goes on."""
        elapsed_s = self._elapsed_s(now_us, name, OUT_OF_SERVICE)
        if state.is_aborted:
            return StepState.RELEASED
        machine = fleet.find(name)
        # A proxy's new process is not the one that was drained: there is nothing left to wait for.
        ends_by_restart = self._plan.completion == "restarted" or name.startswith(PROXY_PREFIX)
        started_after_ms = state.steps[name].machine_start_ms
        has_restarted = machine is not None and machine.is_serving and machine.start_ms > started_after_ms
        if ends_by_restart and has_restarted:
            return StepState.DONE
        if elapsed_s >= self._plan.step_timeout_s:
            return StepState.LATE
        return None

    def _confirm_by_members(
        self, state: RolloutState, name: str, fleet: FleetSnapshot, now_us: int
    ) -> RolloutChange | None:
        """Record that all members have taken a machine out, then that all have evacuated it."""
        step = state.steps[name]
        if self._waits_for_lost_member(name, step, fleet, now_us):
            return None
        members = [fleet.members[identity] for identity in fleet.concerned_members(name)]
        if not step.is_notified:
            if not all(name in member.machines_out_of_service for member in members):
                return None
            return RolloutChange(
                state.with_step(name, replace(step, is_notified=True)), RolloutEvent.STEP_NOTIFIED, name
            )
        if not all(name in member.machines_evacuated for member in members):
            return None
        return RolloutChange(state.with_step(name, replace(step, is_evacuated=True)), RolloutEvent.STEP_EVACUATED, name)

    def _waits_for_lost_member(self, name: str, step: RolloutStep, fleet: FleetSnapshot, now_us: int) -> bool:
        """Whether a member that was there when the step began is absent for less than the plan's timeout.

        It is dead, or cut off and still serving: which, nobody can tell. After the timeout it counts as dead, and a
        cut off one that had seen the step has evacuated the machine.
        """
        is_waiting = False
        for identity in step.expected_members:
            if identity in fleet.members:
                self._first_seen_us.pop((name, identity), None)
            elif self._elapsed_s(now_us, name, identity) < self._plan.member_loss_timeout_s:
                is_waiting = True
        return is_waiting

    def _start_step(
        self, state: RolloutState, remaining: list[str], fleet: FleetSnapshot, now_us: int
    ) -> RolloutChange | None:
        """Take out the first of the remaining machines that the plan's bounds allow."""
        if len(fleet.members) < self._plan.min_members:
            self.blocked_reason = f"{len(fleet.members)} proxies at the engine, under members_least"
            return None
        capacity = _FleetCapacity.measure(fleet, self._unavailable_machines(state, fleet, now_us))
        for name in remaining:
            machine = fleet.find(name)
            if machine is None or not machine.is_serving:
                self.blocked_reason = f"{name} is not in service, or not listed"
                continue
            self.blocked_reason = self._violated_bound(name, machine, capacity)
            if not self.blocked_reason:
                return self._new_step(state, name, machine, fleet)
        return None

    def _violated_bound(self, name: str, machine: MachineStatus, capacity: _FleetCapacity) -> str:
        """The bound that would be violated if a machine were taken out now; "" for none."""
        plan = self._plan
        if name.startswith(PROXY_PREFIX):
            return (
                "proxies_out_most proxies are out"
                if capacity.unavailable_proxies >= plan.max_unavailable_proxies
                else ""
            )
        if capacity.unavailable_servers >= plan.max_unavailable_servers:
            return "out_most session servers are out"
        max_unavailable_in_zone = floor(plan.max_zone_fraction * capacity.zone_sizes[machine.zone] + ROUNDING_TOLERANCE)
        if capacity.unavailable_by_zone[machine.zone] + 1 > max_unavailable_in_zone:
            return f"zone_share of {machine.zone or 'its zone'} is out, or allows none"
        return ""

    def _unavailable_machines(self, state: RolloutState, fleet: FleetSnapshot, now_us: int) -> set[str]:
        """All that do not serve now: out by a step, back for less than the settling time, or down by themselves."""
        unavailable = set(state.machines_out_of_service())
        for name, step in state.steps.items():
            if (
                step.state is not StepState.OUT_OF_SERVICE
                and self._elapsed_s(now_us, name, ENDED) < self._plan.settle_s
            ):
                unavailable.add(name)
        return unavailable | {name for name, machine in fleet.machines.items() if not machine.is_serving}

    @staticmethod
    def _new_step(state: RolloutState, name: str, machine: MachineStatus, fleet: FleetSnapshot) -> RolloutChange:
        """A new step; whoever writes it adds the fencing token and the time."""
        step = RolloutStep(
            state=StepState.OUT_OF_SERVICE,
            token=0,
            started_at_ms=0,
            machine_start_ms=machine.start_ms,
            expected_members=tuple(fleet.concerned_members(name)),
        )
        return RolloutChange(state.with_step(name, step), RolloutEvent.STEP_STARTED, name)
