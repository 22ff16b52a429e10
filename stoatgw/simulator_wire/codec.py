"""Codec between the lines of the wire and the types of `interface.py`. It decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar, TypeVar

from stoatgw.config.settings import read_settings
from stoatgw.decisions.interface import (
    Action,
    AttemptEstablished,
    AttemptOutcome,
    AttemptStatus,
    Cancel,
    CheckHealth,
    ClientDisconnected,
    CloseIdle,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Fail,
    FetchEndpoints,
    Gossip,
    HealthCheckResult,
    Lifecycle,
    Log,
    Migrate,
    PeerMessage,
    Reject,
    Request,
    Send,
    SessionMetric,
    SessionMetricKind,
    SessionRestored,
    SetTimer,
    Settings,
    SettingsError,
    Subscribe,
    TimerExpired,
)

T = TypeVar("T")
E = TypeVar("E", bound=Enum)

HINT_VALID, CLIENT_RETRY, MID_FLOW, RETURNED = 1, 2, 8, 16


class WireError(ValueError):
    """A line cannot be read; the message names the line and the field."""


@dataclass(frozen=True, slots=True)
class Start:
    """A balancer instance comes up."""

    instance: int
    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Stop:
    """A balancer instance was killed."""

    instance: int


@dataclass(frozen=True, slots=True)
class Delivery:
    """An event for one instance."""

    instance: int
    event: Event


Message = Start | Stop | Delivery


class _Fields:
    """The parts of one line, taken one after the other; complaints name the field."""

    def __init__(self, line: str, number: int, count: int | None) -> None:
        self.parts = line.split("\t")
        self.number = number
        self.at = 1
        if count is not None and len(self.parts) - 1 != count:
            raise WireError(f"line {number}: {self.parts[0]} has {len(self.parts) - 1} fields where {count} belong")

    def error(self, field: str, text: str) -> WireError:
        return WireError(f"line {self.number}: {self.parts[0]}: field {field}: {text}")

    def take(self, field: str) -> str | None:
        if self.at >= len(self.parts):
            raise self.error(field, "missing")
        text = self.parts[self.at]
        self.at += 1
        return None if text == "-" else text

    def convert(self, field: str, text: str | None, read: Callable[[str], T]) -> T:
        if text is None:
            raise self.error(field, "must not be absent")
        try:
            return read(text)
        except (ValueError, OverflowError):
            raise self.error(field, f"cannot read {text[:40]!r}") from None

    def text(self, field: str) -> str:
        return self.convert(field, self.take(field), str)

    def integer(self, field: str, default: int | None = None) -> int:
        text = self.take(field)
        if text is None and default is not None:
            return default
        return self.convert(field, text, int)

    def optional_integer(self, field: str) -> int | None:
        text = self.take(field)
        return None if text is None else self.convert(field, text, int)

    def number_value(self, field: str, default: float | None = None) -> float:
        text = self.take(field)
        if text is None and default is not None:
            return default
        return self.convert(field, text, float)

    def enum(self, field: str, kind: type[E]) -> E:
        return self.convert(field, self.take(field), kind)

    def flag(self, field: str) -> bool:
        return self.convert(field, self.take(field), _read_flag)

    def row(self, field: str) -> tuple[float | None, ...]:
        text = self.take(field)
        return () if text is None else self.convert(field, text, _read_row)

    def payload(self, field: str) -> bytes:
        text = self.take(field)
        return b"" if text is None else self.convert(field, text, bytes.fromhex)


def _read_flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError(text)
    return text == "1"


def _read_row(text: str) -> tuple[float | None, ...]:
    return tuple(None if part in ("-", "") else float(part) for part in text.split(","))


class Decoder:
    """Reads the lines between TURN and GO; keeps the numbered server lists of the process."""

    def __init__(self) -> None:
        self._pages: dict[int, tuple[Endpoint, ...]] = {}
        self._page = 0
        self._entries: list[Endpoint] = []
        self._rows_due = 0

    def turn(self, line: str, number: int) -> int:
        """Read the line that opens a batch; gives the clock in microseconds."""
        if line.partition("\t")[0] != "TURN":
            raise WireError(f"line {number}: expected TURN, found {line[:40]!r}")
        return _Fields(line, number, 1).integer("now_us")

    def message(self, line: str, number: int) -> Message | None:
        """Read one line of a batch; None for the lines of a numbered list."""
        name = line.partition("\t")[0]
        if self._rows_due and name != "ROW":
            raise WireError(f"line {number}: expected ROW ({self._rows_due} more), found {name[:40]!r}")
        reader = self._READERS.get(name)
        if reader is None:
            raise WireError(f"line {number}: unknown message {name[:40]!r}")
        count, read = reader
        return read(self, _Fields(line, number, count))

    def finish(self, number: int) -> None:
        """Check at GO that no list is left half read."""
        if self._rows_due:
            raise WireError(f"line {number}: GO came with {self._rows_due} ROW lines missing")

    def _pool(self, f: _Fields) -> None:
        self._page = f.integer("page")
        self._rows_due = f.integer("lines")
        if self._rows_due < 0:
            raise f.error("lines", "must not be negative")
        self._entries = []
        self._close_page()

    def _row(self, f: _Fields) -> None:
        if not self._rows_due:
            raise WireError(f"line {f.number}: ROW outside of a POOL")
        weight = f.number_value("heft", 1.0)
        lifecycle = f.enum("lifecycle", Lifecycle)
        kind = f.integer("generation_hw", 0)
        server = f.text("server")
        start_us = f.integer("last_start_us", 0)
        cell = f.integer("cell", 0)
        zone = f.integer("zone", 0)
        self._entries.append(Endpoint(server, lifecycle, zone, cell, kind, weight, start_us))
        self._rows_due -= 1
        self._close_page()

    def _close_page(self) -> None:
        if not self._rows_due:
            self._pages[self._page] = tuple(self._entries)

    def _start(self, f: _Fields) -> Start:
        instance, seed = f.integer("i"), f.integer("init_seed")
        pairs = {}
        for part in f.parts[f.at :]:
            path, found, value = part.partition("=")
            if not found:
                raise f.error("settings", f"{part[:40]!r} is no path=value pair")
            pairs[path] = value
        try:
            return Start(instance, seed, read_settings(pairs))
        except SettingsError as error:
            raise f.error("settings", str(error)) from None

    def _stop(self, f: _Fields) -> Stop:
        return Stop(f.integer("i"))

    def _list(self, f: _Fields) -> Delivery:
        instance, kind = f.integer("i"), f.enum("kind", EndpointUpdateKind)
        version, page = f.integer("seq_no", 0), f.integer("page", -1)
        if kind is EndpointUpdateKind.ERROR:
            return Delivery(instance, EndpointUpdate(kind, version))
        if page not in self._pages:
            raise f.error("page", f"no POOL has number {page}")
        return Delivery(instance, EndpointUpdate(kind, version, self._pages[page]))

    def _request(self, f: _Fields) -> Delivery:
        instance, request = f.integer("i"), f.text("corr")
        hint, flags = f.optional_integer("predicted_us"), f.integer("options", 0)
        tenant, left_us = f.integer("customer", 0), f.integer("patience_left_us")
        group, profile = f.optional_integer("team_id"), f.integer("class")
        key = f.optional_integer("entity")
        return Delivery(instance, self._asked(request, profile, left_us, tenant, key, group, hint, flags))

    def _existing(self, f: _Fields) -> Delivery:
        instance, request, profile = f.integer("i"), f.text("corr"), f.integer("class")
        tenant, key = f.integer("customer", 0), f.optional_integer("entity")
        left_us, hint = f.integer("patience_left_us", 0), f.optional_integer("predicted_us")
        group, flags = f.optional_integer("team_id"), f.integer("options", 0)
        asked = self._asked(request, profile, left_us, tenant, key, group, hint, flags)
        return Delivery(instance, SessionRestored(asked, f.text("server")))

    @staticmethod
    def _asked(
        request: str,
        profile: int,
        left_us: int,
        tenant: int,
        key: int | None,
        group: int | None,
        hint_us: int | None,
        flags: int,
    ) -> Request:
        return Request(
            request_id=request,
            request_class=profile,
            time_left_us=left_us,
            tenant=tenant,
            idempotency_key=key,
            group=group,
            hint_us=hint_us,
            hint_valid=bool(flags & HINT_VALID),
            is_client_retry=bool(flags & CLIENT_RETRY),
            is_mid_flow=bool(flags & MID_FLOW),
            is_returning=bool(flags & RETURNED),
        )

    def _begun(self, f: _Fields) -> Delivery:
        instance, request, spent_us = f.integer("i"), f.text("corr"), f.integer("spent_us", 0)
        return Delivery(instance, AttemptEstablished(request, f.integer("go"), f.text("server"), spent_us))

    def _note(self, f: _Fields) -> Delivery | None:
        instance, request, attempt = f.integer("i"), f.text("corr"), f.integer("go")
        server, topic, value = f.text("server"), f.integer("topic"), f.number_value("x")
        kind = {1: SessionMetricKind.LOAD, 2: SessionMetricKind.DELAY}.get(topic)
        return None if kind is None else Delivery(instance, SessionMetric(request, attempt, server, kind, value))

    def _outcome(self, f: _Fields) -> Delivery:
        instance, request, attempt = f.integer("i"), f.text("corr"), f.integer("go")
        server, status = f.text("server"), f.enum("outcome", AttemptStatus)
        spent_us, final, report = f.integer("spent_us", 0), f.flag("final"), f.row("load")
        return Delivery(instance, AttemptOutcome(request, attempt, server, status, spent_us, final, report))

    def _gone(self, f: _Fields) -> Delivery:
        return Delivery(f.integer("i"), ClientDisconnected(f.text("corr")))

    def _due(self, f: _Fields) -> Delivery:
        return Delivery(f.integer("i"), TimerExpired(f.integer("ref")))

    def _probed(self, f: _Fields) -> Delivery:
        instance, server, status = f.integer("i"), f.text("server"), f.enum("outcome", AttemptStatus)
        return Delivery(instance, HealthCheckResult(server, status, f.integer("spent_us", 0), f.row("load")))

    def _peer(self, f: _Fields) -> Delivery:
        return Delivery(f.integer("i"), PeerMessage(f.integer("sender"), f.payload("payload")))

    # Message name: how many fields it has (None: any number), and what reads them.
    _READERS: ClassVar[dict[str, tuple[int | None, Callable[[Decoder, _Fields], Message | None]]]] = {
        "POOL": (2, _pool),
        "ROW": (7, _row),
        "NEW_INSTANCE": (None, _start),
        "STOP": (1, _stop),
        "DIRECTORY_UPDATE": (4, _list),
        "ACCEPT": (9, _request),
        "EXISTING": (10, _existing),
        "BEGUN": (5, _begun),
        "CHANGE": (6, _note),
        "COMPLETED": (8, _outcome),
        "HANGUP": (2, _gone),
        "DUE": (2, _due),
        "HEALTH_RESULT": (5, _probed),
        "WHISPER": (3, _peer),
    }


def encode(instance: int, action: Action) -> str:
    """One action as a line of the wire."""
    match action:
        case Send(request, server, cut_at_us):
            return f"TRANSMIT\t{instance}\t{request}\t{server}\t{cut_at_us}"
        case Cancel(request, attempt):
            return f"CANCEL\t{instance}\t{request}\t{attempt}"
        case Reject(request, retry_after_us):
            return f"SHED\t{instance}\t{request}\t{retry_after_us}"
        case Fail(request):
            return f"LOSE\t{instance}\t{request}"
        case Migrate(request):
            return f"EVICT\t{instance}\t{request}"
        case Subscribe(want):
            return f"KEEP_INFORMED\t{instance}\t{int(want)}"
        case FetchEndpoints():
            return f"GET_LIST\t{instance}"
        case SetTimer(at_us, token):
            return f"WAKE_ME\t{instance}\t{at_us}\t{token}"
        case CheckHealth(server):
            return f"HEALTH_CHECK\t{instance}\t{server}"
        case CloseIdle(server):
            return f"CLOSE_IDLE\t{instance}\t{server}"
        case Gossip(peer, payload):
            whom = "*" if peer is None else str(peer)
            return f"TELL\t{instance}\t{whom}\t{payload.hex() or '-'}"
        case Log(message):
            return f"NOTE_DOWN\t{instance}\t{' '.join(message.split())}"


def encode_crash(instance: int, text: str) -> str:
    """The line that reports a crash of the decision code."""
    return f"FATAL\t{instance}\t{' '.join(text.split())}"
