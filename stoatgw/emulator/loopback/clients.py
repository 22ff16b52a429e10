"""Simulated clients: each connects, requests a session, and then sends messages at an interval that must be echoed."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from functools import partial
from typing import Protocol

from stoatgw.emulator.loopback.run_state import RunState
from stoatgw.emulator.loopback.wire import LineSocket
from stoatgw.emulator.world.client import Client
from stoatgw.emulator.world.events import EventKind

RESTORE_TIMEOUT_MS = 40_000  # request timeout of a session that is established before the run
CONNECT_TIMEOUT_S = 1.0
FINISH_TIMEOUT_US = 10_000_000  # from `quit` until the client closes the connection if the server does not


class SessionHost(Protocol):
    """What a client connection needs of the driver: callbacks for its outcome, and whether its proxy runs."""

    def time_out(self, session: ClientConnection) -> None:
        """Handle that the request's deadline has passed, with or without an answer before."""

    def record_unreachable(self, session: ClientConnection) -> None:
        """Handle that the client could not connect to its proxy."""

    def receive_answer(self, session: ClientConnection, kind: str, retry_after_us: int) -> None:
        """Handle the proxy's answer; `kind` is up, busy or err."""

    def receive_disconnect(self, session: ClientConnection, reason: str) -> None:
        """Handle the end of the connection; `reason` is moved or broken."""

    def is_running(self, proxy: int) -> bool:
        """Return whether a proxy's process runs and the driver has not ended it."""


class MessageStream:
    """The messages of an established session, sent at an interval; each must be answered unchanged and in order."""

    def __init__(self, run: RunState, name: str, client: Client, request_class: int, lines: LineSocket) -> None:
        world = run.world
        self._run = run
        self._world = world
        self._name = name
        self._request_class = request_class
        self._lines = lines
        self._objective_us = world.scenario.clients.classes[request_class].aim_ms * 1000
        self._interval_us = int(world.scenario.clients.line_every_s * 1e6)
        self._departure_us = int(world.population.departure_us[client.index])  # from the run's start
        self._unanswered: deque[tuple[int, bytes]] = deque()
        self._sent_count = 0
        self._last_sent_us = 0  # when the last message was sent; 0 if its service is already recorded
        self._is_on_time = False
        self._is_stopped = False

    def send_next(self) -> None:
        """Record the service since the last message and send the next one; repeats until stopped."""
        if self._lines.is_closed or self._is_stopped:
            return
        self.record_service()
        now_us = self._world.scheduler.now_us()
        message = b"set %d" % self._sent_count
        self._sent_count += 1
        self._last_sent_us = now_us
        self._unanswered.append((now_us, message))
        self._lines.write(message + b"\r\n")
        self._world.scheduler.call_at(now_us + self._interval_us, self.send_next)

    def receive(self, line: bytes) -> None:
        """Process a line, which must answer the oldest unanswered message."""
        if not self._unanswered or self._unanswered[0][1] != line:
            self._run.report_violation(f"{self._name}: {line[:60]!r} came back out of order or changed")
            return
        sent_us, _ = self._unanswered.popleft()
        if sent_us == self._last_sent_us:
            self._is_on_time = self._world.scheduler.now_us() - sent_us <= self._objective_us

    def record_service(self) -> None:
        """Record the time since the last message as served, if that message was answered within the objective."""
        if self._last_sent_us and self._is_on_time:
            end_us = min(self._world.scheduler.now_us(), self._world.start_us + self._departure_us)
            self._world.accounting.record_service(self._last_sent_us, end_us, self._request_class, 1, 1.0)
        self._last_sent_us = 0
        self._is_on_time = False

    def stop(self) -> None:
        """Send no more messages."""
        self._is_stopped = True


class ClientConnection:
    """One connection of a client to a proxy, with the session on it; implements `RequestedSession`.

    Attributes:
        client: The client.
        proxy: The index of the proxy that it connects to.
        name: The request id.
        request_class: The index of the request's class in the scenario.
        group: The group that the session belongs to.
        requested_us: When the request was sent; until then, when the connection was created.
        is_client_answered: Whether the client has its answer, or has stopped waiting for one.
        server: The server on which the session is established, or empty.
        established: Completed by the first answer, or the end of the connection: whether the session is established.
        task: The task that runs the session; cancelling it closes the client's side.
    """

    def __init__(self, host: SessionHost, run: RunState, client: Client, proxy: int, pinned_server: str = "") -> None:
        """Start to connect.

        Args:
            host: Handles the outcome.
            run: The shared state of the run.
            client: The client.
            proxy: The index of the proxy to connect to.
            pinned_server: For a session that is established before the run, the server that must get it; else empty.
        """
        world = run.world
        index = client.index
        self.client = client
        self.proxy = proxy
        self.name = client.next_request_id()
        self.request_class = int(world.population.request_class[index])
        self.group = int(world.population.group[index])
        self.requested_us = world.scheduler.now_us()
        self.is_client_answered = False
        self.server = ""
        self.established: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._host = host
        self._run = run
        self._world = world
        self._proxy_name = world.proxy_names[proxy]
        self._is_restored = bool(pinned_server)
        self._timeout_ms = self._deadline_ms()
        self._request = self._format_request(pinned_server)
        self._attempts = 0
        self._lines: LineSocket | None = None
        self._messages: MessageStream | None = None
        self._is_disconnecting = False
        self.task = asyncio.get_running_loop().create_task(self._run_session())
        run.sessions[self.name] = self

    # The request.

    def _deadline_ms(self) -> int:
        if self._is_restored:
            return RESTORE_TIMEOUT_MS
        return round(self._world.scenario.clients.classes[self.request_class].deadline_ms)

    def _format_request(self, pinned_server: str) -> bytes:
        class_name = self._world.scenario.clients.classes[self.request_class].name
        fields = [f"c={class_name}", f"d={self._timeout_ms}", f"g={self.group:x}"]
        if self.client.is_returning:
            fields.append("again=1")
        if pinned_server:
            fields.append(f"at={pinned_server}")
        key = int(self._world.population.idempotency_key[self.client.index])
        return f"OPEN {self.name} {key:016x} {','.join(fields)}".encode()

    def matches_request(self, line: bytes) -> bool:
        """Return whether a line equals this request, apart from the deadline: a proxy sends the time that remains."""
        return _without_deadline(line) == _without_deadline(self._request)

    def next_attempt(self) -> int:
        """Count a new attempt and return its number, starting at 0."""
        self._attempts += 1
        return self._attempts - 1

    # The session.

    async def _run_session(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        lines = self._lines = LineSocket(sock)
        try:
            if not await self._connect(sock):
                self._host.record_unreachable(self)
                return
            self._send_request(lines)
            answer = await lines.read_line()
            if answer is None:
                raise ConnectionError("ended without an answer")
            if self._handle_answer(answer):
                await self._serve_established(lines)
        except OSError as error:
            self._handle_broken_connection(str(error))
        except asyncio.CancelledError:
            pass  # the client disconnects
        finally:
            if self._messages is not None:
                self._messages.record_service()
            lines.close()

    async def _connect(self, sock: socket.socket) -> bool:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(sock, self._run.addresses.proxy(self.proxy))
        except (OSError, TimeoutError):
            return False
        return True

    def _send_request(self, lines: LineSocket) -> None:
        """Send the request; its deadline counts from now."""
        self.requested_us = self._world.scheduler.now_us()
        deadline_us = self.requested_us + self._timeout_ms * 1000
        if not self._is_restored:
            self._world.log(
                EventKind.REQUEST_RECEIVED,
                self._proxy_name,
                self.name,
                number=deadline_us - self._world.start_us,
                detail=str(self.client.index),
            )
            self._world.scheduler.call_at(deadline_us, partial(self._host.time_out, self))
        lines.write(self._request + b"\r\n")

    def _handle_answer(self, answer: bytes) -> bool:
        """Process the proxy's answer; return whether the session is established and the client still wants it."""
        verb, _, argument = answer.partition(b" ")
        kind = {b"UP": "up", b"BUSY": "busy"}.get(verb, "err")
        is_up = kind == "up"
        retry_after_us = int(argument) * 1000 if kind == "busy" and argument.isdigit() else 0
        if not self._is_restored:
            self._world.log(EventKind.REQUEST_ANSWERED, self._proxy_name, self.name, number=retry_after_us, detail=kind)
        if is_up:
            self.server = argument.decode("ascii", "replace")
            client_index = str(self.client.index)
            self._world.log(
                EventKind.SESSION_ESTABLISHED, self._proxy_name, self.name, self.server, detail=client_index
            )
        if not self.established.done():
            self.established.set_result(is_up)
        self._host.receive_answer(self, kind, retry_after_us)
        return is_up and not self._is_disconnecting

    async def _serve_established(self, lines: LineSocket) -> None:
        """Exchange messages until the session ends, and log why it ended."""
        reason = await self._exchange_messages(lines)
        if reason == "left":
            return
        kind = EventKind.SESSION_MIGRATED if reason == "moved" else EventKind.SESSION_ENDED
        self._world.log(kind, self._proxy_name, self.name, detail=reason)
        if reason != "BYE":
            self._host.receive_disconnect(self, reason)

    async def _exchange_messages(self, lines: LineSocket) -> str:
        """Exchange messages until the connection ends; return why: moved, BYE, broken, or left (by the client)."""
        messages = self._messages = MessageStream(self._run, self.name, self.client, self.request_class, lines)
        messages.send_next()
        announced_reason = ""
        while (line := await lines.read_line()) is not None:
            if line == b"MOVE":
                announced_reason = "moved"
            elif line == b"BYE":
                announced_reason = "BYE"
            elif not line.startswith(b"LOAD "):
                messages.receive(line)
        return announced_reason or self._classify_unannounced_end("ended")

    def _classify_unannounced_end(self, detail: str) -> str:
        """Return the reason for an end without MOVE or BYE; log a broken session if the proxy caused it."""
        if self._is_disconnecting:
            return "left"
        if not self._run.has_server_ended(self.name) and self._host.is_running(self.proxy):
            self._world.log(EventKind.SESSION_BROKEN, self._proxy_name, self.name, self.server, detail=detail)
        return "broken"

    def _handle_broken_connection(self, detail: str) -> None:
        """Handle a reset, or the end of the stream before any answer."""
        if not self.established.done():
            self.established.set_result(False)
        if self._is_disconnecting:
            return
        if self.server and self._classify_unannounced_end(detail) == "broken":
            self._world.log(EventKind.SESSION_ENDED, self._proxy_name, self.name, detail="broken")
        self._host.receive_disconnect(self, "broken")

    # Ending by the client.

    def disconnect(self) -> None:
        """Close the connection from the client's side."""
        self._is_disconnecting = True
        if self._messages is not None:
            self._messages.stop()
        self.task.cancel()

    def finish(self) -> None:
        """Ask the server to end the session by BYE; disconnect if none is established or the server does not end it."""
        if self._lines is None or not self.server:
            self.disconnect()
            return
        if self._messages is not None:
            self._messages.record_service()
        self._lines.write(b"quit\r\n")
        self._world.scheduler.call_at(self._world.scheduler.now_us() + FINISH_TIMEOUT_US, self.disconnect)


def _without_deadline(line: bytes) -> tuple[bytes, tuple[bytes, ...]]:
    head, _, fields = line.rpartition(b" ")
    return head, tuple(field for field in fields.split(b",") if not field.startswith(b"d="))
