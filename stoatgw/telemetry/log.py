"""The event log: one JSON line an event, on standard output."""

from __future__ import annotations

import contextlib
import sys
import time
from typing import Any

import orjson


class EventLog:
    """Writes the events of one proxy."""

    def __init__(self, name: str) -> None:
        self._name = name

    def event(self, event: str, **fields: Any) -> None:
        """Writes a line with the Unix time in seconds, the proxy's name, the event's name and its fields.

        It is flushed at once. A closed or full output loses the line and nothing else: the proxy serves on.
        """
        line = orjson.dumps(
            {"t": round(time.time(), 3), "node": self._name, "event": event} | fields,
            option=orjson.OPT_APPEND_NEWLINE,
            default=str,
        )
        with contextlib.suppress(OSError):
            sys.stdout.buffer.write(line)
            sys.stdout.buffer.flush()
