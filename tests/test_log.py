"""The event log: a full pipe must not block the sessions, and misbehaving clients must not flood the log."""

from __future__ import annotations

import json
import os
import sys
from types import SimpleNamespace

import pytest

from stoatgw.clock import Clock
from stoatgw.telemetry.log import WINDOW_US, EventLog, RateLimitedLog


class FakeClock(Clock):
    def __init__(self) -> None:
        self.time_us = 0

    def now_us(self) -> int:
        return self.time_us


def test_a_full_pipe_loses_lines_and_does_not_block(monkeypatch: pytest.MonkeyPatch) -> None:
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, "w") as output, os.fdopen(read_end, "rb") as reader:
        monkeypatch.setattr(sys, "stdout", output)
        log = EventLog("n0")
        for number in range(5000):  # far more than fits into a pipe: a blocking write would never return
            log.event("session_ended", id=number)
        received = os.read(read_end, 1 << 20).splitlines()
        log.event("proxy_stopped")
        last = json.loads(reader.readline())
        assert last["event"] == "proxy_stopped"
        assert last["lost_lines"] == 5000 - len(received) > 0


def test_events_of_a_flood_are_limited_and_the_suppressed_ones_are_counted() -> None:
    written: list[dict[str, object]] = []
    log = SimpleNamespace(event=lambda event, **fields: written.append({"event": event} | fields))
    clock = FakeClock()
    limited = RateLimitedLog(log, clock, max_events_per_s=2)  # type: ignore[arg-type]
    for _ in range(5):
        limited.event("request_malformed", why="x")
    limited.event("connection_rejected")
    clock.time_us = WINDOW_US
    limited.event("request_malformed", why="y")
    assert [each["event"] for each in written] == ["request_malformed"] * 2 + [
        "connection_rejected",
        "request_malformed",
    ]
    assert written[-1]["left_out"] == 3
