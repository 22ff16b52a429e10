"""One JSON line an event, on standard output."""

from __future__ import annotations

import sys
import time
from typing import Any

import orjson


class EventLog:
    def __init__(self, name: str) -> None:
        self._name = name

    def event(self, event: str, **fields: Any) -> None:
        line = orjson.dumps(
            {"t": round(time.time(), 3), "node": self._name, "event": event} | fields,
            option=orjson.OPT_APPEND_NEWLINE,
            default=str,
        )
        try:
            sys.stdout.buffer.write(line)
            sys.stdout.buffer.flush()
        except OSError:
            pass  # whoever read the log has gone: the proxy serves on
