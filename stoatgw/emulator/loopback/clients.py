"""Stand-in clients: a connection each, the line, the answer, then a line every so often that must come back."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from stoatgw.emulator.loopback import wire
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.population import Client

if TYPE_CHECKING:
    from stoatgw.emulator.loopback.driver import LoopbackWorld

RESTORE_MS = 40_000


class Visit:
    """One connection of a client to a proxy, from its start to its end."""

    def __init__(self, world: LoopbackWorld, client: Client, proxy: int, at: str = "") -> None:
        population, index = world.realm.population, client.index
        self.world, self.client, self.proxy, self.at = world, client, proxy, at
        self.name = client.next_id()
        self.profile = int(population.profile[index])
        self.group = int(population.group[index])
        each = world.realm.scenario.clients.classes[self.profile]
        self.deadline_ms = round(each.deadline_ms)
        self._aim_us = each.aim_ms * 1000
        fields = [f"c={each.name}", f"d={RESTORE_MS if at else self.deadline_ms}", f"g={self.group:x}"]
        fields += ["again=1"] if client.again else []
        fields += [f"at={at}"] if at else []
        self.line = f"OPEN {self.name} {int(population.key[index]):016x} {','.join(fields)}".encode()
        self.asked_us = world.scheduler.now_us()
        self.client_answered = False
        self.up = asyncio.get_running_loop().create_future()
        self.server = ""
        self._attempts = 0
        self._lines: wire.LineSocket | None = None
        self._waiting: deque[tuple[int, bytes]] = deque()  # lines sent and not answered
        self._sent = 0
        self._last_us = 0  # when the line that counts now was sent; 0: none yet
        self._good = False
        self._leaving = False
        self.task = asyncio.get_running_loop().create_task(self._run())
        world.visits[self.name] = self

    def same_line(self, line: bytes) -> bool:
        """Whether a line is this client's own, but for `d`."""
        return _without_d(line) == _without_d(self.line)

    def next_attempt(self) -> int:
        self._attempts += 1
        return self._attempts - 1

    async def _run(self) -> None:
        world, loop = self.world, asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        lines = self._lines = wire.LineSocket(sock)
        cut = "broken"
        try:
            try:
                async with asyncio.timeout(1.0):
                    await loop.sock_connect(sock, wire.proxy_address(self.proxy, world.base))
            except (OSError, TimeoutError):
                world.unreached(self)
                return
            self.asked_us = world.scheduler.now_us()
            deadline_us = self.asked_us + (RESTORE_MS if self.at else self.deadline_ms) * 1000
            name = world.realm.proxies[self.proxy]
            if not self.at:
                index = str(self.client.index)
                world.realm.log(
                    EventKind.TAKEN, name, self.name, number=deadline_us - world.realm.start_us, detail=index
                )
                world.scheduler.at(deadline_us, partial(world.give_up, self))
            lines.write(self.line + b"\r\n")
            first = await lines.read_line()
            if first is None:
                raise ConnectionError("ended without an answer")
            if not self._answered(first):
                return
            cut = await self._stand(lines)
            if cut == "left":
                return
            world.realm.log(EventKind.MOVED if cut == "moved" else EventKind.OVER, name, self.name, detail=cut)
            if cut != "BYE":
                world.lost(self, cut)
        except OSError as error:
            self._broken(str(error))
        except asyncio.CancelledError:
            cut = "left"
        finally:
            self._book()
            lines.close()
            world.left(self)

    def _answered(self, first: bytes) -> bool:
        """Take the answer; whether the connection stands."""
        world, name = self.world, self.world.realm.proxies[self.proxy]
        word, _, rest = first.partition(b" ")
        kind = {b"UP": "up", b"BUSY": "busy"}.get(word, "err")
        advice_us = int(rest) * 1000 if kind == "busy" and rest.isdigit() else 0
        if not self.at:
            world.realm.log(EventKind.ANSWER, name, self.name, number=advice_us, detail=kind)
        if kind == "up":
            self.server = rest.decode("ascii", "replace")
            world.realm.log(EventKind.UP, name, self.name, self.server, detail=str(self.client.index))
            if not self.up.done():
                self.up.set_result(True)
        elif not self.up.done():
            self.up.set_result(False)
        world.got_answer(self, kind, advice_us)
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
                self.world.fault(f"{self.name}: {line[:60]!r} came back out of order or changed")
                continue
            sent_us, _ = self._waiting.popleft()
            if sent_us == self._last_us:
                self._good = self.world.scheduler.now_us() - sent_us <= self._aim_us
        if moved:
            return moved
        return self._cut_off("ended")

    def _cut_off(self, how: str) -> str:
        """The connection ended with neither MOVE nor BYE: whose doing was it?"""
        world = self.world
        if self._leaving:
            return "left"
        if not world.server_ended(self.name) and world.runs(self.proxy):
            world.realm.log(EventKind.CUT, world.realm.proxies[self.proxy], self.name, self.server, detail=how)
        return "broken"

    def _broken(self, why: str) -> None:
        """A reset, or an end before any answer."""
        world = self.world
        name = world.realm.proxies[self.proxy]
        if not self.up.done():
            self.up.set_result(False)
        if self._leaving:
            return
        if self.server and self._cut_off(why) == "broken":
            world.realm.log(EventKind.OVER, name, self.name, detail="broken")
        world.lost(self, "broken")

    def _beat(self) -> None:
        """Send the next line, and book what the last one showed."""
        lines, world = self._lines, self.world
        if lines is None or lines.closed or self._leaving:
            return
        self._book()
        now_us = world.scheduler.now_us()
        text = b"set %d" % self._sent
        self._sent += 1
        self._last_us, self._good = now_us, False
        self._waiting.append((now_us, text))
        lines.write(text + b"\r\n")
        every_us = int(world.realm.scenario.clients.line_every_s * 1e6)
        world.scheduler.at(now_us + every_us, self._beat)

    def _book(self) -> None:
        """The time since the last line was well served if that line was answered within the aim."""
        if self._last_us and self._good:
            end_us = self.world.realm.start_us + int(self.world.realm.population.end_us[self.client.index])
            now_us = min(self.world.scheduler.now_us(), end_us)
            self.world.realm.ledger.earn(self._last_us, now_us, self.profile, 1, 1.0)
        self._last_us, self._good = 0, False

    def leave(self) -> None:
        """The client ends its side."""
        self._leaving = True
        self.task.cancel()

    def quit(self) -> None:
        """It has had what it wanted: its server ends with BYE."""
        if self._lines is not None and self.server:
            self._book()
            self._lines.write(b"quit\r\n")
            self.world.scheduler.at(self.world.scheduler.now_us() + 10_000_000, self.leave)
        else:
            self.leave()


def _without_d(line: bytes) -> tuple[bytes, tuple[bytes, ...]]:
    head, _, fields = line.rpartition(b" ")
    return head, tuple(part for part in fields.split(b",") if not part.startswith(b"d="))
