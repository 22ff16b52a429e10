"""Simulated session servers: the sockets of a server model, with a listening address for each proxy."""

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
    """Speaks the platform's protocol to the proxies, and carries out the decisions of its model.

    Attributes:
        model: The server's model.
        name: The server's name.
        connections: The connections that have sent a session request.
    """

    def __init__(self, run: RunState, model: ServerModel, number: int) -> None:
        """Create a server that does not listen yet; `number` selects its addresses."""
        self.model = model
        self.name = model.name
        self.connections: set[ServerConnection] = set()
        self._run = run
        self._world = run.world
        self._scheduler = run.world.scheduler
        self._listeners = ServerListeners(run.addresses, number, self._serve)

    # The server process.

    def open(self) -> None:
        """Listen for all proxies."""
        self._listeners.open(len(self._world.proxy_names))

    def refuse(self) -> None:
        """Act as a server whose process has ended: refuse new connections and reset established ones."""
        self._listeners.refuse()
        for connection in list(self.connections):
            connection.reset("died")

    def set_unresponsive(self, proxy: int, is_unresponsive: bool) -> None:
        """Set whether the server ignores a proxy: messages on its sessions and its new connections."""
        for connection in self.connections:
            if connection.proxy == proxy:
                connection.is_unresponsive = is_unresponsive
        self._listeners.set_unresponsive(proxy, is_unresponsive)

    async def stop(self) -> None:
        """Close all listeners and connections."""
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
            raise RuntimeError("a connection must be served in a task")
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
        """Process a session request: check it, then let the model decide on the set-up."""
        tokens = line.split(b" ")
        fields = dict(field.partition(b"=")[::2] for field in tokens[-1].split(b","))
        connection.request_id = tokens[1].decode("ascii", "replace")
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
        """Log an attempt as sent and executed at once: on loopback a complete line is received as it is sent."""
        proxy_name = self._world.proxy_names[connection.proxy]
        subject = (proxy_name, connection.request_id, self.name, connection.attempt)
        self._world.log(EventKind.ATTEMPT_SENT, *subject)
        self._world.log(EventKind.ATTEMPT_EXECUTED, *subject, f"{units:g}")

    def _finish_setup(self, connection: ServerConnection, outcome: SetupOutcome, started_us: int) -> None:
        """Answer a request once the model's decision is due.

        `started_us` is the start time of the process that received the request: if the model's start time differs,
        that process has ended since.
        """
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
        """Answer a message with the same line once the model has processed it, and `quit` with BYE."""
        if connection.is_unresponsive:
            return
        now_us = self._scheduler.now_us()
        self.model.advance_to(now_us)
        if line == b"quit":
            connection.end("BYE", b"BYE\r\n")
            return
        # Messages of one connection are answered in order, whatever latency is drawn for each.
        latency_us = int(self.model.draw_message_latency_s() * 1e6)
        connection.last_answer_us = max(connection.last_answer_us + 1, now_us + latency_us)
        connection.pending_answers.append(line + b"\r\n")
        self._scheduler.call_at(connection.last_answer_us, connection.answer_message)
