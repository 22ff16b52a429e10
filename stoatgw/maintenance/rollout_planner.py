"""Plans the next change of a rollout. Pure. Only the leader plans; the engine accepts one change at a time.

Times are microseconds of the leader's monotonic clock, counted from when its planner first observed a condition: so
differences between clocks do not matter, and a new leader waits longer than needed, never shorter.
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

# Conditions of a machine whose first observation is recorded; for an absent member it is the member's identity.
OUT_OF_SERVICE = "out"
EVACUATED = "empty"
ENDED = "ended"

END_EVENTS = {
    StepState.DONE: RolloutEvent.STEP_COMPLETED,
    StepState.LATE: RolloutEvent.STEP_TIMED_OUT,
    StepState.RELEASED: RolloutEvent.STEP_RELEASED,
}
ROUNDING_TOLERANCE = 1e-9  # 0.34 of 100 servers are 34, despite the error of floating-point multiplication


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """A session server as listed by discovery, or a proxy as listed by the coordination engine."""

    zone: str
    is_serving: bool
    start_ms: int


@dataclass(frozen=True, slots=True)
class ProxyMember:
    """A proxy that is a member: the machines it has taken out of service, and those to which it has no connections."""

    name: str
    start_ms: int
    machines_out_of_service: frozenset[str] = frozenset()
    machines_evacuated: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The fleet as observed by the leader.

    Attributes:
        machines: The session servers that discovery lists, by name.
        members: The proxies that are members, by identity, which differs for each process.
    """

    machines: Mapping[str, MachineStatus]
    members: Mapping[str, ProxyMember]

    def find(self, name: str) -> MachineStatus | None:
        """Return a session server or a proxy by its name in the plan; None if it is not listed."""
        if not name.startswith(PROXY_PREFIX):
            return self.machines.get(name)
        start_times_ms = [member.start_ms for member in self.members.values() if PROXY_PREFIX + member.name == name]
        return MachineStatus("", True, max(start_times_ms)) if start_times_ms else None

    def confirming_members(self, name: str) -> list[str]:
        """Return the members that confirm a machine's step: all for a session server, a proxy's own for a proxy."""
        if not name.startswith(PROXY_PREFIX):
            return sorted(self.members)
        return sorted(identity for identity, member in self.members.items() if PROXY_PREFIX + member.name == name)


@dataclass(frozen=True, slots=True)
class RolloutChange:
    """A rollout state to write, and the event and machine to log."""

    state: RolloutState
    event: RolloutEvent
    machine: str = ""


@dataclass(frozen=True, slots=True)
class _FleetCapacity:
    """Numbers of unavailable machines, and sizes of the zones."""

    unavailable_servers: int
    unavailable_proxies: int
    zone_sizes: Counter[str]
    unavailable_by_zone: Counter[str]

    @classmethod
    def measure(cls, fleet: FleetSnapshot, unavailable: set[str]) -> _FleetCapacity:
        """Count the unavailable machines, session servers also by zone."""
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
    """Plans the changes while one process is the leader.

    Attributes:
        blocked_reason: Why no step starts though machines remain; "" if a step starts, or none remain.
    """

    def __init__(self, plan: MaintenancePlan) -> None:
        self._plan = plan
        self._first_seen_us: dict[tuple[str, str], int] = {}
        self.blocked_reason = ""

    def next_change(self, state: RolloutState, fleet: FleetSnapshot, now_us: int) -> RolloutChange | None:
        """Return the next change, if one is due."""
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
        """Return the seconds since a condition of a machine was first observed; the first call records it."""
        return (now_us - self._first_seen_us.setdefault((machine, condition), now_us)) / 1e6

    def _advance_step(self, state: RolloutState, name: str, fleet: FleetSnapshot, now_us: int) -> RolloutChange | None:
        """Return the next change of a step in progress."""
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
        """Return whether a step is done because its machine has been evacuated for the plan's minimum time."""
        if self._plan.completion != "empty":
            return False
        return self._elapsed_s(now_us, name, EVACUATED) >= self._plan.min_evacuated_s

    def _final_state(self, state: RolloutState, name: str, fleet: FleetSnapshot, now_us: int) -> StepState | None:
        """Return how a step has ended regardless of its members' confirmations; None while it is in progress."""
        elapsed_s = self._elapsed_s(now_us, name, OUT_OF_SERVICE)
        if state.is_aborted:
            return StepState.RELEASED
        machine = fleet.find(name)
        # A restarted proxy always ends its step: the drained process is gone, so there is nothing left to wait for.
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
        """Record that all members have taken a machine out of service, then that all have evacuated it."""
        step = state.steps[name]
        if self._waits_for_lost_member(name, step, fleet, now_us):
            return None
        members = [fleet.members[identity] for identity in fleet.confirming_members(name)]
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
        """Return whether a member that the step expects has been absent for less than the plan's timeout.

        An absent member is either dead, or partitioned and still serving; the two cannot be distinguished. After the
        timeout it counts as dead; a partitioned one that had seen the step has evacuated the machine by then.
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
        """Start the step of the first remaining machine that the plan's limits allow."""
        if len(fleet.members) < self._plan.min_members:
            self.blocked_reason = f"{len(fleet.members)} proxies at the engine, fewer than members_least"
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
        """Return the limit that taking a machine out of service now would exceed; "" if none."""
        plan = self._plan
        if name.startswith(PROXY_PREFIX):
            return (
                "proxies_out_most proxies are out of service"
                if capacity.unavailable_proxies >= plan.max_unavailable_proxies
                else ""
            )
        if capacity.unavailable_servers >= plan.max_unavailable_servers:
            return "out_most session servers are out of service"
        max_unavailable_in_zone = floor(plan.max_zone_fraction * capacity.zone_sizes[machine.zone] + ROUNDING_TOLERANCE)
        if capacity.unavailable_by_zone[machine.zone] + 1 > max_unavailable_in_zone:
            return f"zone_share of {machine.zone or 'its zone'} is out of service, or allows no server"
        return ""

    def _unavailable_machines(self, state: RolloutState, fleet: FleetSnapshot, now_us: int) -> set[str]:
        """Return all machines that do not serve: taken out, returned for less than the settling time, or down."""
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
        """Return the change that starts a step; its writer sets the fencing token and the time."""
        step = RolloutStep(
            state=StepState.OUT_OF_SERVICE,
            token=0,
            started_at_ms=0,
            machine_start_ms=machine.start_ms,
            expected_members=tuple(fleet.confirming_members(name)),
        )
        return RolloutChange(state.with_step(name, step), RolloutEvent.STEP_STARTED, name)
