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
from stoatgw.emulator.virtual.kernel import Kernel, ProcessLoop
from stoatgw.emulator.virtual.session_model import Session
from stoatgw.emulator.world import faults
from stoatgw.emulator.world.client_population import ClientPopulation
from stoatgw.emulator.world.events import EventKind, EventSink
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.server_model import Held, ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import EndpointEntry, Uniforms, WorldState
from stoatgw.rebalance.rebalancer import Rebalancer
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

START_US = 1_700_000_000_000_000  # the virtual clock's first time: no run depends on the day it is made
AFTER_US = 4_000_000  # a run goes on so long after its last arrival, until all is answered
WATCH_US = 1_000_000  # delays are told once in so long, as the listener does
DELAY_PART = 3
PROBE_LIMIT_US = 500_000
STATES = {"SERVING": Lifecycle.ACTIVE, "DRAINING": Lifecycle.DRAINING, "DELETED": Lifecycle.REMOVED}
NEWCOMERS_US = (200_000, 400_000)  # after SIGTERM the front still sends newcomers for so long
DRAIN_LOOK_US = 20_000
WATCH_AGAIN_US = 100_000  # a proxy that lost its watch has it again so soon
ADMIT_US = 100_000  # the front finds a proxy ready so long after its start

Policy = Callable[[WorldState], MakePolicy]


def module(_: WorldState) -> MakePolicy:
    """The project's own module, as in service."""
    return Balancer


class VirtualClock(Clock):
    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def now_us(self) -> int:
        return self._kernel.now_us()


class SilentLog(EventLog):
    """Faults of the program go into the run's log; all else is dropped."""

    def __init__(self, name: str, realm: WorldState) -> None:
        super().__init__(name)
        self._node, self._realm = name, realm

    def event(self, event: str, **fields: object) -> None:
        if event in ("decision_crashed", "recovery_failed"):
            self._realm.log(EventKind.NOTE, self._node, detail=f"{event}: {str(fields.get('error'))[:200]}")


@dataclass(eq=False)
class Proxy:
    """One modelled proxy process; a restart makes a new one under the same name."""

    index: int
    name: str
    zone: int
    loop: ProcessLoop
    owner: Controller
    backends: BackendRegistry
    settings: Settings
    draws: Uniforms
    counters: Counters
    task: asyncio.Task[None] | None = None
    draining: bool = False
    ended: bool = False
    sessions: dict[str, Session] = field(default_factory=dict)
    standing: dict[str, dict[str, Session]] = field(default_factory=dict)  # by server
    probing: set[str] = field(default_factory=set)
    late: set[str] = field(default_factory=set)


class World(ClientPopulation[Session]):
    """One virtual run: `World(...).run()` plays it; what it shows is in `realm` and the figures here."""

    def __init__(
        self, scenario: Scenario, seed: int, sink: EventSink, policy: Policy = module, shuffle: int | None = None
    ) -> None:
        ties = None if shuffle is None else np.random.default_rng(shuffle)
        self.kernel = Kernel(START_US, ties)
        self.clock = VirtualClock(self.kernel)
        self.realm = WorldState(scenario, seed, self.kernel, sink)
        self._make = policy(self.realm)
        self._starts = [0] * len(self.realm.proxies)
        self.proxies: list[Proxy] = []
        super().__init__(self.realm)

    # The run.

    def run(self) -> None:
        realm, kernel = self.realm, self.kernel
        realm.begin(self)
        realm.open()
        for index in range(len(realm.proxies)):
            self.proxies.append(self._start_proxy(index))
        self._stand_all()
        faults.schedule(realm)
        self.schedule_arrivals()
        kernel.run(realm.end_us)
        for machine in realm.machines.values():
            machine.advance(realm.end_us)
        kernel.run(realm.end_us + AFTER_US)
        for proxy in self.proxies:
            if not proxy.ended:
                held = max(
                    0,
                    proxy.owner.open_requests
                    - sum(session.is_known_to_controller for session in proxy.sessions.values()),
                )
                realm.log(EventKind.HELD, proxy.name, number=held)
                for fault in proxy.loop.faults:
                    realm.log(EventKind.NOTE, proxy.name, detail=str(fault.get("exception", fault))[:200])

    def _start_proxy(self, index: int) -> Proxy:
        realm, name = self.realm, self.realm.proxies[index]
        loop, counters = ProcessLoop(self.kernel), Counters()  # type: ignore[abstract]
        settings = read_settings(flatten(realm.settings(index)))
        starts, self._starts[index] = self._starts[index], self._starts[index] + 1
        seed = realm.streams.number(f"module {index}", starts)
        limits = realm.scenario.operators.rebalance
        mover = Rebalancer(limits, settings, seed) if limits.enabled else None
        owner = Controller(settings, seed, self.clock, SilentLog(name, realm), counters, self._make)
        draws = Uniforms(realm.streams.of(f"proxy {index}", starts))
        proxy = Proxy(index, name, realm.proxy_zone(index), loop, owner, BackendRegistry(), settings, draws, counters)
        realm.log(EventKind.PROXY, name, detail="up")
        known = list(realm.known[index].values())
        loop.deliver(lambda: owner.start(VirtualGateway(self, proxy), mover))
        self._told(proxy, known, whole=True)
        loop.deliver(partial(self._begin_owner, proxy))
        if proxy.settings.profiles and self.realm.scenario.module.tells_delay:
            self.kernel.at(self.kernel.now_us() + WATCH_US + 1013 * index, partial(self._watch, proxy))
        return proxy

    def _begin_owner(self, proxy: Proxy) -> None:
        proxy.task = proxy.loop.create_task(proxy.owner.run())

    def _stand_all(self) -> None:
        """Connections that stand at the start are handed to the proxies, as a restart of all would."""
        population, zones = self.realm.population, len(self.realm.scenario.fleet.zones)
        for index, server in enumerate(self.realm.standing_places()):
            near = [proxy for proxy in self.proxies if proxy.zone == population.zone[index] % zones]
            proxy = (near or self.proxies)[index % len(near or self.proxies)]
            client = self.clients[index]
            session = Session(self, proxy, client, client.next_id(), self.kernel.now_us())
            self.stands(session)
            session.start_established(self.realm.machines[server])
            proxy.loop.deliver(partial(proxy.owner.post, SessionRestored(session.request_state, server)))

    # Clients, as the crowd asks for them.

    def open_session(self, index: int, proxy: int) -> Session | None:
        """A client connects and, once the connection is up, sends its line: `d` counts from then."""
        there, now_us, way_us = self.proxies[proxy], self.kernel.now_us(), self.realm.client_way_us
        if there.ended:
            return None
        client = self.clients[index]
        session = Session(self, there, client, client.next_id(), now_us + 2 * way_us)
        self.kernel.at(now_us + 3 * way_us, partial(there.loop.deliver, session.receive_request))
        self.kernel.at(session.asked_us + session.wait_us, partial(self.give_up, session))
        return session

    def client_leaves(self, session: Session) -> None:
        if not session.answered:
            self.realm.log(EventKind.GONE, session.proxy.name, session.name)
        way_us = self.realm.client_way_us
        self.kernel.at(self.kernel.now_us() + way_us, partial(session.proxy.loop.deliver, session.client_disconnected))

    def quits(self, session: Session) -> None:
        session.close_by_client()

    # Servers, as the realm tells of them.

    def sessions_at(self, server: str) -> list[Session]:
        return [session for proxy in self.proxies for session in proxy.standing.get(server, {}).values()]

    def sent_away(self, machine: ServerModel) -> None:
        for session in self.sessions_at(machine.draw.name):
            session.server_ended("MOVE", AttemptStatus.REVOKED)

    def died(self, machine: ServerModel) -> None:
        for proxy in self.proxies:
            for session in list(proxy.sessions.values()):
                if session.server is machine:
                    session.server_ended("reset", AttemptStatus.DROPPED)

    def grew(self, machine: ServerModel) -> None:
        pass  # whoever is told of it reaches it

    def dropped(self, machine: ServerModel, connections: list[Held]) -> None:
        for held in connections:
            if held.on_drop is not None:
                held.on_drop()

    def vanished(self, machine: ServerModel) -> None:
        for proxy in self.proxies:
            self._silent(proxy, machine)

    def _silent(self, proxy: Proxy, machine: ServerModel) -> None:
        for session in proxy.standing.get(machine.draw.name, {}).values():
            session.lose_server()

    def cut_zones(self, cut: bool) -> None:
        now_us = self.kernel.now_us()
        for proxy in self.proxies:
            for machine in self.realm.machines.values():
                if machine.draw.zone != proxy.zone and machine.draw.name in proxy.standing:
                    for session in proxy.standing[machine.draw.name].values():
                        machine.set_live(now_us, session.name, not cut and not proxy.loop.frozen)
                    if cut:
                        self._silent(proxy, machine)

    def tell(self, proxy: int, rows: list[EndpointEntry], whole: bool) -> None:
        there = self.proxies[proxy]
        if not there.ended:
            there.loop.deliver(lambda: self._told(there, rows, whole))

    def garble(self, proxy: int) -> None:
        """What cannot be read changes nothing; the watch begins anew, with the whole list."""
        self.kernel.at(self.kernel.now_us() + WATCH_AGAIN_US, partial(self.realm.tell_whole, proxy))

    def _told(self, proxy: Proxy, rows: list[EndpointEntry], whole: bool) -> None:
        entries = _entries(rows)
        for row in rows:
            started_us = row.started_us - self.realm.start_us if row.started_us else 0
            self.realm.log(EventKind.TOLD, proxy.name, server=row.server, number=started_us, detail=row.lifecycle)
        listed = [ListedEndpoint(entry, entry.name, 0) for entry in entries]
        proxy.backends.update(listed, is_snapshot=whole, now_us=self.kernel.now_us())
        kind = EndpointUpdateKind.SNAPSHOT if whole else EndpointUpdateKind.DELTA
        proxy.owner.post(EndpointsUpdated(EndpointUpdate(kind, 0, entries)))

    # Proxies, as the realm tells of them.

    def restart_proxy(self, proxy: int) -> None:
        """SIGTERM, the drain, the end, and a new start some time later."""
        there, now_us, realm = self.proxies[proxy], self.kernel.now_us(), self.realm
        if there.ended:
            return
        realm.log(EventKind.PROXY, there.name, detail="draining")
        there.draining = True
        end = plan_shutdown(there.settings, handed_over=False)
        there.loop.deliver(partial(there.owner.post, end.drain))
        self.kernel.at(now_us + int(self.front.between(*NEWCOMERS_US)), partial(self._shut, proxy))
        self.kernel.at(now_us + end.min_duration_us, partial(self._look_for_end, there, now_us + end.max_duration_us))

    def _shut(self, proxy: int) -> None:
        self.admitted[proxy] = False

    def _look_for_end(self, proxy: Proxy, until_us: int) -> None:
        now_us = self.kernel.now_us()
        if proxy.ended:
            return
        if proxy.sessions and now_us < until_us:
            self.kernel.at(now_us + DRAIN_LOOK_US, partial(self._look_for_end, proxy, until_us))
            return
        back_us = int(self.front.between(*self.realm.scenario.proxies.restart_s) * 1e6)
        self._end_proxy(proxy, "stopped", back_us)

    def kill_proxy(self, proxy: int, back_us: int) -> None:
        there = self.proxies[proxy]
        if there.ended:
            return
        self._end_proxy(there, "killed", back_us)
        wait_us = int(self.front.between(*self.realm.scenario.proxies.notice_s) * 1e6)
        self.kernel.at(self.kernel.now_us() + wait_us, lambda: self._notice(proxy))

    def _notice(self, proxy: int) -> None:
        """The front notices a dead proxy, unless it is back by then."""
        if self.proxies[proxy].ended:
            self.admitted[proxy] = False

    def _end_proxy(self, proxy: Proxy, how: str, back_us: int) -> None:
        proxy.ended = True
        proxy.loop.kill()
        for session in list(proxy.sessions.values()):
            session.proxy_ended(how)
        self.realm.log(EventKind.PROXY, proxy.name, detail=how)
        self.kernel.at(self.kernel.now_us() + back_us, partial(self._restart, proxy.index))

    def _restart(self, proxy: int) -> None:
        self.proxies[proxy] = self._start_proxy(proxy)
        self.kernel.at(self.kernel.now_us() + ADMIT_US, partial(self._admit, proxy))

    def _admit(self, proxy: int) -> None:
        self.admitted[proxy] = not self.proxies[proxy].ended

    def freeze_proxy(self, proxy: int, for_us: int) -> None:
        there = self.proxies[proxy]
        if there.ended or there.loop.frozen:
            return
        self.realm.log(EventKind.PROXY, there.name, detail="frozen")
        there.loop.freeze()
        self._live(there, False)
        self.kernel.at(self.kernel.now_us() + for_us, partial(self._thaw, there))

    def _thaw(self, proxy: Proxy) -> None:
        if not proxy.ended:
            self.realm.log(EventKind.PROXY, proxy.name, detail="thawed")
            proxy.loop.thaw()
            self._live(proxy, True)

    def _live(self, proxy: Proxy, live: bool) -> None:
        now_us = self.kernel.now_us()
        for server, sessions in proxy.standing.items():
            machine = self.realm.machines[server]
            for name in sessions:
                machine.set_live(now_us, name, live and not self.realm.apart(proxy.zone, machine))

    # What a proxy's listener watches.

    def _watch(self, proxy: Proxy) -> None:
        if proxy.ended:
            return
        proxy.loop.deliver(partial(self._tell_delays, proxy))
        if self.kernel.now_us() < self.realm.end_us:
            self.kernel.at(self.kernel.now_us() + WATCH_US, partial(self._watch, proxy))

    def _tell_delays(self, proxy: Proxy) -> None:
        now_us, tell_ms = self.kernel.now_us(), min(self.realm.aims_s) * 1e3 / DELAY_PART
        every_s, late = self.realm.scenario.clients.line_every_s, set()
        for server, session in self._each_server(proxy):
            machine = self.realm.machines[server]
            if machine.life is not ServerLifecycle.SERVING or self.realm.apart(proxy.zone, machine):
                continue
            # Some line was answered within the last second, unless all their clients were quiet.
            quiet = max(0.0, 1.0 - 1.0 / every_s) ** len(proxy.standing[server])
            if proxy.draws.next() < quiet:
                continue
            machine.advance(now_us)
            delay_ms = machine.message_s() * 1e3
            if delay_ms > tell_ms:
                late.add(server)
            if delay_ms > tell_ms or server in proxy.late:
                proxy.owner.post(SessionMetricObserved(session.request_state, SessionMetricKind.DELAY, delay_ms))
        proxy.late = late

    def _each_server(self, proxy: Proxy) -> Iterator[tuple[str, Session]]:
        for server, sessions in proxy.standing.items():
            for session in sessions.values():
                yield server, session
                break


def _entries(rows: Iterable[EndpointEntry]) -> tuple[Endpoint, ...]:
    return tuple(
        Endpoint(row.server, STATES[row.lifecycle], row.zone, 0, row.machine_kind, 1.0, row.started_us) for row in rows
    )


class VirtualGateway:
    """The fleet as one proxy's owner sees it."""

    def __init__(self, world: World, proxy: Proxy) -> None:
        self._world, self._proxy = world, proxy

    def check_health(self, server: str) -> None:
        world, proxy, realm = self._world, self._proxy, self._world.realm
        backend, machine = proxy.backends.get(server), realm.machines.get(server)
        if backend is None or machine is None or server in proxy.probing:
            return
        proxy.probing.add(server)
        world.tally["probes"] += 1
        now_us, kernel = world.kernel.now_us(), world.kernel
        way_us = world.realm.way_us(proxy.zone, machine)
        if realm.apart(proxy.zone, machine):
            self._end(machine, AttemptStatus.DIAL_FAILED, now_us, now_us + PROBE_LIMIT_US // 2)
        elif machine.life is ServerLifecycle.GONE:
            self._end(machine, AttemptStatus.DIAL_FAILED, now_us, now_us + 2 * way_us)
        else:
            kernel.at(now_us + way_us, partial(self._at_server, machine, now_us, way_us))

    def _at_server(self, machine: ServerModel, asked_us: int, way_us: int) -> None:
        now_us = self._world.kernel.now_us()
        if machine.life is ServerLifecycle.GONE or self._world.realm.apart(self._proxy.zone, machine):
            self._end(machine, AttemptStatus.DROPPED, asked_us, now_us + way_us)
            return
        answer_us = machine.probed(now_us) + way_us
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
            proxy.probing.discard(machine.draw.name)
            proxy.owner.post(HealthCheckCompleted(machine.draw.name, status, at_us - asked_us, row))

        self._world.kernel.at(at_us, partial(proxy.loop.deliver, told))

    def close_idle(self, server: str) -> None:
        pass  # kept probe connections are not modelled

    def fetch_endpoints(self) -> None:
        proxy, realm = self._proxy, self._world.realm
        rows = realm.known[proxy.index].values()
        entries = _entries(rows)
        proxy.owner.post(EndpointsUpdated(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 0, entries)))
