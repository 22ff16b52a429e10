"""The event log: what happened in a run, as seen from outside the proxies. One record a line, as JSON arrays.

Both drivers write it; the checker and the tables read it. A record's text is short and its order of fields fixed:
(time, what, proxy, req, server, number, detail).
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec


class EventKind(StrEnum):
    """What a record tells; `number` and `detail` mean what stands here."""

    REQUEST_RECEIVED = "taken"  # the proxy took a req; number: when its client's time is up, us; detail: client
    REQUEST_ANSWERED = "answer"  # the proxy gave its final answer; detail: up, busy or err; number: advice, us
    CLIENT_DISCONNECTED = "gone"  # the req's client left before any answer
    ATTEMPT_SENT = "sent"  # the first byte of an attempt's line leaves the proxy; number: attempt
    ATTEMPT_EXECUTED = "ran"  # the whole line has come at the server; number: attempt
    ATTEMPT_ENDED = "ended"  # the attempt is no longer out; number: attempt; detail: how it ended
    ENDPOINT_NOTIFIED = (
        "told"  # the proxy was told of a server; detail: SERVING, DRAINING or DELETED; number: its last start, us
    )
    SERVER_STARTED = (
        "started"  # a server process begins cold; number: units that fill it warm; detail: cold_from,cold_us
    )
    SERVER_RESPONSIVE = "live"  # a server answers from now on
    SERVER_UNRESPONSIVE = "silent"  # a server answers nothing from now on
    SERVER_COLLAPSED = "fell"  # a cold server was pushed over
    SESSION_ESTABLISHED = "up"  # a connection stands at a server; detail: client
    SESSION_MIGRATED = "moved"  # the proxy sent MOVE to a standing client
    SESSION_BROKEN = "cut"  # the proxy ended a standing connection without MOVE
    SESSION_ENDED = "over"  # a standing connection is over for another reason; detail: which
    PROXY_STATE_CHANGED = "proxy"  # detail: up, draining, stopped, killed, frozen or thawed
    FAULT_CHANGED = "fault"  # a trouble of the scenario begins or ends; detail: which
    REQUESTS_LEAKED = "held"  # at the end: number of reqs that a proxy still knows though nothing of theirs is open
    PROGRAM_FAULT = "note"  # a fault inside the program; detail: its text


class Event(msgspec.Struct, array_like=True, frozen=True, gc=False):
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
    def write(self, data: bytes, /) -> int: ...


class EventSink:
    """Hands records to its listeners, keeps a digest of them all, and writes them where a file is given."""

    def __init__(self, listeners: tuple[Callable[[Event], None], ...] = (), file: Writer | None = None) -> None:
        self._listeners, self._file = listeners, file
        self._hash = hashlib.sha256()
        self.count = 0

    def record(
        self,
        t_us: int,
        what: EventKind,
        proxy: str = "",
        req: str = "",
        server: str = "",
        number: int = 0,
        detail: str = "",
    ) -> None:
        event = Event(t_us, what, proxy, req, server, number, detail)
        line = _ENCODER.encode(event) + b"\n"
        self._hash.update(line)
        self.count += 1
        if self._file is not None:
            self._file.write(line)
        for listener in self._listeners:
            listener(event)

    @property
    def digest(self) -> str:
        return self._hash.hexdigest()


def decode_event(line: bytes) -> Event:
    """Raises msgspec.DecodeError on what is no record."""
    return _DECODER.decode(line)
