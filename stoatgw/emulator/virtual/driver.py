"""The virtual driver: the real owner and module of each proxy, in virtual time, before the modelled world.

Only what touches sockets is modelled: doors (sessions), the fleet as a proxy sees it, the front and the clients.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial

import numpy as np

from stoatgw.backends.backend import BackendRegistry, ListedEndpoint
from stoatgw.clock import Clock
from stoatgw.config.settings import flatten, read_settings
from stoatgw.controller.controller import Controller
from stoatgw.controller.graceful_shutdown import plan_shutdown
from stoatgw.controller.messages import EndpointsUpdated, HealthCheckCompleted, SessionMetricObserved, SessionRestored
from stoatgw.controller.policy import MakePolicy
from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import (
    AttemptStatus,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    Lifecycle,
    SessionMetricKind,
    Settings,
)
from stoatgw.emulator.virtual.event_loop import ProcessEventLoop, VirtualScheduler
from stoatgw.emulator.virtual.session_model import Session
from stoatgw.emulator.world.client_population import ClientPopulation
from stoatgw.emulator.world.endpoint_publication import EndpointEntry
from stoatgw.emulator.world.events import EventKind, EventSink
from stoatgw.emulator.world.faults import schedule_faults
from stoatgw.emulator.world.proxy_settings import proxy_settings
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.server_model import HeldConnection, ServerLifecycle, ServerModel
from stoatgw.emulator.world.streams import UniformSource
from stoatgw.emulator.world.world_state import WorldState
from stoatgw.rebalance.rebalancer import Rebalancer
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

START_US = 1_700_000_000_000_000  # the virtual clock's first time: no run depends on the day it is made
SETTLE_US = 4_000_000  # a run goes on so long after its last arrival, until all is answered
WATCH_US = 1_000_000  # delays are told once in so long, as the listener does
DELAY_PART = 3
PROBE_LIMIT_US = 500_000
STATES = {"SERVING": Lifecycle.ACTIVE, "DRAINING": Lifecycle.DRAINING, "DELETED": Lifecycle.REMOVED}
NEWCOMERS_US = (200_000, 400_000)  # after SIGTERM the front still sends newcomers for so long
DRAIN_LOOK_US = 20_000
WATCH_AGAIN_US = 100_000  # a proxy that lost its watch has it again so soon
ADMIT_US = 100_000  # the front finds a proxy ready so long after its start

PolicyBuilder = Callable[[WorldState], MakePolicy]


def balancer_policy(_: WorldState) -> MakePolicy:
    """The project's own module, as in service."""
    return Balancer


class VirtualClock(Clock):
    def __init__(self, kernel: VirtualScheduler) -> None:
        self._kernel = kernel

    def now_us(self) -> int:
        return self._kernel.now_us()


class SilentLog(EventLog):
    """Faults of the program go into the run's log; all else is dropped."""

    def __init__(self, name: str, world: WorldState) -> None:
        super().__init__(name)
        self._node, self._world = name, world

    def event(self, event: str, **fields: object) -> None:
        if event in ("decision_crashed", "recovery_failed"):
            self._world.log(EventKind.PROGRAM_FAULT, self._node, detail=f"{event}: {str(fields.get('error'))[:200]}")


@dataclass(eq=False)
class Proxy:
    """One modelled proxy process; a restart makes a new one under the same name."""

    index: int
    name: str
    zone: int
    loop: ProcessEventLoop
    controller: Controller
    backends: BackendRegistry
    settings: Settings
    random: UniformSource
    counters: Counters
    task: asyncio.Task[None] | None = None
    is_draining: bool = False
    has_ended: bool = False
    sessions: dict[str, Session] = field(default_factory=dict)
    established: dict[str, dict[str, Session]] = field(default_factory=dict)  # by server
    pending_health_checks: set[str] = field(default_factory=set)
    slow_servers: set[str] = field(default_factory=set)


class VirtualDriver(ClientPopulation[Session]):
    """One virtual run: `World(...).run()` plays it; what it shows is in `world` and the figures here."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        sink: EventSink,
        policy: PolicyBuilder = balancer_policy,
        shuffle: int | None = None,
    ) -> None:
        ties = None if shuffle is None else np.random.default_rng(shuffle)
        self.scheduler = VirtualScheduler(START_US, ties)
        self.clock = VirtualClock(self.scheduler)
        self.world = WorldState(scenario, seed, self.scheduler, sink)
        self._make = policy(self.world)
        self._starts = [0] * len(self.world.proxy_names)
        self.proxies: list[Proxy] = []
        super().__init__(self.world)

    # The run.

    def run(self) -> None:
        world, kernel = self.world, self.scheduler
        world.start(self)
        world.begin_measurement()
        for index in range(len(world.proxy_names)):
            self.proxies.append(self._start_proxy(index))
        self._stand_all()
        schedule_faults(world)
        self.schedule_arrivals()
        kernel.run_until(world.end_us)
        for machine in world.servers.values():
            machine.advance_to(world.end_us)
        kernel.run_until(world.end_us + SETTLE_US)
        for proxy in self.proxies:
            if not proxy.has_ended:
                held = max(
                    0,
                    proxy.controller.open_requests
                    - sum(session.is_known_to_controller for session in proxy.sessions.values()),
                )
                world.log(EventKind.REQUESTS_LEAKED, proxy.name, number=held)
                for fault in proxy.loop.unhandled_errors:
                    world.log(EventKind.PROGRAM_FAULT, proxy.name, detail=str(fault.get("exception", fault))[:200])

    def _start_proxy(self, index: int) -> Proxy:
        world, name = self.world, self.world.proxy_names[index]
        loop, counters = ProcessEventLoop(self.scheduler), Counters()  # type: ignore[abstract]
        settings = read_settings(flatten(proxy_settings(world.scenario, index)))
        starts, self._starts[index] = self._starts[index], self._starts[index] + 1
        seed = world.streams.number(f"module {index}", starts)
        limits = world.scenario.operators.rebalance
        mover = Rebalancer(limits, settings, seed) if limits.enabled else None
        owner = Controller(settings, seed, self.clock, SilentLog(name, world), counters, self._make)
        draws = UniformSource(world.streams.of(f"proxy {index}", starts))
        proxy = Proxy(index, name, world.proxy_zone(index), loop, owner, BackendRegistry(), settings, draws, counters)
        world.log(EventKind.PROXY_STATE_CHANGED, name, detail="up")
        known = list(world.discovery.known_endpoints[index].values())
        loop.deliver(lambda: owner.start(VirtualGateway(self, proxy), mover))
        self._told(proxy, known, whole=True)
        loop.deliver(partial(self._begin_owner, proxy))
        if proxy.settings.profiles and self.world.scenario.module.tells_delay:
            self.scheduler.call_at(self.scheduler.now_us() + WATCH_US + 1013 * index, partial(self._watch, proxy))
        return proxy

    def _begin_owner(self, proxy: Proxy) -> None:
        proxy.task = proxy.loop.create_task(proxy.controller.run())

    def _stand_all(self) -> None:
        """Connections that stand at the start are handed to the proxies, as a restart of all would."""
        population, zones = self.world.population, len(self.world.scenario.fleet.zones)
        for index, server in enumerate(self.world.initial_placements()):
            near = [proxy for proxy in self.proxies if proxy.zone == population.zone[index] % zones]
            proxy = (near or self.proxies)[index % len(near or self.proxies)]
            client = self.clients[index]
            session = Session(self, proxy, client, client.next_request_id(), self.scheduler.now_us())
            self.register_established(session)
            session.start_established(self.world.servers[server])
            proxy.loop.deliver(partial(proxy.controller.post, SessionRestored(session.request_state, server)))

    # Clients, as the crowd asks for them.

    def open_session(self, index: int, proxy: int) -> Session | None:
        """A client connects and, once the connection is up, sends its line: `d` counts from then."""
        there, now_us, way_us = self.proxies[proxy], self.scheduler.now_us(), self.world.client_latency_us
        if there.has_ended:
            return None
        client = self.clients[index]
        session = Session(self, there, client, client.next_request_id(), now_us + 2 * way_us)
        self.scheduler.call_at(now_us + 3 * way_us, partial(there.loop.deliver, session.receive_request))
        self.scheduler.call_at(session.requested_us + session.wait_us, partial(self.time_out, session))
        return session

    def disconnect_client(self, session: Session) -> None:
        if not session.answered:
            self.world.log(EventKind.CLIENT_DISCONNECTED, session.proxy.name, session.name)
        way_us = self.world.client_latency_us
        self.scheduler.call_at(
            self.scheduler.now_us() + way_us, partial(session.proxy.loop.deliver, session.client_disconnected)
        )

    def finish_session(self, session: Session) -> None:
        session.close_by_client()

    # Servers, as the world tells of them.

    def sessions_at_server(self, server: str) -> list[Session]:
        return [session for proxy in self.proxies for session in proxy.established.get(server, {}).values()]

    def on_server_draining(self, machine: ServerModel) -> None:
        for session in self.sessions_at_server(machine.properties.name):
            session.server_ended("MOVE", AttemptStatus.REVOKED)

    def on_server_stopped(self, machine: ServerModel) -> None:
        for proxy in self.proxies:
            for session in list(proxy.sessions.values()):
                if session.server is machine:
                    session.server_ended("reset", AttemptStatus.DROPPED)

    def on_server_added(self, machine: ServerModel) -> None:
        pass  # whoever is told of it reaches it

    def on_connections_dropped(self, machine: ServerModel, connections: list[HeldConnection]) -> None:
        for held in connections:
            if held.on_dropped is not None:
                held.on_dropped()

    def on_server_vanished(self, machine: ServerModel) -> None:
        for proxy in self.proxies:
            self._silent(proxy, machine)

    def _silent(self, proxy: Proxy, machine: ServerModel) -> None:
        for session in proxy.established.get(machine.properties.name, {}).values():
            session.lose_server()

    def set_zones_partitioned(self, cut: bool) -> None:
        now_us = self.scheduler.now_us()
        for proxy in self.proxies:
            for machine in self.world.servers.values():
                if machine.properties.zone != proxy.zone and machine.properties.name in proxy.established:
                    for session in proxy.established[machine.properties.name].values():
                        machine.set_reachable(now_us, session.name, not cut and not proxy.loop.is_frozen)
                    if cut:
                        self._silent(proxy, machine)

    def publish_endpoints(self, proxy: int, rows: list[EndpointEntry], whole: bool) -> None:
        there = self.proxies[proxy]
        if not there.has_ended:
            there.loop.deliver(lambda: self._told(there, rows, whole))

    def corrupt_endpoint_stream(self, proxy: int) -> None:
        """What cannot be read changes nothing; the watch begins anew, with the whole list."""
        self.scheduler.call_at(
            self.scheduler.now_us() + WATCH_AGAIN_US, partial(self.world.discovery.publish_snapshot, proxy)
        )

    def _told(self, proxy: Proxy, rows: list[EndpointEntry], whole: bool) -> None:
        entries = _entries(rows)
        for row in rows:
            started_us = row.started_us - self.world.start_us if row.started_us else 0
            self.world.log(
                EventKind.ENDPOINT_NOTIFIED, proxy.name, server=row.server, number=started_us, detail=row.lifecycle
            )
        listed = [ListedEndpoint(entry, entry.name, 0) for entry in entries]
        proxy.backends.update(listed, is_snapshot=whole, now_us=self.scheduler.now_us())
        kind = EndpointUpdateKind.SNAPSHOT if whole else EndpointUpdateKind.DELTA
        proxy.controller.post(EndpointsUpdated(EndpointUpdate(kind, 0, entries)))

    # Proxies, as the world tells of them.

    def restart_proxy(self, proxy: int) -> None:
        """SIGTERM, the drain, the end, and a new start some time later."""
        there, now_us, world = self.proxies[proxy], self.scheduler.now_us(), self.world
        if there.has_ended:
            return
        world.log(EventKind.PROXY_STATE_CHANGED, there.name, detail="draining")
        there.is_draining = True
        end = plan_shutdown(there.settings, handed_over=False)
        there.loop.deliver(partial(there.controller.post, end.drain))
        self.scheduler.call_at(now_us + int(self.front_random.between(*NEWCOMERS_US)), partial(self._shut, proxy))
        self.scheduler.call_at(
            now_us + end.min_duration_us, partial(self._look_for_end, there, now_us + end.max_duration_us)
        )

    def _shut(self, proxy: int) -> None:
        self.is_admitting[proxy] = False

    def _look_for_end(self, proxy: Proxy, until_us: int) -> None:
        now_us = self.scheduler.now_us()
        if proxy.has_ended:
            return
        if proxy.sessions and now_us < until_us:
            self.scheduler.call_at(now_us + DRAIN_LOOK_US, partial(self._look_for_end, proxy, until_us))
            return
        back_us = int(self.front_random.between(*self.world.scenario.proxies.restart_s) * 1e6)
        self._end_proxy(proxy, "stopped", back_us)

    def kill_proxy(self, proxy: int, back_us: int) -> None:
        there = self.proxies[proxy]
        if there.has_ended:
            return
        self._end_proxy(there, "killed", back_us)
        wait_us = int(self.front_random.between(*self.world.scenario.proxies.notice_s) * 1e6)
        self.scheduler.call_at(self.scheduler.now_us() + wait_us, lambda: self._notice(proxy))

    def _notice(self, proxy: int) -> None:
        """The front notices a dead proxy, unless it is back by then."""
        if self.proxies[proxy].has_ended:
            self.is_admitting[proxy] = False

    def _end_proxy(self, proxy: Proxy, how: str, back_us: int) -> None:
        proxy.has_ended = True
        proxy.loop.kill()
        for session in list(proxy.sessions.values()):
            session.proxy_ended(how)
        self.world.log(EventKind.PROXY_STATE_CHANGED, proxy.name, detail=how)
        self.scheduler.call_at(self.scheduler.now_us() + back_us, partial(self._restart, proxy.index))

    def _restart(self, proxy: int) -> None:
        self.proxies[proxy] = self._start_proxy(proxy)
        self.scheduler.call_at(self.scheduler.now_us() + ADMIT_US, partial(self._admit, proxy))

    def _admit(self, proxy: int) -> None:
        self.is_admitting[proxy] = not self.proxies[proxy].has_ended

    def freeze_proxy(self, proxy: int, for_us: int) -> None:
        there = self.proxies[proxy]
        if there.has_ended or there.loop.is_frozen:
            return
        self.world.log(EventKind.PROXY_STATE_CHANGED, there.name, detail="frozen")
        there.loop.freeze()
        self._live(there, False)
        self.scheduler.call_at(self.scheduler.now_us() + for_us, partial(self._thaw, there))

    def _thaw(self, proxy: Proxy) -> None:
        if not proxy.has_ended:
            self.world.log(EventKind.PROXY_STATE_CHANGED, proxy.name, detail="thawed")
            proxy.loop.thaw()
            self._live(proxy, True)

    def _live(self, proxy: Proxy, live: bool) -> None:
        now_us = self.scheduler.now_us()
        for server, sessions in proxy.established.items():
            machine = self.world.servers[server]
            for name in sessions:
                machine.set_reachable(now_us, name, live and not self.world.is_unreachable(proxy.zone, machine))

    # What a proxy's listener watches.

    def _watch(self, proxy: Proxy) -> None:
        if proxy.has_ended:
            return
        proxy.loop.deliver(partial(self._tell_delays, proxy))
        if self.scheduler.now_us() < self.world.end_us:
            self.scheduler.call_at(self.scheduler.now_us() + WATCH_US, partial(self._watch, proxy))

    def _tell_delays(self, proxy: Proxy) -> None:
        now_us, tell_ms = self.scheduler.now_us(), min(self.world.latency_objectives_s) * 1e3 / DELAY_PART
        every_s, late = self.world.scenario.clients.line_every_s, set()
        for server, session in self._each_server(proxy):
            machine = self.world.servers[server]
            if machine.lifecycle is not ServerLifecycle.SERVING or self.world.is_unreachable(proxy.zone, machine):
                continue
            # Some line was answered within the last second, unless all their clients were quiet.
            quiet = max(0.0, 1.0 - 1.0 / every_s) ** len(proxy.established[server])
            if proxy.random.next() < quiet:
                continue
            machine.advance_to(now_us)
            delay_ms = machine.draw_message_latency_s() * 1e3
            if delay_ms > tell_ms:
                late.add(server)
            if delay_ms > tell_ms or server in proxy.slow_servers:
                proxy.controller.post(SessionMetricObserved(session.request_state, SessionMetricKind.DELAY, delay_ms))
        proxy.slow_servers = late

    def _each_server(self, proxy: Proxy) -> Iterator[tuple[str, Session]]:
        for server, sessions in proxy.established.items():
            for session in sessions.values():
                yield server, session
                break


def _entries(rows: Iterable[EndpointEntry]) -> tuple[Endpoint, ...]:
    return tuple(
        Endpoint(row.server, STATES[row.lifecycle], row.zone, 0, row.server_kind, 1.0, row.started_us) for row in rows
    )


class VirtualGateway:
    """The fleet as one proxy's owner sees it."""

    def __init__(self, driver: VirtualDriver, proxy: Proxy) -> None:
        self._driver, self._proxy = driver, proxy

    def check_health(self, server: str) -> None:
        driver, proxy, world = self._driver, self._proxy, self._driver.world
        backend, machine = proxy.backends.get(server), world.servers.get(server)
        if backend is None or machine is None or server in proxy.pending_health_checks:
            return
        proxy.pending_health_checks.add(server)
        driver.counts["probes"] += 1
        now_us, kernel = driver.scheduler.now_us(), driver.scheduler
        way_us = driver.world.one_way_latency_us(proxy.zone, machine)
        if world.is_unreachable(proxy.zone, machine):
            self._end(machine, AttemptStatus.DIAL_FAILED, now_us, now_us + PROBE_LIMIT_US // 2)
        elif machine.lifecycle is ServerLifecycle.GONE:
            self._end(machine, AttemptStatus.DIAL_FAILED, now_us, now_us + 2 * way_us)
        else:
            kernel.call_at(now_us + way_us, partial(self._at_server, machine, now_us, way_us))

    def _at_server(self, machine: ServerModel, asked_us: int, way_us: int) -> None:
        now_us = self._driver.scheduler.now_us()
        if machine.lifecycle is ServerLifecycle.GONE or self._driver.world.is_unreachable(self._proxy.zone, machine):
            self._end(machine, AttemptStatus.DROPPED, asked_us, now_us + way_us)
            return
        answer_us = machine.handle_health_check(now_us) + way_us
        if answer_us - asked_us > PROBE_LIMIT_US:
            self._end(machine, AttemptStatus.EXPIRED, asked_us, asked_us + PROBE_LIMIT_US)
            return
        fields = machine.report
        names = {"errors_per_s": "eps", "outstanding": "inflight", "utilization": "util", "x0": "x0"}
        row = tuple(fields.get(names[column]) for column in self._proxy.settings.report_columns)
        self._end(machine, AttemptStatus.DELIVERED, asked_us, answer_us, row)

    def _end(
        self, machine: ServerModel, status: AttemptStatus, asked_us: int, at_us: int, row: tuple[float | None, ...] = ()
    ) -> None:
        proxy = self._proxy

        def told() -> None:
            proxy.pending_health_checks.discard(machine.properties.name)
            proxy.controller.post(HealthCheckCompleted(machine.properties.name, status, at_us - asked_us, row))

        self._driver.scheduler.call_at(at_us, partial(proxy.loop.deliver, told))

    def close_idle(self, server: str) -> None:
        pass  # kept probe connections are not modelled

    def fetch_endpoints(self) -> None:
        proxy, world = self._proxy, self._driver.world
        rows = world.discovery.known_endpoints[proxy.index].values()
        entries = _entries(rows)
        proxy.controller.post(EndpointsUpdated(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 0, entries)))
