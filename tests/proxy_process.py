"""Helpers of tests that run a proxy process: a discovery service, a free port, and the events of the process's log."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stoatgw.emulator.loopback.maintenance import addresses
from tests.test_discovery import CONFIG, HEAD


@dataclass
class StubDiscovery:
    """Answers each request with the same body and then sends nothing more; records the request lines."""

    body: bytes
    requests: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)
    address: str = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.requests.put_nowait(await reader.readline())
        writer.write(HEAD + b"%x\r\n%s\r\n" % (len(self.body), self.body))
        await reader.read()
        writer.close()


async def start_discovery(body: bytes) -> StubDiscovery:
    discovery = StubDiscovery(body)
    await discovery.start()
    return discovery


def free_port() -> int:
    """Return a port of 127.0.0.1 that is not in use and that the system does not assign to outgoing connections."""
    return addresses.free_port("127.0.0.1")


def write_config(path: Path, **changes: Any) -> None:
    path.write_text(json.dumps(CONFIG | changes))


async def next_event(log: asyncio.StreamReader, name: str) -> dict[str, Any]:
    """Return the next event of the given name in a process's log, and skip those before it."""
    while line := await log.readline():
        event: dict[str, Any] = json.loads(line)
        if event["event"] == name:
            return event
    raise AssertionError(f"the log ended before the event {name}")
