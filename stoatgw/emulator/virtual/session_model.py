"""A client's session at a modelled proxy, from its line to its end: the door that the owner acts through.

It goes through the same stages as a session on sockets (connecting, sending, sent, up) and gives the owner the
same values at the same points; `stoatgw/clients/session.py` and `stoatgw/backends/attempt.py` are its measure.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

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
from stoatgw.emulator.world.client import Client
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.server_model import HeldConnection, ServerLifecycle, ServerModel

if TYPE_CHECKING:
    from stoatgw.emulator.virtual.driver import VirtualDriver
    from stoatgw.emulator.virtual.proxy import VirtualProxy

DIAL_US = 250_000
UNANSWERED_US, LOOK_US = 5_000_000, 250_000  # a connection unanswered so long is given up at the next look
RESERVED_DESCRIPTORS, DESCRIPTORS_PER_REQUEST = 64, 2  # as `stoatgw/clients/descriptor_limiter.py` has them


class Session:
    def __init__(self, world: VirtualDriver, proxy: VirtualProxy, client: Client, name: str, asked_us: int) -> None:
        self._host, self._world, self._scheduler = world, world.world, world.scheduler
        self.proxy, self.client, self.name, self.requested_us = proxy, client, name, asked_us
        population, index = world.world.population, client.index
        self.request_class = int(population.request_class[index])
        profile = proxy.settings.profiles[self.request_class]
        self.wait_us = profile.deadline_us
        self.group = int(population.group[index])
        self.request_state = RequestState(
            Request(
                request_id=name,
                request_class=self.request_class,
                time_left_us=profile.deadline_us,
                idempotency_key=int(population.idempotency_key[index]),
                group=self.group,
                is_returning=client.is_returning,
            ),
            asked_us + profile.deadline_us,
            self,
        )
        self.is_client_answered = False  # the client has its answer, or waits no longer
        self.is_answered = False  # the proxy gave its final answer
        self.is_known_to_controller = False  # the owner knows the req
        self.server: ServerModel | None = None  # where an attempt is out, or where it stands
        self._attempt = -1
        self._stage = AttemptStage.CONNECTING
        self._link = 0  # tells this attempt's events from an earlier one's
        self._up = False
        self._ended = False
        self._stood_us = 0
        self._given_up = AttemptStatus.REVOKED

    # The client's side.

    def receive_request(self) -> None:
        """The whole line has come at the proxy."""
        proxy, realm = self.proxy, self._world
        if DESCRIPTORS_PER_REQUEST * (len(proxy.sessions) + 1) + RESERVED_DESCRIPTORS > realm.scenario.proxies.sockets:
            self._ended = True
            self._to_client("busy", 0)
            return
        proxy.sessions[self.name] = self
        self.is_known_to_controller = True
        now_us = self._scheduler.now_us()
        # As on sockets: the proxy knows what the line says, and when it read it.
        self.request_state.deadline_us = now_us + self.wait_us
        realm.log(
            EventKind.REQUEST_RECEIVED,
            proxy.name,
            self.name,
            number=self.requested_us + self.wait_us - realm.start_us,
            detail=str(self.client.index),
        )
        proxy.controller.post(RequestReceived(self.request_state))

    def client_disconnected(self) -> None:
        """The client ended its side."""
        self._finish("left", tell=True)

    def close_by_client(self) -> None:
        """The client has had what it wanted and says so; its server ends the connection."""
        if not self._up or self.server is None:
            self._host.disconnect_client(self)
            return
        way_us = self._world.client_latency_us + self._way_us(self.server)
        self._scheduler.call_at(
            self._scheduler.now_us() + way_us, partial(self.server_ended, "BYE", AttemptStatus.DELIVERED)
        )

    # The owner's side: see Door.

    def start_attempt(self, attempt: int, server: str, cut_at_us: int) -> None:
        self._attempt, self._stage = attempt, AttemptStage.CONNECTING
        if self._ended:
            self._post_attempt_end(AttemptStatus.REVOKED, "its client has gone")
            return
        self._link += 1
        self._host.counts["attempts"] += 1
        machine, now_us = self._world.servers.get(server), self._scheduler.now_us()
        if machine is None or self.proxy.backends.get(server) is None:
            self._post_attempt_end(AttemptStatus.DIAL_FAILED, "no such backend")
            return
        self.server = machine
        dial_us = min(now_us + DIAL_US, cut_at_us)
        up_us = now_us + 2 * self._way_us(machine)
        failing = self.proxy.random.next() < self._world.scenario.network.connect_failures
        if self._world.is_unreachable(self.proxy.zone, machine) or up_us > dial_us:
            self._later(dial_us, self._no_connect)
        elif machine.lifecycle is ServerLifecycle.GONE or failing:
            self._later(up_us, self._no_connect)
        else:
            self._later(up_us, partial(self._on_connected, machine, cut_at_us))

    def cancel_attempt(self, attempt: int) -> None:
        if attempt == self._attempt and not self._up:
            self._end_attempt(AttemptStatus.REVOKED, "given up")

    def reject(self, retry_after_us: int) -> None:
        self._answer("busy", retry_after_us)
        self._finish("answered")

    def fail(self) -> None:
        self._answer("err", 0)
        self._finish("answered")

    def migrate(self) -> None:
        if self._ended:
            return
        if self._up:
            self._world.log(EventKind.SESSION_MIGRATED, self.proxy.name, self.name)
            self._client_lost("moved")
        self._finish("moved")

    # One attempt.

    def _way_us(self, machine: ServerModel) -> int:
        base, jitter = self._world.one_way_latency_us(self.proxy.zone, machine), self._world.scenario.network.jitter
        return max(1, int(base * (1.0 + jitter * (2.0 * self.proxy.random.next() - 1.0))))

    def _later(self, at_us: int, action: partial[None] | object) -> None:
        """In the proxy's process, unless another attempt or the end came first."""
        link = self._link

        def run() -> None:
            if self._link == link and not self._ended:
                action()  # type: ignore[operator]

        self._scheduler.call_at(at_us, partial(self.proxy.loop.deliver, run))

    def _no_connect(self) -> None:
        self._end_attempt(AttemptStatus.DIAL_FAILED, "could not connect")

    def _on_connected(self, machine: ServerModel, cut_at_us: int) -> None:
        now_us, backend = self._scheduler.now_us(), self.proxy.backends.get(machine.properties.name)
        grace_us = self.proxy.settings.drain_grace_us
        if backend is None or not backend.accepts_new_sessions(now_us, grace_us) or now_us >= cut_at_us:
            self._end_attempt(AttemptStatus.DIAL_FAILED, "it left meanwhile, or no time is left")
            return
        self._stage = AttemptStage.SENT
        self._world.log(EventKind.ATTEMPT_SENT, self.proxy.name, self.name, machine.properties.name, self._attempt)
        self._later(cut_at_us, partial(self._end_attempt, AttemptStatus.EXPIRED, "timed out"))
        way_us = self._way_us(machine)
        self._scheduler.call_at(
            now_us + way_us, partial(self._receive_at_server, machine, self._link, self._attempt, cut_at_us)
        )

    def _receive_at_server(self, machine: ServerModel, link: int, attempt: int, cut_at_us: int) -> None:
        """The line's last byte has come: from now on it may run, whether its proxy still waits or not."""
        if self._world.is_unreachable(self.proxy.zone, machine):
            return
        if machine.lifecycle is ServerLifecycle.GONE:
            self._answered_by(machine, link, AttemptStatus.DROPPED)
            return
        now_us, name = self._scheduler.now_us(), machine.properties.name
        units = machine.expected_load_units(self.group)
        self._world.log(EventKind.ATTEMPT_EXECUTED, self.proxy.name, self.name, name, attempt, f"{units:g}")
        answer = machine.handle_open(now_us, units, self.group, cut_at_us)
        if answer.outcome == "reset":
            self._answered_by(machine, link, AttemptStatus.DROPPED)
            return
        began_us = machine.started_us
        self._scheduler.call_at(
            answer.decided_at_us, partial(self._server_ready, machine, link, answer.outcome, began_us)
        )

    def _server_ready(self, machine: ServerModel, link: int, how: str, began_us: int) -> None:
        if (machine.started_us == began_us and how == "up") or machine.setups_in_progress > 0:
            machine.finish_setup()
        if (
            machine.lifecycle is ServerLifecycle.GONE
            or machine.started_us != began_us
            or self._link != link
            or self._ended
        ):
            return  # its death was told already; or nobody waits any more
        if how == "busy" or machine.lifecycle is not ServerLifecycle.SERVING:
            self._answered_by(machine, link, AttemptStatus.SHED)
            return
        units, change_us = self.client.next_load()
        live = not self.proxy.loop.is_frozen
        held = HeldConnection(
            self.name,
            self.request_class,
            units,
            self.group,
            live,
            partial(self.server_ended, "drop", AttemptStatus.DROPPED),
        )
        machine.add_connection(self._scheduler.now_us(), held)
        self._scheduler.call_at(self._scheduler.now_us() + change_us, partial(self._change, machine))
        way_us = self._way_us(machine)
        if not self._world.is_unreachable(self.proxy.zone, machine):
            self._later(self._scheduler.now_us() + way_us, self._on_established)

    def _change(self, machine: ServerModel) -> None:
        """The connection's load changes, while it stands there."""
        now_us = self._scheduler.now_us()
        if self.name in machine.connections and now_us < self._world.end_us:
            units, change_us = self.client.next_load()
            machine.update_load(now_us, self.name, units)
            self._scheduler.call_at(now_us + change_us, partial(self._change, machine))

    def _answered_by(self, machine: ServerModel, link: int, status: AttemptStatus) -> None:
        if self._link == link and not self._ended:
            at_us = self._scheduler.now_us() + self._way_us(machine)
            self._later(at_us, partial(self._end_attempt, status, status.value))

    def _on_established(self) -> None:
        if self.server is None:
            return
        server = self.server.properties.name
        self._up, self._stage, self._stood_us = True, AttemptStage.ESTABLISHED, self._scheduler.now_us()
        self._link += 1  # its time limit no longer counts
        self.proxy.established.setdefault(server, {})[self.name] = self
        self._world.log(EventKind.ATTEMPT_ENDED, self.proxy.name, self.name, server, self._attempt, "up")
        self._answer("up", 0)
        self._world.log(
            EventKind.SESSION_ESTABLISHED, self.proxy.name, self.name, server, detail=str(self.client.index)
        )
        self.proxy.controller.post(AttemptEstablished(self.request_state, self._attempt))
        if self.server.lifecycle is ServerLifecycle.DRAINING:  # it sent all away while this UP was on its way
            self.server_ended("MOVE", AttemptStatus.REVOKED)

    def start_established(self, machine: ServerModel) -> None:
        """It stood at that server before the run."""
        self.proxy.sessions[self.name] = self
        self.is_known_to_controller = self.is_answered = self.is_client_answered = self._up = True
        self._stage, self._attempt, self.server, self._stood_us = (
            AttemptStage.ESTABLISHED,
            0,
            machine,
            self._scheduler.now_us(),
        )
        self.proxy.established.setdefault(machine.properties.name, {})[self.name] = self
        units, change_us = self.client.next_load()
        drop = partial(self.server_ended, "drop", AttemptStatus.DROPPED)
        machine.add_connection(
            self._scheduler.now_us(), HeldConnection(self.name, self.request_class, units, self.group, True, drop)
        )
        self._scheduler.call_at(self._scheduler.now_us() + change_us, partial(self._change, machine))
        self._world.log(
            EventKind.SESSION_ESTABLISHED,
            self.proxy.name,
            self.name,
            machine.properties.name,
            detail=str(self.client.index),
        )

    def _end_attempt(self, status: AttemptStatus, why: str) -> None:
        """An attempt that is not up is over."""
        machine, sent = self.server, self._stage is AttemptStage.SENT
        self._link += 1
        self.server = None
        if machine is not None:
            if sent:
                self._world.log(
                    EventKind.ATTEMPT_ENDED,
                    self.proxy.name,
                    self.name,
                    machine.properties.name,
                    self._attempt,
                    status.value,
                )
                self._host.counts["wasted"] += status not in (AttemptStatus.SHED, AttemptStatus.DIAL_FAILED)
            self._let_go(machine)
        self._post_attempt_end(status, why)

    def _post_attempt_end(self, status: AttemptStatus, why: str) -> None:
        self.proxy.controller.post(
            AttemptEnded(self.request_state, self._attempt, AttemptEnd(status, self._stage, why))
        )

    def _let_go(self, machine: ServerModel) -> None:
        """Our side of the server's connection ends; it notices one way later."""
        at_us = self._scheduler.now_us() + self._way_us(machine)
        self._scheduler.call_at(at_us, partial(self._released, machine))

    def _released(self, machine: ServerModel) -> None:
        machine.remove_connection(self._scheduler.now_us(), self.name)

    # What ends it.

    def server_ended(self, how: str, status: AttemptStatus) -> None:
        """The server ended the connection, or died: the proxy hears of it one way later."""
        machine = self.server
        if machine is None or self._ended:
            return
        machine.remove_connection(self._scheduler.now_us(), self.name)
        if self._world.is_unreachable(self.proxy.zone, machine):
            return
        at_us = self._scheduler.now_us() + self._way_us(machine)
        if not self._up:
            self._later(at_us, partial(self._end_attempt, status, how))
            return
        self._later(at_us, partial(self._backend_ended, how, status))

    def _backend_ended(self, how: str, status: AttemptStatus) -> None:
        self._world.log(EventKind.SESSION_ENDED, self.proxy.name, self.name, detail=how)
        if how != "BYE":
            self._client_lost("moved" if how == "MOVE" else "broken")
        self._close_standing()
        self._post_attempt_end(status, how)
        self._leave()

    def lose_server(self) -> None:
        """Nothing comes from its server any more: given up once a line stays unanswered too long."""
        machine = self.server
        if machine is None or not self._up:
            return
        machine.set_reachable(self._scheduler.now_us(), self.name, False)
        every_us = self._world.scenario.clients.line_every_s * 1e6
        at_us = self._scheduler.now_us() + int(every_us * self.proxy.random.next()) + UNANSWERED_US
        self._later(at_us + int(LOOK_US * self.proxy.random.next()), partial(self._give_up, machine))

    def _give_up(self, machine: ServerModel) -> None:
        if self._world.is_unreachable(self.proxy.zone, machine):
            self._given_up = AttemptStatus.DROPPED
            self.migrate()

    def proxy_ended(self, how: str) -> None:
        """The process is gone: its connections are reset on both sides."""
        if self._ended:
            return
        if self._up and how == "stopped":
            self._world.log(EventKind.SESSION_BROKEN, self.proxy.name, self.name)
        elif self._up:
            self._world.log(EventKind.SESSION_ENDED, self.proxy.name, self.name, detail="proxy killed")
        elif self.server is not None and self._stage is AttemptStage.SENT:
            self._world.log(
                EventKind.ATTEMPT_ENDED, self.proxy.name, self.name, self.server.properties.name, self._attempt, how
            )
        self._client_lost("broken")
        self._ended = True
        self._link += 1
        if self.server is not None:
            self._count_stood()
            self._let_go(self.server)
        self.proxy.sessions.pop(self.name, None)

    def _answer(self, kind: str, advice_us: int) -> None:
        if self._ended:
            return
        self.is_answered = True
        self._world.log(EventKind.REQUEST_ANSWERED, self.proxy.name, self.name, number=advice_us, detail=kind)
        self._to_client(kind, advice_us)

    def _to_client(self, kind: str, advice_us: int) -> None:
        at_us = self._scheduler.now_us() + self._world.client_latency_us
        self._scheduler.call_at(at_us, partial(self._host.receive_answer, self, kind, advice_us))

    def _client_lost(self, how: str) -> None:
        at_us = self._scheduler.now_us() + self._world.client_latency_us
        self._scheduler.call_at(at_us, partial(self._host.receive_disconnect, self, how))

    def _finish(self, how: str, tell: bool = False) -> None:
        """The session ends from the client's side or the owner's; an attempt that is out is given up."""
        if self._ended:
            return
        if tell:
            self.proxy.controller.post(ClientDisconnected(self.request_state))
        if self._up:
            if how == "left":
                self._world.log(EventKind.SESSION_ENDED, self.proxy.name, self.name, detail="client left")
            machine = self.server
            self._close_standing()
            if machine is not None:
                self._let_go(machine)
            self._post_attempt_end(self._given_up, "given up")
        elif self.server is not None:
            self._end_attempt(AttemptStatus.REVOKED, "given up")
        self._leave()

    def _close_standing(self) -> None:
        self._count_stood()
        if self.server is not None:
            there = self.proxy.established.get(self.server.properties.name, {})
            there.pop(self.name, None)
            if not there:
                self.proxy.established.pop(self.server.properties.name, None)
        self.server = None

    def _count_stood(self) -> None:
        if self._up and self.server is not None:
            span_us = self._scheduler.now_us() - self._stood_us
            self._host.counts["stood_us"] += span_us
            self._host.counts["cross_us"] += span_us * (self.server.properties.zone != self.proxy.zone)

    def _leave(self) -> None:
        self._ended, self.is_known_to_controller = True, False
        self._link += 1
        self.proxy.sessions.pop(self.name, None)
