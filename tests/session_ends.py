"""A real proxy process between clients that keep sending and servers that answer in pieces; what each side got."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from tests.proxy_process import free_port, next_event, start_discovery, write_config
from tests.test_discovery import entry, page

SERVER_NAMES = ("s-1", "s-2")
CLIENT_INTERVAL_S = 0.003  # between two lines of a client
PIECE_INTERVAL_S = 0.001  # between two pieces of a line
RETRY_INTERVAL_S = 0.05  # of a client that was rejected


def pieces(line: bytes) -> list[bytes]:
    """A line in three pieces, the second of which ends in the middle of CRLF."""
    return [line[: len(line) // 2], line[len(line) // 2 : -1], line[-1:]]


async def write_in_pieces(writer: asyncio.StreamWriter, line: bytes) -> None:
    for piece in pieces(line):
        writer.write(piece)
        await asyncio.sleep(PIECE_INTERVAL_S)


@dataclass
class Conversation:
    """One session: what its client wrote and read, and what its server read and wrote.

    Attributes:
        was_reset: The client's connection ended with a reset.
        has_stalled: Its server has written half a line, and writes no more.
    """

    number: int
    sent: bytes = b""
    received: bytes = b""
    server_received: bytes = b""
    server_sent: bytes = b""
    was_reset: bool = False
    has_stalled: asyncio.Event = field(default_factory=asyncio.Event)

    def faults(self) -> list[str]:
        """What a sound client or server complains of: a reset, half a line, a changed line, or no MOVE."""
        lines, separator, rest = self.received.rpartition(b"MOVE\r\n")
        faults = {
            "the client's connection was reset": self.was_reset,
            "no MOVE behind a whole line": not separator or bool(rest) or not lines.endswith(b"\n"),
            "a line of the server was changed": not self.server_sent.startswith(lines),
            "a line of the client was changed": not self.sent.startswith(self.server_received),
            "the server was left with half a line": not (b"\n" + self.server_received).endswith(b"\n"),
        }
        ends = f"the client got ...{self.received[-40:]!r}, the server ...{self.server_received[-40:]!r}"
        return [f"session {self.number}: {fault}; {ends}" for fault, is_seen in faults.items() if is_seen]


class ConversationRig:
    """Session servers and clients in this process, and processes of one proxy between them."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._by_id: dict[bytes, Conversation] = {}
        self._last_number = 0
        self.servers_stall = False  # in the middle of their next line, for good
        self._open_sessions = 0  # at all session servers
        self._clients: list[asyncio.Task[None]] = []
        self._programs: list[asyncio.subprocess.Process] = []
        self._readers: list[asyncio.Task[None]] = []
        self.log: list[dict[str, object]] = []  # of all processes

    async def start_services(self) -> None:
        """Starts the session servers and discovery, and writes the configuration."""
        entries = []
        for name in SERVER_NAMES:
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            entries.append(entry(instanceId=name, hostPort=f"127.0.0.1:{port}"))
        discovery = await start_discovery(json.dumps(page(*entries)).encode() + b"\n")
        host, port = self._listening.getsockname()
        (self._folder / "tmp").mkdir()
        write_config(self._folder / "config.json", listen=f"{host}:{port}", discovery=discovery.address)

    async def start_process(self) -> tuple[asyncio.subprocess.Process, int]:
        """A process of the proxy that is ready, and the port of its second address."""
        port = free_port()
        descriptor = self._listening.fileno()
        variables = {
            "LB_CONFIG": str(self._folder / "config.json"),
            "LB_MANAGEMENT": f"127.0.0.1:{port}",
            "LB_LISTEN_FD": str(descriptor),
            "TMPDIR": str(self._folder / "tmp"),
        }
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "stoatgw", env=os.environ | variables, stdout=-1, pass_fds=[descriptor]
        )
        self._programs.append(program)
        assert program.stdout is not None
        await next_event(program.stdout, "ready")
        self._readers.append(asyncio.create_task(self._read_log(program.stdout)))
        while (await self.call(port, "/v1/readyz", "GET")) != 200:
            await asyncio.sleep(0.02)
        return program, port

    async def _read_log(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            self.log.append(json.loads(line))

    async def call(self, port: int, path: str, method: str = "POST") -> int:
        """The status that the second address answers a call with."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        head = await reader.read()
        writer.close()
        return int(head.split()[1])

    async def start_sessions(self, count: int) -> None:
        """Establishes sessions one after the other; their clients go on sending."""
        while len(self._clients) < count:
            await self._start_session()

    async def _start_session(self) -> None:
        self._last_number += 1
        number = self._last_number
        request_id = b"%016x" % number
        conversation = self._by_id[request_id] = Conversation(number)
        reader, writer = await asyncio.open_connection(*self._listening.getsockname())
        writer.write(b"OPEN %s 1 c=chat,d=2000\r\n" % request_id)
        conversation.received = await reader.readline()
        if conversation.received.startswith(b"UP"):
            self._clients.append(asyncio.create_task(self._converse(conversation, reader, writer)))
        else:  # a rejection: the client comes again, as another request
            writer.close()
            del self._by_id[request_id]
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def stall_servers(self) -> None:
        """Has all servers stop in the middle of a line, and waits until they have."""
        self.servers_stall = True
        for conversation in self._by_id.values():
            await conversation.has_stalled.wait()

    async def wait_for_ends(self) -> list[str]:
        """Waits until every session has ended; what was wrong with them."""
        await asyncio.gather(*self._clients)
        return [fault for conversation in self._by_id.values() for fault in conversation.faults()]

    async def stop(self) -> None:
        """Ends all processes in an orderly way, and waits for the last lines of their logs."""
        for program in self._programs:
            if program.returncode is None:
                program.send_signal(signal.SIGTERM)
            assert await program.wait() == 0
        await asyncio.gather(*self._readers)
        self._listening.close()

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

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
    """A rig whose services run; its processes are ended in any case."""
    rig = ConversationRig(folder)
    await rig.start_services()
    try:
        async with asyncio.timeout(60):
            yield rig
            await rig.stop()
    finally:
        for program in rig._programs:
            if program.returncode is None:
                program.kill()
