"""From what the module believes to a picture, and from the plan to reqs: what the owner calls each step."""

from __future__ import annotations

from stoatgw.decisions.interface import ServerEstimate, Settings
from stoatgw.rebalance.limits import RebalanceLimits
from stoatgw.rebalance.planner import Planner
from stoatgw.rebalance.snapshot import FleetSnapshot, PlannedMigration, ServerSnapshot, SessionSnapshot


class Rebalancer:
    def __init__(self, limits: RebalanceLimits, settings: Settings, seed: int) -> None:
        # Steps of a length of their own: proxies that act at one moment would all act on one picture.
        self.interval_us = limits.step_us + (settings.rank * 37_000) % max(1, limits.step_us // 4)
        self._planner, self._settings = Planner(limits, seed), settings
        self._top_worth = max(profile.worth for profile in settings.profiles) or 1.0
        self.planned: list[PlannedMigration] = []  # the last step's

    def picture(self, beliefs: list[ServerEstimate], now_us: int) -> FleetSnapshot:
        settings = self._settings
        views = tuple(
            ServerSnapshot(
                each.server,
                each.zone == settings.zone,
                each.load,
                each.load_per_connection,
                each.connections,
                each.report_age_us,
                each.warm_up_fraction,
                each.setups_in_flight,
                each.is_healthy,
                tuple(
                    SessionSnapshot(
                        asked.request_id,
                        asked.idempotency_key,
                        asked.group if settings.groups else None,
                        settings.profiles[asked.request_class].worth / self._top_worth,
                        1.0,
                    )
                    for asked in each.own_sessions
                ),
            )
            for each in beliefs
        )
        return FleetSnapshot(now_us, views, settings.balancers)

    def plan(self, beliefs: list[ServerEstimate], now_us: int) -> list[str]:
        self.planned = self._planner.plan(self.picture(beliefs, now_us))
        return [each.request for each in self.planned]
