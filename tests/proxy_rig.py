"""Real processes of one proxy on one listening socket; session servers and discovery run in the test's process."""

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

RIG_TIMEOUT_S = 60  # exceeded only if a session or a process hangs


class ProxyRig:
    """Runs processes of one proxy; subclasses implement the session server."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._listening_socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._processes: list[asyncio.subprocess.Process] = []
        self._log_readers: list[asyncio.Task[None]] = []
        self.log: list[dict[str, Any]] = []  # events of all processes
        self.server_count = 0

    @property
    def address(self) -> tuple[str, int]:
        """The address that clients connect to."""
        host, port = self._listening_socket.getsockname()
        return host, port

    async def start_services(self, server_names: Sequence[str], **changes: Any) -> None:
        """Start the session servers and discovery, and write the configuration."""
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
        """Serve one connection to a session server."""
        raise NotImplementedError

    async def start_process(self, module: Sequence[str] = ("stoatgw",)) -> tuple[asyncio.subprocess.Process, int]:
        """Start a process and wait until it accepts clients; return it with the port of its management address."""
        port = free_port()
        descriptor = self._listening_socket.fileno()
        variables = {
            "LB_CONFIG": str(self._folder / "config.json"),
            "LB_MANAGEMENT": f"127.0.0.1:{port}",
            "LB_LISTEN_FD": str(descriptor),
            "TMPDIR": str(self._folder / "tmp"),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *module, env=os.environ | variables, stdout=-1, pass_fds=[descriptor]
        )
        self._processes.append(process)
        assert process.stdout is not None
        await next_event(process.stdout, "ready")
        self._log_readers.append(asyncio.create_task(self._read_log(process.stdout)))
        while (await self.send_operation(port, "/v1/readyz", "GET")) != 200:
            await asyncio.sleep(0.02)
        return process, port

    async def _read_log(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            self.log.append(json.loads(line))

    async def send_operation(self, port: int, path: str, method: str = "POST") -> int:
        """Send a request to the management address; return the status of its response."""
        head, _, _ = (await self._call(port, path, method)).partition(b"\r\n")
        return int(head.split()[1])

    async def read_metrics(self, port: int) -> str:
        """Return the metrics of a process, one on each line."""
        _, _, body = (await self._call(port, "/v1/metrics", "GET")).partition(b"\r\n\r\n")
        return body.decode()

    async def _call(self, port: int, path: str, method: str) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        response = await reader.read()
        writer.close()
        return response

    async def stop(self) -> None:
        """Shut all processes down gracefully, and wait for the last lines of their logs."""
        for process in self._processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        await asyncio.gather(*self._log_readers)
        self._listening_socket.close()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[Self]:
        """Stop all processes after the block, and kill them if the block or the shutdown fails."""
        try:
            async with asyncio.timeout(RIG_TIMEOUT_S):
                yield self
                await self.stop()
        finally:
            for process in self._processes:
                if process.returncode is None:
                    process.kill()
