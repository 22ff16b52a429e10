"""A rolling maintenance on loopback: real proxies and the stand-in engine as processes; session servers, discovery,
links, clients and the staff who restart machines in this one. Faults are put between the processes.

What happened is told by others than the proxies: the engine's history of the ledger, the staff, and the clients.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import resource
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from stoatgw.config.deployment import Address
from stoatgw.config.maintenance import PROXY_PREFIX, MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.maintenance.keys import MaintenanceKeys, StoreSnapshot, read_store_snapshot
from stoatgw.maintenance.rollout_state import RolloutState, StepState, decode
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure, CoordinationClient

ROOT = Path(__file__).resolve().parent.parent.parent.parent
ZONES = ("a", "b")
GRACE_US = 500_000
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


_stands = itertools.count()


def own_host() -> str:
    """A loopback address for each stand: ports found free at 127.0.0.1 are taken by other tests' calls in between."""
    return f"127.{1 + os.getpid() // 200 % 250}.{1 + os.getpid() % 200}.{1 + next(_stands) % 250}"


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


def _full_disk() -> None:
    """Every write to a file fails from now on, in the child; its output is a pipe."""
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0))


class ChildProcess:
    """A process started here, its JSON lines kept."""

    def __init__(self, arguments: list[str], told: dict[str, str], *, full_disk: bool = False) -> None:
        self._arguments, self._told, self._full_disk = arguments, told, full_disk
        self.events: list[dict[str, Any]] = []
        self._process: asyncio.subprocess.Process | None = None
        self._reads: asyncio.Task[None] | None = None

    async def start(self) -> None:
        kept = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "STOATGW_"))}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self._arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            env=kept | {"PYTHONDONTWRITEBYTECODE": "1"} | self._told,
            preexec_fn=_full_disk if self._full_disk else None,
        )
        assert self._process.stdout is not None
        ready = asyncio.Event()
        self._reads = asyncio.create_task(self._read(self._process.stdout, ready))
        await ready.wait()

    async def _read(self, out: asyncio.StreamReader, ready: asyncio.Event) -> None:
        while line := await out.readline():
            with contextlib.suppress(ValueError):
                self.events.append(json.loads(line))
                if self.events[-1].get("event") == "ready":
                    ready.set()
        ready.set()

    @property
    def runs(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def end(self, number: signal.Signals) -> None:
        """Signal it by the id that was started here, and wait for its end."""
        if self._process is not None and self.runs:
            self._process.send_signal(number)
            await self._process.wait()
        if self._reads is not None:
            await self._reads

    def send(self, number: signal.Signals) -> None:
        if self._process is not None and self.runs:
            self._process.send_signal(number)

    def told(self, event: str) -> list[dict[str, Any]]:
        return [each for each in self.events if each.get("event") == event]


class Link:
    """The way from one proxy to the engine. Cut, it says nothing: what was open stays open, what comes is taken in."""

    def __init__(self, host: str, engine_port: int) -> None:
        self._host, self._engine_port, self.cut = host, engine_port, False
        self.port = free_port(host)

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self._pass, self._host, self.port)

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            there, out = await asyncio.open_connection(self._host, self._engine_port)
            await asyncio.gather(self._one_way(reader, out), self._one_way(there, writer))
        writer.close()

    async def _one_way(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                while self.cut:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            writer.write_eof()


class SessionServer:
    """Answers UP, PONG and load, echoes lines; goes down and comes back when the staff work on it."""

    def __init__(self, host: str, name: str, zone: str) -> None:
        self.host, self.name, self.zone, self.port = host, name, zone, free_port(host)
        self.start_ms, self.up, self.held = 0, False, set[asyncio.StreamWriter]()
        self._server: asyncio.Server | None = None
        self.cut_off = 0  # connections that its restarts have ended
        self.probed = 0

    async def start(self) -> None:
        self._server, self.up = await asyncio.start_server(self._serve, self.host, self.port), True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):
            while line := await reader.readline():
                word = line.split(b" ")[0].strip()
                if word == b"OPEN":
                    self.held.add(writer)
                    writer.write(b"UP 77\r\n")
                elif word in (b"PING", b"STATS"):
                    self.probed += 1
                    writer.write(b"PONG inflight=%d,x0=%.3f\r\n" % (len(self.held), 0.01 * len(self.held)))
                else:
                    writer.write(line)
        self.held.discard(writer)
        writer.close()

    async def work(self, for_s: float) -> None:
        """Down, worked on, and up again as one that has just started."""
        if self._server is not None:
            self._server.close()
        self.up, self.cut_off = False, self.cut_off + len(self.held)
        for writer in list(self.held):
            writer.transport.abort()
        await asyncio.sleep(for_s)
        self.start_ms = time.time_ns() // 1_000_000
        await self.start()


class Discovery:
    """The list of session servers, watched; a line at least every second."""

    def __init__(self, host: str, servers: list[SessionServer]) -> None:
        self._host, self._servers, self._version, self._changed = host, servers, 1, asyncio.Event()
        self.port, self.over = free_port(host), False

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self._serve, self._host, self.port)

    def change(self) -> None:
        self._version += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            sent = 0
            while not self.over:
                line = b"\n"
                if sent != self._version:
                    sent, line = self._version, json.dumps(self._page()).encode() + b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), 1.0)
        writer.close()

    def _page(self) -> dict[str, Any]:
        rows = [
            {
                "instanceId": each.name,
                "hostPort": f"{each.host}:{each.port}",
                "zone": each.zone,
                "machineType": "m1",
                "cell": 0,
                "lifecycle": "SERVING",
                "weight": 1.0,
                "startedAtMs": each.start_ms,
            }
            for each in self._servers
            if each.up
        ]
        return {"generation": self._version, "reset": True, "instances": rows}


@dataclass
class ClientTally:
    """What clients were told. `lost`: ended with no answer by a proxy that nobody killed."""

    answers: Counter[str] = field(default_factory=Counter)
    lost: int = 0
    moved: int = 0
    cut: int = 0


class MaintenanceRun:
    """All of it together. `play` runs until the ledger says finished."""

    def __init__(
        self,
        folder: Path,
        plan: MaintenancePlan,
        *,
        proxies: int = 3,
        servers: int = 6,
        clients: int = 12,
        work_s: float = 0.2,
        full_disks: tuple[int, ...] = (),
        sharing: SharedHealthChecksConfig | None = None,
    ) -> None:
        self.folder, self.plan, self._sharing = folder, plan, sharing
        self.host = own_host()
        self.servers = [SessionServer(self.host, f"s-{place}", ZONES[place % len(ZONES)]) for place in range(servers)]
        self.discovery = Discovery(self.host, self.servers)
        self.engine_port = free_port(self.host)
        self.links = [Link(self.host, self.engine_port) for _ in range(proxies)]
        self.membership = MembershipConfig(
            endpoints=(f"{self.host}:{self.engine_port}",), lease_ttl_s=2, poll_interval_ms=100, call_timeout_ms=250
        )
        self.keys = MaintenanceKeys(self.membership.scope, plan.name)
        self._engine = CoordinationClient([Address(self.host, self.engine_port)], 1.0)
        self.history = folder / "history"
        self.engine = self._make_engine()
        self.ports = [free_port(self.host) for _ in range(proxies)]
        self.proxies = [self._make_proxy(place, place in full_disks) for place in range(proxies)]
        self.tally, self._clients, self._work_s = ClientTally(), clients, work_s
        self.killed: set[int] = set()
        self.worked: Counter[str] = Counter()
        self.most_worked, self._working = 0, 0
        self.began_s = self.ended_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing: list[asyncio.Server] = []

    async def restart_engine(self, *, full_disk: bool = False, empty: bool = False) -> None:
        """Killed, and begun anew from its file, or from nothing."""
        await self.engine.end(signal.SIGKILL)
        if empty:
            (self.folder / "engine").unlink(missing_ok=True)
        self.engine = self._make_engine(full_disk=full_disk)
        await self.engine.start()

    async def fault(self, asked: dict[str, int]) -> None:
        """A fault of the stand-in: see its page."""
        await self._engine.call("/stand-in/faults", dict(asked))

    async def kill_proxy(self, place: int) -> None:
        self.killed.add(place)
        await self.proxies[place].end(signal.SIGKILL)

    def _make_engine(self, *, full_disk: bool = False) -> ChildProcess:
        told = [
            "--listen",
            f"{self.host}:{self.engine_port}",
            "--data",
            str(self.folder / "engine"),
            "--history",
            str(self.history),
        ]
        return ChildProcess(["stoatgw.emulator.engine.server", *told], {}, full_disk=full_disk)

    def _make_proxy(self, place: int, full_disk: bool) -> ChildProcess:
        tmp = self.folder / f"tmp-{place}"
        tmp.mkdir()
        own = self.folder / f"own-{place}.toml"
        membership = msgspec.to_builtins(self.membership) | {"engine": [f"{self.host}:{self.links[place].port}"]}
        told = {"version": 1, "membership": membership, "maintenance": msgspec.to_builtins(self.plan)}
        if self._sharing is not None:
            told["sharing"] = msgspec.to_builtins(self._sharing)
        own.write_bytes(msgspec.toml.encode(told))
        config = self.folder / f"n{place}.json"
        config.write_text(
            json.dumps(
                {
                    "name": f"n{place}",
                    "listen": f"{self.host}:{self.ports[place]}",
                    "discovery": f"{self.host}:{self.discovery.port}",
                    "seed": f"{place + 1:x}",
                    "settings": {
                        "balancers": len(self.ports),
                        "rank": place,
                        "areas": list(ZONES),
                        "kinds": ["m1"],
                        "bounds": {"max_attempts": 3, "probes": True},
                        "discovery": "subscribe",
                        "profiles": [
                            {
                                "name": "chat",
                                "deadline_us": 2_000_000,
                                "on_time_us": 500_000,
                                "idempotency": "retryable",
                            }
                        ],
                        "report": {"via": "on_probe", "columns": ["outstanding", "x0"]},
                        "rules": {
                            "drain_grace_us": GRACE_US,
                            "cold_from": 0.5,
                            "cold_us": 500_000,
                            "fall_multiple": 3.0,
                            "fall_us": 1_000_000,
                        },
                    },
                }
            )
        )
        return ChildProcess(
            ["stoatgw"], {"LB_CONFIG": str(config), "STOATGW_CONFIG": str(own), "TMPDIR": str(tmp)}, full_disk=full_disk
        )

    async def __aenter__(self) -> MaintenanceRun:
        for server in self.servers:
            await server.start()
        self._closing = [await self.discovery.start(), *[await link.start() for link in self.links]]
        await self.engine.start()
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))
        self.spawn(self._staff())
        for number in range(self._clients):
            self.spawn(self._client(number))
        self.began_s = time.monotonic()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.discovery.over = True
        self.discovery.change()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for proxy in self.proxies:
            await proxy.end(signal.SIGKILL)
        await self.engine.end(signal.SIGKILL)
        for server in self._closing:
            server.close()

    def spawn(self, run: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # What the engine holds, read past the links.

    async def look(self) -> StoreSnapshot | None:
        found = await self._engine.call(etcd_api.RANGE, etcd_api.under(self.keys.prefix))
        return None if isinstance(found, CallFailure) else read_store_snapshot(self.keys, etcd_api.read_range(found))

    async def until(self, met: Callable[[StoreSnapshot], bool]) -> StoreSnapshot:
        while True:
            look = await self.look()
            if look is not None and met(look):
                return look
            await asyncio.sleep(0.03)

    async def finished(self) -> RolloutState:
        look = await self.until(lambda look: look.rollout is not None and look.rollout.is_finished)
        self.ended_s = time.monotonic()
        assert look.rollout is not None
        return look.rollout

    def leader(self, look: StoreSnapshot) -> int:
        """The place of the proxy that holds the duty, or -1."""
        return int(look.leader[1 : look.leader.index("-")]) if look.leader else -1

    def ledgers(self) -> list[RolloutState]:
        """Every ledger that the engine has ever held, in order."""
        rows = [json.loads(line) for line in self.history.read_bytes().splitlines()]
        return [decode(value.encode()) for _, key, value in rows if key == self.keys.rollout]

    # Those who work on machines, and those who use them.

    async def _staff(self) -> None:
        """Restart each machine once it is said to be empty, as people or their scripts would."""
        begun: set[str] = set()
        while True:
            look = await self.look()
            for name, step in look.rollout.steps.items() if look is not None and look.rollout is not None else ():
                if step.state is StepState.OUT and step.is_evacuated and name not in begun:
                    begun.add(name)
                    self.spawn(self._work(name))
            await asyncio.sleep(0.05)

    async def _work(self, name: str) -> None:
        self.worked[name] += 1
        if name.startswith(PROXY_PREFIX):
            proxy = self.proxies[int(name.removeprefix(PROXY_PREFIX + "n"))]
            await proxy.end(signal.SIGTERM)
            await proxy.start()
            return
        self._working += 1
        self.most_worked = max(self.most_worked, self._working)
        await next(each for each in self.servers if each.name == name).work(self._work_s)
        self._working -= 1
        self.discovery.change()

    async def _client(self, number: int) -> None:
        """Comes again and again, to each proxy in turn, and sends a line now and then."""
        turn = number
        while True:
            place, turn = turn % len(self.ports), turn + 1
            try:
                streams = await asyncio.open_connection(self.host, self.ports[place])
            except OSError:  # nobody is there: the request was never taken
                await asyncio.sleep(0.05)
                continue
            with contextlib.suppress(OSError):
                await self._session(streams, place, b"%08x%08x" % (number, turn))
            streams[1].close()
            await asyncio.sleep(0.05)

    async def _session(self, streams: Streams, place: int, request: bytes) -> None:
        reader, writer = streams
        try:
            writer.write(b"OPEN %s 1 c=chat,d=2000\r\n" % request)
            first = await reader.readline()
        except OSError:
            first = b""
        if not first.endswith(b"\r\n"):
            self.tally.lost += place not in self.killed
            return
        self.tally.answers[first.split()[0].decode()] += 1
        while first.startswith(b"UP"):
            writer.write(b"hello\r\n")
            line = await reader.readline()
            if line != b"hello\r\n":
                self.tally.moved += line.startswith(b"MOVE")
                self.tally.cut += not line
                return
            await asyncio.sleep(0.1)
