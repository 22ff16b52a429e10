"""Simulated session servers: a model behind one listening address for each proxy."""

from __future__ import annotations

import asyncio
from functools import partial

from stoatgw.emulator.loopback.listeners import ServerListeners
from stoatgw.emulator.loopback.run_state import RunState
from stoatgw.emulator.loopback.server_connection import ServerConnection
from stoatgw.emulator.loopback.wire import LineSocket
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.server_model import HeldConnection, ServerLifecycle, ServerModel
from stoatgw.emulator.world.setup_decision import SetupOutcome


class ServerEndpoint:
    """Speaks the platform's protocol to the proxies, and does what its model decides."""

    def __init__(self, run: RunState, model: ServerModel, number: int) -> None:
        """`number` selects its addresses."""
        self.model = model
        self.name = model.name
        self.connections: set[ServerConnection] = set()
        self._run = run
        self._world = run.world
        self._scheduler = run.world.scheduler
        self._listeners = ServerListeners(run.addresses, number, self._serve)

    # The process.

    def open(self) -> None:
        """Listen for all proxies."""
        self._listeners.open(len(self._world.proxy_names))

    def refuse(self) -> None:
        """The process is gone: new connections are refused, established ones are reset."""
        self._listeners.refuse()
        for connection in list(self.connections):
            connection.reset("died")

    def set_muted(self, proxy: int, is_muted: bool) -> None:
        """Whether nothing passes between it and a proxy: sessions stay silent, new connections are not answered."""
        for connection in self.connections:
            if connection.proxy == proxy:
                connection.is_muted = is_muted
        self._listeners.set_muted(proxy, is_muted)

    async def stop(self) -> None:
        """Close everything."""
        self.refuse()
        await self._listeners.stop()

    # Connections.

    async def _serve(self, lines: LineSocket, proxy: int) -> None:
        connection: ServerConnection | None = None
        is_reset = False
        try:
            while (line := await lines.read_line()) is not None:
                if line in (b"STATS", b"PING"):
                    self._answer_health_check(lines, line)
                elif line.startswith(b"OPEN ") and connection is None:
                    connection = self._register(lines, proxy)
                    self._handle_open(connection, line)
                elif connection is not None and connection.is_established:
                    self._handle_message(connection, line)
                else:
                    lines.write(b"SYNTAX\r\n")
                    return
            if connection is not None:
                connection.lines.end()
        except asyncio.CancelledError:
            is_reset = connection is not None and bool(connection.end_reason)
        except OSError:
            pass
        finally:
            if connection is not None:
                self._unregister(connection)
            lines.close(reset=is_reset)

    def _register(self, lines: LineSocket, proxy: int) -> ServerConnection:
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("a connection is served outside a task")
        connection = ServerConnection(self._run, self.name, proxy, lines, task)
        self.connections.add(connection)
        self._run.open_connections.add(connection)
        return connection

    def _unregister(self, connection: ServerConnection) -> None:
        self.connections.discard(connection)
        self._run.open_connections.discard(connection)
        connection.end_attempt("closed by the proxy")
        now_us = self._scheduler.now_us()
        if connection.is_established:
            connection.is_established = False
            span_us = now_us - connection.established_us
            self._run.counts["stood_us"] += span_us
            if self.model.properties.zone != self._world.proxy_zone(connection.proxy):
                self._run.counts["cross_us"] += span_us
        self.model.remove_connection(now_us, connection.request_id)

    def _answer_health_check(self, lines: LineSocket, line: bytes) -> None:
        self._run.counts["probes"] += 1
        answer_us = self.model.handle_health_check(self._scheduler.now_us())
        answer = b"PONG"
        if line == b"STATS":
            report = ",".join(f"{name}={value:.4f}" for name, value in self.model.report.items())
            answer += b" " + report.encode()
        self._scheduler.call_at(answer_us, partial(lines.write, answer + b"\r\n"))

    # Session set-up.

    def _handle_open(self, connection: ServerConnection, line: bytes) -> None:
        """A complete session request."""
        words = line.split(b" ")
        fields = dict(part.partition(b"=")[::2] for part in words[-1].split(b","))
        connection.request_id = words[1].decode("ascii", "replace")
        session = self._run.sessions.get(connection.request_id)
        if session is None or not session.matches_request(line):
            self._run.report_violation(f"{self.name}: a line that no client sent in this form: {line[:120]!r}")
            connection.end("syntax", b"SYNTAX\r\n")
            return
        if b"at" in fields:
            self._establish(connection)
            return
        self._run.counts["attempts"] += 1
        self._run.expire_closed_attempts(connection.request_id)
        connection.attempt = session.next_attempt()
        connection.is_in_flight = True
        units = self.model.expected_load_units(session.group)
        self._log_attempt(connection, units)
        self._run.track_attempt(connection)
        now_us = self._scheduler.now_us()
        deadline_us = now_us + int(fields.get(b"d", b"0")) * 1000
        decision = self.model.handle_open(now_us, units, session.group, deadline_us)
        if decision.outcome is SetupOutcome.RESET:
            connection.reset("reset")
            return
        finish = partial(self._finish_setup, connection, decision.outcome, self.model.started_us)
        self._scheduler.call_at(decision.decided_at_us, finish)

    def _log_attempt(self, connection: ServerConnection, units: float) -> None:
        """On loopback a complete line arrives as it is sent."""
        proxy_name = self._world.proxy_names[connection.proxy]
        about = (proxy_name, connection.request_id, self.name, connection.attempt)
        self._world.log(EventKind.ATTEMPT_SENT, *about)
        self._world.log(EventKind.ATTEMPT_EXECUTED, *about, f"{units:g}")

    def _finish_setup(self, connection: ServerConnection, outcome: SetupOutcome, started_us: int) -> None:
        """The decision on a request is due; `started_us` tells whether the process is still the same."""
        model = self.model
        if model.started_us == started_us and model.setups_in_progress > 0:
            model.finish_setup()
        if connection.lines.is_closed or connection not in self.connections or model.lifecycle.is_dead:
            return
        if connection.lines.has_peer_ended():
            connection.end_attempt("given up")
            return
        if outcome is SetupOutcome.BUSY or model.lifecycle is not ServerLifecycle.SERVING:
            connection.end("busy", b"BUSY\r\n")
            return
        connection.end_attempt("up")
        self._establish(connection)

    def _establish(self, connection: ServerConnection) -> None:
        session = self._run.sessions[connection.request_id]
        units, change_us = session.client.next_load()
        now_us = self._scheduler.now_us()
        held = HeldConnection(
            connection_id=connection.request_id,
            request_class=session.request_class,
            load_units=units,
            group=session.group,
            on_dropped=partial(connection.reset, "dropped"),
        )
        self.model.add_connection(now_us, held)
        connection.is_established = True
        connection.established_us = now_us
        self._scheduler.call_at(now_us + change_us, partial(self._change_load, connection))
        connection.lines.write(f"UP {self.name}\r\n".encode())

    # Established sessions.

    def _change_load(self, connection: ServerConnection) -> None:
        if connection.is_established and connection in self.connections:
            units, change_us = self._run.sessions[connection.request_id].client.next_load()
            now_us = self._scheduler.now_us()
            self.model.update_load(now_us, connection.request_id, units)
            self._scheduler.call_at(now_us + change_us, partial(self._change_load, connection))

    def _handle_message(self, connection: ServerConnection, line: bytes) -> None:
        """Answer a message by the same line once the model has processed it; `quit` is answered by BYE."""
        if connection.is_muted:
            return
        now_us = self._scheduler.now_us()
        self.model.advance_to(now_us)
        if line == b"quit":
            connection.end("BYE", b"BYE\r\n")
            return
        # Messages of one connection are answered in their order, however long each would take by itself.
        latency_us = int(self.model.draw_message_latency_s() * 1e6)
        connection.last_answer_us = max(connection.last_answer_us + 1, now_us + latency_us)
        connection.pending_answers.append(line + b"\r\n")
        self._scheduler.call_at(connection.last_answer_us, connection.answer_message)
