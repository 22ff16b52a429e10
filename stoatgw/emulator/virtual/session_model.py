"""A client's session at a modelled proxy: the controller's `RequestHandler`, in virtual time and without sockets.

It goes through the stages of a session on sockets (connecting, sending, sent, established) and passes the controller
the same values at the same points. Both share the rules in `stoatgw.clients.session_state`: whether an answer may be
sent, whether an attempt may start, how an interrupted attempt ends, and which ends are reported to the controller.

The following imitates `stoatgw.clients` and `stoatgw.backends.attempt` without sharing code, and must be kept in step:

- An attempt: on sockets a task that waits, here (`attempt_model.py`) scheduled events that are ignored once it has
  ended. `refuse_establishment` is therefore not called here: after the end of a session no event can establish it.
- Migration: lines are not modelled, so MOVE never waits for the end of one.
- The time until an unresponsive server is abandoned: a timeout of 5 s plus random delays here, where `SessionMonitor`
  polls with a timeout of 4 s.
"""

from __future__ import annotations

from functools import partial
from typing import Protocol

from stoatgw.clients.descriptor_limiter import DESCRIPTORS_PER_REQUEST, RESERVED_DESCRIPTORS
from stoatgw.clients.session_state import EndReason, SessionEnd, SessionState
from stoatgw.controller.messages import (
    AttemptEnd,
    AttemptEnded,
    AttemptEstablished,
    AttemptStage,
    ClientDisconnected,
    RequestReceived,
    RequestState,
)
from stoatgw.decisions.interface import AttemptStatus, Request
from stoatgw.emulator.virtual.attempt_model import AttemptModel
from stoatgw.emulator.virtual.event_loop import VirtualScheduler
from stoatgw.emulator.virtual.proxy import VirtualProxy
from stoatgw.emulator.world.client import Client
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.server_model import ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import WorldState

UNANSWERED_TIMEOUT_US = 5_000_000  # a session whose server is unresponsive for this time is migrated at the next check
MONITOR_INTERVAL_US = 250_000
NO_WORK_STATUSES = (AttemptStatus.SHED, AttemptStatus.DIAL_FAILED)  # of attempts for which the server did no work


class SessionHost(Protocol):
    """The run that a session belongs to, as far as the session uses it."""

    world: WorldState
    scheduler: VirtualScheduler
    counts: dict[str, int]

    def receive_answer(self, session: Session, kind: str, retry_after_us: int) -> None:
        """Handle the arrival of the proxy's answer at the client."""

    def receive_disconnect(self, session: Session, reason: str) -> None:
        """Handle the arrival of the end of the connection at the client."""

    def disconnect_client(self, session: Session) -> None:
        """Close the client's side."""


class Session:
    """One session, from the request to its end; a `RequestHandler`, a `HostedSession` and an `AttemptOwner`.

    Attributes:
        proxy: The process that serves it.
        client: The client that opened it.
        name: The request's id.
        requested_us: The time at which the client sent its request.
        request_class: The index of its class.
        timeout_us: How long the client waits for an answer.
        group: The client's group.
        request_state: The request as the controller knows it.
        is_client_answered: Whether the client received its answer, or no longer waits for it.
        is_answered: Whether the proxy sent its final answer.
        is_known_to_controller: Whether the controller has the request, and need not have removed it yet.
        server: The server of the attempt in flight, or of the established session.
    """

    def __init__(self, host: SessionHost, proxy: VirtualProxy, client: Client, name: str, requested_us: int) -> None:
        population = host.world.population
        self._host = host
        self._world = host.world
        self._scheduler = host.scheduler
        self.proxy = proxy
        self.client = client
        self.name = name
        self.requested_us = requested_us
        self.request_class = int(population.request_class[client.index])
        self.timeout_us = proxy.settings.profiles[self.request_class].deadline_us
        self.group = int(population.group[client.index])
        self.request_state = RequestState(
            Request(
                request_id=name,
                request_class=self.request_class,
                time_left_us=self.timeout_us,
                idempotency_key=int(population.idempotency_key[client.index]),
                group=self.group,
                is_returning=client.is_returning,
            ),
            requested_us + self.timeout_us,
            self,
        )
        self.is_client_answered = False
        self.is_answered = False
        self.is_known_to_controller = False
        self.server: ServerModel | None = None
        self._state = SessionState()
        self._attempt = AttemptModel(host.world, host.scheduler, proxy, self)
        self._established_us = 0

    @property
    def has_ended(self) -> bool:
        """Whether the session has ended."""
        return self._state.has_ended

    # The client's side.

    def receive_request(self) -> None:
        """Handle the arrival of the complete request at the proxy."""
        proxy = self.proxy
        descriptors = DESCRIPTORS_PER_REQUEST * (len(proxy.sessions) + 1) + RESERVED_DESCRIPTORS
        if descriptors > self._world.scenario.proxies.sockets:
            self._state.finish(SessionEnd(EndReason.ANSWERED))
            self._send_answer("busy", 0)
            return
        proxy.sessions[self.name] = self
        self.is_known_to_controller = True
        # As on sockets, the deadline is the time at which the proxy read the request plus the timeout in it.
        self.request_state.deadline_us = self._scheduler.now_us() + self.timeout_us
        self._world.log(
            EventKind.REQUEST_RECEIVED,
            proxy.name,
            self.name,
            number=self.requested_us + self.timeout_us - self._world.start_us,
            detail=str(self.client.index),
        )
        proxy.controller.post(RequestReceived(self.request_state))

    def client_disconnected(self) -> None:
        """Handle the arrival of the client's disconnect at the proxy."""
        self._finish(EndReason.CLIENT_DISCONNECTED)

    def close_by_client(self) -> None:
        """Make the client ask its server to end the session; disconnect it if the session is not established."""
        if not self._state.is_established or self.server is None:
            self._host.disconnect_client(self)
            return
        latency_us = self._world.client_latency_us + self._attempt.draw_latency_us(self.server)
        self._attempt.call_after(latency_us, partial(self.server_ended, "BYE", AttemptStatus.DELIVERED))

    # Called by the controller: see `RequestHandler`.

    def start_attempt(self, number: int, server_name: str, deadline_us: int) -> None:
        """Start an attempt at a server."""
        self._attempt.prepare(number)
        refusal = self._state.refuse_attempt()
        if refusal is not None:
            self._post_attempt_end(refusal)
            return
        self._attempt.invalidate()
        self._host.counts["attempts"] += 1
        server = self._world.servers.get(server_name)
        if server is None or self.proxy.backends.get(server_name) is None:
            self._post_attempt_end(AttemptEnd(AttemptStatus.DIAL_FAILED, self._attempt.stage, "no such backend"))
            return
        self.server = server
        self._attempt.connect(server, deadline_us)

    def cancel_attempt(self, number: int) -> None:
        """Cancel an attempt that is not established."""
        if number == self._attempt.number and not self._state.is_established:
            self.on_attempt_failed(self._state.interrupted_attempt(self._attempt.stage))

    def reject(self, retry_after_us: int) -> None:
        """Answer BUSY."""
        if self._state.can_answer():
            self._answer("busy", retry_after_us)
            self._finish(EndReason.ANSWERED)

    def fail(self) -> None:
        """Answer ERR."""
        if self._state.can_answer():
            self._answer("err", 0)
            self._finish(EndReason.ANSWERED)

    def migrate(self) -> None:
        """End the session and make its client reconnect; an established client receives MOVE."""
        if self._state.has_ended:
            return
        if self._state.is_established:
            self._world.log(EventKind.SESSION_MIGRATED, self.proxy.name, self.name)
            self._send_disconnect("moved")
        self._finish(EndReason.MIGRATED)

    # Attempts.

    def on_established(self) -> None:
        """Handle the arrival of UP at the proxy."""
        server = self.server
        if server is None:
            return
        self._establish(server)
        self._attempt.invalidate()  # the deadline no longer applies
        self._world.log(EventKind.ATTEMPT_ENDED, self.proxy.name, self.name, server.name, self._attempt.number, "up")
        self._answer("up", 0)
        self._log_established(server)
        self.proxy.controller.post(AttemptEstablished(self.request_state, self._attempt.number))
        if server.lifecycle is ServerLifecycle.DRAINING:  # it sent MOVE on all sessions while this UP was in transit
            self.server_ended("MOVE", AttemptStatus.REVOKED)

    def start_established(self, server: ServerModel) -> None:
        """Set up a session that was established at the server before the run."""
        self.proxy.sessions[self.name] = self
        self.is_known_to_controller = True
        self.is_answered = True
        self.is_client_answered = True
        self._attempt.prepare(0)
        self.server = server
        self._establish(server)
        self._attempt.add_to_server(server, is_reachable=True)
        self._log_established(server)

    def _establish(self, server: ServerModel) -> None:
        self._state.establish()
        self._attempt.stage = AttemptStage.ESTABLISHED
        self._established_us = self._scheduler.now_us()
        self.proxy.established.setdefault(server.name, {})[self.name] = self

    def _log_established(self, server: ServerModel) -> None:
        self._world.log(
            EventKind.SESSION_ESTABLISHED, self.proxy.name, self.name, server.name, detail=str(self.client.index)
        )

    def on_attempt_failed(self, end: AttemptEnd) -> None:
        """Handle the end of an attempt that is not established."""
        server = self.server
        self._attempt.invalidate()
        self.server = None
        if server is not None:
            if self._attempt.stage is AttemptStage.SENT:
                self._attempt.log_ended(server, end.status.value)
                if end.status not in NO_WORK_STATUSES:
                    self._host.counts["wasted"] += 1
            self._attempt.close_server_connection(server)
        self._post_attempt_end(end)

    def _post_attempt_end(self, end: AttemptEnd) -> None:
        self.proxy.controller.post(AttemptEnded(self.request_state, self._attempt.number, end))

    # The server's side.

    def server_ended(self, end_kind: str, status: AttemptStatus) -> None:
        """Handle the end of the connection, or of the server: the proxy notices it after the network latency."""
        server = self.server
        if server is None or self._state.has_ended:
            return
        server.remove_connection(self._scheduler.now_us(), self.name)
        if self._world.is_unreachable(self.proxy.zone, server):
            return
        at_us = self._scheduler.now_us() + self._attempt.draw_latency_us(server)
        if self._state.is_established:
            self._attempt.call_in_proxy(at_us, partial(self._on_server_ended, end_kind, status))
        else:
            self._attempt.call_in_proxy(at_us, partial(self._attempt.fail, status, end_kind))

    def _on_server_ended(self, end_kind: str, status: AttemptStatus) -> None:
        self._state.finish(SessionEnd(EndReason.SERVER_ENDED))
        self._world.log(EventKind.SESSION_ENDED, self.proxy.name, self.name, detail=end_kind)
        if end_kind != "BYE":
            self._send_disconnect("moved" if end_kind == "MOVE" else "broken")
        self._remove_established()
        self._post_attempt_end(AttemptEnd(status, self._attempt.stage, end_kind))
        self._release()

    def mark_server_unreachable(self) -> None:
        """Handle the loss of the network to the server: abandon it once a line is unanswered for too long."""
        server = self.server
        if server is None or not self._state.is_established:
            return
        server.set_reachable(self._scheduler.now_us(), self.name, False)
        line_interval_us = self._world.scenario.clients.line_every_s * 1e6
        until_line_us = int(line_interval_us * self.proxy.random.next())
        until_check_us = int(MONITOR_INTERVAL_US * self.proxy.random.next())
        at_us = self._scheduler.now_us() + until_line_us + UNANSWERED_TIMEOUT_US + until_check_us
        self._attempt.call_in_proxy(at_us, partial(self._abandon_server, server))

    def _abandon_server(self, server: ServerModel) -> None:
        if self._world.is_unreachable(self.proxy.zone, server):
            self._state.record_unresponsive_server()
            self.migrate()

    # The end of the session.

    def proxy_ended(self, end_kind: str) -> None:
        """Handle the end of the proxy's process, stopped or killed: its connections are reset on both sides."""
        # No `EndReason` describes the end of the process; none is read, as nothing runs in the process any more.
        if not self._state.finish(SessionEnd(EndReason.SERVER_ENDED, was_reset=True)):
            return
        if self._state.is_established and end_kind == "stopped":
            self._world.log(EventKind.SESSION_BROKEN, self.proxy.name, self.name)
        elif self._state.is_established:
            self._world.log(EventKind.SESSION_ENDED, self.proxy.name, self.name, detail="proxy killed")
        elif self.server is not None and self._attempt.stage is AttemptStage.SENT:
            self._attempt.log_ended(self.server, end_kind)
        self._send_disconnect("broken")
        self._attempt.invalidate()
        if self.server is not None:
            self._count_established_time(self.server)
            self._attempt.close_server_connection(self.server)
        self.proxy.sessions.pop(self.name, None)

    def _finish(self, reason: EndReason) -> None:
        """End the session for the client or the controller; an attempt in flight is abandoned."""
        if not self._state.finish(SessionEnd(reason)):
            return
        if self._state.must_report_disconnect():
            self.proxy.controller.post(ClientDisconnected(self.request_state))
        if self._state.is_established:
            self._close_established(reason)
        elif self.server is not None:
            self.on_attempt_failed(self._state.interrupted_attempt(self._attempt.stage))
        self._release()

    def _close_established(self, reason: EndReason) -> None:
        if reason is EndReason.CLIENT_DISCONNECTED:
            self._world.log(EventKind.SESSION_ENDED, self.proxy.name, self.name, detail="client left")
        server = self.server
        self._remove_established()
        if server is not None:
            self._attempt.close_server_connection(server)
        self._post_attempt_end(self._state.interrupted_attempt(self._attempt.stage))

    def _remove_established(self) -> None:
        server = self.server
        self.server = None
        if server is None:
            return
        self._count_established_time(server)
        sessions = self.proxy.established.get(server.name, {})
        sessions.pop(self.name, None)
        if not sessions:
            self.proxy.established.pop(server.name, None)

    def _count_established_time(self, server: ServerModel) -> None:
        if not self._state.is_established:
            return
        duration_us = self._scheduler.now_us() - self._established_us
        self._host.counts["stood_us"] += duration_us
        if server.properties.zone != self.proxy.zone:
            self._host.counts["cross_us"] += duration_us

    def _release(self) -> None:
        self.is_known_to_controller = False
        self._attempt.invalidate()
        self.proxy.sessions.pop(self.name, None)

    # Answers and disconnects sent to the client.

    def _answer(self, kind: str, retry_after_us: int) -> None:
        self.is_answered = True
        self._world.log(EventKind.REQUEST_ANSWERED, self.proxy.name, self.name, number=retry_after_us, detail=kind)
        self._send_answer(kind, retry_after_us)

    def _send_answer(self, kind: str, retry_after_us: int) -> None:
        receive = partial(self._host.receive_answer, self, kind, retry_after_us)
        self._attempt.call_after(self._world.client_latency_us, receive)

    def _send_disconnect(self, reason: str) -> None:
        self._attempt.call_after(self._world.client_latency_us, partial(self._host.receive_disconnect, self, reason))
