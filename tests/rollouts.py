"""Helpers for the tests of rolling maintenance."""

from __future__ import annotations

from collections import Counter
from typing import Any

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.maintenance.rollout_state import RolloutState, StepState
from stoatgw.telemetry.log import EventLog

SECOND_US = 1_000_000


class SilentLog(EventLog):
    """Discards all events."""

    def event(self, event: str, **fields: Any) -> None:
        pass


def assert_bounds_held(plan: MaintenancePlan, zones: dict[str, str], history: list[RolloutState]) -> None:
    """Check the stored states: the plan's limits hold, and each machine has one step, which ends once."""
    zone_sizes = Counter(zones.values())
    previous_states = [RolloutState(plan_fingerprint=plan.fingerprint), *history]
    for before, after in zip(previous_states, history, strict=False):
        unavailable_servers = [name for name in after.machines_out_of_service() if name in zones]
        assert len(unavailable_servers) <= plan.max_unavailable_servers
        assert len(after.machines_out_of_service()) - len(unavailable_servers) <= plan.max_unavailable_proxies
        unavailable_by_zone = Counter(zones[name] for name in unavailable_servers)
        for zone, size in zone_sizes.items():
            assert unavailable_by_zone[zone] <= plan.max_zone_fraction * size
        for name, step in before.steps.items():
            assert name in after.steps
            assert step.state is StepState.OUT_OF_SERVICE or after.steps[name] == step
    tokens = [step.token for step in history[-1].steps.values()]
    assert tokens == sorted(tokens)  # an old leader starts no step after a new one has started one
