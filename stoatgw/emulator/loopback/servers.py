"""Stand-in session servers: a model's machine behind one listening address for each proxy."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from stoatgw.emulator.loopback import wire
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.server_model import HeldConnection, ServerLifecycle, ServerModel

if TYPE_CHECKING:
    from stoatgw.emulator.loopback.driver import LoopbackDriver


class ServerConnection:
    """One proxy's connection to a machine that carries, or asks to carry, a client."""

    def __init__(self, server: ServerEndpoint, lines: wire.LineSocket, proxy: int, task: asyncio.Task[None]) -> None:
        self.server, self.lines, self.proxy, self._task = server, lines, proxy, task
        self.req = ""
        self.attempt = 0
        self.out = False  # sent, and neither up nor over
        self.up = False
        self.muted = False
        self.ended_by_server = ""
        self.stood_us = 0
        self.answers: deque[bytes] = deque()  # lines on their way back
        self.answer_us = 0  # when the last line is answered that came so far

    def over(self, how: str) -> None:
        """The attempt is no longer out."""
        if self.out:
            self.out = False
            driver = self.server.driver
            driver.world.log(
                EventKind.ATTEMPT_ENDED,
                driver.world.proxy_names[self.proxy],
                self.req,
                self.server.name,
                self.attempt,
                how,
            )

    def end(self, how: str, line: bytes = b"", *, reset: bool = False) -> None:
        """The server ends the connection."""
        self.ended_by_server = self.ended_by_server or how
        self.over(how)
        if line:
            self.lines.write(line)
        if reset:
            self._task.cancel()
        else:
            self.lines.end()


class ServerEndpoint:
    def __init__(self, driver: LoopbackDriver, machine: ServerModel, number: int) -> None:
        self.driver, self.machine, self.number = driver, machine, number
        self.name = machine.properties.name
        self._listeners: dict[int, tuple[socket.socket, asyncio.Task[None]]] = {}
        self._plugs: dict[int, list[socket.socket]] = {}
        self.links: set[ServerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        loop = asyncio.get_running_loop()
        for proxy in range(len(self.driver.world.proxy_names)):
            sock = wire.listen(wire.server_address(self.number, proxy, self.driver.base))
            self._listeners[proxy] = (sock, loop.create_task(self._accept(sock, proxy)))

    def refuse(self) -> None:
        """The process is gone: newcomers are refused, what stands is reset."""
        for sock, task in self._listeners.values():
            task.cancel()
            task.add_done_callback(lambda _, s=sock: s.close())  # type: ignore[misc]
        self._listeners.clear()
        for link in list(self.links):
            link.end("died", reset=True)

    def mute(self, proxy: int, muted: bool) -> None:
        """Nothing passes between it and a proxy: what stands is silent, and newcomers never come up."""
        for link in self.links:
            if link.proxy == proxy:
                link.muted = muted
        if proxy not in self._listeners:
            return
        sock, task = self._listeners[proxy]
        if muted and proxy not in self._plugs:
            task.cancel()
            # A full backlog drops what comes: the kernel of a machine that is gone would not answer either.
            sock.listen(0)
            self._plugs[proxy] = []
            for _ in range(3):
                plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                plug.setblocking(False)
                plug.connect_ex(sock.getsockname())
                self._plugs[proxy].append(plug)
        elif not muted and proxy in self._plugs:
            for plug in self._plugs.pop(proxy):
                plug.close()
            sock.listen(1024)
            self._listeners[proxy] = (sock, asyncio.get_running_loop().create_task(self._accept(sock, proxy)))

    async def stop(self) -> None:
        self.refuse()
        tasks = [task for task in self._tasks if not task.done()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=2.0)
        for plugs in self._plugs.values():
            for plug in plugs:
                plug.close()

    async def _accept(self, sock: socket.socket, proxy: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                taken, _ = await loop.sock_accept(sock)
            except OSError:
                await asyncio.sleep(0.01)
                continue
            task = loop.create_task(self._serve(wire.LineSocket(taken), proxy))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, lines: wire.LineSocket, proxy: int) -> None:
        link: ServerConnection | None = None
        reset = False
        try:
            while (line := await lines.read_line()) is not None:
                if line in (b"STATS", b"PING"):
                    self._probed(lines, line)
                elif line.startswith(b"OPEN ") and link is None:
                    task = asyncio.current_task()
                    if task is None:
                        return
                    link = ServerConnection(self, lines, proxy, task)
                    self.links.add(link)
                    self._asked(link, line)
                elif link is not None and link.up:
                    self._message(link, line)
                else:
                    lines.write(b"SYNTAX\r\n")
                    return
            if link is not None:
                link.lines.end()
        except asyncio.CancelledError:
            reset = link is not None and bool(link.ended_by_server)
        except OSError:
            pass
        finally:
            if link is not None:
                self.links.discard(link)
                link.over("closed by the proxy")
                self._released(link)
            lines.close(reset=reset)

    def _released(self, link: ServerConnection) -> None:
        driver = self.driver
        if link.up:
            link.up = False
            span_us = driver.scheduler.now_us() - link.stood_us
            driver.counts["stood_us"] += span_us
            driver.counts["cross_us"] += span_us * (self.machine.properties.zone != driver.world.proxy_zone(link.proxy))
        self.machine.remove_connection(driver.scheduler.now_us(), link.req)

    def _probed(self, lines: wire.LineSocket, line: bytes) -> None:
        driver, machine = self.driver, self.machine
        driver.counts["probes"] += 1
        at_us = machine.handle_health_check(driver.scheduler.now_us())
        text = b"PONG"
        if line == b"STATS":
            text += b" " + ",".join(f"{name}={value:.4f}" for name, value in machine.report.items()).encode()
        driver.scheduler.call_at(at_us, partial(lines.write, text + b"\r\n"))

    def _asked(self, link: ServerConnection, line: bytes) -> None:
        """The first line has come whole."""
        driver, machine, now_us = self.driver, self.machine, self.driver.scheduler.now_us()
        words = line.split(b" ")
        fields = dict(part.partition(b"=")[::2] for part in words[-1].split(b","))
        link.req = words[1].decode("ascii", "replace")
        visit = driver.sessions.get(link.req)
        if visit is None or not visit.matches_request(line):
            driver.report_protocol_violation(f"{self.name}: a line that no client sent in this form: {line[:120]!r}")
            link.end("syntax", b"SYNTAX\r\n")
            return
        if b"at" in fields:
            self._stands(link)
            return
        driver.counts["attempts"] += 1
        driver.expire_closed_attempts(link.req)
        link.attempt, link.out = visit.next_attempt(), True
        name = driver.world.proxy_names[link.proxy]
        units = machine.expected_load_units(visit.group)
        driver.world.log(EventKind.ATTEMPT_SENT, name, link.req, self.name, link.attempt)
        driver.world.log(EventKind.ATTEMPT_EXECUTED, name, link.req, self.name, link.attempt, f"{units:g}")
        driver.track_attempt(link)
        cut_us = now_us + int(fields.get(b"d", b"0")) * 1000
        answer = machine.handle_open(now_us, units, visit.group, cut_us)
        if answer.outcome == "reset":
            link.end("reset", reset=True)
            return
        driver.scheduler.call_at(answer.decided_at_us, partial(self._ready, link, answer.outcome, machine.started_us))

    def _ready(self, link: ServerConnection, how: str, started_us: int) -> None:
        machine = self.machine
        if machine.started_us == started_us and machine.setups_in_progress > 0:
            machine.finish_setup()
        if (
            link.lines.closed
            or link not in self.links
            or machine.lifecycle in (ServerLifecycle.GONE, ServerLifecycle.VANISHED)
        ):
            return
        if link.lines.ended():  # its proxy waits no more
            link.over("given up")
            return
        if how == "busy" or machine.lifecycle is not ServerLifecycle.SERVING:
            link.end("busy", b"BUSY\r\n")
            return
        link.over("up")
        self._stands(link)

    def _stands(self, link: ServerConnection) -> None:
        driver = self.driver
        visit = driver.sessions[link.req]
        units, change_us = visit.client.next_load()
        drop = partial(link.end, "dropped", reset=True)
        now_us = driver.scheduler.now_us()
        self.machine.add_connection(
            now_us, HeldConnection(link.req, visit.request_class, units, visit.group, True, drop)
        )
        link.up, link.stood_us = True, now_us
        driver.scheduler.call_at(now_us + change_us, partial(self._change, link))
        link.lines.write(f"UP {self.name}\r\n".encode())

    def _change(self, link: ServerConnection) -> None:
        if link.up and link in self.links:
            units, change_us = self.driver.sessions[link.req].client.next_load()
            now_us = self.driver.scheduler.now_us()
            self.machine.update_load(now_us, link.req, units)
            self.driver.scheduler.call_at(now_us + change_us, partial(self._change, link))

    def _message(self, link: ServerConnection, line: bytes) -> None:
        """A line of the client: it comes back when the machine has got to it; `quit` ends with BYE."""
        machine, now_us = self.machine, self.driver.scheduler.now_us()
        if link.muted:
            return
        machine.advance_to(now_us)
        if line == b"quit":
            link.end("BYE", b"BYE\r\n")
            return
        # Lines of one connection are answered in their order, however long each would take by itself.
        link.answer_us = max(link.answer_us + 1, now_us + int(machine.draw_message_latency_s() * 1e6))
        link.answers.append(line + b"\r\n")
        self.driver.scheduler.call_at(link.answer_us, partial(self._answer, link))

    @staticmethod
    def _answer(link: ServerConnection) -> None:
        # The oldest, whichever timer fired: the loop's timers count whole milliseconds, and two may change places.
        line = link.answers.popleft()
        if link.up and not link.muted and not link.ended_by_server:
            link.lines.write(line)


async def cancelled(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it is over."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
