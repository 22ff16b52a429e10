"""The loopback driver: it makes happen on sockets and processes what the world says."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from stoatgw.emulator.loopback import wire
from stoatgw.emulator.loopback.clients import ClientConnection
from stoatgw.emulator.loopback.clock import RealTimeScheduler
from stoatgw.emulator.loopback.discovery import DiscoveryEndpoint
from stoatgw.emulator.loopback.processes import ProxyProcess
from stoatgw.emulator.loopback.servers import ServerConnection, ServerEndpoint
from stoatgw.emulator.world.client_population import ClientPopulation
from stoatgw.emulator.world.endpoint_publication import EndpointEntry
from stoatgw.emulator.world.events import EventKind, EventSink
from stoatgw.emulator.world.faults import schedule_faults
from stoatgw.emulator.world.proxy_settings import proxy_settings
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.server_model import HeldConnection, ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import WorldState

BASE_NETWORK = 60  # the addresses are 127.60.x.x and up
AFTER_S = 4.0  # after the last arrival, until all is answered
STAND_S = 40.0
KILL_S = 3.7  # after SIGTERM, at the soonest where the longest deadline is 3 s or more
NEWCOMERS_S = (0.2, 0.4)
FAULTS = (
    "decision_crashed",
    "recovery_failed",
    "session_crashed",
    "attempt_crashed",
    "task_ended",
    "session_monitor_failed",
    "unreadable",
)


Watch = Callable[[WorldState], dict[str, list[float]]]


class LoopbackError(RuntimeError):
    """The run could not begin; the message says what did not come up."""


class LoopbackDriver(ClientPopulation[ClientConnection]):
    def __init__(self, scenario: Scenario, seed: int, sink: EventSink, folder: Path, base: int = BASE_NETWORK) -> None:
        self.scheduler = RealTimeScheduler(asyncio.get_running_loop())
        super().__init__(WorldState(scenario, seed, self.scheduler, sink, accounts_servers=False))
        self.base, self._folder = base, folder
        self.sessions: dict[str, ClientConnection] = {}
        self.server_numbers: dict[str, int] = {}
        self.servers: dict[str, ServerEndpoint] = {}
        self._out: dict[str, list[ServerConnection]] = {}
        self._ended: dict[str, str] = {}
        self._seed = seed
        self._discoveries = [DiscoveryEndpoint(self, proxy) for proxy in range(len(self.world.proxy_names))]
        self.proxies: list[ProxyProcess] = []
        self._down: set[int] = set()  # proxies that were ended on purpose
        self._tasks: set[asyncio.Task[Any]] = set()
        self.observe_start: Watch | None = None
        self.utilization_samples: dict[str, list[float]] = {}

    # The run.

    async def run(self) -> str:
        """Play the scenario; gives why the run is void, or an empty text."""
        world = self.world
        try:
            for machine in list(world.servers.values()):
                self._open_server(machine)
            for discovery in self._discoveries:
                discovery.open()
            world.start(self)
            await self._start_proxies()
            await self._stand_all()
            gc.freeze()
            world.begin_measurement()
            self.scheduler.start_measurement()
            schedule_faults(world)
            self.schedule_arrivals()
            if self.observe_start is not None:
                self.utilization_samples = self.observe_start(world)
            await asyncio.sleep(world.length_us / 1e6 + AFTER_S)
            void = self.scheduler.invalid_reason()
            await self._stop_proxies()
            return void
        finally:
            self.scheduler.close()
            for task in [*self._tasks, *(visit.task for visit in self.sessions.values())]:
                task.cancel()
            for server in self.servers.values():
                await server.stop()
            for discovery in self._discoveries:
                await discovery.stop()
            for proxy in self.proxies:
                proxy.close()
            await asyncio.sleep(0.05)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _open_server(self, machine: ServerModel) -> None:
        number = self.server_numbers[machine.properties.name] = len(self.server_numbers)
        server = self.servers[machine.properties.name] = ServerEndpoint(self, machine, number)
        server.open()

    async def _start_proxies(self) -> None:
        world = self.world
        cores = sorted(os.sched_getaffinity(0))
        for index, name in enumerate(world.proxy_names):
            host, port = wire.proxy_address(index, self.base)
            watch_host, watch_port = wire.discovery_address(index, self.base)
            config = {
                "name": name,
                "listen": f"{host}:{port}",
                "discovery": f"{watch_host}:{watch_port}",
                "seed": f"{world.streams.number(f'module {index}'):016x}",
                "limits": {
                    "cores": 1.0,
                    "memory_mb": world.scenario.proxies.memory_mb,
                    "sockets": world.scenario.proxies.sockets,
                },
                "known": self._discoveries[index].whole(),
                "settings": proxy_settings(world.scenario, index),
            }
            # The driver keeps the first core to itself where there are enough.
            mine = {cores[1 + index % (len(cores) - 1)]} if len(cores) > 1 else set(cores)
            self.proxies.append(ProxyProcess(name, config, self._folder, mine, self._own_file()))
        if len(cores) > 1:
            os.sched_setaffinity(0, {cores[0]})
        try:
            for proxy in self.proxies:
                proxy.start()
            for proxy in self.proxies:
                if not await proxy.wait_ready():
                    raise LoopbackError(f"{proxy.name} did not come up: {proxy.read_log_events()[-1:]}")
        finally:
            self._cores = set(cores)
        for name in world.proxy_names:
            world.log(EventKind.PROXY_STATE_CHANGED, name, detail="up")

    def _own_file(self) -> dict[str, str]:
        """The operators' own file, where the scenario sets something in it."""
        operators = self.world.scenario.operators
        if operators == type(operators)():
            return {}
        file = self._folder / "stoatgw.toml"
        file.write_bytes(msgspec.toml.encode({"version": 1, **msgspec.to_builtins(operators)}))
        return {"STOATGW_CONFIG": str(file)}

    async def _stand_all(self) -> None:
        """All that stand at the start come by `at=ID`; the run starts once they are up."""
        visits = []
        for index, server in enumerate(self.world.initial_placements()):
            zone = int(self.world.population.zone[index])
            near = [p for p in range(len(self.proxies)) if self.world.proxy_zone(p) == zone] or [0]
            visit = ClientConnection(self, self.clients[index], near[index % len(near)], server)
            visit.is_client_answered = True
            self.register_established(visit)
            visits.append(visit)
            if index % 50 == 49:
                await asyncio.sleep(0.05)  # not all in one burst: the run has not begun
        if visits:
            await asyncio.wait([visit.established for visit in visits], timeout=STAND_S)
        lost = sum(not (visit.established.done() and visit.established.result()) for visit in visits)
        if lost:
            raise LoopbackError(f"{lost} of {len(visits)} standing connections did not come up")

    async def _stop_proxies(self) -> None:
        """Ask all to stop, and read from their logs what they still held and what went wrong inside."""
        world = self.world
        for proxy in self.proxies:
            if proxy.peak_memory_mib() > world.scenario.proxies.memory_mb:
                world.log(
                    EventKind.PROGRAM_FAULT, proxy.name, detail=f"holds {proxy.peak_memory_mib()} MiB, over its limit"
                )
        for index, proxy in enumerate(self.proxies):
            if proxy.is_running:
                self._down.add(index)
                proxy.signal(signal.SIGTERM)
            elif index not in self._down:
                world.log(
                    EventKind.PROGRAM_FAULT,
                    proxy.name,
                    detail=f"the process ended by itself, status {proxy.exit_status}",
                )
        for proxy in self.proxies:
            if not await proxy.wait_stopped():
                world.log(EventKind.PROGRAM_FAULT, proxy.name, detail="did not stop in time after SIGTERM")
            for event in proxy.read_log_events():
                if event.get("event") in FAULTS:
                    world.log(EventKind.PROGRAM_FAULT, proxy.name, detail=str(event)[:300])
                if event.get("event") == "proxy_stopped":
                    world.log(EventKind.REQUESTS_LEAKED, proxy.name, number=int(event.get("open_requests", 0)))

    # What the stand-ins ask and tell.

    def report_protocol_violation(self, text: str) -> None:
        """Something crossed the wire that must not have: a broken rule of the program."""
        self.world.log(EventKind.PROGRAM_FAULT, detail=text)

    def track_attempt(self, link: ServerConnection) -> None:
        self._out.setdefault(link.req, []).append(link)

    def expire_closed_attempts(self, req: str) -> None:
        """An attempt whose end has come, though its task has not seen it yet, is no longer out."""
        for link in self._out.pop(req, []):
            if link.out and (link.lines.closed or link.lines.ended()):
                link.over("closed by the proxy")

    def has_server_ended(self, req: str) -> bool:
        return req in self._ended or any(
            link.req == req and link.ended_by_server for server in self.servers.values() for link in server.links
        )

    def is_running(self, proxy: int) -> bool:
        return proxy not in self._down and self.proxies[proxy].is_running

    def on_session_closed(self, visit: ClientConnection) -> None:
        """A visit is over; its name is kept, since a server may still ask."""

    # The crowd's side.

    def open_session(self, index: int, proxy: int) -> ClientConnection | None:
        return ClientConnection(self, self.clients[index], proxy)

    def disconnect_client(self, session: ClientConnection) -> None:
        name = self.world.proxy_names[session.proxy]
        self.world.log(
            EventKind.SESSION_ENDED if session.server else EventKind.CLIENT_DISCONNECTED,
            name,
            session.name,
            detail="client left",
        )
        session.disconnect()

    def finish_session(self, session: ClientConnection) -> None:
        session.finish()

    # The world's side: see Stage.

    def publish_endpoints(self, proxy: int, rows: list[EndpointEntry], whole: bool) -> None:
        self._discoveries[proxy].tell(rows, whole)
        self._log_told(proxy, rows)

    def corrupt_endpoint_stream(self, proxy: int) -> None:
        self._discoveries[proxy].garble()

    def log_snapshot(self, proxy: int) -> None:
        self._log_told(proxy, list(self.world.discovery.known_endpoints[proxy].values()))

    def _log_told(self, proxy: int, rows: list[EndpointEntry]) -> None:
        for row in rows:
            started_us = row.started_us - self.world.start_us if row.started_us else 0
            name = self.world.proxy_names[proxy]
            self.world.log(
                EventKind.ENDPOINT_NOTIFIED, name, server=row.server, number=started_us, detail=row.lifecycle
            )

    def _end_links(self, machine: ServerModel, how: str, line: bytes) -> None:
        for link in list(self.servers[machine.properties.name].links):
            if link.up:
                self._ended[link.req] = how
                link.end(how, line)

    def on_server_draining(self, machine: ServerModel) -> None:
        self._end_links(machine, "MOVE", b"MOVE\r\n")

    def on_server_stopped(self, machine: ServerModel) -> None:
        server = self.servers[machine.properties.name]
        for link in server.links:
            self._ended[link.req] = "died"
        server.refuse()

    def on_server_added(self, machine: ServerModel) -> None:
        """A machine is there that was not, or its process is back."""
        if machine.properties.name in self.servers:
            self.servers[machine.properties.name].open()
        else:
            self._open_server(machine)

    def on_server_vanished(self, machine: ServerModel) -> None:
        for proxy in range(len(self.proxies)):
            self.servers[machine.properties.name].mute(proxy, True)
        for link in self.servers[machine.properties.name].links:
            self._ended[link.req] = "vanished"

    def on_connections_dropped(self, machine: ServerModel, connections: list[HeldConnection]) -> None:
        for held in connections:
            self._ended[held.connection_id] = "dropped"
            if held.on_dropped is not None:
                held.on_dropped()

    def set_zones_partitioned(self, cut: bool) -> None:
        for proxy in range(len(self.proxies)):
            for server in self.servers.values():
                if (
                    server.machine.lifecycle is ServerLifecycle.SERVING
                    and self.world.proxy_zone(proxy) != server.machine.properties.zone
                ):
                    server.mute(proxy, cut)

    def restart_proxy(self, proxy: int) -> None:
        if self.is_running(proxy):
            self._spawn(self._restart(proxy))

    async def _restart(self, proxy: int) -> None:
        there, world = self.proxies[proxy], self.world
        world.log(EventKind.PROXY_STATE_CHANGED, there.name, detail="draining")
        there.signal(signal.SIGTERM)
        shut_us = self.scheduler.now_us() + int(self.front_random.between(*NEWCOMERS_S) * 1e6)
        self.scheduler.call_at(shut_us, partial(self._shut, proxy))
        back_s = self.front_random.between(*world.scenario.proxies.restart_s)
        if not await there.wait_stopped(KILL_S):
            world.log(EventKind.PROGRAM_FAULT, there.name, detail="did not stop in time after SIGTERM")
        await asyncio.sleep(0.05)  # what it sent last may still be on its way to the clients
        self._down.add(proxy)
        world.log(EventKind.PROXY_STATE_CHANGED, there.name, detail="stopped")
        await asyncio.sleep(back_s)
        await self._start_again(proxy)

    def _shut(self, proxy: int) -> None:
        self.is_admitting[proxy] = False

    async def _start_again(self, proxy: int) -> None:
        there = self.proxies[proxy]
        there.start()
        self._down.discard(proxy)
        if await there.wait_ready():
            self.world.log(EventKind.PROXY_STATE_CHANGED, there.name, detail="up")
            self.is_admitting[proxy] = True
        else:
            self.world.log(EventKind.PROGRAM_FAULT, there.name, detail="did not come up again")

    def kill_proxy(self, proxy: int, back_us: int) -> None:
        if not self.is_running(proxy):
            return
        self._down.add(proxy)
        self.world.log(EventKind.PROXY_STATE_CHANGED, self.world.proxy_names[proxy], detail="killed")
        self.proxies[proxy].kill()
        notice_us = int(self.front_random.between(*self.world.scenario.proxies.notice_s) * 1e6)
        self.scheduler.call_at(self.scheduler.now_us() + notice_us, partial(self._notice, proxy))
        self.scheduler.call_at(self.scheduler.now_us() + back_us, lambda: self._spawn(self._start_again(proxy)))

    def _notice(self, proxy: int) -> None:
        if proxy in self._down:
            self.is_admitting[proxy] = False

    def freeze_proxy(self, proxy: int, for_us: int) -> None:
        if not self.is_running(proxy):
            return
        self.world.log(EventKind.PROXY_STATE_CHANGED, self.world.proxy_names[proxy], detail="frozen")
        self.proxies[proxy].signal(signal.SIGSTOP)
        self.scheduler.call_at(self.scheduler.now_us() + for_us, partial(self._thaw, proxy))

    def _thaw(self, proxy: int) -> None:
        self.world.log(EventKind.PROXY_STATE_CHANGED, self.world.proxy_names[proxy], detail="thawed")
        self.proxies[proxy].signal(signal.SIGCONT)


def run_loopback(
    scenario: Scenario, seed: int, sink: EventSink, base: int = BASE_NETWORK, watch: Watch | None = None
) -> tuple[LoopbackDriver, str]:
    """Play one loopback run on a loop of its own; gives the world and why the run is void, or an empty text.

    `watch` is called as the run starts, to look at the world while it goes on; what it gives becomes `loads`.
    """
    before = os.sched_getaffinity(0)

    async def run(folder: Path) -> tuple[LoopbackDriver, str]:
        driver = LoopbackDriver(scenario, seed, sink, folder, base)
        driver.observe_start = watch
        return driver, await driver.run()

    with tempfile.TemporaryDirectory(prefix="stoatgw-") as name:
        try:
            return uvloop.run(run(Path(name)))
        finally:
            os.sched_setaffinity(0, before)
            gc.unfreeze()
