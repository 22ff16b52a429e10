"""Child processes that run this program's modules, and the log events that they write."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import sys
from pathlib import Path
from typing import Any

import stoatgw

ROOT = Path(stoatgw.__file__).resolve().parent.parent


class ChildProcess:
    """A Python module that runs as a child process and can be started several times.

    Attributes:
        events: The log events of all its processes so far.
    """

    def __init__(self, arguments: list[str], environment: dict[str, str], *, has_full_disk: bool = False) -> None:
        """Prepare to run `python -m` with `arguments`; no process is started yet.

        Args:
            arguments: The module and its arguments.
            environment: Variables to set or override.
            has_full_disk: Whether all writes to files fail in the process.
        """
        self._arguments = arguments
        self._environment = environment
        self._has_full_disk = has_full_disk
        self.events: list[dict[str, Any]] = []
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a process, and wait until it logs that it is ready, or ends."""
        inherited = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "STOATGW_"))}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self._arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            env=inherited | {"PYTHONDONTWRITEBYTECODE": "1"} | self._environment,
            preexec_fn=_forbid_file_writes if self._has_full_disk else None,
        )
        assert self._process.stdout is not None
        ready = asyncio.Event()
        self._reader = asyncio.create_task(self._read_events(self._process.stdout, ready))
        await ready.wait()

    async def _read_events(self, output: asyncio.StreamReader, ready: asyncio.Event) -> None:
        while line := await output.readline():
            with contextlib.suppress(ValueError):
                self.events.append(json.loads(line))
                if self.events[-1].get("event") == "ready":
                    ready.set()
        ready.set()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def end(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs, and wait until it has ended."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)
            await self._process.wait()
        if self._reader is not None:
            await self._reader

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def events_named(self, name: str) -> list[dict[str, Any]]:
        """Return the log events with a name, in order."""
        return [event for event in self.events if event.get("event") == name]


def _forbid_file_writes() -> None:
    """Make all further writes to files fail in the calling process, the child; its standard output is a pipe."""
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0))
