"""Sound clients, and the front that shares them out among the proxies that answer PING with PONG."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field

from standins.platform import ping
from standins.record import Record

TICK_S = 2.0
REJOIN_S = (0.13, 0.82)  # "After a break clients come again within 130 to 820 ms."


@dataclass(eq=False)
class Front:
    """Admits proxies by their answers to PING, ten times a second; 0.2 s after a no, new connections stop."""

    ports: list[int]
    record: Record
    admitted: dict[int, bool] = field(default_factory=dict)
    answers: dict[int, list[tuple[float, str]]] = field(default_factory=dict)

    async def run(self) -> None:
        """Ask all proxies until cancelled."""
        await asyncio.gather(*(self._watch(port) for port in self.ports))

    async def _watch(self, port: int) -> None:
        self.answers[port] = []
        last = None
        while True:
            answer = await ping(port)
            self.answers[port].append((self.record.now(), answer))
            if answer != last:
                self.record.write(f"PING to port {port}: {answer or 'no answer'}")
                last = answer
            if answer == "PONG":
                self.admitted[port] = True
            elif self.admitted.get(port):
                asyncio.get_running_loop().call_later(0.2, self._stop, port)
            await asyncio.sleep(0.1)

    def _stop(self, port: int) -> None:
        if self.answers[port][-1][1] != "PONG":
            self.admitted[port] = False

    def pick(self, rng: random.Random) -> int | None:
        """Return the port of a proxy for a new connection."""
        ports = [port for port, admitted in self.admitted.items() if admitted]
        return rng.choice(ports) if ports else None


@dataclass(eq=False)
class Clients:
    """Clients that come at a rate, stay for a while, send a line every 2 s, and come again after MOVE or a break."""

    front: Front
    record: Record
    rng: random.Random
    life_s: tuple[float, float] = (26.0, 60.0)
    view_share: float = 0.25  # of class clinic-view; the others are of class patient-session
    groups: int = 12
    held: dict[str, int] = field(default_factory=dict)  # established connections: the proxy's port by request id
    moved: set[str] = field(default_factory=set)
    ended: list[tuple[float, str, str]] = field(default_factory=list)  # how each connection ended
    tasks: set[asyncio.Task] = field(default_factory=set)
    writers: dict[str, asyncio.StreamWriter] = field(default_factory=dict)
    dropped: set[str] = field(default_factory=set)  # connections that their clients have dropped

    async def arrive(self, per_s: float) -> None:
        """Let clients come until cancelled."""
        while True:
            self.spawn()
            await asyncio.sleep(self.rng.expovariate(per_s))

    def drop(self, share: float, within_s: float) -> int:
        """Let a share of the clients drop within a time, and come again as after any break; return how many."""
        chosen = self.rng.sample(sorted(self.held), int(len(self.held) * share))
        for request_id in chosen:
            asyncio.get_running_loop().call_later(self.rng.uniform(0.0, within_s), self._drop, request_id)
        return len(chosen)

    def _drop(self, request_id: str) -> None:
        if request_id in self.writers:
            self.dropped.add(request_id)
            self.writers[request_id].close()

    def spawn(self) -> None:
        """Let one client come now."""
        task = asyncio.get_running_loop().create_task(self._live())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _live(self) -> None:
        until = self.record.now() + self.rng.uniform(*self.life_s)
        name = "clinic-view" if self.rng.random() < self.view_share else "patient-session"
        request = f"{self.rng.getrandbits(60):x} c={name},d=2000,g={self.rng.randrange(self.groups):016x}"
        again, failures = "", 0
        while self.record.now() < until:
            wait = self.rng.uniform(*REJOIN_S)
            port = self.front.pick(self.rng)
            if port is not None:
                answer = await self._connect(port, until, request + again)
                failures = 0 if answer.startswith("UP") else failures + 1
                again = again or (",again=1" if answer.startswith("UP") else "")
                # It comes again until it is done, not before it is asked to, and waits longer after many failures.
                advised_ms = answer.removeprefix("BUSY").strip()
                wait = wait * 2 ** min(failures, 4) + (int(advised_ms) / 1000 if advised_ms.isdigit() else 0.0)
            await asyncio.sleep(wait)

    async def _connect(self, port: int, until: float, request: str) -> str:
        """Make one try; return the answer, after the connection has ended."""
        request_id = f"{self.rng.getrandbits(64):016x}"
        line = f"OPEN {request_id} {request}"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError as error:
            self._end(request_id, f"not connected: {error}")
            return ""
        self.writers[request_id] = writer
        answer = ""
        with contextlib.suppress(OSError, ConnectionError):
            answer = await self._serve(request_id, port, line, until, reader, writer)
        self.held.pop(request_id, None)
        self.writers.pop(request_id, None)
        writer.close()
        return answer

    async def _serve(self, request_id, port, line, until, reader, writer) -> str:
        self.record.write(f"client -> port {port} {line}")
        writer.write(line.encode() + b"\r\n")
        try:
            answer = (await asyncio.wait_for(reader.readline(), 2.0)).decode().strip()
        except TimeoutError:
            self._end(request_id, "gave up without an answer")
            return ""
        except (OSError, ConnectionError) as error:
            self._end(request_id, f"no answer: {error}")
            return ""
        self.record.write(f"client {request_id} <- {answer or 'closed without an answer'}")
        if answer.startswith("UP"):
            self.held[request_id] = port
            await self._talk(request_id, until, reader, writer)
        else:
            self._end(request_id, answer or "closed without an answer")
        return answer

    async def _talk(self, request_id, until, reader, writer) -> None:
        ticker = asyncio.get_running_loop().create_task(self._tick(writer, until))
        try:
            while True:
                data = (await reader.readline()).decode().strip()
                if data == "MOVE":
                    self.moved.add(request_id)
                    self._end(request_id, "MOVE")
                    return
                if not data:
                    has_left = self.record.now() >= until or request_id in self.dropped
                    self._end(request_id, "left" if has_left else "cut off without MOVE")
                    return
        except (OSError, ConnectionError) as error:
            has_left = request_id in self.dropped
            self._end(request_id, "left" if has_left else f"cut off without MOVE: {error}")
        finally:
            ticker.cancel()

    async def _tick(self, writer, until) -> None:
        number = 0
        while self.record.now() < until:
            writer.write(b"set %d\r\n" % number)
            number += 1
            await asyncio.sleep(TICK_S)
        writer.write_eof()

    def _end(self, request_id: str, how: str) -> None:
        self.ended.append((self.record.write(f"client {request_id}: {how}"), request_id, how))
