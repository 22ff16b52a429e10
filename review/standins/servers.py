"""A sound session server, as the protocol page describes one."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

from standins.record import Record


@dataclass
class Cold:
    """The warm-up of a server that has just started, with the figures of the settings."""

    started: float
    cold_from: float = 0.13
    cold_s: float = 24.0
    fall_multiple: float = 4.0
    fall_s: float = 1.0

    def fraction(self, now: float) -> float:
        """Return what part of its capacity the server has now: it rises evenly, the slowest that the settings allow."""
        return min(1.0, self.cold_from + (1 - self.cold_from) * (now - self.started) / self.cold_s)

    def allowed(self, capacity: int, now: float) -> tuple[float, float]:
        """Return N, what the settings allow within `fall_s` now, and the number of requests with the slack.

        Capacity is the rate of new connections whose load fills all cores; a cold server can take them no faster than
        fills it over its warm-up.
        """
        allowed = self.fall_multiple * self.fraction(now) * capacity / self.cold_s * self.fall_s
        return allowed, allowed + 3 * allowed**0.5 + 3  # N is under 30 here


@dataclass(eq=False)
class SessionServer:
    """Brings connections up, echoes their lines, and answers probes.

    While it drains it turns new connections away with BUSY; `send_away` ends those that it has with MOVE.
    """

    name: str
    record: Record
    capacity: int = 40  # connections that fill its cores
    drains: bool = False
    setup_s: float = 0.005
    opened: list[tuple[float, str]] = field(default_factory=list)  # first byte of each first line, with the line
    held: dict[str, asyncio.StreamWriter] = field(default_factory=dict)
    stands_still: bool = False
    cold: Cold | None = None
    fallen_at: float | None = None

    async def open(self, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def restart(self) -> None:
        """End as a process that dies, and come back cold at once."""
        self.reset_all()
        self.cold = Cold(self.record.now())

    def _falls(self, now: float) -> bool:
        """Return whether the request that has just come makes the server fall over."""
        if self.cold is None or now - self.cold.started > self.cold.cold_s:
            return False
        count = sum(1 for at, _ in self.opened if max(self.cold.started, now - self.cold.fall_s) <= at)
        allowed, limit = self.cold.allowed(self.capacity, now)
        self.record.write(f"{self.name} is cold: {count} within {self.cold.fall_s:.0f} s; N {allowed:.2f}, {limit:.2f}")
        return count > limit

    def fall(self) -> None:
        """Fall over, and stay down."""
        self.fallen_at = self.record.write(f"{self.name} falls over with {len(self.held)} connections, and stays down")
        self._server.close()
        self.reset_all()

    async def send_away(self) -> None:
        """Begin to drain: all clients are sent away at once."""
        self.drains = True
        for request_id, writer in list(self.held.items()):
            self.record.write(f"{self.name} -> {request_id} MOVE (it drains)")
            with contextlib.suppress(OSError):
                writer.write(b"MOVE\r\n")
                writer.close()

    def reset_all(self) -> None:
        """End as a process that dies: all connections are reset."""
        for writer in list(self.held.values()):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = ""
        with contextlib.suppress(OSError, ConnectionError):
            while line := await reader.readline():
                words = line.decode("ascii", "replace").strip()
                if request_id:
                    if not self.stands_still:
                        writer.write(line)
                elif words in ("STATS", "PING"):
                    writer.write(self._report(words))
                elif words.startswith("OPEN "):
                    self.opened.append((self.record.now(), words))
                    request_id = words.split(" ")[1]
                    if self.fallen_at is None and self._falls(self.opened[-1][0]):
                        self.fall()
                    if self.fallen_at is not None:
                        writer.transport.abort()
                        break
                    if not await self._set_up(request_id, writer):
                        request_id = ""
                        break
                else:
                    self.record.write(f"{self.name} <- {words!r}: SYNTAX")
                    writer.write(b"SYNTAX\r\n")
                    break
        if self.held.pop(request_id, None) is not None:
            self.record.write(f"{self.name}: {request_id} has ended")
        with contextlib.suppress(OSError, ConnectionError):
            writer.close()

    def _report(self, words: str) -> bytes:
        if words == "PING":
            return b"PONG\r\n"
        fraction = self.cold.fraction(self.record.now()) if self.cold is not None else 1.0
        load = len(self.held) / (self.capacity * fraction)  # "load asked of the server over what it can do"
        report = f"eps=0,inflight={len(self.held)},util={min(1.0, load):.3f},x0={load:.3f}"
        return f"PONG {report}\r\n".encode()

    async def _set_up(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(self.setup_s)
        if self.drains:
            self.record.write(f"{self.name} <- OPEN {request_id}: BUSY, it drains")
            writer.write(b"BUSY\r\n")
            return False
        self.record.write(f"{self.name} <- OPEN {request_id}: UP")
        self.held[request_id] = writer
        writer.write(f"UP {self.name}\r\n".encode())
        return True
