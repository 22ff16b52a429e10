"""Real proxies as child processes: started, stopped, killed, frozen, by the ids that were started here."""

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
STOP_S = 6.0  # a proxy that was asked to stop has so long


class ProxyProcess:
    """One real proxy, pinned to a core, with its log in a file."""

    def __init__(
        self, name: str, config: dict[str, Any], folder: Path, cores: set[int], operators: dict[str, str] | None = None
    ) -> None:
        """`operators`: further environment, such as the name of the operators' own file."""
        self._operators = operators or {}
        self.name, self._folder, self._cores = name, folder, cores
        self._config = folder / f"{name}.json"
        self._config.write_text(json.dumps(config))
        self.address: tuple[str, int] = _address(config["listen"])
        self._starts = 0
        self._process: subprocess.Popen[bytes] | None = None
        self._log: BinaryIO | None = None
        self.logs: list[Path] = []
        self.frozen = False

    def start(self) -> None:
        """Start it anew; its environment names its configuration alone."""
        self._starts += 1
        path = self._folder / f"{self.name}-{self._starts}.log"
        self.logs.append(path)
        self._log = path.open("wb")
        environment = (
            {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "STOATGW_"))}
            | {
                "LB_CONFIG": str(self._config),
                "LB_NAME": self.name,
                "PYTHONDONTWRITEBYTECODE": "1",
                "PYTHONPATH": str(ROOT),
            }
            | self._operators
        )
        self._process = subprocess.Popen(
            [sys.executable, "-m", "stoatgw"],
            env=environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            cwd=ROOT,
        )
        with contextlib.suppress(OSError):
            os.sched_setaffinity(self._process.pid, self._cores)

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        return self._process.pid if self._process is not None else 0

    def peak_memory_mib(self) -> int:
        """Resident memory at its most, of the process that runs now; 0 where none does."""
        with contextlib.suppress(OSError, ValueError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) // 1024
        return 0

    @property
    def exit_status(self) -> int | None:
        return self._process.poll() if self._process is not None else None

    def signal(self, number: signal.Signals) -> None:
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def wait_ready(self, within_s: float = 20.0) -> bool:
        """Wait until PING is answered PONG."""
        until = time.monotonic() + within_s
        while time.monotonic() < until and self.is_running:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*self.address)
                    try:
                        writer.write(b"PING\r\n")
                        if (await reader.readline()).startswith(b"PONG"):
                            return True
                    finally:
                        writer.close()
            await asyncio.sleep(0.05)
        return False

    async def wait_stopped(self, within_s: float = STOP_S) -> bool:
        """Wait for its end; killed when it does not come, and False."""
        until = time.monotonic() + within_s
        while self.is_running and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.is_running:
            self.kill()
            return False
        return True

    def kill(self) -> None:
        if self._process is not None and self.is_running:
            self._process.kill()
            self._process.wait()

    def read_log_events(self, number: int | None = None) -> list[dict[str, Any]]:
        """What its logs say: of all starts, or of one (1 is the first)."""
        paths = self.logs if number is None else self.logs[number - 1 : number]
        found = []
        for path in paths:
            for line in path.read_bytes().splitlines():
                try:
                    found.append(json.loads(line))
                except ValueError:
                    found.append({"event": "unreadable", "text": line[:200].decode("utf-8", "replace")})
        return found

    def close(self) -> None:
        self.kill()
        if self._log is not None:
            self._log.close()


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    socket.inet_aton(host)
    return host, int(port)
