"""The next step of a maintenance: pure. Only the holder of the duty asks; the engine takes one change at a time.

Times are the steward's own monotonic microseconds, counted from when it first saw a thing: clocks that differ do not
matter, and a new holder waits a little longer, never shorter.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from math import floor

from msgspec.structs import replace

from stoatgw.config.maintenance import PROXY_PREFIX, MaintenancePlan
from stoatgw.maintenance.rollout_state import RolloutState, RolloutStep, StepState


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """A session server as discovery tells it, or a proxy as the engine does."""

    zone: str
    is_serving: bool
    start_ms: int


@dataclass(frozen=True, slots=True)
class ProxyMember:
    """A proxy at the engine: what it has out, and what of that has nobody of its own on it."""

    name: str
    start_ms: int
    machines_out: frozenset[str] = frozenset()
    machines_evacuated: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """What the holder sees now. `members` by identity, which is another for each process."""

    machines: Mapping[str, MachineStatus]
    members: Mapping[str, ProxyMember]

    def find(self, name: str) -> MachineStatus | None:
        if not name.startswith(PROXY_PREFIX):
            return self.machines.get(name)
        named = [each for each in self.members.values() if PROXY_PREFIX + each.name == name]
        return MachineStatus("", True, max(each.start_ms for each in named)) if named else None


@dataclass(frozen=True, slots=True)
class RolloutChange:
    """A ledger to write, and what happened, for the log."""

    state: RolloutState
    event: str
    machine: str = ""


class RolloutPlanner:
    def __init__(self, plan: MaintenancePlan) -> None:
        self._plan = plan
        self._seen_us: dict[tuple[str, str], int] = {}
        self.blocked_reason = ""  # why no step begins though machines are left

    def _age_s(self, now_us: int, machine: str, what: str) -> float:
        """Since this was first seen to be so."""
        return (now_us - self._seen_us.setdefault((machine, what), now_us)) / 1e6

    def next_change(self, ledger: RolloutState, sight: FleetSnapshot, now_us: int) -> RolloutChange | None:
        """The next change, if one is due."""
        self.blocked_reason = ""
        for name, step in ledger.steps.items():
            if step.state is StepState.OUT:
                if (change := self._go_on(ledger, name, step, sight, now_us)) is not None:
                    return change
            else:
                self._age_s(now_us, name, "ended")
        if ledger.is_aborted or ledger.is_finished:
            return None
        left = [name for name in self._plan.machines if name not in ledger.steps]
        if not left and not ledger.machines_out():
            return RolloutChange(replace(ledger, is_finished=True), "finished")
        return self._begin(ledger, left, sight, now_us) if left else None

    def _go_on(
        self, ledger: RolloutState, name: str, step: RolloutStep, sight: FleetSnapshot, now_us: int
    ) -> RolloutChange | None:
        plan, age_s = self._plan, self._age_s(now_us, name, "out")

        def end(state: StepState) -> RolloutChange:
            return RolloutChange(ledger.with_step(name, replace(step, state=state)), f"step_{state.value}", name)

        if ledger.is_aborted:
            return end(StepState.RELEASED)
        machine = sight.find(name)
        # A proxy's new process is not the one that was sent away: there is nothing left to wait for.
        by_start = plan.completion == "restarted" or name.startswith(PROXY_PREFIX)
        if by_start and machine is not None and machine.is_serving and machine.start_ms > step.machine_start_ms:
            return end(StepState.DONE)
        if age_s >= plan.step_timeout_s:
            return end(StepState.LATE)
        concerned = self._concerned(name, sight)
        here = {each: sight.members[each] for each in concerned}
        if not step.is_evacuated and self._waits_for_lost(name, step, sight, now_us):
            return None
        if not step.is_notified:
            if not all(name in each.machines_out for each in here.values()):
                return None
            return RolloutChange(ledger.with_step(name, replace(step, is_notified=True)), "step_told", name)
        if not step.is_evacuated:
            if not all(name in each.machines_evacuated for each in here.values()):
                return None
            return RolloutChange(ledger.with_step(name, replace(step, is_evacuated=True)), "step_empty", name)
        if plan.completion == "empty" and self._age_s(now_us, name, "empty") >= plan.min_evacuated_s:
            return end(StepState.DONE)
        return None

    def _waits_for_lost(self, name: str, step: RolloutStep, sight: FleetSnapshot, now_us: int) -> bool:
        """One that was at the engine when the step began and is lost is dead, or cut off and serves on: which, nobody
        can tell. It is taken for dead after a time in which one that knew has sent its clients away."""
        waits = False
        for identity in step.expected_members:
            if identity in sight.members:
                self._seen_us.pop((name, identity), None)
            else:
                waits |= self._age_s(now_us, name, identity) < self._plan.member_loss_timeout_s
        return waits

    def _concerned(self, name: str, sight: FleetSnapshot) -> list[str]:
        """A session server concerns all proxies, a proxy itself."""
        if not name.startswith(PROXY_PREFIX):
            return sorted(sight.members)
        return sorted(each for each, member in sight.members.items() if PROXY_PREFIX + member.name == name)

    def _begin(self, ledger: RolloutState, left: list[str], sight: FleetSnapshot, now_us: int) -> RolloutChange | None:
        plan = self._plan
        if len(sight.members) < plan.min_members:
            self.blocked_reason = f"{len(sight.members)} proxies at the engine, under members_least"
            return None
        out = self._away(ledger, sight, now_us)
        size = Counter(machine.zone for machine in sight.machines.values())
        away = Counter(machine.zone for name, machine in sight.machines.items() if name in out)
        servers = sum(not name.startswith(PROXY_PREFIX) for name in out)
        for name in left:
            machine = sight.find(name)
            if machine is None or not machine.is_serving:
                self.blocked_reason = f"{name} is not in service, or not told of"
            elif name.startswith(PROXY_PREFIX):
                if len(out) - servers < plan.max_proxies_out:
                    return self._out(ledger, name, machine, sight)
                self.blocked_reason = "proxies_out_most proxies are out"
            elif servers >= plan.max_servers_out:
                self.blocked_reason = "out_most session servers are out"
            elif away[machine.zone] + 1 > floor(plan.max_zone_fraction * size[machine.zone] + 1e-9):
                self.blocked_reason = f"zone_share of {machine.zone or 'its zone'} is out, or allows none"
            else:
                return self._out(ledger, name, machine, sight)
        return None

    def _away(self, ledger: RolloutState, sight: FleetSnapshot, now_us: int) -> set[str]:
        """All that serves nobody now: out by a step, just back and cold, or down by itself."""
        away = set(ledger.machines_out())
        for name, step in ledger.steps.items():
            if step.state is not StepState.OUT and self._age_s(now_us, name, "ended") < self._plan.settle_s:
                away.add(name)
        return away | {name for name, machine in sight.machines.items() if not machine.is_serving}

    def _out(self, ledger: RolloutState, name: str, machine: MachineStatus, sight: FleetSnapshot) -> RolloutChange:
        must = tuple(self._concerned(name, sight))
        step = RolloutStep(
            state=StepState.OUT, token=0, started_at_ms=0, machine_start_ms=machine.start_ms, expected_members=must
        )
        return RolloutChange(ledger.with_step(name, step), "step_out", name)
