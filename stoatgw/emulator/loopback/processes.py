"""Real proxies as child processes, which are started, signalled, stopped and killed here."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, BinaryIO

ROOT = Path(__file__).resolve().parent.parent.parent.parent
STOP_TIMEOUT_S = 6.0
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
STOP_POLL_INTERVAL_S = 0.02
PING_TIMEOUT_S = 1.0
UNREADABLE_EVENT = "unreadable"  # the event name given to a log line that is not JSON


class ProxyProcess:
    """One real proxy, pinned to cores, with a log file for each start.

    Attributes:
        name: The proxy's name.
        address: The address at which it listens for clients.
        logs: Its log files, in the order of its starts.
    """

    def __init__(
        self,
        name: str,
        config: dict[str, Any],
        folder: Path,
        cores: set[int],
        environment: dict[str, str] | None = None,
    ) -> None:
        """Write the proxy's configuration file; the process is not started yet.

        Args:
            name: The proxy's name.
            config: The contents of the file named by LB_CONFIG.
            folder: Where the configuration and the logs are written.
            cores: The cores that the process may run on.
            environment: Further variables, such as STOATGW_CONFIG with the path of the operators' file.
        """
        self.name = name
        self.address = _parse_address(config["listen"])
        self.logs: list[Path] = []
        self._folder = folder
        self._cores = cores
        self._environment = environment or {}
        self._config = folder / f"{name}.json"
        self._config.write_text(json.dumps(config))
        self._start_count = 0
        self._process: subprocess.Popen[bytes] | None = None
        self._log: BinaryIO | None = None

    def start(self) -> None:
        """Start a new process, with a new log file."""
        self._start_count += 1
        path = self._folder / f"{self.name}-{self._start_count}.log"
        self.logs.append(path)
        self._log = path.open("wb")
        self._process = subprocess.Popen(
            [sys.executable, "-m", "stoatgw"],
            env=self._full_environment(),
            stdout=self._log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            cwd=ROOT,
        )
        with contextlib.suppress(OSError):
            os.sched_setaffinity(self._process.pid, self._cores)

    def _full_environment(self) -> dict[str, str]:
        """Return this process's environment, with all configuration variables replaced by this proxy's."""
        inherited = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "STOATGW_"))}
        overrides = {
            "LB_CONFIG": str(self._config),
            "LB_NAME": self.name,
            "PYTHONDONTWRITEBYTECODE": "1",
            "PYTHONPATH": str(ROOT),
        }
        return inherited | overrides | self._environment

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """The id of the last started process; 0 before the first start."""
        return self._process.pid if self._process is not None else 0

    @property
    def exit_status(self) -> int | None:
        """The exit status of the last started process; None if there is none or it still runs."""
        return self._process.poll() if self._process is not None else None

    def peak_memory_mib(self) -> int:
        """Return the peak resident memory of the running process; 0 if none runs."""
        with contextlib.suppress(OSError, ValueError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) // 1024
        return 0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> bool:
        """Wait until PING is answered by PONG; return False if the process ends or the timeout passes first."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s and self.is_running:
            with contextlib.suppress(OSError, TimeoutError):
                if await self._ping():
                    return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def _ping(self) -> bool:
        async with asyncio.timeout(PING_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                writer.write(b"PING\r\n")
                return (await reader.readline()).startswith(b"PONG")
            finally:
                writer.close()

    async def wait_stopped(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Wait for the process to end; if it does not within the timeout, kill it and return False."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            if not self.is_running:
                return True
            if time.monotonic() >= deadline_s:
                self.kill()
                return False
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    def kill(self) -> None:
        """Kill the process, if it runs, and reap it."""
        if self._process is not None and self.is_running:
            self._process.kill()
            self._process.wait()

    def read_log_events(self, start_number: int | None = None) -> list[dict[str, Any]]:
        """Return the log events of all starts, or of one start, counted from 1."""
        paths = self.logs if start_number is None else self.logs[start_number - 1 : start_number]
        return [_decode_log_line(line) for path in paths for line in path.read_bytes().splitlines()]

    def close(self) -> None:
        """Kill the process and close its log."""
        self.kill()
        if self._log is not None:
            self._log.close()


def _decode_log_line(line: bytes) -> dict[str, Any]:
    try:
        event: dict[str, Any] = json.loads(line)
    except ValueError:
        return {"event": UNREADABLE_EVENT, "text": line[:200].decode("utf-8", "replace")}
    return event


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    socket.inet_aton(host)
    return host, int(port)
