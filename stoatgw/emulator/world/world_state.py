"""What both drivers share: the fleet, what discovery tells whom and when, the demand, the log and the ledger."""

from __future__ import annotations

import heapq
import re
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

import numpy as np

from stoatgw.emulator.virtual.kernel import Scheduler
from stoatgw.emulator.world.events import EventKind, EventSink
from stoatgw.emulator.world.population import Population, draw_population
from stoatgw.emulator.world.scenario import Kind, Scenario
from stoatgw.emulator.world.server_model import Held, ServerLifecycle, ServerModel, draw
from stoatgw.emulator.world.service_accounting import ServiceAccounting
from stoatgw.emulator.world.streams import Streams

TELL_PERIOD_US = 250_000  # discovery gathers what it has for a proxy, and tells it so often
BLOCK = 512
TOGETHER = 6  # connections of a group that stand at one server at the start


class Uniforms:
    """Uniform numbers from one stream, drawn in blocks: a single draw costs far more than its part of a block."""

    def __init__(self, stream: np.random.Generator) -> None:
        self._stream, self._left = stream, list[float]()

    def next(self) -> float:
        if not self._left:
            self._left = self._stream.random(BLOCK).tolist()
        return self._left.pop()

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.next()


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One line of the list, as discovery gives it."""

    server: str
    lifecycle: str
    zone: int
    machine_kind: int
    started_us: int


class WorldDriver(Protocol):
    """What a driver does when something happens to the world."""

    def tell(self, proxy: int, rows: list[EndpointEntry], whole: bool) -> None: ...

    def garble(self, proxy: int) -> None: ...

    def sent_away(self, machine: ServerModel) -> None: ...

    def died(self, machine: ServerModel) -> None: ...

    def vanished(self, machine: ServerModel) -> None: ...

    def grew(self, machine: ServerModel) -> None: ...

    def dropped(self, machine: ServerModel, connections: list[Held]) -> None: ...

    def drop_clients(self, part: float, within_us: int) -> None: ...

    def restart_proxy(self, proxy: int) -> None: ...

    def kill_proxy(self, proxy: int, back_us: int) -> None: ...

    def freeze_proxy(self, proxy: int, for_us: int) -> None: ...

    def cut_zones(self, cut: bool) -> None: ...


class WorldState:
    """The world of one run. `scheduler` is its clock; `stage` the driver's side."""

    def __init__(
        self, scenario: Scenario, seed: int, scheduler: Scheduler, sink: EventSink, booked: bool = True
    ) -> None:
        """`booked`: whether the machines book what they earn; on sockets the clients see what came."""
        self.scenario, self.scheduler, self.sink = scenario, scheduler, sink
        self.streams = Streams(seed)
        self.start_us = scheduler.now_us()
        self.length_us = int(scenario.length_s * 1e6)
        self.end_us = self.start_us + self.length_us
        classes = scenario.clients.classes
        self.aims_s = tuple(each.aim_ms / 1e3 for each in classes)
        worths = tuple(each.worth for each in classes)
        self.ledger = ServiceAccounting(self.start_us, scenario.length_s, worths)
        self._machine_ledger = self.ledger if booked else ServiceAccounting(self.start_us, scenario.length_s, worths)
        self.machines: dict[str, ServerModel] = {}
        self.proxies = [f"n{index}" for index in range(scenario.proxies.count)]
        self._numbers = 0
        self._kinds = kind_plan(scenario.fleet.kinds, scenario.fleet.servers)
        for _ in range(scenario.fleet.servers):
            self._new_machine(cold=False)
        self.first = list(self.machines)
        full = sum(machine.draw.full_units for machine in self.machines.values())
        self.population: Population = draw_population(scenario, full, self.streams)
        self._stage: WorldDriver | None = None
        self._feeds = [Uniforms(self.streams.of("discovery", index)) for index in range(scenario.proxies.count)]
        self._due: list[dict[int, list[EndpointEntry]]] = [{} for _ in self.proxies]
        self._last_due: dict[tuple[int, str], int] = {}
        self._silent_until_us = 0
        self.known: list[dict[str, EndpointEntry]] = [
            {name: self.row(machine) for name, machine in self.machines.items()} for _ in self.proxies
        ]
        self.cut = False
        nets = self.streams.of("network")
        network, zones = scenario.network, len(scenario.fleet.zones)
        self._ways_us = [
            [int(1000 * nets.uniform(*(network.same_ms if a == b else network.cross_ms))) for b in range(zones)]
            for a in range(zones)
        ]
        self.client_way_us = int(1000 * nets.uniform(*network.client_ms))

    @property
    def stage(self) -> WorldDriver:
        if self._stage is None:
            raise RuntimeError("the realm has no driver yet")
        return self._stage

    def begin(self, stage: WorldDriver) -> None:
        """Start the machines' periods; the driver is there from now on."""
        self._stage = stage
        for machine in self.machines.values():
            self._start_ticks(machine)

    def open(self) -> None:
        """The run itself starts now: arrivals, troubles and service count from here."""
        self.start_us = self.scheduler.now_us()
        self.end_us = self.start_us + self.length_us
        self.ledger.start(self.start_us)
        population = self.population
        self.ledger.ask(population.profile, population.arrive_us + self.start_us, population.end_us + self.start_us)

    def log(
        self, what: EventKind, proxy: str = "", req: str = "", server: str = "", number: int = 0, detail: str = ""
    ) -> None:
        self.sink.add(self.scheduler.now_us() - self.start_us, what, proxy, req, server, number, detail)

    # Machines.

    def _new_machine(self, cold: bool) -> ServerModel:
        number, fleet = self._numbers, self.scenario.fleet
        self._numbers += 1
        kind = self._kinds[number % len(self._kinds)]
        drawn = draw(
            f"s-{number:04d}",
            number % len(fleet.zones),
            kind,
            fleet.kinds[kind],
            fleet,
            min(self.aims_s),
            self.streams.of("machine", number),
        )
        now_us = self.scheduler.now_us()
        machine = ServerModel(
            drawn, self.aims_s, self.scenario.module, self._machine_ledger, self.streams.of("server", number), now_us
        )
        self.machines[drawn.name] = machine
        machine.on_fall = partial(self._fell, machine)
        if cold:
            machine.begin(now_us)
            self._log_start(machine)
        return machine

    def _log_start(self, machine: ServerModel) -> None:
        drawn = machine.draw
        self.log(
            EventKind.STARTED,
            server=drawn.name,
            number=round(drawn.full_units * 1000),
            detail=f"{drawn.cold_from:.6f},{drawn.cold_us}",
        )

    def _start_ticks(self, machine: ServerModel) -> None:
        # Each machine refreshes its report at a phase of its own.
        phase = machine.draw.report_us * (machine.draw.cap % 97) // 97
        self.scheduler.at(self.scheduler.now_us() + phase + 1, lambda: self._tick(machine))

    def _tick(self, machine: ServerModel) -> None:
        now_us = self.scheduler.now_us()
        dropped = machine.tick(now_us)
        if dropped:
            self.stage.dropped(machine, dropped)
        if now_us < self.end_us:
            self.scheduler.at(now_us + machine.draw.report_us, lambda: self._tick(machine))

    def way_us(self, zone: int, machine: ServerModel) -> int:
        """One way between a proxy's zone and a machine, without jitter."""
        return self._ways_us[zone][machine.draw.zone]

    def apart(self, zone: int, machine: ServerModel) -> bool:
        """Whether nothing passes between a proxy's zone and a machine."""
        return machine.life is ServerLifecycle.VANISHED or (self.cut and zone != machine.draw.zone)

    def proxy_zone(self, proxy: int) -> int:
        return proxy % len(self.scenario.fleet.zones)

    def serving(self) -> list[ServerModel]:
        return [machine for machine in self.machines.values() if machine.life is ServerLifecycle.SERVING]

    def _fell(self, machine: ServerModel) -> None:
        if machine.life is ServerLifecycle.SERVING:
            self.log(EventKind.FELL, server=machine.draw.name)
            self.kill(machine)

    def drain(self, machine: ServerModel) -> None:
        """It sends all away at once, wants nothing new, and ends some seconds later."""
        if machine.life is not ServerLifecycle.SERVING:
            return
        now_us = self.scheduler.now_us()
        machine.advance(now_us)
        machine.life = ServerLifecycle.DRAINING
        self.changed(machine)
        self.stage.sent_away(machine)
        span = Uniforms(self.streams.of("drain", int(machine.draw.name[2:])))
        gone_us = now_us + int(span.between(*self.scenario.fleet.drain_s) * 1e6)
        self.scheduler.at(gone_us, lambda: self.kill(machine))

    def kill(self, machine: ServerModel) -> None:
        """The process ends: what it held is reset, and newcomers are refused."""
        if machine.life in (ServerLifecycle.GONE, ServerLifecycle.VANISHED):
            return
        machine.advance(self.scheduler.now_us())
        machine.life = ServerLifecycle.GONE
        self.log(EventKind.SILENT, server=machine.draw.name)
        self.stage.died(machine)
        self.changed(machine)

    def vanish(self, machine: ServerModel) -> None:
        if machine.life in (ServerLifecycle.GONE, ServerLifecycle.VANISHED):
            return
        machine.advance(self.scheduler.now_us())
        machine.life = ServerLifecycle.VANISHED
        self.log(EventKind.SILENT, server=machine.draw.name)
        self.stage.vanished(machine)
        self.changed(machine)

    def back(self, machine: ServerModel) -> None:
        """The process starts again, cold."""
        if machine.life is ServerLifecycle.GONE:
            machine.begin(self.scheduler.now_us())
            self._log_start(machine)
            self.log(EventKind.LIVE, server=machine.draw.name)
            self.stage.grew(machine)
            self.changed(machine)

    def grow(self) -> ServerModel:
        machine = self._new_machine(cold=True)
        self._start_ticks(machine)
        self.stage.grew(machine)
        self.changed(machine)
        return machine

    # Discovery.

    def row(self, machine: ServerModel) -> EndpointEntry:
        life = machine.life if machine.life is not ServerLifecycle.VANISHED else ServerLifecycle.GONE
        return EndpointEntry(machine.draw.name, life.value, machine.draw.zone, machine.draw.kind, machine.started_us)

    def changed(self, machine: ServerModel) -> None:
        """Discovery hears of it, and tells each proxy in its own time."""
        row, now_us, rules = self.row(machine), self.scheduler.now_us(), self.scenario.discovery
        spread = rules.notice_s
        if machine.life is ServerLifecycle.SERVING:
            spread = rules.add_s
        elif machine.life is ServerLifecycle.VANISHED:
            spread = rules.silent_notice_s
        for proxy, feed in enumerate(self._feeds):
            due_us = now_us + int(feed.between(*spread) * 1e6)
            due_us = -(-due_us // TELL_PERIOD_US) * TELL_PERIOD_US + 997 * (proxy % 199)
            due_us = max(due_us, self._last_due.get((proxy, row.server), 0))
            self._last_due[proxy, row.server] = due_us
            rows = self._due[proxy].get(due_us)
            if rows is None:
                rows = self._due[proxy][due_us] = []
                self.scheduler.at(due_us, lambda p=proxy, d=due_us: self._tell(p, d))  # type: ignore[misc]
            rows.append(row)

    def _tell(self, proxy: int, due_us: int) -> None:
        if self.scheduler.now_us() < self._silent_until_us:
            until_us = self._silent_until_us + 997 * (proxy % 199)
            self.scheduler.at(until_us, lambda: self._tell(proxy, due_us))
            return
        rows = self._due[proxy].pop(due_us)
        for row in rows:
            if row.lifecycle == ServerLifecycle.GONE.value:
                self.known[proxy].pop(row.server, None)
            else:
                self.known[proxy][row.server] = row
        self.stage.tell(proxy, rows, False)

    def tell_whole(self, proxy: int) -> None:
        self.stage.tell(proxy, list(self.known[proxy].values()), True)

    def silence(self, until_us: int) -> None:
        self._silent_until_us = max(self._silent_until_us, until_us)

    # The demand at the start.

    def standing_places(self) -> list[str]:
        """A server for each client that stands at the start: as a good placement would have them.

        A few of each group together, on the server that is then the least loaded.
        """
        population = self.population
        order = np.argsort(population.group[: population.standing], kind="stable").tolist()
        loads = dict.fromkeys(self.machines, 0.0)
        heap = [(0.0, name) for name in self.machines]
        heapq.heapify(heap)
        places, last, name, together = [""] * population.standing, -1, "", 0
        for index in order:
            group = int(population.group[index])
            if group != last or together == TOGETHER:
                if name:
                    heapq.heappush(heap, (loads[name] / self.machines[name].draw.full_units, name))
                _, name = heapq.heappop(heap)
                loads[name] += self.scenario.fleet.group_cost
                last, together = group, 0
            places[index] = name
            loads[name] += float(population.units[index])
            together += 1
        return places

    def settings(self, proxy: int) -> dict[str, Any]:
        """What LB_CONFIG tells a proxy under `settings`, and the virtual driver its module."""
        scenario, module = self.scenario, self.scenario.module
        kinds, classes = scenario.fleet.kinds, scenario.clients.classes
        return {
            "areas": list(scenario.fleet.zones),
            "kinds": [kind.name for kind in kinds],
            "locality": self.proxy_zone(proxy),
            "balancers": scenario.proxies.count,
            "rank": proxy,
            "granularity_us": 5000,
            "bounds": {
                "probes": module.probes,
                "cancelling": True,
                "parallel_tries": False,
                "retry_after": module.retry_after_most_ms > 0,
                "max_attempts": module.max_attempts,
                "max_retry_after_us": int(module.retry_after_most_ms * 1000),
                "dial_timeout_us": 250000,
            },
            "domain": {
                "mode": "proxy",
                "groups": True,
                "tells_load": False,
                "tells_delay": module.tells_delay,
                "message_aim_us": [round(each.aim_ms * 1000) for each in classes],
            },
            "prices": {"probe": module.probe_price},
            "profiles": [
                {
                    "name": each.name,
                    "deadline_us": round(each.deadline_ms * 1000),
                    "on_time_us": round(each.on_time_ms * 1000),
                    "idempotency": "retryable",
                    "worth": each.worth,
                }
                for each in classes
            ],
            "report": {"via": "on_probe", "columns": ["errors_per_s", "outstanding", "utilization", "x0"]},
            "rules": {
                "drain_grace_us": round(module.drain_grace_ms * 1000),
                "answer_slack_us": 50_000,
                "cold_from": min(kind.cold_from[0] for kind in kinds) or 0.01,
                "cold_us": round(max(kind.cold_s[1] for kind in kinds) * 1e6),
                "fall_multiple": module.fall_multiple,
                "fall_us": round(module.fall_ms * 1000),
            },
        }


def kind_plan(kinds: tuple[Kind, ...], servers: int) -> list[int]:
    """Kinds in an order in which any first part of the fleet has about the shares asked for."""
    counts, plan = [0] * len(kinds), []
    for number in range(1, max(servers, 16) + 1):
        lacks = [kind.share * number - counts[place] for place, kind in enumerate(kinds)]
        place = max(range(len(kinds)), key=lambda each: (lacks[each], -each))
        counts[place] += 1
        plan.append(place)
    return plan


def fault_name(fault: object) -> str:
    """As the scenario files write it."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", type(fault).__name__).lower()
