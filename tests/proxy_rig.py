"""Real processes of one proxy on one listening socket, between services that run in the test's own process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any, Self

from tests.proxy_process import free_port, next_event, start_discovery, write_config
from tests.test_discovery import entry, page

RIG_TIMEOUT_S = 60  # only a session or a process that hangs takes as long


class ProxyRig:
    """Processes of one proxy; subclasses serve the sessions of their clients."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._programs: list[asyncio.subprocess.Process] = []
        self._readers: list[asyncio.Task[None]] = []
        self.log: list[dict[str, Any]] = []  # of all processes
        self.server_count = 0

    @property
    def address(self) -> tuple[str, int]:
        """Where clients connect."""
        host, port = self._listening.getsockname()
        return host, port

    async def start_services(self, server_names: Sequence[str], **changes: Any) -> None:
        """Starts the session servers and discovery, and writes the configuration."""
        self.server_count = len(server_names)
        entries = []
        for name in server_names:
            server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            entries.append(entry(instanceId=name, hostPort=f"127.0.0.1:{port}"))
        discovery = await start_discovery(json.dumps(page(*entries)).encode() + b"\n")
        host, port = self.address
        (self._folder / "tmp").mkdir()
        write_config(self._folder / "config.json", listen=f"{host}:{port}", discovery=discovery.address, **changes)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection to a session server."""
        raise NotImplementedError

    async def start_process(self, module: Sequence[str] = ("stoatgw",)) -> tuple[asyncio.subprocess.Process, int]:
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
            sys.executable, "-m", *module, env=os.environ | variables, stdout=-1, pass_fds=[descriptor]
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

    async def stop(self) -> None:
        """Ends all processes in an orderly way, and waits for the last lines of their logs."""
        for program in self._programs:
            if program.returncode is None:
                program.send_signal(signal.SIGTERM)
            assert await program.wait() == 0
        await asyncio.gather(*self._readers)
        self._listening.close()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[Self]:
        """Ends all processes in any case."""
        try:
            async with asyncio.timeout(RIG_TIMEOUT_S):
                yield self
                await self.stop()
        finally:
            for program in self._programs:
                if program.returncode is None:
                    program.kill()
