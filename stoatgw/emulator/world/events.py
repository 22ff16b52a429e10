"""The event log: what happened in a run, as observed from outside the proxies. Each line is one JSON array.

Both drivers write it; the checker and the lab's tables read it. The order of a record's fields is fixed:
(time, kind, proxy, request, server, number, detail).
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec


class EventKind(StrEnum):
    """What happened; the comments define `number` and `detail`. The values appear in stored logs."""

    REQUEST_RECEIVED = "taken"  # by a proxy; number: the client's deadline, us; detail: client
    REQUEST_ANSWERED = "answer"  # the final answer of a proxy; number: retry delay, us; detail: up, busy or err
    CLIENT_DISCONNECTED = "gone"  # before an answer
    ATTEMPT_SENT = "sent"  # a proxy sent the first byte of an attempt; number: attempt
    ATTEMPT_EXECUTED = "ran"  # a server received it completely; number: attempt; detail: expected load units
    ATTEMPT_ENDED = "ended"  # the attempt is no longer in flight; number: attempt; detail: outcome
    ENDPOINT_NOTIFIED = "told"  # to a proxy; number: the server's last start, us; detail: SERVING, DRAINING or DELETED
    SERVER_STARTED = "started"  # in slow start; number: warm capacity, thousandths of a unit; detail: cold_from,cold_us
    SERVER_RESPONSIVE = "live"  # the server responds from now on
    SERVER_UNRESPONSIVE = "silent"  # the server no longer responds
    SERVER_COLLAPSED = "fell"  # a server in slow start was overloaded and failed
    SESSION_ESTABLISHED = "up"  # detail: client
    SESSION_MIGRATED = "moved"  # the proxy sent MOVE to an established client
    SESSION_BROKEN = "cut"  # the proxy ended an established connection without MOVE
    SESSION_ENDED = "over"  # an established connection ended for another reason; detail: the reason
    PROXY_STATE_CHANGED = "proxy"  # detail: up, draining, stopped, killed, frozen or thawed
    FAULT_CHANGED = "fault"  # a fault began or ended; number: its index; detail: `KIND begins` or `KIND ends`
    REQUESTS_LEAKED = "held"  # at the end of the run; number: requests of a proxy whose sockets have all closed
    PROGRAM_FAULT = "note"  # an internal error of a proxy or driver; detail: its text


class Event(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One record of the log; `time_us` is relative to the start of the run."""

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
    """Accepts encoded records, such as an open file."""

    def write(self, data: bytes, /) -> int:
        """Append data, and return its length."""


class EventSink:
    """Passes records to its listeners, hashes them, and writes them to a file if one is given.

    Attributes:
        count: Number of records.
    """

    def __init__(self, listeners: tuple[Callable[[Event], None], ...] = (), file: Writer | None = None) -> None:
        self._listeners = listeners
        self._file = file
        self._hash = hashlib.sha256()
        self.count = 0

    def record(self, event: Event) -> None:
        """Append one record to the log."""
        line = _ENCODER.encode(event) + b"\n"
        self._hash.update(line)
        self.count += 1
        if self._file is not None:
            self._file.write(line)
        for listener in self._listeners:
            listener(event)

    @property
    def digest(self) -> str:
        """SHA-256 of the lines recorded until now, in hexadecimal."""
        return self._hash.hexdigest()


def decode_event(line: bytes) -> Event:
    """Decode one line of an event log.

    Raises:
        msgspec.DecodeError: The line is not a record.
    """
    return _DECODER.decode(line)
