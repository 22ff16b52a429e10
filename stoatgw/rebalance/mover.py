"""From what the module believes to a picture, and from the plan to reqs: what the owner calls each step."""

from __future__ import annotations

from stoatgw.decisions.interface import Belief, Settings
from stoatgw.rebalance.limits import Limits
from stoatgw.rebalance.picture import Held, Picture, Planned, View
from stoatgw.rebalance.planner import Planner


class Rebalancer:
    def __init__(self, limits: Limits, settings: Settings, seed: int) -> None:
        # Steps of a length of their own: proxies that act at one moment would all act on one picture.
        self.step_us = limits.step_us + (settings.rank * 37_000) % max(1, limits.step_us // 4)
        self._planner, self._settings = Planner(limits, seed), settings
        self._top_worth = max(profile.worth for profile in settings.profiles) or 1.0
        self.planned: list[Planned] = []  # the last step's

    def picture(self, beliefs: list[Belief], now_us: int) -> Picture:
        settings = self._settings
        views = tuple(
            View(
                each.server, each.zone == settings.zone, each.load, each.unit, each.count, each.age_us, each.share,
                each.under_way, each.sound,
                tuple(
                    Held(
                        asked.request, asked.key, asked.group if settings.groups else None,
                        settings.profiles[asked.profile].worth / self._top_worth, 1.0,
                    )
                    for asked in each.mine
                ),
            )
            for each in beliefs
        )  # fmt: skip
        return Picture(now_us, views, settings.balancers)

    def plan(self, beliefs: list[Belief], now_us: int) -> list[str]:
        self.planned = self._planner.plan(self.picture(beliefs, now_us))
        return [each.request for each in self.planned]
