"""Simulated clients: each connects, sends its request, and then a message every so often that must come back."""

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

RESTORE_TIMEOUT_MS = 40_000  # of a session that is established before the run
CONNECT_TIMEOUT_S = 1.0
FINISH_TIMEOUT_US = 10_000_000  # from `quit` until the client closes by itself


class SessionHost(Protocol):
    """What a client connection asks of the driver: what comes of it, and whether its proxy runs."""

    def time_out(self, session: ClientConnection) -> None:
        """The deadline has passed."""

    def record_unreachable(self, session: ClientConnection) -> None:
        """The client could not connect."""

    def receive_answer(self, session: ClientConnection, kind: str, retry_after_us: int) -> None:
        """The proxy's answer has come: up, busy or err."""

    def receive_disconnect(self, session: ClientConnection, reason: str) -> None:
        """The connection ended: moved or broken."""

    def is_running(self, proxy: int) -> bool:
        """Whether a proxy's process runs, and is not being ended on purpose."""


class MessageStream:
    """The messages of an established session: sent at an interval, answered unchanged and in order."""

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
        self._last_sent_us = 0  # of the message that counts now; 0: none
        self._is_on_time = False
        self._is_stopped = False

    def send_next(self) -> None:
        """Send a message, after recording what the last one showed; repeats until stopped."""
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
        """A line came back: it must answer the oldest message."""
        if not self._unanswered or self._unanswered[0][1] != line:
            self._run.report_violation(f"{self._name}: {line[:60]!r} came back out of order or changed")
            return
        sent_us, _ = self._unanswered.popleft()
        if sent_us == self._last_sent_us:
            self._is_on_time = self._world.scheduler.now_us() - sent_us <= self._objective_us

    def record_service(self) -> None:
        """The time since the last message was served if that was answered within the objective."""
        if self._last_sent_us and self._is_on_time:
            end_us = min(self._world.scheduler.now_us(), self._world.start_us + self._departure_us)
            self._world.accounting.record_service(self._last_sent_us, end_us, self._request_class, 1, 1.0)
        self._last_sent_us = 0
        self._is_on_time = False

    def stop(self) -> None:
        """Send nothing any more."""
        self._is_stopped = True


class ClientConnection:
    """One connection of a client to a proxy, from its start to its end; implements `RequestedSession`."""

    def __init__(self, host: SessionHost, run: RunState, client: Client, proxy: int, pinned_server: str = "") -> None:
        """`pinned_server`: where a session that is established before the run must be restored."""
        world = run.world
        index = client.index
        self.client = client
        self.proxy = proxy
        self.name = client.next_request_id()
        self.request_class = int(world.population.request_class[index])
        self.group = int(world.population.group[index])
        self.requested_us = world.scheduler.now_us()
        self.is_client_answered = False
        self.server = ""  # where it is established
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
        self._is_leaving = False
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
        """Whether a line is this client's request, but for the deadline."""
        return _without_deadline(line) == _without_deadline(self._request)

    def next_attempt(self) -> int:
        """The number of a new attempt, from 0."""
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
            self._handle_break(str(error))
        except asyncio.CancelledError:
            pass  # the client closes its side
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
        """The deadline counts from now."""
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
        """Take the proxy's answer; whether the session is established and still wanted."""
        word, _, rest = answer.partition(b" ")
        kind = {b"UP": "up", b"BUSY": "busy"}.get(word, "err")
        is_up = kind == "up"
        retry_after_us = int(rest) * 1000 if kind == "busy" and rest.isdigit() else 0
        if not self._is_restored:
            self._world.log(EventKind.REQUEST_ANSWERED, self._proxy_name, self.name, number=retry_after_us, detail=kind)
        if is_up:
            self.server = rest.decode("ascii", "replace")
            client_index = str(self.client.index)
            self._world.log(
                EventKind.SESSION_ESTABLISHED, self._proxy_name, self.name, self.server, detail=client_index
            )
        if not self.established.done():
            self.established.set_result(is_up)
        self._host.receive_answer(self, kind, retry_after_us)
        return is_up and not self._is_leaving

    async def _serve_established(self, lines: LineSocket) -> None:
        """Exchange messages until the session ends, and report how it did."""
        reason = await self._exchange_messages(lines)
        if reason == "left":
            return
        kind = EventKind.SESSION_MIGRATED if reason == "moved" else EventKind.SESSION_ENDED
        self._world.log(kind, self._proxy_name, self.name, detail=reason)
        if reason != "BYE":
            self._host.receive_disconnect(self, reason)

    async def _exchange_messages(self, lines: LineSocket) -> str:
        """Gives how the connection ended: moved, BYE, broken, or left by the client."""
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
        """The connection ended with neither MOVE nor BYE: log it as broken if that is the proxy's doing."""
        if self._is_leaving:
            return "left"
        if not self._run.has_server_ended(self.name) and self._host.is_running(self.proxy):
            self._world.log(EventKind.SESSION_BROKEN, self._proxy_name, self.name, self.server, detail=detail)
        return "broken"

    def _handle_break(self, detail: str) -> None:
        """A reset, or an end before any answer."""
        if not self.established.done():
            self.established.set_result(False)
        if self._is_leaving:
            return
        if self.server and self._classify_unannounced_end(detail) == "broken":
            self._world.log(EventKind.SESSION_ENDED, self._proxy_name, self.name, detail="broken")
        self._host.receive_disconnect(self, "broken")

    # The client's end.

    def disconnect(self) -> None:
        """The client closes its side."""
        self._is_leaving = True
        if self._messages is not None:
            self._messages.stop()
        self.task.cancel()

    def finish(self) -> None:
        """The client needs its session no longer: its server ends it by BYE."""
        if self._lines is None or not self.server:
            self.disconnect()
            return
        if self._messages is not None:
            self._messages.record_service()
        self._lines.write(b"quit\r\n")
        self._world.scheduler.call_at(self._world.scheduler.now_us() + FINISH_TIMEOUT_US, self.disconnect)


def _without_deadline(line: bytes) -> tuple[bytes, tuple[bytes, ...]]:
    head, _, fields = line.rpartition(b" ")
    return head, tuple(part for part in fields.split(b",") if not part.startswith(b"d="))
