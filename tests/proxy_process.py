"""What tests need that run the program itself: a discovery service, a free port, and its log's events."""

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
    """Sends one object to each call and then stays silent; keeps the request lines."""

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
    """A port of 127.0.0.1 that nobody listens on, and that no outgoing connection is given."""
    return addresses.free_port("127.0.0.1")


def write_config(path: Path, **changes: Any) -> None:
    path.write_text(json.dumps(CONFIG | changes))


async def next_event(log: asyncio.StreamReader, name: str) -> dict[str, Any]:
    """The next event of that name in a process's log; those before it are passed over."""
    while line := await log.readline():
        event: dict[str, Any] = json.loads(line)
        if event["event"] == name:
            return event
    raise AssertionError(f"ended before {name}")
