"""Stand-in clients: a connection each, the line, the answer, then a line every so often that must come back."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from stoatgw.emulator.loopback import wire
from stoatgw.emulator.world.client import Client
from stoatgw.emulator.world.events import EventKind

if TYPE_CHECKING:
    from stoatgw.emulator.loopback.driver import LoopbackDriver

RESTORE_MS = 40_000


class ClientConnection:
    """One connection of a client to a proxy, from its start to its end."""

    def __init__(self, driver: LoopbackDriver, client: Client, proxy: int, at: str = "") -> None:
        population, index = driver.world.population, client.index
        self.driver, self.client, self.proxy, self.pinned_server = driver, client, proxy, at
        self.name = client.next_request_id()
        self.request_class = int(population.request_class[index])
        self.group = int(population.group[index])
        each = driver.world.scenario.clients.classes[self.request_class]
        self.deadline_ms = round(each.deadline_ms)
        self._aim_us = each.aim_ms * 1000
        fields = [f"c={each.name}", f"d={RESTORE_MS if at else self.deadline_ms}", f"g={self.group:x}"]
        fields += ["again=1"] if client.is_returning else []
        fields += [f"at={at}"] if at else []
        self.line = f"OPEN {self.name} {int(population.idempotency_key[index]):016x} {','.join(fields)}".encode()
        self.requested_us = driver.scheduler.now_us()
        self.is_client_answered = False
        self.established = asyncio.get_running_loop().create_future()
        self.server = ""
        self._attempts = 0
        self._lines: wire.LineSocket | None = None
        self._waiting: deque[tuple[int, bytes]] = deque()  # lines sent and not answered
        self._sent = 0
        self._last_us = 0  # when the line that counts now was sent; 0: none yet
        self._good = False
        self._leaving = False
        self.task = asyncio.get_running_loop().create_task(self._run())
        driver.sessions[self.name] = self

    def matches_request(self, line: bytes) -> bool:
        """Whether a line is this client's own, but for `d`."""
        return _without_d(line) == _without_d(self.line)

    def next_attempt(self) -> int:
        self._attempts += 1
        return self._attempts - 1

    async def _run(self) -> None:
        driver, loop = self.driver, asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        lines = self._lines = wire.LineSocket(sock)
        cut = "broken"
        try:
            try:
                async with asyncio.timeout(1.0):
                    await loop.sock_connect(sock, wire.proxy_address(self.proxy, driver.base))
            except (OSError, TimeoutError):
                driver.record_unreachable(self)
                return
            self.requested_us = driver.scheduler.now_us()
            deadline_us = self.requested_us + (RESTORE_MS if self.pinned_server else self.deadline_ms) * 1000
            name = driver.world.proxy_names[self.proxy]
            if not self.pinned_server:
                index = str(self.client.index)
                driver.world.log(
                    EventKind.REQUEST_RECEIVED,
                    name,
                    self.name,
                    number=deadline_us - driver.world.start_us,
                    detail=index,
                )
                driver.scheduler.call_at(deadline_us, partial(driver.time_out, self))
            lines.write(self.line + b"\r\n")
            first = await lines.read_line()
            if first is None:
                raise ConnectionError("ended without an answer")
            if not self._answered(first):
                return
            cut = await self._stand(lines)
            if cut == "left":
                return
            driver.world.log(
                EventKind.SESSION_MIGRATED if cut == "moved" else EventKind.SESSION_ENDED, name, self.name, detail=cut
            )
            if cut != "BYE":
                driver.receive_disconnect(self, cut)
        except OSError as error:
            self._broken(str(error))
        except asyncio.CancelledError:
            cut = "left"
        finally:
            self._book()
            lines.close()
            driver.on_session_closed(self)

    def _answered(self, first: bytes) -> bool:
        """Take the answer; whether the connection stands."""
        driver, name = self.driver, self.driver.world.proxy_names[self.proxy]
        word, _, rest = first.partition(b" ")
        kind = {b"UP": "up", b"BUSY": "busy"}.get(word, "err")
        advice_us = int(rest) * 1000 if kind == "busy" and rest.isdigit() else 0
        if not self.pinned_server:
            driver.world.log(EventKind.REQUEST_ANSWERED, name, self.name, number=advice_us, detail=kind)
        if kind == "up":
            self.server = rest.decode("ascii", "replace")
            driver.world.log(EventKind.SESSION_ESTABLISHED, name, self.name, self.server, detail=str(self.client.index))
            if not self.established.done():
                self.established.set_result(True)
        elif not self.established.done():
            self.established.set_result(False)
        driver.receive_answer(self, kind, advice_us)
        return kind == "up" and not self._leaving

    async def _stand(self, lines: wire.LineSocket) -> str:
        """Lines go out and must come back, unchanged and in their order; how the connection ended."""
        self._beat()
        moved = ""
        while (line := await lines.read_line()) is not None:
            if line in (b"MOVE", b"BYE"):
                moved = "moved" if line == b"MOVE" else "BYE"
                continue
            if line.startswith(b"LOAD "):
                continue
            if not self._waiting or self._waiting[0][1] != line:
                self.driver.report_protocol_violation(f"{self.name}: {line[:60]!r} came back out of order or changed")
                continue
            sent_us, _ = self._waiting.popleft()
            if sent_us == self._last_us:
                self._good = self.driver.scheduler.now_us() - sent_us <= self._aim_us
        if moved:
            return moved
        return self._cut_off("ended")

    def _cut_off(self, how: str) -> str:
        """The connection ended with neither MOVE nor BYE: whose doing was it?"""
        driver = self.driver
        if self._leaving:
            return "left"
        if not driver.has_server_ended(self.name) and driver.is_running(self.proxy):
            driver.world.log(
                EventKind.SESSION_BROKEN, driver.world.proxy_names[self.proxy], self.name, self.server, detail=how
            )
        return "broken"

    def _broken(self, why: str) -> None:
        """A reset, or an end before any answer."""
        driver = self.driver
        name = driver.world.proxy_names[self.proxy]
        if not self.established.done():
            self.established.set_result(False)
        if self._leaving:
            return
        if self.server and self._cut_off(why) == "broken":
            driver.world.log(EventKind.SESSION_ENDED, name, self.name, detail="broken")
        driver.receive_disconnect(self, "broken")

    def _beat(self) -> None:
        """Send the next line, and book what the last one showed."""
        lines, driver = self._lines, self.driver
        if lines is None or lines.closed or self._leaving:
            return
        self._book()
        now_us = driver.scheduler.now_us()
        text = b"set %d" % self._sent
        self._sent += 1
        self._last_us, self._good = now_us, False
        self._waiting.append((now_us, text))
        lines.write(text + b"\r\n")
        every_us = int(driver.world.scenario.clients.line_every_s * 1e6)
        driver.scheduler.call_at(now_us + every_us, self._beat)

    def _book(self) -> None:
        """The time since the last line was well served if that line was answered within the aim."""
        if self._last_us and self._good:
            end_us = self.driver.world.start_us + int(self.driver.world.population.departure_us[self.client.index])
            now_us = min(self.driver.scheduler.now_us(), end_us)
            self.driver.world.accounting.record_service(self._last_us, now_us, self.request_class, 1, 1.0)
        self._last_us, self._good = 0, False

    def disconnect(self) -> None:
        """The client ends its side."""
        self._leaving = True
        self.task.cancel()

    def finish(self) -> None:
        """It has had what it wanted: its server ends with BYE."""
        if self._lines is not None and self.server:
            self._book()
            self._lines.write(b"quit\r\n")
            self.driver.scheduler.call_at(self.driver.scheduler.now_us() + 10_000_000, self.disconnect)
        else:
            self.disconnect()


def _without_d(line: bytes) -> tuple[bytes, tuple[bytes, ...]]:
    head, _, fields = line.rpartition(b" ")
    return head, tuple(part for part in fields.split(b",") if not part.startswith(b"d="))
