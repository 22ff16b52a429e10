"""One attempt of a modelled session, and the network between its proxy and its server, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from stoatgw.controller.messages import AttemptEnd, AttemptStage
from stoatgw.decisions.interface import AttemptStatus
from stoatgw.emulator.virtual.event_loop import VirtualScheduler
from stoatgw.emulator.virtual.proxy import VirtualProxy
from stoatgw.emulator.world.client import Client
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.server_model import HeldConnection, ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import WorldState

DIAL_TIMEOUT_US = 250_000


class AttemptOwner(Protocol):
    """The session that an attempt is made for."""

    name: str
    client: Client
    request_class: int
    group: int

    @property
    def has_ended(self) -> bool:
        """Whether the session is over, so that nothing scheduled for its attempts counts."""

    def on_attempt_failed(self, end: AttemptEnd) -> None:
        """The attempt ended without being established."""

    def on_established(self) -> None:
        """UP has arrived at the proxy."""

    def server_ended(self, how: str, status: AttemptStatus) -> None:
        """The server closed the connection."""


class AttemptModel:
    """The attempts of one session, one after the other, from connecting to UP.

    Attributes:
        number: Of the last attempt.
        stage: How far the last attempt has come.
    """

    def __init__(
        self, world: WorldState, scheduler: VirtualScheduler, proxy: VirtualProxy, owner: AttemptOwner
    ) -> None:
        self._world = world
        self._scheduler = scheduler
        self._proxy = proxy
        self._owner = owner
        self._generation = 0  # what was scheduled in an earlier one is ignored
        self.number = -1
        self.stage = AttemptStage.CONNECTING

    def prepare(self, number: int) -> None:
        """Numbers the next attempt."""
        self.number = number
        self.stage = AttemptStage.CONNECTING

    def invalidate(self) -> None:
        """Everything scheduled in the proxy's process so far is to be ignored."""
        self._generation += 1

    def connect(self, server: ServerModel, deadline_us: int) -> None:
        """Connects to a server; sends the request once that has succeeded."""
        now_us = self._scheduler.now_us()
        dial_deadline_us = min(now_us + DIAL_TIMEOUT_US, deadline_us)
        connected_us = now_us + 2 * self.draw_latency_us(server)
        is_refused = self._proxy.random.next() < self._world.scenario.network.connect_failures
        if self._world.is_unreachable(self._proxy.zone, server) or connected_us > dial_deadline_us:
            self.call_in_proxy(dial_deadline_us, self._on_connect_failed)
        elif server.lifecycle is ServerLifecycle.GONE or is_refused:
            self.call_in_proxy(connected_us, self._on_connect_failed)
        else:
            self.call_in_proxy(connected_us, partial(self._on_connected, server, deadline_us))

    def _on_connect_failed(self) -> None:
        self.fail(AttemptStatus.DIAL_FAILED, "could not connect")

    def _on_connected(self, server: ServerModel, deadline_us: int) -> None:
        now_us = self._scheduler.now_us()
        backend = self._proxy.backends.get(server.name)
        grace_us = self._proxy.settings.drain_grace_us
        if backend is None or not backend.accepts_new_sessions(now_us, grace_us) or now_us >= deadline_us:
            self.fail(AttemptStatus.DIAL_FAILED, "it left meanwhile, or no time is left")
            return
        self.stage = AttemptStage.SENT
        self._world.log(EventKind.ATTEMPT_SENT, self._proxy.name, self._owner.name, server.name, self.number)
        self.call_in_proxy(deadline_us, partial(self.fail, AttemptStatus.EXPIRED, "timed out"))
        arrive = partial(self._receive_at_server, server, self._generation, self.number, deadline_us)
        self.call_after(self.draw_latency_us(server), arrive)

    def _receive_at_server(self, server: ServerModel, generation: int, attempt: int, deadline_us: int) -> None:
        """The complete request has arrived: from now on it may run, whether its proxy still waits or not."""
        if self._world.is_unreachable(self._proxy.zone, server):
            return
        if server.lifecycle is ServerLifecycle.GONE:
            self._receive_refusal(server, generation, AttemptStatus.DROPPED)
            return
        now_us = self._scheduler.now_us()
        units = server.expected_load_units(self._owner.group)
        self._world.log(
            EventKind.ATTEMPT_EXECUTED, self._proxy.name, self._owner.name, server.name, attempt, f"{units:g}"
        )
        decision = server.handle_open(now_us, units, self._owner.group, deadline_us)
        if decision.outcome == "reset":
            self._receive_refusal(server, generation, AttemptStatus.DROPPED)
            return
        decide = partial(self._decide_at_server, server, generation, decision.outcome, server.started_us)
        self._scheduler.call_at(decision.decided_at_us, decide)

    def _decide_at_server(self, server: ServerModel, generation: int, outcome: str, started_us: int) -> None:
        is_same_process = server.started_us == started_us
        if (is_same_process and outcome == "up") or server.setups_in_progress > 0:
            server.finish_setup()
        if server.lifecycle is ServerLifecycle.GONE or not is_same_process or not self._is_current(generation):
            return  # its death was reported already; or nobody waits any more
        if outcome == "busy" or server.lifecycle is not ServerLifecycle.SERVING:
            self._receive_refusal(server, generation, AttemptStatus.SHED)
            return
        self.open_at_server(server, is_reachable=not self._proxy.loop.is_frozen)
        latency_us = self.draw_latency_us(server)
        if not self._world.is_unreachable(self._proxy.zone, server):
            self.call_in_proxy(self._scheduler.now_us() + latency_us, self._owner.on_established)

    def _receive_refusal(self, server: ServerModel, generation: int, status: AttemptStatus) -> None:
        """The server's refusal, or its end, is on its way to the proxy."""
        if self._is_current(generation):
            at_us = self._scheduler.now_us() + self.draw_latency_us(server)
            self.call_in_proxy(at_us, partial(self.fail, status, status.value))

    def fail(self, status: AttemptStatus, reason: str) -> None:
        """Ends the attempt at the stage that it has reached."""
        self._owner.on_attempt_failed(AttemptEnd(status, self.stage, reason))

    def log_ended(self, server: ServerModel, how: str) -> None:
        """Logs the end of an attempt that was sent."""
        self._world.log(EventKind.ATTEMPT_ENDED, self._proxy.name, self._owner.name, server.name, self.number, how)

    # The server's side, and the network.

    def open_at_server(self, server: ServerModel, *, is_reachable: bool) -> None:
        """The server holds the connection from now on."""
        units, change_us = self._owner.client.next_load()
        on_dropped = partial(self._owner.server_ended, "drop", AttemptStatus.DROPPED)
        connection = HeldConnection(
            self._owner.name, self._owner.request_class, units, self._owner.group, is_reachable, on_dropped
        )
        server.add_connection(self._scheduler.now_us(), connection)
        self.call_after(change_us, partial(self._change_load, server))

    def _change_load(self, server: ServerModel) -> None:
        """The load of the connection changes, as long as the server holds it."""
        now_us = self._scheduler.now_us()
        if self._owner.name in server.connections and now_us < self._world.end_us:
            units, change_us = self._owner.client.next_load()
            server.update_load(now_us, self._owner.name, units)
            self.call_after(change_us, partial(self._change_load, server))

    def close_to_server(self, server: ServerModel) -> None:
        """The proxy closes its connection to the server, which notices after the network's latency."""
        self.call_after(self.draw_latency_us(server), partial(self._close_at_server, server))

    def _close_at_server(self, server: ServerModel) -> None:
        server.remove_connection(self._scheduler.now_us(), self._owner.name)

    def draw_latency_us(self, server: ServerModel) -> int:
        """The network's latency between proxy and server, one way, this time."""
        base_us = self._world.one_way_latency_us(self._proxy.zone, server)
        jitter = self._world.scenario.network.jitter
        return max(1, int(base_us * (1.0 + jitter * (2.0 * self._proxy.random.next() - 1.0))))

    # Time.

    def _is_current(self, generation: int) -> bool:
        return self._generation == generation and not self._owner.has_ended

    def call_after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Schedules what happens outside the proxy's process."""
        self._scheduler.call_at(self._scheduler.now_us() + delay_us, action)

    def call_in_proxy(self, at_us: int, action: Callable[[], None]) -> None:
        """Schedules an action in the proxy's process, unless the attempt or the session is over by then."""
        generation = self._generation

        def run_if_current() -> None:
            """Drops what an attempt or a session that is over has scheduled."""
            if self._is_current(generation):
                action()

        self._scheduler.call_at(at_us, partial(self._proxy.loop.deliver, run_if_current))
