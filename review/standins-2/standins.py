"""Stand-ins for clients, session servers, discovery and the platform, as the users' pages describe them.

They run in the process of the case's script, on one loopback address of its own; proxies and the coordination engine
are separate processes, started with the command of the deploy file or the project's module.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
LIMIT_S = 112.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
_ports = itertools.count(12_000 + os.getpid() * 131 % 15_000)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._start = time.monotonic()

    def note(self, who: str, what: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {who}: {what}\n")


class Place:
    """The temporary folder, the loopback address, the record and everything that has to be ended."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="stoatgw-case-"))
        self.host = f"127.{1 + os.getpid() // 200 % 250}.{1 + os.getpid() % 200}.{1 + secrets.randbelow(250)}"
        self.processes: list[Process] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.report_fields = ("eps", "inflight", "util", "x0")  # of dk-main; a case of another site sets its own
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def free_port(self) -> int:
        while True:
            port = 12_000 + next(_ports) % 18_000
            with socket.socket() as probe:
                try:
                    probe.bind((self.host, port))
                except OSError:
                    continue
            return port

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def end(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for process in self.processes:
            await process.end(signal.SIGKILL)
        shutil.rmtree(self.temporary, ignore_errors=True)


class Process:
    """A child process whose output goes to a file in the temporary folder."""

    def __init__(self, place: Place, name: str, command: list[str], environment: dict[str, str]) -> None:
        self.place = place
        self.name = name
        self._command = command
        self._environment = environment
        self._child: asyncio.subprocess.Process | None = None
        self.starts = 0
        place.processes.append(self)

    @property
    def is_running(self) -> bool:
        return self._child is not None and self._child.returncode is None

    @property
    def log_path(self) -> Path:
        return self.place.temporary / f"{self.name}.{self.starts}.log"

    def events(self) -> list[dict[str, Any]]:
        """Return the log events of the latest process; a proxy writes each as one JSON line."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    async def launch(self) -> None:
        self.starts += 1
        inherited = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "STOATGW_"))}
        with self.log_path.open("wb") as log:
            self._child = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=inherited | {"PYTHONDONTWRITEBYTECODE": "1"} | self._environment,
            )
        self.place.record.note(self.name, f"process {self.starts} started")

    def send(self, number: signal.Signals) -> None:
        if self._child is not None and self._child.returncode is None:
            self.place.record.note(self.name, f"gets {number.name}")
            self._child.send_signal(number)

    async def wait(self) -> None:
        if self._child is not None:
            await self._child.wait()

    async def end(self, number: signal.Signals) -> None:
        if self.is_running:
            self.send(number)
            await self.wait()


class Proxy(Process):
    """A proxy, started by the command of the deploy file; each start has an empty $TMPDIR, as DEPLOY says."""

    def __init__(
        self, place: Place, name: str, config: dict[str, Any], *, operators: str = "", management: bool = False
    ) -> None:
        self.port = place.free_port()
        self.management_port = place.free_port() if management else 0
        self.config = config | {"name": name, "listen": f"{place.host}:{self.port}"}
        if management:
            self.config["management"] = f"{place.host}:{self.management_port}"
        self._operators = operators
        environment = {"LB_CONFIG": str(place.temporary / f"{name}.json")}
        if operators:
            environment["STOATGW_CONFIG"] = str(place.temporary / f"{name}.toml")
        super().__init__(place, name, ["/bin/sh", "-c", RUN_COMMAND], environment)

    async def start(self) -> None:
        folder = self.place.temporary
        self.config["seed"] = secrets.token_hex(8)
        (folder / f"{self.name}.json").write_text(json.dumps(self.config))
        if self._operators:
            (folder / f"{self.name}.toml").write_text(self._operators)
        empty = folder / f"{self.name}.tmp{self.starts + 1}"
        empty.mkdir()
        self._environment["TMPDIR"] = str(empty)
        await self.launch()
        for _ in range(150):
            if await self.ping() == "PONG":
                self.place.record.note(self.name, "is ready")
                return
            if not self.is_running:
                break
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready: {self.log_path.read_text()[-600:]}")

    async def ping(self) -> str:
        """Ask as the front does; return the answer, "" for a connection that is refused or ended without one."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.place.host, self.port)
                writer.write(b"PING\r\n")
                line = await reader.readline()
                writer.close()
                return line.decode("ascii", "replace").strip()
        except (OSError, TimeoutError):
            return ""

    async def call(self, method: str, path: str) -> str:
        """Make a call to the second address; return the status line and the body's first line."""
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(self.place.host, self.management_port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
            answer = (await reader.read()).decode("utf-8", "replace")
            writer.close()
        head, _, body = answer.partition("\r\n\r\n")
        result = f"{head.splitlines()[0]} {body.strip()}" if head else "no answer"
        self.place.record.note(self.name, f"{method} {path} -> {result}")
        return result


class SessionServer:
    """A session server: UP for each OPEN, each line of a session comes back at once, load reports when probed."""

    def __init__(self, place: Place, name: str, zone: str, kind: str) -> None:
        self.place = place
        self.name = name
        self.zone = zone
        self.kind = kind
        self.port = place.free_port()
        self.started_ms = 0
        self.is_draining = False
        self.set_up_s = 0.0
        self.is_mute = False
        self.opened: dict[str, float] = {}
        self.sessions: dict[asyncio.StreamWriter, str] = {}
        self._connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": f"{self.place.host}:{self.port}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.place.host, self.port)
        self.place.record.note(self.name, "serves")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
            while (line := await reader.readline()).endswith(b"\n"):
                await self._answer(line, writer)
        self._connections.discard(writer)
        if writer in self.sessions:
            self.place.record.note(self.name, f"session {self.sessions.pop(writer)} ended")
        writer.close()

    async def _answer(self, line: bytes, writer: asyncio.StreamWriter) -> None:
        words = line.split()
        verb = words[0] if words else b""
        if self.is_mute and verb != b"OPEN":
            return
        if verb == b"OPEN" and writer not in self.sessions:
            request_id = words[1].decode()
            self.place.record.note(self.name, f"got {line.decode().strip()}")
            self.opened[request_id] = time.monotonic()
            if self.is_mute:
                return
            await asyncio.sleep(self.set_up_s)
            if self.is_draining:
                writer.write(b"BUSY\r\n")
                self.place.record.note(self.name, f"answers BUSY to {request_id}")
                return
            self.sessions[writer] = request_id
            writer.write(b"UP %s\r\n" % secrets.token_hex(4).encode())
            self.place.record.note(self.name, f"answers UP to {request_id}")
        elif verb in (b"PING", b"STATS"):
            held = len(self.sessions)
            load = round(0.02 * held, 3)
            values = {"inflight": held, "util": min(1.0, load), "x0": load, "eps": 0, "qps": 0, "queue": 0}
            report = ",".join(f"{name}={values[name]}" for name in self.place.report_fields)
            writer.write(f"PONG {report}\r\n".encode() if verb == b"STATS" else b"PONG\r\n")
        else:
            writer.write(line)

    def leave(self) -> None:
        """End the process: its connections are reset, and new ones are refused."""
        self.place.record.note(self.name, f"its process ends, with {len(self.sessions)} sessions")
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            sock = writer.get_extra_info("socket")
            if sock is not None:  # a close with this option resets the connection
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def restart(self, downtime_s: float) -> None:
        self.leave()
        await asyncio.sleep(downtime_s)
        self.started_ms = time.time_ns() // 1_000_000
        await self.start()


class Discovery:
    """Discovery's agent: the whole list, or a watch with the changes, an empty line every 2 s meanwhile."""

    def __init__(self, place: Place, servers: list[SessionServer]) -> None:
        self.place = place
        self.port = place.free_port()
        self.generation = 1
        self._changes: list[tuple[int, dict[str, Any]]] = [(1, server.entry) for server in servers]
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"{self.place.host}:{self.port}"

    def whole_list(self) -> dict[str, Any]:
        latest = {entry["instanceId"]: entry for _, entry in self._changes}
        listed = [entry for entry in latest.values() if entry["lifecycle"] != "DELETED"]
        return {"generation": self.generation, "reset": True, "instances": listed}

    def tell(self, entry: dict[str, Any]) -> None:
        self.generation += 1
        self._changes.append((self.generation, entry))
        self.place.record.note("discovery", f"tells {entry['instanceId']} {entry['lifecycle']}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.place.host, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii", "replace")
            target = head.split(" ")[1]
            if "watch=1" not in target:
                body = json.dumps(self.whole_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
            else:
                await self._watch(writer, target)
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, target: str) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        _, found, after = target.partition("after=")
        known = int(after) if found else -1
        page: dict[str, Any] | None = self._page_after(known) if 0 < known <= self.generation else self.whole_list()
        while True:
            line = (json.dumps(page) if page is not None else "").encode() + b"\n"
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            known = self.generation if page is not None else known
            page = None
            if known == self.generation:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), 2.0)
            if known != self.generation:
                page = self._page_after(known)

    def _page_after(self, known: int) -> dict[str, Any]:
        entries = {entry["instanceId"]: entry for number, entry in self._changes if number > known}
        return {"generation": self.generation, "reset": False, "instances": list(entries.values())}


class Engine(Process):
    """The project's emulated coordination engine, as a process; it keeps its state in a file."""

    def __init__(self, place: Place) -> None:
        self.port = place.free_port()
        self.data = place.temporary / "engine"
        self.history = place.temporary / "history"
        command = [sys.executable, "-m", "stoatgw.emulator.engine.server", "--listen", f"{place.host}:{self.port}"]
        super().__init__(place, "engine", [*command, "--data", str(self.data), "--history", str(self.history)], {})

    async def start(self) -> None:
        await self.launch()
        for _ in range(100):
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                await self.read("")
                return
            await asyncio.sleep(0.1)
        raise CaseError("the engine does not answer")

    async def read(self, prefix: str) -> dict[str, str]:
        """Return the keys that begin with a prefix, and their values."""
        first = prefix.encode() or b"\0"
        end = first[:-1] + bytes([first[-1] + 1]) if prefix else b"\xff"
        request = {"key": base64.b64encode(first).decode(), "range_end": base64.b64encode(end).decode()}
        body = json.dumps(request).encode()
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(self.place.host, self.port)
            writer.write(b"POST /v3/kv/range HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            answer = await reader.read()
            writer.close()
        content = json.loads(answer.partition(b"\r\n\r\n")[2])
        return {
            base64.b64decode(each["key"]).decode(): base64.b64decode(each.get("value", "")).decode()
            for each in content.get("kvs", [])
        }

    async def ledger(self, prefix: str) -> dict[str, Any] | None:
        """Return the ledger of a maintenance; None before it is written or while the engine is away."""
        try:
            value = (await self.read(prefix)).get(prefix + "ledger")
        except (OSError, TimeoutError, ValueError):
            return None
        return json.loads(value.splitlines()[1]) if value else None


class Client:
    """A client: asks once, waits for its answer, sends a line every 2 s while it is up, and notes how that ends."""

    def __init__(self, place: Place, name: str, fields: str, wait_ms: int = 2000) -> None:
        self.place = place
        self.name = name
        self.request_id = secrets.token_hex(8)
        self._fields = fields
        self._wait_ms = wait_ms
        self.answer: str | None = None  # "" if the connection ended without one
        self.asked_at = 0.0
        self.answered_at = 0.0
        self.ended_at = 0.0
        self.end = ""  # "moved", "ended" or "reset" once the session is over
        self.lines_back = 0

    async def run(self, port: int) -> None:
        note = self.place.record.note
        reader, writer = await asyncio.open_connection(self.place.host, port)
        group = f"{secrets.randbelow(4) + 1:016x}"
        line = f"OPEN {self.request_id} {secrets.token_hex(8)} {self._fields},d={self._wait_ms},g={group}"
        writer.write(line.encode() + b"\r\n")
        self.asked_at = time.monotonic()
        note(self.name, f"sends {line} to port {port}")
        try:
            answer = await asyncio.wait_for(reader.readline(), self._wait_ms / 1000 + 1.0)
            self.answer = answer.decode("ascii", "replace").strip()
        except TimeoutError:
            self.answer = None
        except OSError as error:
            note(self.name, f"connection broke before an answer: {error}")
            self.answer = ""
        self.answered_at = time.monotonic()
        note(self.name, f"was answered {self.answer!r}")
        if self.answer is not None and self.answer.startswith("UP"):
            talk = asyncio.create_task(self._talk(writer))
            await self._listen(reader)
            talk.cancel()
        writer.close()

    async def _talk(self, writer: asyncio.StreamWriter) -> None:
        for number in itertools.count():
            await asyncio.sleep(2.0)
            with contextlib.suppress(OSError):
                writer.write(f"set {self.name} {number}\r\n".encode())

    async def _listen(self, reader: asyncio.StreamReader) -> None:
        end = "ended"
        try:
            while line := await reader.readline():
                if line.strip() == b"MOVE":
                    end = "moved"
                elif not line.startswith(b"LOAD"):
                    self.lines_back += 1
        except OSError:
            end = "moved" if end == "moved" else "reset"
        self.end = end
        self.ended_at = time.monotonic()
        self.place.record.note(self.name, f"its connection is over: {self.end}")


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, as the example on the page of the wire has them for dk-main."""
    profiles = [
        {"name": "patient-session", "worth": 2.0},
        {"name": "clinic-view", "worth": 1.0},
    ]
    common = {
        "deadline_us": 2_000_000,
        "on_time_us": 500_000,
        "idempotency": "retryable",
        "key_scope": "all",
        "key_ttl_us": 5_000_000,
        "late_value": 0.0,
        "stream": True,
    }
    return {
        "areas": ["aarhus-1", "odense-1"],
        "kinds": ["fast-2c", "std-2c", "slow-2c"],
        "layers": ["session-servers"],
        "tier": 0,
        "locality": 0,
        "balancers": 2,
        "rank": 0,
        "granularity_us": 5000,
        "family": "conn",
        "discovery": "automatic",
        "weights": "nominal",
        "counted_by": "request",
        "clients": {"marks_retry": False},
        "bounds": {
            "probes": True,
            "cancelling": True,
            "retry_after": True,
            "parallel_tries": False,
            "peers": False,
            "max_attempts": 6,
            "max_retry_after_us": 1_000_000,
            "dial_timeout_us": 250_000,
            "conn_idle_us": 5_000_000,
            "cpu_us_per_s": 15_000,
        },
        "domain": {
            "mode": "proxy",
            "groups": True,
            "message_aim_us": [100_000.0, 250_000.0],
            "tells_delay": True,
            "tells_load": False,
        },
        "prices": {"probe": 0.004, "cross_zone": 0.1, "moves": 0.01, "late_fail": 0.08, "waste": 0.2},
        "profiles": [common | profile for profile in profiles],
        "report": {"via": "on_probe", "columns": ["errors_per_s", "outstanding", "utilization", "x0"]},
        "rules": {
            "answer_slack_us": 20_000,
            "drain_grace_us": 3_000_000,
            "cold_from": 0.13,
            "cold_us": 24_000_000,
            "fall_multiple": 4.0,
            "fall_us": 1_000_000,
        },
    } | changes


def config(discovery: Discovery, site_settings: dict[str, Any]) -> dict[str, Any]:
    """Return a proxy's configuration, as the deployment page has it."""
    return {
        "discovery": discovery.address,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole_list(),
        "settings": site_settings,
    }


async def wait_until(condition: Callable[[], Awaitable[Any]], limit_s: float, what: str) -> Any:
    """Wait until a condition returns something true, and return that."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        if found := await condition():
            return found
        await asyncio.sleep(0.05)
    raise CaseError(f"waited {limit_s} s in vain: {what}")


def main(case: Callable[[Place], Awaitable[int]]) -> None:
    """Run a case in the folder that the first argument names; exit with its result."""
    result = asyncio.get_event_loop_policy().new_event_loop().run_until_complete(_run(case, Path(sys.argv[1])))
    sys.stdout.flush()
    os._exit(result)  # all child processes have ended; connections that are still open need no orderly end


async def _run(case: Callable[[Place], Awaitable[int]], folder: Path) -> int:
    place = Place(folder)
    try:
        async with asyncio.timeout(LIMIT_S):
            result = await case(place)
    except (CaseError, TimeoutError, OSError) as error:
        place.record.note("case", f"could not run: {error!r}")
        result = NOT_RUN
    finally:
        for process in place.processes:
            kept = folder / f"log-{process.name}.txt"
            if os.environ.get("KEEP_LOGS") and process.starts:
                shutil.copy(process.log_path, kept)
        await place.end()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[result]
    place.record.note("case", f"{verdict} (exit {result})")
    print(verdict)
    return result
