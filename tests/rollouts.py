"""What the tests of a rolling maintenance share."""

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
    """Reads nothing but the states that were ever stored: never too many out, each machine out once, ended once."""
    zone_sizes = Counter(zones.values())
    previous_states = [RolloutState(plan_fingerprint=plan.fingerprint), *history]
    for before, after in zip(previous_states, history, strict=False):
        servers_out = [name for name in after.machines_out() if name in zones]
        assert len(servers_out) <= plan.max_servers_out
        assert len(after.machines_out()) - len(servers_out) <= plan.max_proxies_out
        zone_out = Counter(zones[name] for name in servers_out)
        for zone, size in zone_sizes.items():
            assert zone_out[zone] <= plan.max_zone_fraction * size
        for name, step in before.steps.items():
            assert name in after.steps
            assert step.state is StepState.OUT or after.steps[name] == step
    tokens = [step.token for step in history[-1].steps.values()]
    assert tokens == sorted(tokens)  # an old leader starts nothing after a new one has
