"""The loopback driver: it makes happen on sockets and processes what the realm says."""

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
from stoatgw.emulator.loopback.clients import Visit
from stoatgw.emulator.loopback.clock import RealTime
from stoatgw.emulator.loopback.discovery import Discovery
from stoatgw.emulator.loopback.processes import ProxyProcess
from stoatgw.emulator.loopback.servers import Link, Server
from stoatgw.emulator.world import faults
from stoatgw.emulator.world.client_population import ClientPopulation
from stoatgw.emulator.world.events import EventKind, EventSink
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.server_model import Held, ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import EndpointEntry, WorldState

BASE = 60  # the addresses are 127.60.x.x and up
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


class LoopbackWorld(ClientPopulation[Visit]):
    def __init__(self, scenario: Scenario, seed: int, sink: EventSink, folder: Path, base: int = BASE) -> None:
        self.scheduler = RealTime(asyncio.get_running_loop())
        super().__init__(WorldState(scenario, seed, self.scheduler, sink, booked=False))
        self.base, self._folder = base, folder
        self.visits: dict[str, Visit] = {}
        self.numbers: dict[str, int] = {}
        self.servers: dict[str, Server] = {}
        self._out: dict[str, list[Link]] = {}
        self._ended: dict[str, str] = {}
        self._seed = seed
        self._discoveries = [Discovery(self, proxy) for proxy in range(len(self.realm.proxies))]
        self.proxies: list[ProxyProcess] = []
        self._down: set[int] = set()  # proxies that were ended on purpose
        self._tasks: set[asyncio.Task[Any]] = set()
        self.watch: Watch | None = None
        self.loads: dict[str, list[float]] = {}

    # The run.

    async def run(self) -> str:
        """Play the scenario; gives why the run is void, or an empty text."""
        realm = self.realm
        try:
            for machine in list(realm.machines.values()):
                self._open_server(machine)
            for discovery in self._discoveries:
                discovery.open()
            realm.begin(self)
            await self._start_proxies()
            await self._stand_all()
            gc.freeze()
            realm.open()
            self.scheduler.begin()
            faults.schedule(realm)
            self.schedule_arrivals()
            if self.watch is not None:
                self.loads = self.watch(realm)
            await asyncio.sleep(realm.length_us / 1e6 + AFTER_S)
            void = self.scheduler.void()
            await self._stop_proxies()
            return void
        finally:
            self.scheduler.close()
            for task in [*self._tasks, *(visit.task for visit in self.visits.values())]:
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
        number = self.numbers[machine.draw.name] = len(self.numbers)
        server = self.servers[machine.draw.name] = Server(self, machine, number)
        server.open()

    async def _start_proxies(self) -> None:
        realm = self.realm
        cores = sorted(os.sched_getaffinity(0))
        for index, name in enumerate(realm.proxies):
            host, port = wire.proxy_address(index, self.base)
            watch_host, watch_port = wire.discovery_address(index, self.base)
            config = {
                "name": name,
                "listen": f"{host}:{port}",
                "discovery": f"{watch_host}:{watch_port}",
                "seed": f"{realm.streams.number(f'module {index}'):016x}",
                "limits": {
                    "cores": 1.0,
                    "memory_mb": realm.scenario.proxies.memory_mb,
                    "sockets": realm.scenario.proxies.sockets,
                },
                "known": self._discoveries[index].whole(),
                "settings": realm.settings(index),
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
                if not await proxy.ready():
                    raise LoopbackError(f"{proxy.name} did not come up: {proxy.events()[-1:]}")
        finally:
            self._cores = set(cores)
        for name in realm.proxies:
            realm.log(EventKind.PROXY, name, detail="up")

    def _own_file(self) -> dict[str, str]:
        """The operators' own file, where the scenario sets something in it."""
        operators = self.realm.scenario.operators
        if operators == type(operators)():
            return {}
        file = self._folder / "stoatgw.toml"
        file.write_bytes(msgspec.toml.encode({"version": 1, **msgspec.to_builtins(operators)}))
        return {"STOATGW_CONFIG": str(file)}

    async def _stand_all(self) -> None:
        """All that stand at the start come by `at=ID`; the run starts once they are up."""
        visits = []
        for index, server in enumerate(self.realm.standing_places()):
            zone = int(self.realm.population.zone[index])
            near = [p for p in range(len(self.proxies)) if self.realm.proxy_zone(p) == zone] or [0]
            visit = Visit(self, self.clients[index], near[index % len(near)], server)
            visit.client_answered = True
            self.stands(visit)
            visits.append(visit)
            if index % 50 == 49:
                await asyncio.sleep(0.05)  # not all in one burst: the run has not begun
        if visits:
            await asyncio.wait([visit.up for visit in visits], timeout=STAND_S)
        lost = sum(not (visit.up.done() and visit.up.result()) for visit in visits)
        if lost:
            raise LoopbackError(f"{lost} of {len(visits)} standing connections did not come up")

    async def _stop_proxies(self) -> None:
        """Ask all to stop, and read from their logs what they still held and what went wrong inside."""
        realm = self.realm
        for proxy in self.proxies:
            if proxy.peak_mib() > realm.scenario.proxies.memory_mb:
                realm.log(EventKind.NOTE, proxy.name, detail=f"holds {proxy.peak_mib()} MiB, over its limit")
        for index, proxy in enumerate(self.proxies):
            if proxy.runs:
                self._down.add(index)
                proxy.signal(signal.SIGTERM)
            elif index not in self._down:
                realm.log(EventKind.NOTE, proxy.name, detail=f"the process ended by itself, status {proxy.status}")
        for proxy in self.proxies:
            if not await proxy.stopped():
                realm.log(EventKind.NOTE, proxy.name, detail="did not stop in time after SIGTERM")
            for event in proxy.events():
                if event.get("event") in FAULTS:
                    realm.log(EventKind.NOTE, proxy.name, detail=str(event)[:300])
                if event.get("event") == "proxy_stopped":
                    realm.log(EventKind.HELD, proxy.name, number=int(event.get("open_requests", 0)))

    # What the stand-ins ask and tell.

    def fault(self, text: str) -> None:
        """Something crossed the wire that must not have: a broken rule of the program."""
        self.realm.log(EventKind.NOTE, detail=text)

    def note_out(self, link: Link) -> None:
        self._out.setdefault(link.req, []).append(link)

    def forget_closed(self, req: str) -> None:
        """An attempt whose end has come, though its task has not seen it yet, is no longer out."""
        for link in self._out.pop(req, []):
            if link.out and (link.lines.closed or link.lines.ended()):
                link.over("closed by the proxy")

    def server_ended(self, req: str) -> bool:
        return req in self._ended or any(
            link.req == req and link.ended_by_server for server in self.servers.values() for link in server.links
        )

    def runs(self, proxy: int) -> bool:
        return proxy not in self._down and self.proxies[proxy].runs

    def left(self, visit: Visit) -> None:
        """A visit is over; its name is kept, since a server may still ask."""

    # The crowd's side.

    def open_session(self, index: int, proxy: int) -> Visit | None:
        return Visit(self, self.clients[index], proxy)

    def client_leaves(self, session: Visit) -> None:
        name = self.realm.proxies[session.proxy]
        self.realm.log(EventKind.OVER if session.server else EventKind.GONE, name, session.name, detail="client left")
        session.leave()

    def quits(self, session: Visit) -> None:
        session.quit()

    # The realm's side: see Stage.

    def tell(self, proxy: int, rows: list[EndpointEntry], whole: bool) -> None:
        self._discoveries[proxy].tell(rows, whole)
        self._log_told(proxy, rows)

    def garble(self, proxy: int) -> None:
        self._discoveries[proxy].garble()

    def told_all(self, proxy: int) -> None:
        self._log_told(proxy, list(self.realm.known[proxy].values()))

    def _log_told(self, proxy: int, rows: list[EndpointEntry]) -> None:
        for row in rows:
            started_us = row.started_us - self.realm.start_us if row.started_us else 0
            name = self.realm.proxies[proxy]
            self.realm.log(EventKind.TOLD, name, server=row.server, number=started_us, detail=row.lifecycle)

    def _end_links(self, machine: ServerModel, how: str, line: bytes) -> None:
        for link in list(self.servers[machine.draw.name].links):
            if link.up:
                self._ended[link.req] = how
                link.end(how, line)

    def sent_away(self, machine: ServerModel) -> None:
        self._end_links(machine, "MOVE", b"MOVE\r\n")

    def died(self, machine: ServerModel) -> None:
        server = self.servers[machine.draw.name]
        for link in server.links:
            self._ended[link.req] = "died"
        server.refuse()

    def grew(self, machine: ServerModel) -> None:
        """A machine is there that was not, or its process is back."""
        if machine.draw.name in self.servers:
            self.servers[machine.draw.name].open()
        else:
            self._open_server(machine)

    def vanished(self, machine: ServerModel) -> None:
        for proxy in range(len(self.proxies)):
            self.servers[machine.draw.name].mute(proxy, True)
        for link in self.servers[machine.draw.name].links:
            self._ended[link.req] = "vanished"

    def dropped(self, machine: ServerModel, connections: list[Held]) -> None:
        for held in connections:
            self._ended[held.conn] = "dropped"
            if held.on_drop is not None:
                held.on_drop()

    def cut_zones(self, cut: bool) -> None:
        for proxy in range(len(self.proxies)):
            for server in self.servers.values():
                if (
                    server.machine.life is ServerLifecycle.SERVING
                    and self.realm.proxy_zone(proxy) != server.machine.draw.zone
                ):
                    server.mute(proxy, cut)

    def restart_proxy(self, proxy: int) -> None:
        if self.runs(proxy):
            self._spawn(self._restart(proxy))

    async def _restart(self, proxy: int) -> None:
        there, realm = self.proxies[proxy], self.realm
        realm.log(EventKind.PROXY, there.name, detail="draining")
        there.signal(signal.SIGTERM)
        shut_us = self.scheduler.now_us() + int(self.front.between(*NEWCOMERS_S) * 1e6)
        self.scheduler.at(shut_us, partial(self._shut, proxy))
        back_s = self.front.between(*realm.scenario.proxies.restart_s)
        if not await there.stopped(KILL_S):
            realm.log(EventKind.NOTE, there.name, detail="did not stop in time after SIGTERM")
        await asyncio.sleep(0.05)  # what it sent last may still be on its way to the clients
        self._down.add(proxy)
        realm.log(EventKind.PROXY, there.name, detail="stopped")
        await asyncio.sleep(back_s)
        await self._start_again(proxy)

    def _shut(self, proxy: int) -> None:
        self.admitted[proxy] = False

    async def _start_again(self, proxy: int) -> None:
        there = self.proxies[proxy]
        there.start()
        self._down.discard(proxy)
        if await there.ready():
            self.realm.log(EventKind.PROXY, there.name, detail="up")
            self.admitted[proxy] = True
        else:
            self.realm.log(EventKind.NOTE, there.name, detail="did not come up again")

    def kill_proxy(self, proxy: int, back_us: int) -> None:
        if not self.runs(proxy):
            return
        self._down.add(proxy)
        self.realm.log(EventKind.PROXY, self.realm.proxies[proxy], detail="killed")
        self.proxies[proxy].kill()
        notice_us = int(self.front.between(*self.realm.scenario.proxies.notice_s) * 1e6)
        self.scheduler.at(self.scheduler.now_us() + notice_us, partial(self._notice, proxy))
        self.scheduler.at(self.scheduler.now_us() + back_us, lambda: self._spawn(self._start_again(proxy)))

    def _notice(self, proxy: int) -> None:
        if proxy in self._down:
            self.admitted[proxy] = False

    def freeze_proxy(self, proxy: int, for_us: int) -> None:
        if not self.runs(proxy):
            return
        self.realm.log(EventKind.PROXY, self.realm.proxies[proxy], detail="frozen")
        self.proxies[proxy].signal(signal.SIGSTOP)
        self.scheduler.at(self.scheduler.now_us() + for_us, partial(self._thaw, proxy))

    def _thaw(self, proxy: int) -> None:
        self.realm.log(EventKind.PROXY, self.realm.proxies[proxy], detail="thawed")
        self.proxies[proxy].signal(signal.SIGCONT)


def play_world(
    scenario: Scenario, seed: int, sink: EventSink, base: int = BASE, watch: Watch | None = None
) -> tuple[LoopbackWorld, str]:
    """Play one loopback run on a loop of its own; gives the world and why the run is void, or an empty text.

    `watch` is called as the run starts, to look at the realm while it goes on; what it gives becomes `loads`.
    """
    before = os.sched_getaffinity(0)

    async def run(folder: Path) -> tuple[LoopbackWorld, str]:
        world = LoopbackWorld(scenario, seed, sink, folder, base)
        world.watch = watch
        return world, await world.run()

    with tempfile.TemporaryDirectory(prefix="stoatgw-") as name:
        try:
            return uvloop.run(run(Path(name)))
        finally:
            os.sched_setaffinity(0, before)
            gc.unfreeze()
