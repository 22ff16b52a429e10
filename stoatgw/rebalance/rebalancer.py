"""The adapter between controller and planner: converts the decisions' estimates to a snapshot for each step."""

from __future__ import annotations

from stoatgw.decisions.interface import Request, ServerEstimate, Settings
from stoatgw.rebalance.limits import RebalanceLimits
from stoatgw.rebalance.planner import RebalancePlanner
from stoatgw.rebalance.snapshot import FleetSnapshot, ServerSnapshot, SessionSnapshot

STEP_OFFSET_US = 37_000  # times the proxy's rank, added to the step interval
MEAN_LOAD_UNITS = 1.0  # the load of a single session is unknown: each counts as a mean session


class Rebalancer:
    """Plans the migrations of one proxy. Called from the controller's task only.

    Attributes:
        interval_us: The time between two steps.
    """

    def __init__(self, limits: RebalanceLimits, settings: Settings, seed: int) -> None:
        # Proxies that plan at the same time would all use the same snapshot, so each has a different interval.
        max_offset_us = max(1, limits.step_interval_us // 4)
        self.interval_us = limits.step_interval_us + (settings.rank * STEP_OFFSET_US) % max_offset_us
        self._planner = RebalancePlanner(limits, seed)
        self._settings = settings
        self._max_weight = max(request_class.worth for request_class in settings.profiles) or 1.0

    def plan(self, estimates: list[ServerEstimate], now_us: int) -> list[str]:
        """Return the ids of the requests whose sessions migrate now, in order."""
        return [migration.request_id for migration in self._planner.plan(self.build_snapshot(estimates, now_us))]

    def build_snapshot(self, estimates: list[ServerEstimate], now_us: int) -> FleetSnapshot:
        """Convert the estimates to the planner's snapshot."""
        return FleetSnapshot(now_us, tuple(self._server_snapshot(estimate) for estimate in estimates))

    def _server_snapshot(self, estimate: ServerEstimate) -> ServerSnapshot:
        return ServerSnapshot(
            name=estimate.server,
            load=estimate.load,
            load_per_connection=estimate.load_per_connection,
            connections=estimate.connections,
            report_age_us=estimate.report_age_us,
            warm_up_fraction=estimate.warm_up_fraction,
            setups_in_flight=estimate.setups_in_flight,
            is_healthy=estimate.is_healthy,
            own_sessions=tuple(self._session_snapshot(request) for request in estimate.own_sessions),
        )

    def _session_snapshot(self, request: Request) -> SessionSnapshot:
        return SessionSnapshot(
            request_id=request.request_id,
            idempotency_key=request.idempotency_key,
            group=request.group if self._settings.groups else None,
            priority_weight=self._settings.profiles[request.request_class].worth / self._max_weight,
            load_units=MEAN_LOAD_UNITS,
        )
