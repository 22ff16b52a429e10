"""The event log: one JSON line per event, on standard output."""

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
        self._lost_lines = 0  # since the last line that was written
        self._can_write = _make_writability_check()

    def event(self, event: str, **fields: Any) -> None:
        """Write a line with the Unix time in seconds, the proxy's name, the event's name and its fields.

        The line is flushed immediately. If the output is closed or full, the line is lost and the proxy keeps serving.
        The next line that is written reports how many were lost to a full output.
        """
        if not self._can_write():
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


def _make_writability_check() -> Callable[[], bool]:
    """Return a function that reports whether a line can be written to standard output without waiting.

    A pipe with a slow reader would block all sessions, as the log is written in the event loop.
    """
    try:
        descriptor = sys.stdout.fileno()
        is_pipe = stat.S_ISFIFO(os.fstat(descriptor).st_mode)
    except (OSError, ValueError):  # closed, or not a file
        is_pipe = False
    if not is_pipe:
        return lambda: True
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return lambda: bool(poll.poll(0))


class RateLimitedLog:
    """Writes at most `max_events_per_s` events of each name per second to an event log.

    Used for events that a flood of misbehaving clients causes: a line for each would cost more than answering them.
    """

    def __init__(self, log: EventLog, clock: Clock, max_events_per_s: int = 10) -> None:
        self._log = log
        self._clock = clock
        self._max_events_per_s = max_events_per_s
        self._windows: dict[str, _Window] = {}

    def event(self, event: str, **fields: Any) -> None:
        """Write the event, or only count it; the next one that is written reports how many were suppressed."""
        now_us = self._clock.now_us()
        window = self._windows.setdefault(event, _Window(now_us))
        if now_us - window.started_us >= WINDOW_US:
            window.started_us = now_us
            window.written = 0
        if window.written >= self._max_events_per_s:
            window.suppressed += 1
            return
        window.written += 1
        if window.suppressed:
            fields["left_out"] = window.suppressed
            window.suppressed = 0
        self._log.event(event, **fields)


@dataclass(slots=True)
class _Window:
    """How often an event was written in the current second, and suppressed since it was last written."""

    started_us: int
    written: int = 0
    suppressed: int = 0
