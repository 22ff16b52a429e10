"""A real proxy whose clients and session servers disconnect in every way; records what the other side observes."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import struct
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from tests.proxy_rig import ProxyRig

HANG_TIMEOUT_S = 10  # exceeded only if a disconnection is never propagated: all others are almost immediately
POLL_INTERVAL_S = 0.02
STEADY_COUNTS = 5  # consecutive equal counts that show a steady state
LINGER_RESET = struct.pack("ii", 1, 0)
UP = b"UP 77\r\n"
MOVE = b"MOVE\r\n"
MANY_LINES = (b"x" * 998 + b"\r\n") * 20  # more than one read returns
TIMER_REASONS = ("timed out", "the client sent no request in time")


class CloseMethod(Enum):
    """How a peer ends its connection."""

    CLOSE = "close"
    HALF_CLOSE = "half_close"
    RESET = "reset"


class DisconnectingPeer(Enum):
    """The side that ends its connection, and when."""

    SERVER = "server"
    CLIENT = "client"
    SERVER_BEFORE_UP = "server_before_up"
    CLIENT_BEFORE_UP = "client_before_up"
    CLIENT_BEFORE_REQUEST = "client_before_request"


LAST_DATA = {
    DisconnectingPeer.SERVER: (b"", b"line\r\n", b"half", b"BYE\r\n", MANY_LINES),
    DisconnectingPeer.CLIENT: (b"", b"line\r\n", b"half", MANY_LINES),
    DisconnectingPeer.SERVER_BEFORE_UP: (b"", b"UP 7", UP),
    DisconnectingPeer.CLIENT_BEFORE_UP: (b"",),
    DisconnectingPeer.CLIENT_BEFORE_REQUEST: (b"", b"OPEN 00", b"PING\r\n"),
}


@dataclass(eq=False)
class Case:
    """One connection whose peer ends it, and the other connection of its session.

    Attributes:
        number: Identifies the case; a part of its request id.
        peer: The side that ends its connection.
        method: How it ends its connection.
        last_data: What it sends just before.
        is_one_iteration: The proxy is notified of both in one iteration of its event loop.
        received: What the other side of the session received.
        was_reset: Whether the other side's connection ended with a reset; None while it is open.
    """

    number: int
    peer: DisconnectingPeer
    method: CloseMethod
    last_data: bytes
    is_one_iteration: bool
    received: bytes = b""
    was_reset: bool | None = None
    rejections: int = 0
    attempts: int = 0
    client: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    server: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    has_server: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def request_id(self) -> str:
        """The id of its request, a new one for each retry of the client."""
        return f"{self.number:08x}{self.rejections:08x}"

    @property
    def is_ended_by_server(self) -> bool:
        """Whether the session server ends its connection, and not the client."""
        return self.peer in (DisconnectingPeer.SERVER, DisconnectingPeer.SERVER_BEFORE_UP)

    def __str__(self) -> str:
        when = "one iteration" if self.is_one_iteration else "two iterations"
        return f"{self.peer.value}, {self.method.value} after {self.last_data[:8]!r} ({len(self.last_data)}), {when}"

    async def end(self) -> None:
        """Send the last data, and end the peer's connection."""
        streams = self.server if self.is_ended_by_server else self.client
        assert streams is not None
        _, writer = streams
        writer.write(self.last_data)
        if not self.is_one_iteration:
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.method is CloseMethod.HALF_CLOSE:
            writer.write_eof()
            return
        if self.method is CloseMethod.RESET:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()

    async def observe(self) -> None:
        """Read the other side's connection until it ends."""
        streams = self.client if self.is_ended_by_server else self.server
        if streams is None:
            return  # the other side is not connected yet
        reader, writer = streams
        try:
            while data := await reader.read(1 << 16):
                self.received += data
            self.was_reset = False
        except ConnectionError:
            self.was_reset = True
        writer.close()

    def failures(self, log: list[dict[str, object]], *, loses_data: bool) -> list[str]:
        """Return what is wrong with what the other side observed, and with the log of it."""
        own_events = [event for event in log if event.get("id") == self.request_id]
        failures = [f"{event['event']}: {event['why']}" for event in own_events if event.get("why") in TIMER_REASONS]
        if self.peer is not DisconnectingPeer.CLIENT_BEFORE_REQUEST:
            if self.was_reset is None:
                failures.append("the other side was not notified")
            if not any(event["event"] == "session_ended" for event in own_events):
                failures.append("no end in the log")
        if not loses_data:
            failures += self._data_failures(own_events)
        ends = [event.get("why") or event["reason"] for event in own_events if event["event"] == "session_ended"]
        return [f"{self}: {failure} (log: {ends})" for failure in failures]

    def _data_failures(self, own_events: list[dict[str, object]]) -> Iterator[str]:
        """Yield what is wrong with the data that the other side received, and with how it ended."""
        if any(event["event"] == "session_migrating" for event in own_events):
            yield from self._migration_failures()
        elif self.peer is DisconnectingPeer.SERVER:
            yield from self._relay_failures(UP + self.last_data)
        elif self.peer is DisconnectingPeer.CLIENT:
            # A partial line of a client that resets its connection is dropped.
            is_cut = self.method is CloseMethod.RESET
            yield from self._relay_failures(
                self.last_data[: self.last_data.rfind(b"\n") + 1] if is_cut else self.last_data
            )
        elif self.peer is DisconnectingPeer.SERVER_BEFORE_UP and not self.received:
            yield "no answer"

    def _migration_failures(self) -> Iterator[str]:
        """Yield what is wrong if the session was migrated before the disconnection was read.

        The other side then gets complete lines and an EOF; a client gets `MOVE` after these lines, and no reset.
        """
        lines = self.received
        is_client_notified = True
        sent = self.last_data
        if self.peer is DisconnectingPeer.SERVER:
            lines = self.received.removesuffix(MOVE)
            is_client_notified = lines != self.received and not self.was_reset
            sent = UP + self.last_data
        is_complete = sent.startswith(lines) and lines[-1:] in (b"", b"\n")
        if not is_complete or not is_client_notified:
            yield f"migrated after {self.received[-16:]!r}"

    def _relay_failures(self, expected: bytes) -> Iterator[str]:
        if self.received != expected:
            yield f"{len(self.received)} of {len(expected)} bytes were received, the last {self.received[-8:]!r}"
        is_announced = self.last_data == b"BYE\r\n"
        if self.was_reset is not None and self.was_reset != (self.method is CloseMethod.RESET and not is_announced):
            yield f"was propagated as {'a reset' if self.was_reset else 'an EOF'}"


class PeerDisconnectRig(ProxyRig):
    """Session servers and clients that behave as their case says."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._checked_servers = 0  # by a first health check, whose connection is kept for the next ones
        self.cases = [
            Case(number, peer, method, last_data, is_one_iteration)
            for number, (peer, method, last_data, is_one_iteration) in enumerate(
                (peer, method, last_data, is_one_iteration)
                for peer, method, is_one_iteration in itertools.product(DisconnectingPeer, CloseMethod, (True, False))
                for last_data in LAST_DATA[peer]
            )
        ]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer health checks, and assign the connection of a request to its case."""
        request = await self._answer_health_checks(reader, writer)
        if not request:
            writer.close()
            return
        case = self.cases[int(request.split()[1][:8], 16)]
        case.attempts += 1
        if case.attempts > 1:  # a retry: the case tests the first attempt
            writer.write(b"ERR no\r\n")
            writer.close()
            return
        if case.peer in (DisconnectingPeer.SERVER, DisconnectingPeer.CLIENT):
            writer.write(UP)
        case.server = reader, writer
        case.has_server.set()

    async def _answer_health_checks(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        """Answer health checks until another line is received, and return that line; b"" at the end of the stream."""
        with contextlib.suppress(ConnectionError):
            request = await reader.readline()
            if request and not request.startswith(b"OPEN"):
                self._checked_servers += 1
            while request and not request.startswith(b"OPEN"):
                writer.write(b"PONG x0=0.001,inflight=1\r\n")
                request = await reader.readline()
            return request
        return b""

    async def connect(self, case: Case) -> None:
        """Bring a case to the point at which its peer ends its connection."""
        reader, writer = case.client = await asyncio.open_connection(*self.address)
        if case.peer is DisconnectingPeer.CLIENT_BEFORE_REQUEST:
            return
        writer.write(f"OPEN {case.request_id} 1 c=chat,d=30000\r\n".encode())
        if case.peer in (DisconnectingPeer.SERVER_BEFORE_UP, DisconnectingPeer.CLIENT_BEFORE_UP):
            await case.has_server.wait()
            return
        answer = await reader.readline()
        if answer != UP:  # rejected: the client retries
            writer.close()
            case.rejections += 1
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.connect(case)
        elif case.peer is DisconnectingPeer.SERVER:
            case.received = answer

    async def run_cases(self, process: asyncio.subprocess.Process, *, loses_data: bool = False) -> list[str]:
        """Run all cases concurrently; return the failures.

        Args:
            process: The proxy.
            loses_data: Its connections break, so that the data in flight is lost: only disconnections are checked.
        """
        descriptors = await self._count_idle_descriptors(process)
        # Those that wait for UP come last: a proxy sends few requests to a server that does not answer.
        for case in sorted(
            self.cases,
            key=lambda case: case.peer in (DisconnectingPeer.SERVER_BEFORE_UP, DisconnectingPeer.CLIENT_BEFORE_UP),
        ):
            await self.connect(case)
        observing = [asyncio.create_task(case.observe()) for case in self.cases]
        await asyncio.gather(*(case.end() for case in self.cases if not case.is_one_iteration))
        async with _stopped(process):
            await asyncio.gather(*(case.end() for case in self.cases if case.is_one_iteration))
        _, hanging = await asyncio.wait(observing, timeout=HANG_TIMEOUT_S)
        for task in hanging:
            task.cancel()
        failures = await self._descriptor_leaks(process, descriptors) if not hanging else []
        await self.stop()
        return failures + [failure for case in self.cases for failure in case.failures(self.log, loses_data=loses_data)]

    async def _count_idle_descriptors(self, process: asyncio.subprocess.Process) -> int:
        """Return the count while the proxy is idle: its first health checks are over, and no operator is connected."""
        while self._checked_servers < self.server_count:
            await asyncio.sleep(POLL_INTERVAL_S)
        counts = [await self._count_descriptors(process)]
        while len(counts) < STEADY_COUNTS or len(set(counts[-STEADY_COUNTS:])) > 1:
            await asyncio.sleep(POLL_INTERVAL_S)
            counts.append(await self._count_descriptors(process))
        return counts[-1]

    async def _count_descriptors(self, process: asyncio.subprocess.Process) -> int:
        return len(os.listdir(f"/proc/{process.pid}/fd"))

    async def _descriptor_leaks(self, process: asyncio.subprocess.Process, expected: int) -> list[str]:
        """Wait until no connection is left; return what is leaked."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while await self._count_descriptors(process) > expected:
                    await asyncio.sleep(POLL_INTERVAL_S)
                return []
        return [f"{await self._count_descriptors(process) - expected} descriptors are leaked"]


@contextlib.asynccontextmanager
async def _stopped(process: asyncio.subprocess.Process) -> AsyncIterator[None]:
    """Stop a process, so that it is notified of all events of that time in one iteration of its event loop."""
    process.send_signal(signal.SIGSTOP)
    while not _is_stopped(process.pid):
        await asyncio.sleep(POLL_INTERVAL_S)
    yield
    await asyncio.sleep(POLL_INTERVAL_S)  # until all data is in its socket buffers
    process.send_signal(signal.SIGCONT)


def _is_stopped(process_id: int) -> bool:
    state = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()[0]
    return state == "T"
