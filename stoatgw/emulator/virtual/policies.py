"""Policies that a run is measured against: random choice (the floor) and one that sees the truth (the top).

Both keep the rules: nothing to a server that the list does not call ready, one attempt at a time.
The top places by the true load of this moment; it is no bound that nothing could pass.
"""

from __future__ import annotations

import random

from stoatgw.controller.policy import MakePolicy
from stoatgw.decisions import interface as api
from stoatgw.decisions.interface import AttemptStatus, EndpointUpdateKind, Lifecycle
from stoatgw.emulator.world.server_model import ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import WorldState

TRIES = 2
ADVICE_US = 1_000_000
RELIEF_US = 250_000
RELIEVE = 0.85  # the top moves connections off a server over this utilisation
LOW_WORTH = 0.35  # part of the fill that a connection of no worth forgoes
FILL = 0.8  # the top fills a server up to this part of what it can do now
CROSSING = 0.05  # load by which the top holds a server of another zone for fuller
COLD_PART = 0.5  # part of a cold server's budget that the floor and the top use


class _Placing:
    """What both have in common: the list, attempts, and answers."""

    def __init__(self, world: WorldState, settings: api.Settings, seed: int) -> None:
        self._world, self._settings, self._random = world, settings, random.Random(seed)
        self._ready: dict[str, api.Endpoint] = {}
        self._asked: dict[str, tuple[api.Request, list[str], int]] = {}
        self._standing: set[str] = set()

    def start(self, now_us: int) -> list[api.Action]:
        return []

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        match event:
            case api.EndpointUpdate():
                if event.kind in (EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.CACHED):
                    self._ready.clear()
                for entry in event.endpoints:
                    self._ready.pop(entry.name, None)
                    if entry.lifecycle is Lifecycle.ACTIVE:
                        self._ready[entry.name] = entry
            case api.Request():
                self._asked[event.request_id] = (event, [], now_us + event.time_left_us)
                return self._place(event.request_id, now_us)
            case api.AttemptEstablished():
                self._standing.add(event.request_id)
            case api.SessionRestored():
                self._standing.add(event.request.request_id)
            case api.ClientDisconnected():
                self._asked.pop(event.request_id, None)
            case api.AttemptOutcome():
                stood = event.request_id in self._standing
                self._standing.discard(event.request_id)
                if stood or event.is_final or event.status is AttemptStatus.UNUSED:
                    self._asked.pop(event.request_id, None)
                elif event.request_id in self._asked:
                    return self._place(event.request_id, now_us)
        return []

    def _place(self, request: str, now_us: int) -> list[api.Action]:
        asked, tried, deadline_us = self._asked[request]
        left_us = deadline_us - now_us - 50_000
        server = None
        if len(tried) < TRIES and left_us > 0:
            server = self._choose(asked, [name for name in self._ready if name not in tried], now_us)
        if server is None:
            del self._asked[request]
            advice_us = min(ADVICE_US, self._settings.max_retry_after_us)
            return [api.Reject(request, advice_us * self._settings.can_advise_retry_after)]
        tried.append(server)
        wait_us = left_us if len(tried) == TRIES else left_us // 2
        return [api.Send(request, server, now_us + wait_us)]

    def _choose(self, asked: api.Request, names: list[str], now_us: int) -> str | None:
        raise NotImplementedError

    def _bears(self, machine: ServerModel, units: float, now_us: int) -> bool:
        """Whether a cold machine's budget has room, seen as a whole (both policies see it: it is a rule)."""
        if machine.warm_up_fraction(now_us) >= 1.0:
            return True
        spent = machine.warm_up_budget.spent_units(now_us)
        under_way = machine.setups_in_progress * 2.0
        return spent + under_way + units <= COLD_PART * machine.max_warm_up_units(now_us)


class RandomPolicy(_Placing):
    """Random choice among the ready servers."""

    def _choose(self, asked: api.Request, names: list[str], now_us: int) -> str | None:
        while names:
            name = names.pop(int(self._random.random() * len(names)))
            if self._bears(self._world.servers[name], 2.0, now_us):
                return name
        return None


class OmniscientPolicy(_Placing):
    """The server that would be least loaded with this connection, seen as it truly is.

    Four times a second it moves connections off servers that are over `RELIEVE`, the heaviest for their worth
    first, as long as another has room; low worth is refused before high.
    """

    def __init__(self, world: WorldState, settings: api.Settings, seed: int) -> None:
        super().__init__(world, settings, seed)
        self._mine: dict[str, dict[str, api.Request]] = {}  # standing, by server
        self._at: dict[str, str] = {}
        self._top_worth = max(profile.worth for profile in settings.profiles) or 1.0

    def start(self, now_us: int) -> list[api.Action]:
        return [api.SetTimer(now_us + RELIEF_US + 7_919 * self._settings.rank, 0)]

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        match event:
            case api.TimerExpired():
                return [api.SetTimer(now_us + RELIEF_US, 0), *self._relieve(now_us)]
            case api.AttemptEstablished():
                self._stands(self._asked[event.request_id][0], event.server)
            case api.SessionRestored():
                self._stands(event.request, event.server)
            case api.AttemptOutcome():
                server = self._at.pop(event.request_id, None)
                if server is not None:
                    del self._mine[server][event.request_id]
        return super().handle(event, now_us)

    def _stands(self, asked: api.Request, server: str) -> None:
        self._at[asked.request_id] = server
        self._mine.setdefault(server, {})[asked.request_id] = asked

    def _relieve(self, now_us: int) -> list[api.Action]:
        moves: list[api.Action] = []
        machines = self._world.servers
        over = [name for name, held in self._mine.items() if held and machines[name].utilization > RELIEVE]
        room = sum(machine.utilization < RELIEVE - 0.2 for machine in self._world.serving_servers())
        for name in over[: max(0, room)]:
            machine = machines[name]
            if machine.lifecycle is not ServerLifecycle.SERVING:
                continue
            held = [
                (machine.connections[each].load_units / (0.1 + self._worth(asked)), each)
                for each, asked in self._mine[name].items()
                if each in machine.connections
            ]
            held.sort(reverse=True)
            left = machine.total_load_units
            most = (machine.utilization - RELIEVE + 0.05) / machine.utilization * left
            moved = 0.0
            for _, each in held:
                units = machine.connections[each].load_units
                if moved + units <= most * 1.2:
                    moved += units
                    moves.append(api.Migrate(each))
                if moved >= most:
                    break
        return moves

    def _worth(self, asked: api.Request) -> float:
        return self._settings.profiles[asked.request_class].worth / self._top_worth

    def _choose(self, asked: api.Request, names: list[str], now_us: int) -> str | None:
        best, best_cost = None, float("inf")
        if len(names) > 64:  # a large fleet: the best of many drawn is as good as the best
            names = self._random.sample(names, 64)
        for name in names:
            machine = self._world.servers[name]
            if machine.lifecycle is not ServerLifecycle.SERVING or machine.is_resetting:
                continue
            machine.advance_to(now_us)
            units = machine.expected_load_units(asked.group) + machine.setups_in_progress
            full = machine.properties.capacity_units * machine.warm_up_fraction(now_us)
            cost = machine.utilization + units / full + machine.queueing_delay_s()
            if cost >= FILL - LOW_WORTH * (1.0 - self._worth(asked)) or not self._bears(machine, units, now_us):
                continue
            cost += CROSSING * (machine.properties.zone != self._settings.zone)
            if cost < best_cost:
                best, best_cost = name, cost
        return best


def random_policy(world: WorldState) -> MakePolicy:
    return lambda settings, seed: RandomPolicy(world, settings, seed)


def omniscient_policy(world: WorldState) -> MakePolicy:
    return lambda settings, seed: OmniscientPolicy(world, settings, seed)
