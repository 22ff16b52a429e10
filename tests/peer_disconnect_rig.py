"""A real proxy whose clients and session servers end their connections in every way; what the other side saw of it."""

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

HANG_TIMEOUT_S = 10  # all ends are passed on within a moment: only one that never is takes as long
POLL_INTERVAL_S = 0.02
STEADY_COUNTS = 5  # in a row that are equal
LINGER_RESET = struct.pack("ii", 1, 0)
UP = b"UP 77\r\n"
MOVE = b"MOVE\r\n"
MANY_LINES = (b"x" * 998 + b"\r\n") * 20  # more than one read takes
TIMER_REASONS = ("timed out", "the client sent no request in time")


class Ending(Enum):
    """How a peer ends its connection."""

    CLOSE = "close"
    HALF_CLOSE = "half_close"
    RESET = "reset"


class Peer(Enum):
    """Who ends its connection, and when."""

    SERVER = "server"
    CLIENT = "client"
    SERVER_BEFORE_UP = "server_before_up"
    CLIENT_BEFORE_UP = "client_before_up"
    CLIENT_BEFORE_REQUEST = "client_before_request"


UNREAD = {
    Peer.SERVER: (b"", b"line\r\n", b"half", b"BYE\r\n", MANY_LINES),
    Peer.CLIENT: (b"", b"line\r\n", b"half", MANY_LINES),
    Peer.SERVER_BEFORE_UP: (b"", b"UP 7", UP),
    Peer.CLIENT_BEFORE_UP: (b"",),
    Peer.CLIENT_BEFORE_REQUEST: (b"", b"OPEN 00", b"PING\r\n"),
}


@dataclass(eq=False)
class Case:
    """One connection whose peer ends it, and the other connection of its session.

    Attributes:
        number: Tells the cases apart; its request id.
        peer: Who ends its connection.
        ending: How.
        unread: What it sends just before.
        is_one_turn: The proxy learns of both in one turn of its event loop.
        received: What the other side of the session got.
        was_reset: How the other side's connection ended; None while it has not.
    """

    number: int
    peer: Peer
    ending: Ending
    unread: bytes
    is_one_turn: bool
    received: bytes = b""
    was_reset: bool | None = None
    rejections: int = 0
    attempts: int = 0
    client: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    server: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    has_server: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def request_id(self) -> str:
        """The id of its request, which is new for each time that its client comes."""
        return f"{self.number:08x}{self.rejections:08x}"

    @property
    def is_ended_by_server(self) -> bool:
        """Whether its session server ends it, and not its client."""
        return self.peer in (Peer.SERVER, Peer.SERVER_BEFORE_UP)

    def __str__(self) -> str:
        turns = "one turn" if self.is_one_turn else "two turns"
        return f"{self.peer.value}, {self.ending.value} behind {self.unread[:8]!r} ({len(self.unread)}), {turns}"

    async def end(self) -> None:
        """Ends the peer's connection, with the unread bytes before it."""
        streams = self.server if self.is_ended_by_server else self.client
        assert streams is not None
        _, writer = streams
        writer.write(self.unread)
        if not self.is_one_turn:
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.ending is Ending.HALF_CLOSE:
            writer.write_eof()
            return
        if self.ending is Ending.RESET:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()

    async def observe(self) -> None:
        """Reads the other side's connection to its end."""
        streams = self.client if self.is_ended_by_server else self.server
        if streams is None:
            return  # there is no other side yet
        reader, writer = streams
        try:
            while data := await reader.read(1 << 16):
                self.received += data
            self.was_reset = False
        except ConnectionError:
            self.was_reset = True
        writer.close()

    def faults(self, log: list[dict[str, object]], *, loses_bytes: bool) -> list[str]:
        """What is wrong with what the other side saw, and with what the log says of it."""
        own = [event for event in log if event.get("id") == self.request_id]
        faults = [f"{event['event']}: {event['why']}" for event in own if event.get("why") in TIMER_REASONS]
        if self.peer is not Peer.CLIENT_BEFORE_REQUEST:
            if self.was_reset is None:
                faults.append("the other side was not told")
            if not any(event["event"] == "session_ended" for event in own):
                faults.append("no end in the log")
        if not loses_bytes:
            faults += self._faults_of_bytes(own)
        ends = [event.get("why") or event["reason"] for event in own if event["event"] == "session_ended"]
        return [f"{self}: {fault} (log: {ends})" for fault in faults]

    def _faults_of_bytes(self, own: list[dict[str, object]]) -> Iterator[str]:
        """What is wrong with the bytes that the other side got, and with how they ended."""
        if any(event["event"] == "session_migrating" for event in own):
            yield from self._faults_of_migration()
        elif self.peer is Peer.SERVER:
            yield from self._faults_of_relay(UP + self.unread)
        elif self.peer is Peer.CLIENT:
            # Half a line of a client that resets its connection is of no use to anybody.
            is_cut = self.ending is Ending.RESET
            yield from self._faults_of_relay(self.unread[: self.unread.rfind(b"\n") + 1] if is_cut else self.unread)
        elif self.peer is Peer.SERVER_BEFORE_UP and not self.received:
            yield "no answer"

    def _faults_of_migration(self) -> Iterator[str]:
        """The load may be moved elsewhere before the end is read: the other side gets whole lines and an end then.

        To a client `MOVE` comes behind these lines, and no reset.
        """
        lines = self.received
        is_client_told = True
        sent = self.unread
        if self.peer is Peer.SERVER:
            lines = self.received.removesuffix(MOVE)
            is_client_told = lines != self.received and not self.was_reset
            sent = UP + self.unread
        is_whole = sent.startswith(lines) and lines[-1:] in (b"", b"\n")
        if not is_whole or not is_client_told:
            yield f"migrated behind {self.received[-16:]!r}"

    def _faults_of_relay(self, expected: bytes) -> Iterator[str]:
        if self.received != expected:
            yield f"{len(self.received)} bytes came of {len(expected)}, the last {self.received[-8:]!r}"
        is_announced = self.unread == b"BYE\r\n"
        if self.was_reset is not None and self.was_reset != (self.ending is Ending.RESET and not is_announced):
            yield f"was passed on as {'a reset' if self.was_reset else 'an end'}"


class PeerDisconnectRig(ProxyRig):
    """Session servers and clients that do as their case says."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._checked_servers = 0  # the connection of a server's first health check is kept for the next ones
        self.cases = [
            Case(number, peer, ending, unread, is_one_turn)
            for number, (peer, ending, unread, is_one_turn) in enumerate(
                (peer, ending, unread, is_one_turn)
                for peer, ending, is_one_turn in itertools.product(Peer, Ending, (True, False))
                for unread in UNREAD[peer]
            )
        ]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers health checks, and hands the connection of a request to its case."""
        request = await self._answer_health_checks(reader, writer)
        if not request:
            writer.close()
            return
        case = self.cases[int(request.split()[1][:8], 16)]
        case.attempts += 1
        if case.attempts > 1:  # a retry: the case is about the first attempt
            writer.write(b"ERR no\r\n")
            writer.close()
            return
        if case.peer in (Peer.SERVER, Peer.CLIENT):
            writer.write(UP)
        case.server = reader, writer
        case.has_server.set()

    async def _answer_health_checks(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        """The first line that asks for something else; b"" at the end."""
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
        """Brings a case to the point at which its peer ends its connection."""
        reader, writer = case.client = await asyncio.open_connection(*self.address)
        if case.peer is Peer.CLIENT_BEFORE_REQUEST:
            return
        writer.write(f"OPEN {case.request_id} 1 c=chat,d=30000\r\n".encode())
        if case.peer in (Peer.SERVER_BEFORE_UP, Peer.CLIENT_BEFORE_UP):
            await case.has_server.wait()
            return
        answer = await reader.readline()
        if answer != UP:  # a rejection: the client comes again
            writer.close()
            case.rejections += 1
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.connect(case)
        elif case.peer is Peer.SERVER:
            case.received = answer

    async def play(self, process: asyncio.subprocess.Process, *, loses_bytes: bool = False) -> list[str]:
        """Plays all cases beside each other; what was wrong.

        Args:
            process: The proxy.
            loses_bytes: Its connections break, so that what they held is lost: only ends are looked at.
        """
        descriptors = await self._count_lasting_descriptors(process)
        # Those that wait for UP come last: a proxy places few requests at a server that does not answer.
        for case in sorted(self.cases, key=lambda case: case.peer in (Peer.SERVER_BEFORE_UP, Peer.CLIENT_BEFORE_UP)):
            await self.connect(case)
        observing = [asyncio.create_task(case.observe()) for case in self.cases]
        await asyncio.gather(*(case.end() for case in self.cases if not case.is_one_turn))
        async with _stopped(process):
            await asyncio.gather(*(case.end() for case in self.cases if case.is_one_turn))
        _, hanging = await asyncio.wait(observing, timeout=HANG_TIMEOUT_S)
        for task in hanging:
            task.cancel()
        faults = await self._faults_of_leaks(process, descriptors) if not hanging else []
        await self.stop()
        return faults + [fault for case in self.cases for fault in case.faults(self.log, loses_bytes=loses_bytes)]

    async def _count_lasting_descriptors(self, process: asyncio.subprocess.Process) -> int:
        """The count while the proxy is idle: its first health checks are over, and operators' calls closed."""
        while self._checked_servers < self.server_count:
            await asyncio.sleep(POLL_INTERVAL_S)
        counts = [await self._count_descriptors(process)]
        while len(counts) < STEADY_COUNTS or len(set(counts[-STEADY_COUNTS:])) > 1:
            await asyncio.sleep(POLL_INTERVAL_S)
            counts.append(await self._count_descriptors(process))
        return counts[-1]

    async def _count_descriptors(self, process: asyncio.subprocess.Process) -> int:
        return len(os.listdir(f"/proc/{process.pid}/fd"))

    async def _faults_of_leaks(self, process: asyncio.subprocess.Process, expected: int) -> list[str]:
        """Waits until no connection is left; what is left for good."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while await self._count_descriptors(process) > expected:
                    await asyncio.sleep(POLL_INTERVAL_S)
                return []
        return [f"{await self._count_descriptors(process) - expected} descriptors are left"]


@contextlib.asynccontextmanager
async def _stopped(process: asyncio.subprocess.Process) -> AsyncIterator[None]:
    """Holds a process up, so that it learns of all that comes meanwhile in one turn of its event loop."""
    process.send_signal(signal.SIGSTOP)
    while not _is_stopped(process.pid):
        await asyncio.sleep(POLL_INTERVAL_S)
    yield
    await asyncio.sleep(POLL_INTERVAL_S)  # until all is in its sockets
    process.send_signal(signal.SIGCONT)


def _is_stopped(process_id: int) -> bool:
    state = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()[0]
    return state == "T"
