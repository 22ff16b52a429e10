"""What both drivers share: the fleet, what discovery tells whom and when, the demand, the log and the ledger."""

from __future__ import annotations

import heapq
import re
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

import numpy as np

from stoatgw.emulator.world.events import EventKind, EventSink
from stoatgw.emulator.world.population import Population, draw_population
from stoatgw.emulator.world.scenario import Scenario, ServerKind
from stoatgw.emulator.world.scheduler import Scheduler
from stoatgw.emulator.world.server_model import HeldConnection, ServerLifecycle, ServerModel, draw_server_properties
from stoatgw.emulator.world.service_accounting import ServiceAccounting
from stoatgw.emulator.world.streams import RandomStreams

TELL_PERIOD_US = 250_000  # discovery gathers what it has for a proxy, and tells it so often
BLOCK = 512
TOGETHER = 6  # connections of a group that stand at one server at the start


class UniformSource:
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
    server_kind: int
    started_us: int


class WorldDriver(Protocol):
    """What a driver does when something happens to the world."""

    def publish_endpoints(self, proxy: int, rows: list[EndpointEntry], whole: bool) -> None: ...

    def corrupt_endpoint_stream(self, proxy: int) -> None: ...

    def on_server_draining(self, machine: ServerModel) -> None: ...

    def on_server_stopped(self, machine: ServerModel) -> None: ...

    def on_server_vanished(self, machine: ServerModel) -> None: ...

    def on_server_added(self, machine: ServerModel) -> None: ...

    def on_connections_dropped(self, machine: ServerModel, connections: list[HeldConnection]) -> None: ...

    def disconnect_clients(self, part: float, within_us: int) -> None: ...

    def restart_proxy(self, proxy: int) -> None: ...

    def kill_proxy(self, proxy: int, back_us: int) -> None: ...

    def freeze_proxy(self, proxy: int, for_us: int) -> None: ...

    def set_zones_partitioned(self, cut: bool) -> None: ...


class WorldState:
    """The world of one run. `scheduler` is its clock; `stage` the driver's side."""

    def __init__(
        self, scenario: Scenario, seed: int, scheduler: Scheduler, sink: EventSink, booked: bool = True
    ) -> None:
        """`booked`: whether the machines book what they earn; on sockets the clients see what came."""
        self.scenario, self.scheduler, self.sink = scenario, scheduler, sink
        self.streams = RandomStreams(seed)
        self.start_us = scheduler.now_us()
        self.length_us = int(scenario.length_s * 1e6)
        self.end_us = self.start_us + self.length_us
        classes = scenario.clients.classes
        self.latency_objectives_s = tuple(each.aim_ms / 1e3 for each in classes)
        worths = tuple(each.worth for each in classes)
        self.accounting = ServiceAccounting(self.start_us, scenario.length_s, worths)
        self._machine_ledger = (
            self.accounting if booked else ServiceAccounting(self.start_us, scenario.length_s, worths)
        )
        self.servers: dict[str, ServerModel] = {}
        self.proxy_names = [f"n{index}" for index in range(scenario.proxies.count)]
        self._numbers = 0
        self._kinds = kind_plan(scenario.fleet.kinds, scenario.fleet.servers)
        for _ in range(scenario.fleet.servers):
            self._new_machine(cold=False)
        self.initial_servers = list(self.servers)
        full = sum(machine.properties.capacity_units for machine in self.servers.values())
        self.population: Population = draw_population(scenario, full, self.streams)
        self._stage: WorldDriver | None = None
        self._feeds = [UniformSource(self.streams.of("discovery", index)) for index in range(scenario.proxies.count)]
        self._due: list[dict[int, list[EndpointEntry]]] = [{} for _ in self.proxy_names]
        self._last_due: dict[tuple[int, str], int] = {}
        self._silent_until_us = 0
        self.known_endpoints: list[dict[str, EndpointEntry]] = [
            {name: self.endpoint_entry(machine) for name, machine in self.servers.items()} for _ in self.proxy_names
        ]
        self.is_partitioned = False
        nets = self.streams.of("network")
        network, zones = scenario.network, len(scenario.fleet.zones)
        self._ways_us = [
            [int(1000 * nets.uniform(*(network.same_ms if a == b else network.cross_ms))) for b in range(zones)]
            for a in range(zones)
        ]
        self.client_latency_us = int(1000 * nets.uniform(*network.client_ms))

    @property
    def driver(self) -> WorldDriver:
        if self._stage is None:
            raise RuntimeError("the world has no driver yet")
        return self._stage

    def start(self, stage: WorldDriver) -> None:
        """Start the machines' periods; the driver is there from now on."""
        self._stage = stage
        for machine in self.servers.values():
            self._start_ticks(machine)

    def begin_measurement(self) -> None:
        """The run itself starts now: arrivals, troubles and service count from here."""
        self.start_us = self.scheduler.now_us()
        self.end_us = self.start_us + self.length_us
        self.accounting.start_at(self.start_us)
        population = self.population
        self.accounting.record_demand(
            population.request_class, population.arrival_us + self.start_us, population.departure_us + self.start_us
        )

    def log(
        self, what: EventKind, proxy: str = "", req: str = "", server: str = "", number: int = 0, detail: str = ""
    ) -> None:
        self.sink.record(self.scheduler.now_us() - self.start_us, what, proxy, req, server, number, detail)

    # Machines.

    def _new_machine(self, cold: bool) -> ServerModel:
        number, fleet = self._numbers, self.scenario.fleet
        self._numbers += 1
        kind = self._kinds[number % len(self._kinds)]
        drawn = draw_server_properties(
            f"s-{number:04d}",
            number % len(fleet.zones),
            kind,
            fleet.kinds[kind],
            fleet,
            min(self.latency_objectives_s),
            self.streams.of("machine", number),
        )
        now_us = self.scheduler.now_us()
        machine = ServerModel(
            drawn,
            self.latency_objectives_s,
            self.scenario.module,
            self._machine_ledger,
            self.streams.of("server", number),
            now_us,
        )
        self.servers[drawn.name] = machine
        machine.on_collapse = partial(self._fell, machine)
        if cold:
            machine.start_cold(now_us)
            self._log_start(machine)
        return machine

    def _log_start(self, machine: ServerModel) -> None:
        drawn = machine.properties
        self.log(
            EventKind.SERVER_STARTED,
            server=drawn.name,
            number=round(drawn.capacity_units * 1000),
            detail=f"{drawn.initial_warm_up_fraction:.6f},{drawn.warm_up_us}",
        )

    def _start_ticks(self, machine: ServerModel) -> None:
        # Each machine refreshes its report at a phase of its own.
        phase = machine.properties.report_interval_us * (machine.properties.max_connections % 97) // 97
        self.scheduler.call_at(self.scheduler.now_us() + phase + 1, lambda: self._tick(machine))

    def _tick(self, machine: ServerModel) -> None:
        now_us = self.scheduler.now_us()
        dropped = machine.refresh_report(now_us)
        if dropped:
            self.driver.on_connections_dropped(machine, dropped)
        if now_us < self.end_us:
            self.scheduler.call_at(now_us + machine.properties.report_interval_us, lambda: self._tick(machine))

    def one_way_latency_us(self, zone: int, machine: ServerModel) -> int:
        """One way between a proxy's zone and a machine, without jitter."""
        return self._ways_us[zone][machine.properties.zone]

    def is_unreachable(self, zone: int, machine: ServerModel) -> bool:
        """Whether nothing passes between a proxy's zone and a machine."""
        return machine.lifecycle is ServerLifecycle.VANISHED or (
            self.is_partitioned and zone != machine.properties.zone
        )

    def proxy_zone(self, proxy: int) -> int:
        return proxy % len(self.scenario.fleet.zones)

    def serving_servers(self) -> list[ServerModel]:
        return [machine for machine in self.servers.values() if machine.lifecycle is ServerLifecycle.SERVING]

    def _fell(self, machine: ServerModel) -> None:
        if machine.lifecycle is ServerLifecycle.SERVING:
            self.log(EventKind.SERVER_COLLAPSED, server=machine.properties.name)
            self.kill_server(machine)

    def drain_server(self, machine: ServerModel) -> None:
        """It sends all away at once, wants nothing new, and ends some seconds later."""
        if machine.lifecycle is not ServerLifecycle.SERVING:
            return
        now_us = self.scheduler.now_us()
        machine.advance_to(now_us)
        machine.lifecycle = ServerLifecycle.DRAINING
        self.publish_change(machine)
        self.driver.on_server_draining(machine)
        span = UniformSource(self.streams.of("drain", int(machine.properties.name[2:])))
        gone_us = now_us + int(span.between(*self.scenario.fleet.drain_s) * 1e6)
        self.scheduler.call_at(gone_us, lambda: self.kill_server(machine))

    def kill_server(self, machine: ServerModel) -> None:
        """The process ends: what it held is reset, and newcomers are refused."""
        if machine.lifecycle in (ServerLifecycle.GONE, ServerLifecycle.VANISHED):
            return
        machine.advance_to(self.scheduler.now_us())
        machine.lifecycle = ServerLifecycle.GONE
        self.log(EventKind.SERVER_UNRESPONSIVE, server=machine.properties.name)
        self.driver.on_server_stopped(machine)
        self.publish_change(machine)

    def vanish_server(self, machine: ServerModel) -> None:
        if machine.lifecycle in (ServerLifecycle.GONE, ServerLifecycle.VANISHED):
            return
        machine.advance_to(self.scheduler.now_us())
        machine.lifecycle = ServerLifecycle.VANISHED
        self.log(EventKind.SERVER_UNRESPONSIVE, server=machine.properties.name)
        self.driver.on_server_vanished(machine)
        self.publish_change(machine)

    def restart_server(self, machine: ServerModel) -> None:
        """The process starts again, cold."""
        if machine.lifecycle is ServerLifecycle.GONE:
            machine.start_cold(self.scheduler.now_us())
            self._log_start(machine)
            self.log(EventKind.SERVER_RESPONSIVE, server=machine.properties.name)
            self.driver.on_server_added(machine)
            self.publish_change(machine)

    def add_server(self) -> ServerModel:
        machine = self._new_machine(cold=True)
        self._start_ticks(machine)
        self.driver.on_server_added(machine)
        self.publish_change(machine)
        return machine

    # Discovery.

    def endpoint_entry(self, machine: ServerModel) -> EndpointEntry:
        life = machine.lifecycle if machine.lifecycle is not ServerLifecycle.VANISHED else ServerLifecycle.GONE
        return EndpointEntry(
            machine.properties.name, life.value, machine.properties.zone, machine.properties.kind, machine.started_us
        )

    def publish_change(self, machine: ServerModel) -> None:
        """Discovery hears of it, and tells each proxy in its own time."""
        row, now_us, rules = self.endpoint_entry(machine), self.scheduler.now_us(), self.scenario.discovery
        spread = rules.notice_s
        if machine.lifecycle is ServerLifecycle.SERVING:
            spread = rules.add_s
        elif machine.lifecycle is ServerLifecycle.VANISHED:
            spread = rules.silent_notice_s
        for proxy, feed in enumerate(self._feeds):
            due_us = now_us + int(feed.between(*spread) * 1e6)
            due_us = -(-due_us // TELL_PERIOD_US) * TELL_PERIOD_US + 997 * (proxy % 199)
            due_us = max(due_us, self._last_due.get((proxy, row.server), 0))
            self._last_due[proxy, row.server] = due_us
            rows = self._due[proxy].get(due_us)
            if rows is None:
                rows = self._due[proxy][due_us] = []
                self.scheduler.call_at(due_us, lambda p=proxy, d=due_us: self._tell(p, d))  # type: ignore[misc]
            rows.append(row)

    def _tell(self, proxy: int, due_us: int) -> None:
        if self.scheduler.now_us() < self._silent_until_us:
            until_us = self._silent_until_us + 997 * (proxy % 199)
            self.scheduler.call_at(until_us, lambda: self._tell(proxy, due_us))
            return
        rows = self._due[proxy].pop(due_us)
        for row in rows:
            if row.lifecycle == ServerLifecycle.GONE.value:
                self.known_endpoints[proxy].pop(row.server, None)
            else:
                self.known_endpoints[proxy][row.server] = row
        self.driver.publish_endpoints(proxy, rows, False)

    def publish_snapshot(self, proxy: int) -> None:
        self.driver.publish_endpoints(proxy, list(self.known_endpoints[proxy].values()), True)

    def silence_discovery(self, until_us: int) -> None:
        self._silent_until_us = max(self._silent_until_us, until_us)

    # The demand at the start.

    def initial_placements(self) -> list[str]:
        """A server for each client that stands at the start: as a good placement would have them.

        A few of each group together, on the server that is then the least loaded.
        """
        population = self.population
        order = np.argsort(population.group[: population.established_count], kind="stable").tolist()
        loads = dict.fromkeys(self.servers, 0.0)
        heap = [(0.0, name) for name in self.servers]
        heapq.heapify(heap)
        places, last, name, together = [""] * population.established_count, -1, "", 0
        for index in order:
            group = int(population.group[index])
            if group != last or together == TOGETHER:
                if name:
                    heapq.heappush(heap, (loads[name] / self.servers[name].properties.capacity_units, name))
                _, name = heapq.heappop(heap)
                loads[name] += self.scenario.fleet.group_cost
                last, together = group, 0
            places[index] = name
            loads[name] += float(population.load_units[index])
            together += 1
        return places

    def proxy_settings(self, proxy: int) -> dict[str, Any]:
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


def kind_plan(kinds: tuple[ServerKind, ...], servers: int) -> list[int]:
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
