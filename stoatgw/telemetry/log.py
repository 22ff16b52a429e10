"""The event log: one JSON line an event, on standard output."""

from __future__ import annotations

import contextlib
import os
import select
import stat
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from stoatgw.clock import Clock

WINDOW_US = 1_000_000


class EventLog:
    """Writes the events of one proxy."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._lost_lines = 0  # since the last that was written
        self._has_space = _space_check()

    def event(self, event: str, **fields: Any) -> None:
        """Writes a line with the Unix time in seconds, the proxy's name, the event's name and its fields.

        It is flushed at once. A closed or full output loses the line and nothing else: the proxy serves on. The next
        line that is written says how many were lost to a full output.
        """
        if not self._has_space():
            self._lost_lines += 1
            return
        if self._lost_lines:
            fields["lost_lines"] = self._lost_lines
            self._lost_lines = 0
        line = orjson.dumps(
            {"t": round(time.time(), 3), "node": self._name, "event": event} | fields,
            option=orjson.OPT_APPEND_NEWLINE,
            default=str,
        )
        with contextlib.suppress(OSError):
            sys.stdout.buffer.write(line)
            sys.stdout.buffer.flush()


def _space_check() -> Callable[[], bool]:
    """Returns a function that tells whether a line can be written to standard output without waiting.

    A pipe whose reader is late would hold up all sessions, as the log is written in the event loop.
    """
    try:
        descriptor = sys.stdout.fileno()
        is_pipe = stat.S_ISFIFO(os.fstat(descriptor).st_mode)
    except (OSError, ValueError):  # closed, or no file
        is_pipe = False
    if not is_pipe:
        return lambda: True
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return lambda: bool(poll.poll(0))


class RateLimitedLog:
    """Writes to an event log at most so many events of each name a second.

    For events that a flood of bad clients causes: a line for each would cost more than answering them.
    """

    def __init__(self, log: EventLog, clock: Clock, max_events_per_s: int = 10) -> None:
        self._log = log
        self._clock = clock
        self._max_events_per_s = max_events_per_s
        self._windows: dict[str, _Window] = {}

    def event(self, event: str, **fields: Any) -> None:
        """Writes the event, or only counts it; the next one that is written says how many were left out."""
        now_us = self._clock.now_us()
        window = self._windows.setdefault(event, _Window(now_us))
        if now_us - window.started_us >= WINDOW_US:
            window.started_us = now_us
            window.written = 0
        if window.written >= self._max_events_per_s:
            window.left_out += 1
            return
        window.written += 1
        if window.left_out:
            fields["left_out"] = window.left_out
            window.left_out = 0
        self._log.event(event, **fields)


@dataclass(slots=True)
class _Window:
    """What was written of one event in the second in hand, and left out since it was last written."""

    started_us: int
    written: int = 0
    left_out: int = 0
