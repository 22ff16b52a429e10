"""A child process of this program's modules, and the log events that it writes."""

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
    """A Python module run as a process, again and again if asked to.

    Attributes:
        events: All log events of its processes so far.
    """

    def __init__(self, arguments: list[str], environment: dict[str, str], *, has_full_disk: bool = False) -> None:
        """Run `python -m` with `arguments`; with a full disk every write to a file fails in it."""
        self._arguments = arguments
        self._environment = environment
        self._has_full_disk = has_full_disk
        self.events: list[dict[str, Any]] = []
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a process, and wait until it is ready or has ended."""
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
        self._reading = asyncio.create_task(self._read_events(self._process.stdout, ready))
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
        """Whether its process runs."""
        return self._process is not None and self._process.returncode is None

    async def end(self, number: signal.Signals) -> None:
        """Signal the process, and wait for its end."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)
            await self._process.wait()
        if self._reading is not None:
            await self._reading

    def send_signal(self, number: signal.Signals) -> None:
        """Signal the process, if it runs."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def events_named(self, name: str) -> list[dict[str, Any]]:
        """The log events of one name, in order."""
        return [event for event in self.events if event.get("event") == name]


def _forbid_file_writes() -> None:
    """Every write to a file fails from now on, in the child; its output is a pipe."""
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0))
