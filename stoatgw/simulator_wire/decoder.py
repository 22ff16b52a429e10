"""Decodes the simulator's lines into events of the decisions."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

from stoatgw.config.settings import read_settings
from stoatgw.decisions.interface import (
    AttemptEstablished,
    AttemptOutcome,
    AttemptStatus,
    ClientDisconnected,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    HealthCheckResult,
    Lifecycle,
    PeerMessage,
    Request,
    SessionMetric,
    SessionMetricKind,
    SessionRestored,
    SettingsError,
    TimerExpired,
)
from stoatgw.simulator_wire.errors import WireError
from stoatgw.simulator_wire.fields import SEPARATOR, FieldReader
from stoatgw.simulator_wire.messages import Delivery, Message, Start, Stop

# Bits of a request's options.
OPTION_HINT_VALID = 1
OPTION_CLIENT_RETRY = 2
OPTION_MID_FLOW = 8
OPTION_RETURNING = 16

METRIC_KINDS = {1: SessionMetricKind.LOAD, 2: SessionMetricKind.LATENCY}  # by topic; other topics are ignored
NO_PAGE = -1


class Decoder:
    """Decodes the lines between TURN and GO; keeps the numbered endpoint lists (pages), which all instances share."""

    def __init__(self) -> None:
        self._pages: dict[int, tuple[Endpoint, ...]] = {}
        self._open_page = 0
        self._open_endpoints: list[Endpoint] = []
        self._missing_rows = 0

    def decode_turn(self, line: str, line_number: int) -> int:
        """Decode the line that opens a batch and return its time in microseconds.

        Raises:
            WireError: It is not a TURN line.
        """
        if line.partition(SEPARATOR)[0] != "TURN":
            raise WireError(f"line {line_number}: expected TURN, found {line[:40]!r}")
        return FieldReader(line, line_number, 1).integer("now_us")

    def decode(self, line: str, line_number: int) -> Message | None:
        """Decode one line of a batch; None for the lines of a numbered list and for metrics of an unknown topic.

        Raises:
            WireError: The line is malformed.
        """
        keyword = line.partition(SEPARATOR)[0]
        if self._missing_rows and keyword != "ROW":
            raise WireError(f"line {line_number}: expected ROW ({self._missing_rows} more), found {keyword[:40]!r}")
        decoder = self._DECODERS.get(keyword)
        if decoder is None:
            raise WireError(f"line {line_number}: unknown message {keyword[:40]!r}")
        field_count, decode = decoder
        return decode(self, FieldReader(line, line_number, field_count))

    def finish_batch(self, line_number: int) -> None:
        """Check at GO that the last numbered list is complete.

        Raises:
            WireError: Rows of the list are missing.
        """
        if self._missing_rows:
            raise WireError(f"line {line_number}: GO came with {self._missing_rows} ROW lines missing")

    def _decode_page(self, fields: FieldReader) -> None:
        self._open_page = fields.integer("page")
        self._missing_rows = fields.integer("lines")
        if self._missing_rows < 0:
            raise fields.error("lines", "must not be negative")
        self._open_endpoints = []
        self._store_complete_page()

    def _decode_endpoint(self, fields: FieldReader) -> None:
        if not self._missing_rows:
            raise WireError(f"line {fields.line_number}: ROW outside of a POOL")
        weight = fields.number("heft", 1.0)
        lifecycle = fields.enum("lifecycle", Lifecycle)
        machine_kind = fields.integer("generation_hw", 0)
        server = fields.text("server")
        started_us = fields.integer("last_start_us", 0)
        cell = fields.integer("cell", 0)
        zone = fields.integer("zone", 0)
        self._open_endpoints.append(Endpoint(server, lifecycle, zone, cell, machine_kind, weight, started_us))
        self._missing_rows -= 1
        self._store_complete_page()

    def _store_complete_page(self) -> None:
        if not self._missing_rows:
            self._pages[self._open_page] = tuple(self._open_endpoints)

    def _decode_start(self, fields: FieldReader) -> Start:
        instance = fields.integer("i")
        seed = fields.integer("init_seed")
        pairs = {}
        for pair in fields.remaining():
            path, found, value = pair.partition("=")
            if not found:
                raise fields.error("settings", f"{pair[:40]!r} is no path=value pair")
            pairs[path] = value
        try:
            return Start(instance, seed, read_settings(pairs))
        except SettingsError as error:
            raise fields.error("settings", str(error)) from error

    def _decode_stop(self, fields: FieldReader) -> Stop:
        return Stop(fields.integer("i"))

    def _decode_endpoint_update(self, fields: FieldReader) -> Delivery:
        instance = fields.integer("i")
        kind = fields.enum("kind", EndpointUpdateKind)
        version = fields.integer("seq_no", 0)
        page = fields.integer("page", NO_PAGE)
        if kind is EndpointUpdateKind.ERROR:
            return Delivery(instance, EndpointUpdate(kind, version))
        if page not in self._pages:
            raise fields.error("page", f"no POOL has number {page}")
        return Delivery(instance, EndpointUpdate(kind, version, self._pages[page]))

    def _decode_request(self, fields: FieldReader) -> Delivery:
        instance = fields.integer("i")
        request_id = fields.text("corr")
        hint_us = fields.optional_integer("predicted_us")
        options = fields.integer("options", 0)
        tenant = fields.integer("customer", 0)
        time_left_us = fields.integer("patience_left_us")
        group = fields.optional_integer("team_id")
        request_class = fields.integer("class")
        idempotency_key = fields.optional_integer("entity")
        request = Request(
            request_id=request_id,
            request_class=request_class,
            time_left_us=time_left_us,
            tenant=tenant,
            idempotency_key=idempotency_key,
            group=group,
            hint_us=hint_us,
            **_decode_options(options),
        )
        return Delivery(instance, request)

    def _decode_session_restored(self, fields: FieldReader) -> Delivery:
        instance = fields.integer("i")
        request_id = fields.text("corr")
        request_class = fields.integer("class")
        tenant = fields.integer("customer", 0)
        idempotency_key = fields.optional_integer("entity")
        time_left_us = fields.integer("patience_left_us", 0)
        hint_us = fields.optional_integer("predicted_us")
        group = fields.optional_integer("team_id")
        options = fields.integer("options", 0)
        request = Request(
            request_id=request_id,
            request_class=request_class,
            time_left_us=time_left_us,
            tenant=tenant,
            idempotency_key=idempotency_key,
            group=group,
            hint_us=hint_us,
            **_decode_options(options),
        )
        return Delivery(instance, SessionRestored(request, fields.text("server")))

    def _decode_attempt_established(self, fields: FieldReader) -> Delivery:
        instance = fields.integer("i")
        request_id = fields.text("corr")
        elapsed_us = fields.integer("spent_us", 0)
        attempt = fields.integer("go")
        return Delivery(instance, AttemptEstablished(request_id, attempt, fields.text("server"), elapsed_us))

    def _decode_session_metric(self, fields: FieldReader) -> Delivery | None:
        instance = fields.integer("i")
        request_id = fields.text("corr")
        attempt = fields.integer("go")
        server = fields.text("server")
        kind = METRIC_KINDS.get(fields.integer("topic"))
        value = fields.number("x")
        if kind is None:
            return None
        return Delivery(instance, SessionMetric(request_id, attempt, server, kind, value))

    def _decode_attempt_outcome(self, fields: FieldReader) -> Delivery:
        instance = fields.integer("i")
        request_id = fields.text("corr")
        attempt = fields.integer("go")
        server = fields.text("server")
        status = fields.enum("outcome", AttemptStatus)
        elapsed_us = fields.integer("spent_us", 0)
        is_final = fields.flag("final")
        report = fields.load_report("load")
        return Delivery(instance, AttemptOutcome(request_id, attempt, server, status, elapsed_us, is_final, report))

    def _decode_client_disconnected(self, fields: FieldReader) -> Delivery:
        return Delivery(fields.integer("i"), ClientDisconnected(fields.text("corr")))

    def _decode_timer(self, fields: FieldReader) -> Delivery:
        return Delivery(fields.integer("i"), TimerExpired(fields.integer("ref")))

    def _decode_health_check(self, fields: FieldReader) -> Delivery:
        instance = fields.integer("i")
        server = fields.text("server")
        status = fields.enum("outcome", AttemptStatus)
        elapsed_us = fields.integer("spent_us", 0)
        return Delivery(instance, HealthCheckResult(server, status, elapsed_us, fields.load_report("load")))

    def _decode_peer_message(self, fields: FieldReader) -> Delivery:
        return Delivery(fields.integer("i"), PeerMessage(fields.integer("sender"), fields.payload("payload")))

    # By keyword: the number of fields (None: any number), and the method that decodes them.
    _DECODERS: ClassVar[dict[str, tuple[int | None, Callable[[Decoder, FieldReader], Message | None]]]] = {
        "POOL": (2, _decode_page),
        "ROW": (7, _decode_endpoint),
        "NEW_INSTANCE": (None, _decode_start),
        "STOP": (1, _decode_stop),
        "DIRECTORY_UPDATE": (4, _decode_endpoint_update),
        "ACCEPT": (9, _decode_request),
        "EXISTING": (10, _decode_session_restored),
        "BEGUN": (5, _decode_attempt_established),
        "CHANGE": (6, _decode_session_metric),
        "COMPLETED": (8, _decode_attempt_outcome),
        "HANGUP": (2, _decode_client_disconnected),
        "DUE": (2, _decode_timer),
        "HEALTH_RESULT": (5, _decode_health_check),
        "WHISPER": (3, _decode_peer_message),
    }


def _decode_options(options: int) -> dict[str, bool]:
    """Decode the option bits into keyword arguments of `Request`."""
    return {
        "hint_valid": bool(options & OPTION_HINT_VALID),
        "is_client_retry": bool(options & OPTION_CLIENT_RETRY),
        "is_mid_flow": bool(options & OPTION_MID_FLOW),
        "is_returning": bool(options & OPTION_RETURNING),
    }
