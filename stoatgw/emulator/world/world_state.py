"""The state of the world model, for both drivers: servers, discovery, network, demand, accounting and event log."""

from __future__ import annotations

from functools import partial

from stoatgw.emulator.world.endpoint_publication import EndpointEntry, EndpointPublisher
from stoatgw.emulator.world.events import Event, EventKind, EventSink
from stoatgw.emulator.world.initial_placement import place_initial_sessions
from stoatgw.emulator.world.network import NetworkModel
from stoatgw.emulator.world.population import draw_population
from stoatgw.emulator.world.proxy_settings import proxy_zone
from stoatgw.emulator.world.scenario import Scenario, ServerKind
from stoatgw.emulator.world.scheduler import Scheduler
from stoatgw.emulator.world.server_model import HeldConnection, ServerLifecycle, ServerModel
from stoatgw.emulator.world.server_properties import ServerIdentity, draw_server_properties
from stoatgw.emulator.world.service_accounting import ServiceAccounting
from stoatgw.emulator.world.streams import RandomStreams, UniformSource
from stoatgw.emulator.world.world_driver import WorldDriver

REPORT_PHASES = 97  # servers refresh their reports at this number of different offsets
MIN_PLANNED_KINDS = 16  # length of the plan for small fleets, to which servers may be added


class WorldState:
    """The world of one run. A driver calls `start`, and then applies the changes that the world requests.

    Attributes:
        start_us: When the run starts; set again by `begin_measurement`.
        end_us: When the run ends.
        servers: All servers that were ever created, by name.
        initial_servers: The names of the servers at the start.
        is_partitioned: Whether zones cannot reach each other.
    """

    def __init__(
        self, scenario: Scenario, seed: int, scheduler: Scheduler, sink: EventSink, has_server_accounting: bool = True
    ) -> None:
        """Create the servers and draw the clients.

        Args:
            scenario: The scenario of the run.
            seed: The seed of all random streams.
            scheduler: The clock and timers of the driver.
            sink: Receives the event log.
            has_server_accounting: Whether the server models record service; with sockets the clients measure it.
        """
        self.scenario = scenario
        self.scheduler = scheduler
        self.sink = sink
        self.streams = RandomStreams(seed)
        self.start_us = scheduler.now_us()
        self.length_us = int(scenario.length_s * 1e6)
        self.end_us = self.start_us + self.length_us
        self.latency_objectives_s = tuple(each.aim_ms / 1e3 for each in scenario.clients.classes)
        self.accounting = self._new_accounting()
        self._server_accounting = self.accounting if has_server_accounting else self._new_accounting()
        self.proxy_names = [f"n{index}" for index in range(scenario.proxies.count)]
        self.servers: dict[str, ServerModel] = {}
        self._kinds = plan_kinds(scenario.fleet.kinds, scenario.fleet.servers)
        for _ in range(scenario.fleet.servers):
            self._create_server()
        self.initial_servers = list(self.servers)
        capacity_units = sum(server.properties.capacity_units for server in self.servers.values())
        self.population = draw_population(scenario, capacity_units, self.streams)
        self.network = NetworkModel(scenario, self.streams)
        self.discovery = EndpointPublisher(
            scenario, scheduler, self.streams, list(self.servers.values()), self._notify_driver
        )
        self.is_partitioned = False
        self._driver: WorldDriver | None = None

    def _new_accounting(self) -> ServiceAccounting:
        weights = tuple(each.worth for each in self.scenario.clients.classes)
        return ServiceAccounting(self.start_us, self.scenario.length_s, weights)

    # The run.

    @property
    def driver(self) -> WorldDriver:
        """The driver of the run.

        Raises:
            RuntimeError: `start` has not been called.
        """
        if self._driver is None:
            raise RuntimeError("the world model has not been started")
        return self._driver

    def start(self, driver: WorldDriver) -> None:
        """Attach the driver, and schedule the servers' load reports."""
        self._driver = driver
        for server in self.servers.values():
            self._schedule_reports(server)

    def begin_measurement(self) -> None:
        """Set the start of the run to now: arrivals, faults and service are relative to it."""
        self.start_us = self.scheduler.now_us()
        self.end_us = self.start_us + self.length_us
        self.accounting.start_at(self.start_us)
        population = self.population
        self.accounting.record_demand(
            population.request_class, population.arrival_us + self.start_us, population.departure_us + self.start_us
        )

    def log(
        self,
        kind: EventKind,
        proxy: str = "",
        request_id: str = "",
        server: str = "",
        number: int = 0,
        detail: str = "",
    ) -> None:
        """Record an event at the current time."""
        time_us = self.scheduler.now_us() - self.start_us
        self.sink.record(Event(time_us, kind, proxy, request_id, server, number, detail))

    def log_notified(self, proxy: int, entries: list[EndpointEntry]) -> None:
        """Record the entries that a proxy was notified of; a server that was warm before the run has 0 as its start."""
        for entry in entries:
            self.log(
                EventKind.ENDPOINT_NOTIFIED,
                self.proxy_names[proxy],
                server=entry.server,
                number=entry.started_us - self.start_us if entry.started_us else 0,
                detail=entry.lifecycle,
            )

    # Network.

    @property
    def client_latency_us(self) -> int:
        """One-way latency between a client and a proxy."""
        return self.network.client_latency_us

    def one_way_latency_us(self, zone: int, server: ServerModel) -> int:
        """Return the one-way latency between a proxy's zone and a server, without jitter."""
        return self.network.latency_us(zone, server.properties.zone)

    def is_unreachable(self, zone: int, server: ServerModel) -> bool:
        """Return whether a server cannot be reached from a proxy's zone."""
        is_cut_off = self.is_partitioned and zone != server.properties.zone
        return server.lifecycle is ServerLifecycle.VANISHED or is_cut_off

    def proxy_zone(self, proxy: int) -> int:
        """Return the zone of a proxy."""
        return proxy_zone(self.scenario, proxy)

    # Servers.

    def _create_server(self) -> ServerModel:
        number = len(self.servers)
        fleet = self.scenario.fleet
        identity = ServerIdentity(
            name=f"s-{number:04d}", zone=number % len(fleet.zones), kind=self._kinds[number % len(self._kinds)]
        )
        objective_s = min(self.latency_objectives_s)
        server = ServerModel(
            properties=draw_server_properties(
                identity, fleet, objective_s, self.streams.create_generator("machine", number)
            ),
            latency_objectives_s=self.latency_objectives_s,
            policy_settings=self.scenario.module,
            accounting=self._server_accounting,
            random=self.streams.create_generator("server", number),
            now_us=self.scheduler.now_us(),
        )
        self.servers[identity.name] = server
        server.on_collapse = partial(self._collapse, server)
        return server

    def _start_cold(self, server: ServerModel) -> None:
        server.start_cold(self.scheduler.now_us())
        properties = server.properties
        self.log(
            EventKind.SERVER_STARTED,
            server=server.name,
            number=round(properties.capacity_units * 1000),
            detail=f"{properties.initial_warm_up_fraction:.6f},{properties.warm_up_us}",
        )

    def _schedule_reports(self, server: ServerModel) -> None:
        phase = server.properties.max_connections % REPORT_PHASES
        wait_us = server.properties.report_interval_us * phase // REPORT_PHASES
        self.scheduler.call_at(self.scheduler.now_us() + wait_us + 1, partial(self._refresh_report, server))

    def _refresh_report(self, server: ServerModel) -> None:
        now_us = self.scheduler.now_us()
        dropped = server.refresh_report(now_us)
        if dropped:
            self.driver.on_connections_dropped(server, dropped)
        if now_us < self.end_us:
            next_us = now_us + server.properties.report_interval_us
            self.scheduler.call_at(next_us, partial(self._refresh_report, server))

    def serving_servers(self) -> list[ServerModel]:
        """Return all servers that are up and not draining."""
        return [server for server in self.servers.values() if server.lifecycle is ServerLifecycle.SERVING]

    def _collapse(self, server: ServerModel) -> None:
        if server.lifecycle is ServerLifecycle.SERVING:
            self.log(EventKind.SERVER_COLLAPSED, server=server.name)
            self.kill_server(server)

    def drain_server(self, server: ServerModel) -> None:
        """Drain a server: it migrates all sessions immediately, rejects new ones, and ends after a delay."""
        if server.lifecycle is not ServerLifecycle.SERVING:
            return
        now_us = self.scheduler.now_us()
        server.advance_to(now_us)
        server.lifecycle = ServerLifecycle.DRAINING
        self.discovery.publish_change(server)
        self.driver.on_server_draining(server)
        source = UniformSource(self.streams.create_generator("drain", int(server.name.removeprefix("s-"))))
        end_us = now_us + int(source.between(*self.scenario.fleet.drain_s) * 1e6)
        self.scheduler.call_at(end_us, partial(self.kill_server, server))

    def kill_server(self, server: ServerModel) -> None:
        """End a server process: its connections are reset, and new ones are refused."""
        if server.lifecycle.is_dead:
            return
        self._mark_dead(server, ServerLifecycle.GONE)
        self.driver.on_server_stopped(server)
        self.discovery.publish_change(server)

    def vanish_server(self, server: ServerModel) -> None:
        """Remove a server's machine from the network."""
        if server.lifecycle.is_dead:
            return
        self._mark_dead(server, ServerLifecycle.VANISHED)
        self.driver.on_server_vanished(server)
        self.discovery.publish_change(server)

    def _mark_dead(self, server: ServerModel, lifecycle: ServerLifecycle) -> None:
        server.advance_to(self.scheduler.now_us())
        server.lifecycle = lifecycle
        self.log(EventKind.SERVER_UNRESPONSIVE, server=server.name)

    def restart_server(self, server: ServerModel) -> None:
        """Restart a process that has ended, in slow start."""
        if server.lifecycle is ServerLifecycle.GONE:
            self._start_cold(server)
            self.log(EventKind.SERVER_RESPONSIVE, server=server.name)
            self.driver.on_server_added(server)
            self.discovery.publish_change(server)

    def add_server(self) -> None:
        """Add a new server to the fleet, in slow start."""
        server = self._create_server()
        self._start_cold(server)
        self._schedule_reports(server)
        self.driver.on_server_added(server)
        self.discovery.publish_change(server)

    def _notify_driver(self, proxy: int, entries: list[EndpointEntry], is_snapshot: bool) -> None:
        self.driver.publish_endpoints(proxy, entries, is_snapshot)

    # Sessions at the start.

    def initial_placements(self) -> list[str]:
        """Return the server of each client that has a session at the start."""
        return place_initial_sessions(self.population, self.servers, self.scenario.fleet.group_cost)


def drop_connections(connections: list[HeldConnection]) -> None:
    """Notify the owner of each connection that its server has closed it."""
    for connection in connections:
        if connection.on_dropped is not None:
            connection.on_dropped()


def plan_kinds(kinds: tuple[ServerKind, ...], server_count: int) -> list[int]:
    """Order the kinds so that each prefix of the fleet has approximately the configured shares."""
    counts = [0] * len(kinds)
    plan = []
    for planned in range(1, max(server_count, MIN_PLANNED_KINDS) + 1):
        deficits = [kind.share * planned - count for kind, count in zip(kinds, counts, strict=True)]
        selected = deficits.index(max(deficits))  # the first if several are equal
        counts[selected] += 1
        plan.append(selected)
    return plan
