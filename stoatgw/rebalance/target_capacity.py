"""The servers that can receive migrated sessions, and the capacity that a step has reserved at them."""

from __future__ import annotations

from stoatgw.rebalance.limits import RebalanceLimits
from stoatgw.rebalance.snapshot import FleetSnapshot, ServerSnapshot, SessionSnapshot

MIN_LOAD_PER_CONNECTION = 1e-6  # prevents division by an estimate of zero
GROUP_LOAD_UNITS = 1.0  # load that each group with any session adds to a server, in units of a mean session


class TargetCapacity:
    """The targets of one step.

    Attributes:
        balanced_load: The load of each healthy server if the load were distributed in proportion to their capacity.
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
        """Return the target's load including the reservations of this step."""
        return target.load + self._reserved_load.get(target.name, 0.0)

    def load_with(self, target: ServerSnapshot, session: SessionSnapshot) -> float:
        """Return the target's load including the session, and its group's load if the group is new at the target."""
        adds_group = session.group is not None and session.group not in self._groups[target.name]
        group_units = GROUP_LOAD_UNITS if adds_group else 0.0
        return self.load(target) + target.load_per_connection * (session.load_units + group_units)

    def reserve(self, target: ServerSnapshot, session: SessionSnapshot) -> bool:
        """Reserve capacity for one more session, and return whether it was available.

        A server in slow start receives one session per step, and none while an attempt at it is in flight.
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
    """Return the mean load, weighted by capacity; 1 if there are no servers."""
    capacity = sum(1.0 / max(MIN_LOAD_PER_CONNECTION, server.load_per_connection) for server in servers)
    if not capacity:
        return 1.0
    return sum(server.load / max(MIN_LOAD_PER_CONNECTION, server.load_per_connection) for server in servers) / capacity
