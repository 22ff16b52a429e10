"""A real proxy process between clients that keep sending and servers that answer in pieces; records both sides."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from tests.proxy_rig import ProxyRig

SERVER_NAMES = ("s-1", "s-2")
CLIENT_INTERVAL_S = 0.003  # between two lines of a client
PIECE_INTERVAL_S = 0.001  # between two pieces of a line
RETRY_INTERVAL_S = 0.05  # of a rejected client


def pieces(line: bytes) -> list[bytes]:
    """Return a line in three pieces, the second of which ends between CR and LF."""
    return [line[: len(line) // 2], line[len(line) // 2 : -1], line[-1:]]


async def write_in_pieces(writer: asyncio.StreamWriter, line: bytes) -> None:
    for piece in pieces(line):
        writer.write(piece)
        await asyncio.sleep(PIECE_INTERVAL_S)


@dataclass
class Conversation:
    """One session: the data sent and received by its client and by its server.

    Attributes:
        was_reset: The client's connection ended with a reset.
        has_stalled: Set once the server has written a partial line and stopped.
    """

    number: int
    sent: bytes = b""
    received: bytes = b""
    server_received: bytes = b""
    server_sent: bytes = b""
    was_reset: bool = False
    has_stalled: asyncio.Event = field(default_factory=asyncio.Event)

    def failures(self) -> list[str]:
        """Return what must not happen to a client or server: a reset, a partial or changed line, or no MOVE."""
        lines, separator, rest = self.received.rpartition(b"MOVE\r\n")
        failures = {
            "the client's connection was reset": self.was_reset,
            "no MOVE after a complete line": not separator or bool(rest) or not lines.endswith(b"\n"),
            "a line of the server was changed": not self.server_sent.startswith(lines),
            "a line of the client was changed": not self.sent.startswith(self.server_received),
            "the server was left with a partial line": not (b"\n" + self.server_received).endswith(b"\n"),
        }
        ends = f"the client got ...{self.received[-40:]!r}, the server ...{self.server_received[-40:]!r}"
        return [
            f"session {self.number}: {failure}; {ends}" for failure, has_occurred in failures.items() if has_occurred
        ]


class ConversationRig(ProxyRig):
    """Clients that keep sending, and session servers that answer in pieces."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._by_id: dict[bytes, Conversation] = {}
        self._last_number = 0
        self.servers_stall = False  # in the middle of their next line, permanently
        self._open_sessions = 0  # at all session servers
        self._clients: list[asyncio.Task[None]] = []

    async def start_sessions(self, count: int) -> None:
        """Establish sessions one after the other; their clients keep sending."""
        while len(self._clients) < count:
            await self._start_session()

    async def _start_session(self) -> None:
        self._last_number += 1
        number = self._last_number
        request_id = b"%016x" % number
        conversation = self._by_id[request_id] = Conversation(number)
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(b"OPEN %s 1 c=chat,d=2000\r\n" % request_id)
        conversation.received = await reader.readline()
        if conversation.received.startswith(b"UP"):
            self._clients.append(asyncio.create_task(self._converse(conversation, reader, writer)))
        else:  # rejected: the client retries with a new request
            writer.close()
            del self._by_id[request_id]
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def stall_servers(self) -> None:
        """Make all servers stop in the middle of a line, and wait until they have."""
        self.servers_stall = True
        for conversation in self._by_id.values():
            await conversation.has_stalled.wait()

    async def wait_for_ends(self) -> list[str]:
        """Wait until every session has ended; return their failures."""
        await asyncio.gather(*self._clients)
        return [failure for conversation in self._by_id.values() for failure in conversation.failures()]

    # A client.

    async def _converse(
        self, conversation: Conversation, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sending = asyncio.create_task(self._keep_sending(conversation, writer))
        try:
            while data := await reader.read(4096):
                conversation.received += data
        except ConnectionResetError:
            conversation.was_reset = True
        sending.cancel()
        writer.close()

    async def _keep_sending(self, conversation: Conversation, writer: asyncio.StreamWriter) -> None:
        count = 0
        while not writer.is_closing():
            count += 1
            line = b"M %d %016x\r\n" % (count, conversation.number * count)
            conversation.sent += line
            await write_in_pieces(writer, line)
            await asyncio.sleep(CLIENT_INTERVAL_S)

    # A session server.

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await reader.readline()
        if request.startswith(b"OPEN"):
            self._open_sessions += 1
            with contextlib.suppress(ConnectionError):
                await self._serve_session(self._by_id[request.split()[1]], reader, writer)
            self._open_sessions -= 1
        else:
            while request:
                writer.write(b"PONG x0=%.3f,inflight=%d\r\n" % (self._open_sessions / 1000, self._open_sessions))
                request = await reader.readline()
        writer.close()

    async def _serve_session(
        self, conversation: Conversation, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        answer = b"UP 77\r\n"
        while True:
            conversation.server_sent += answer
            await write_in_pieces(writer, answer)
            line = await reader.readline()
            conversation.server_received += line
            if not line.endswith(b"\n"):
                return
            answer = b"E " + line
            if self.servers_stall:
                writer.write(pieces(answer)[0])
                conversation.has_stalled.set()
                conversation.server_received += await reader.read()
                return


@contextlib.asynccontextmanager
async def conversation_rig(folder: Path) -> AsyncIterator[ConversationRig]:
    """Yield a rig with running services; its processes are always terminated."""
    rig = ConversationRig(folder)
    await rig.start_services(SERVER_NAMES)
    async with rig.running():
        yield rig
