"""The event log: what happened in a run, as seen from outside the proxies. One record a line, as JSON arrays.

Both drivers write it; the checker and the tables read it. The order of a record's fields is fixed:
(time, kind, proxy, request, server, number, detail).
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec


class EventKind(StrEnum):
    """What happened; the comments say what `number` and `detail` hold. The values are those of the stored logs."""

    REQUEST_RECEIVED = "taken"  # by the proxy; number: the client's deadline, us; detail: client
    REQUEST_ANSWERED = "answer"  # the proxy's final answer; detail: up, busy or err; number: retry after, us
    CLIENT_DISCONNECTED = "gone"  # before any answer
    ATTEMPT_SENT = "sent"  # the first byte of an attempt's line leaves the proxy; number: attempt
    ATTEMPT_EXECUTED = "ran"  # the complete line reached the server; number: attempt; detail: expected load units
    ATTEMPT_ENDED = "ended"  # the attempt is no longer in flight; number: attempt; detail: outcome
    ENDPOINT_NOTIFIED = "told"  # to the proxy; detail: SERVING, DRAINING or DELETED; number: the last start, us
    SERVER_STARTED = "started"  # in slow start; number: warm capacity, thousandths of a unit; detail: cold_from,cold_us
    SERVER_RESPONSIVE = "live"  # the server answers from now on
    SERVER_UNRESPONSIVE = "silent"  # the server answers nothing from now on
    SERVER_COLLAPSED = "fell"  # a server in slow start was overloaded
    SESSION_ESTABLISHED = "up"  # detail: client
    SESSION_MIGRATED = "moved"  # the proxy sent MOVE to an established client
    SESSION_BROKEN = "cut"  # the proxy ended an established connection without MOVE
    SESSION_ENDED = "over"  # an established connection ended for another reason; detail: which
    PROXY_STATE_CHANGED = "proxy"  # detail: up, draining, stopped, killed, frozen or thawed
    FAULT_CHANGED = "fault"  # a fault of the scenario begins or ends; detail: which
    REQUESTS_LEAKED = "held"  # at the end: number of requests that a proxy still has though all their sockets closed
    PROGRAM_FAULT = "note"  # a fault inside the program; detail: its text


class Event(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One record; `time_us` counts from the start of the run."""

    time_us: int
    kind: EventKind
    proxy: str = ""
    request_id: str = ""
    server: str = ""
    number: int = 0
    detail: str = ""


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Event)


class Writer(Protocol):
    """Where encoded records go, such as an open file."""

    def write(self, data: bytes, /) -> int:
        """Append data."""


class EventSink:
    """Passes records to its listeners, keeps a digest of them all, and writes them to a file if one is given."""

    def __init__(self, listeners: tuple[Callable[[Event], None], ...] = (), file: Writer | None = None) -> None:
        self._listeners = listeners
        self._file = file
        self._hash = hashlib.sha256()
        self.count = 0

    def record(self, event: Event) -> None:
        """Take one record; the caller's order is the log's."""
        line = _ENCODER.encode(event) + b"\n"
        self._hash.update(line)
        self.count += 1
        if self._file is not None:
            self._file.write(line)
        for listener in self._listeners:
            listener(event)

    @property
    def digest(self) -> str:
        """SHA-256 of all lines so far, in hexadecimal."""
        return self._hash.hexdigest()


def decode_event(line: bytes) -> Event:
    """Read one line of an event log.

    Raises:
        msgspec.DecodeError: The line is no record.
    """
    return _DECODER.decode(line)
