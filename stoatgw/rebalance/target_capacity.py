"""Which servers can receive migrated sessions, and how much of their capacity a step has reserved."""

from __future__ import annotations

from stoatgw.rebalance.limits import RebalanceLimits
from stoatgw.rebalance.snapshot import FleetSnapshot, ServerSnapshot, SessionSnapshot

MIN_LOAD_PER_CONNECTION = 1e-6  # guards against division by an estimate of zero
GROUP_LOAD_UNITS = 1.0  # what a server pays for each group of which it holds any session, in mean sessions


class TargetCapacity:
    """The targets of one step.

    Attributes:
        balanced_load: The load that all healthy servers would have if it were spread evenly by their capacity.
        targets: The servers that may receive sessions in this step.
    """

    def __init__(self, fleet: FleetSnapshot, limits: RebalanceLimits) -> None:
        self._limits = limits
        self._reserved_load: dict[str, float] = {}
        self._reservations: dict[str, int] = {}
        candidates = [
            server for server in fleet.servers if server.is_healthy and server.report_age_us <= limits.max_report_age_us
        ]
        self.balanced_load = _balanced_load(candidates)
        self.targets = [server for server in candidates if self._is_target(server)]
        self._groups = {server.name: {session.group for session in server.own_sessions} for server in self.targets}

    def load(self, target: ServerSnapshot) -> float:
        """The target's load with what this step has reserved."""
        return target.load + self._reserved_load.get(target.name, 0.0)

    def load_with(self, target: ServerSnapshot, session: SessionSnapshot) -> float:
        """The target's load if it also received the session, with its group's load where that is new there."""
        pays_for_group = session.group is not None and session.group not in self._groups[target.name]
        group_units = GROUP_LOAD_UNITS if pays_for_group else 0.0
        return self.load(target) + target.load_per_connection * (session.load_units + group_units)

    def reserve(self, target: ServerSnapshot, session: SessionSnapshot) -> bool:
        """Reserve capacity for one more session; returns whether there was any.

        A server in slow start receives one session in a step, and none while an attempt to it is in flight.
        """
        if target.warm_up_fraction >= 1.0:
            max_reservations = self._limits.max_migrations_per_server
        else:
            max_reservations = 1 if target.setups_in_flight == 0 else 0
        reservations = self._reservations.get(target.name, 0)
        if reservations >= max_reservations or self.load(target) >= self._limits.overload_threshold:
            return False
        added_load = target.load_per_connection * (session.load_units + GROUP_LOAD_UNITS)
        self._reservations[target.name] = reservations + 1
        self._reserved_load[target.name] = self._reserved_load.get(target.name, 0.0) + added_load
        return True

    def _is_target(self, server: ServerSnapshot) -> bool:
        return (
            server.warm_up_fraction >= self._limits.min_warm_up_fraction
            and server.load < self._limits.overload_threshold
            and server.load <= self.balanced_load
        )


def _balanced_load(servers: list[ServerSnapshot]) -> float:
    """Mean load, weighted by capacity; 1 where there is no server."""
    capacity = sum(1.0 / max(MIN_LOAD_PER_CONNECTION, server.load_per_connection) for server in servers)
    if not capacity:
        return 1.0
    return sum(server.load / max(MIN_LOAD_PER_CONNECTION, server.load_per_connection) for server in servers) / capacity
