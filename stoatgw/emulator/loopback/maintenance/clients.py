"""Clients that open one session after another, and count what they observe."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
RECONNECT_DELAY_S = 0.05
MESSAGE_INTERVAL_S = 0.1


@dataclass(slots=True)
class ClientTally:
    """Counts of what the clients of a run observed.

    Attributes:
        answers: Answers to requests, by their first word.
        lost: Requests without an answer, except at proxies in `LoopbackClients.killed_proxies`.
        migrated: Sessions that were ended by MOVE.
        cut_off: Sessions whose connection ended without a last line such as MOVE.
    """

    answers: Counter[str] = field(default_factory=Counter)
    lost: int = 0
    migrated: int = 0
    cut_off: int = 0


class LoopbackClients:
    """The clients of a run, which use all its proxies.

    Attributes:
        tally: What they have observed.
        killed_proxies: Indexes of the proxies that the run has killed or frozen: missing answers there are expected.
    """

    def __init__(self, host: str, ports: list[int]) -> None:
        self._host = host
        self._ports = ports
        self.tally = ClientTally()
        self.killed_proxies: set[int] = set()

    async def run_client(self, number: int) -> None:
        """Run one client, which opens a session at each proxy in turn until it is cancelled."""
        attempt = number
        while True:
            index = attempt % len(self._ports)
            attempt += 1
            try:
                streams = await asyncio.open_connection(self._host, self._ports[index])
            except OSError:  # no proxy listens there: the request was never received
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            with contextlib.suppress(OSError):
                await self._run_session(streams, index, b"%08x%08x" % (number, attempt))
            streams[1].close()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _run_session(self, streams: Streams, index: int, request_id: bytes) -> None:
        reader, writer = streams
        try:
            writer.write(b"OPEN %s 1 c=chat,d=2000\r\n" % request_id)
            first_line = await reader.readline()
        except OSError:
            first_line = b""
        if not first_line.endswith(b"\r\n"):
            if index not in self.killed_proxies:
                self.tally.lost += 1
            return
        self.tally.answers[first_line.split()[0].decode()] += 1
        if first_line.startswith(b"UP"):
            await self._send_messages(reader, writer)

    async def _send_messages(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a line at an interval until the session ends."""
        while True:
            writer.write(b"hello\r\n")
            line = await reader.readline()
            if line != b"hello\r\n":
                break
            await asyncio.sleep(MESSAGE_INTERVAL_S)
        if line.startswith(b"MOVE"):
            self.tally.migrated += 1
        if not line:
            self.tally.cut_off += 1
