"""The planner: each step takes a picture and gives the few moves that are worth their cost. No clock, no IO.

A step is a part of the way only, and a random part: N proxies that see the same late picture plan the same excess,
and each carries out its own connections' part of it, so that together they come near balance without passing it.
docs/recovery.md has the reasoning.
"""

from __future__ import annotations

import math
import random

from stoatgw.rebalance.limits import RebalanceLimits
from stoatgw.rebalance.snapshot import FleetSnapshot, PlannedMigration, ServerSnapshot, SessionSnapshot


class Planner:
    def __init__(self, limits: RebalanceLimits, seed: int) -> None:
        self._limits, self._random = limits, random.Random(seed)
        self._moved: dict[int | str, int] = {}  # clients moved lately, and when
        self._allowance = 0.0

    def plan(self, picture: FleetSnapshot) -> list[PlannedMigration]:
        """The moves of this step, in the order in which they are worth most. Same state and picture, same plan."""
        limits, now_us = self._limits, picture.now_us
        self._moved = {key: at for key, at in self._moved.items() if at > now_us - limits.again_us}
        back = sum(at > now_us - limits.back_us for at in self._moved.values())
        standing = sum(len(view.mine) for view in picture.servers)
        step_s = limits.step_us / 1e6
        self._allowance = min(max(1.0, limits.rate * standing), self._allowance + limits.rate * standing * step_s)
        most = min(int(self._allowance), limits.under_way - back)
        room = _TargetCapacity(picture, limits)
        if most <= 0 or not room.targets:
            return []
        moves: list[PlannedMigration] = []
        groups: dict[int, int] = {}
        for source in sorted(picture.servers, key=lambda view: (-view.load, view.name)):
            if len(moves) >= most or source.load <= limits.over:
                break
            if source.age_us <= limits.fresh_us:
                self._off(source, picture, room, groups, moves, most)
        self._allowance -= len(moves)
        return moves

    def _off(
        self,
        source: ServerSnapshot,
        picture: FleetSnapshot,
        room: _TargetCapacity,
        groups: dict[int, int],
        moves: list[PlannedMigration],
        most: int,
    ) -> None:
        """Moves off one server: our part of a part of its excess, rounded by chance."""
        limits = self._limits
        excess = (source.load - max(limits.over, room.mean)) / max(1e-6, source.unit)
        ours = len(source.mine) / max(1.0, source.count, float(len(source.mine)))
        wanted = limits.part * excess * ours
        count = min(limits.per_server, int(wanted + self._random.random()), most - len(moves))
        sizes: dict[int | None, int] = {}
        for held in source.mine:
            sizes[held.group] = sizes.get(held.group, 0) + 1
        rows = []
        for held in source.mine:
            if _client(held) in self._moved:
                continue
            found = self._judge(held, source, room, sizes)
            if found is not None and found.gain > found.cost:
                rows.append((found.cost - found.gain, held.request, held, found))
        for _, _, held, found in sorted(rows, key=lambda row: row[:2]):
            if count <= 0:
                return
            if held.group is not None and groups.get(held.group, 0) >= limits.per_group:
                continue
            if not room.take(found.target, held):
                continue
            if held.group is not None:
                groups[held.group] = groups.get(held.group, 0) + 1
            self._moved[_client(held)] = picture.now_us
            moves.append(found)
            count -= 1

    def _judge(
        self, held: SessionSnapshot, source: ServerSnapshot, room: _TargetCapacity, sizes: dict[int | None, int]
    ) -> PlannedMigration | None:
        """What moving one connection gains, with the group's price on both sides, and what it costs."""
        limits = self._limits
        frees = 1.0 if held.group is not None and sizes[held.group] == 1 else 0.0
        best: tuple[float, ServerSnapshot] | None = None
        for target in room.targets:
            if target.name == source.name:
                continue
            pays = 0.0 if held.group is None or held.group in room.groups(target) else 1.0
            after = room.load(target) + target.unit * (held.units + pays)
            if source.load - after >= limits.gap and (best is None or after < best[0]):
                best = (after, target)
        if best is None:
            return None
        after, target = best
        less = source.unit * (held.units + frees)
        others = max(0.0, source.count - 1.0)
        at_source = others * (self._in_time(source.load - less) - self._in_time(source.load))
        there = max(0.0, target.count) * (self._in_time(room.load(target)) - self._in_time(after))
        itself = held.worth * (self._in_time(after) - self._in_time(source.load))
        gain = at_source - there + itself
        cost = held.worth * limits.cost_s / limits.horizon_s
        return PlannedMigration(held.request, source.name, target.name, source.load, room.load(target), gain, cost)

    def _in_time(self, load: float) -> float:
        """Share of messages in time at a load, as the emulator's and the bench's servers have it."""
        return 1.0 - math.exp(-self._limits.sharpness * (1.0 - min(0.98, max(0.0, load))))


def _client(held: SessionSnapshot) -> int | str:
    return held.key if held.key is not None else held.request


class _TargetCapacity:
    """Where there is room, and how much of it this step has taken."""

    def __init__(self, picture: FleetSnapshot, limits: RebalanceLimits) -> None:
        self._limits, self._added, self._taken = limits, dict[str, float](), dict[str, int]()
        good = [view for view in picture.servers if view.ready and view.age_us <= limits.fresh_us]
        total = sum(1.0 / max(1e-6, view.unit) for view in good)
        # The load at which all would stand if it were spread evenly over what they can do now.
        self.mean = sum(view.load / max(1e-6, view.unit) for view in good) / total if total else 1.0
        self.targets = [
            view for view in good if view.share >= limits.warm and view.load < limits.over and view.load <= self.mean
        ]
        self._groups = {view.name: {held.group for held in view.mine} for view in self.targets}

    def load(self, view: ServerSnapshot) -> float:
        return view.load + self._added.get(view.name, 0.0)

    def groups(self, view: ServerSnapshot) -> set[int | None]:
        return self._groups[view.name]

    def take(self, name: str, held: SessionSnapshot) -> bool:
        """Whether the target bears one more in this step: a cold one bears one, and none while one is on its way."""
        view = next(each for each in self.targets if each.name == name)
        most = self._limits.per_server if view.share >= 1.0 else int(view.under_way == 0)
        if self._taken.get(name, 0) >= most or self.load(view) >= self._limits.over:
            return False
        self._taken[name] = self._taken.get(name, 0) + 1
        self._added[name] = self._added.get(name, 0.0) + view.unit * (held.units + 1.0)
        return True
