"""The attempts of a modelled session, and the network between its proxy and its server, in virtual time."""

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
    """The session that attempts are made for."""

    name: str
    client: Client
    request_class: int
    group: int

    @property
    def has_ended(self) -> bool:
        """Whether the session has ended, so that events still scheduled for its attempts are ignored."""

    def on_attempt_failed(self, end: AttemptEnd) -> None:
        """Handle the end of an attempt that was not established."""

    def on_established(self) -> None:
        """Handle the arrival of UP at the proxy."""

    def server_ended(self, end_kind: str, status: AttemptStatus) -> None:
        """Handle the end of the connection by the server; `end_kind` is `BYE`, `MOVE`, `drop` or `reset`."""


class AttemptModel:
    """The attempts of one session, one after the other, from connecting to UP.

    Attributes:
        number: The number of the last attempt; -1 before the first.
        stage: The stage that the last attempt has reached.
    """

    def __init__(
        self, world: WorldState, scheduler: VirtualScheduler, proxy: VirtualProxy, owner: AttemptOwner
    ) -> None:
        self._world = world
        self._scheduler = scheduler
        self._proxy = proxy
        self._owner = owner
        self._generation = 0  # events scheduled in an earlier generation are ignored
        self.number = -1
        self.stage = AttemptStage.CONNECTING

    def prepare(self, number: int) -> None:
        """Set the number of the next attempt, and reset the stage."""
        self.number = number
        self.stage = AttemptStage.CONNECTING

    def invalidate(self) -> None:
        """Make the proxy's process ignore all events scheduled for this session until now."""
        self._generation += 1

    def connect(self, server: ServerModel, deadline_us: int) -> None:
        """Connect to a server, and send the request once connected."""
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
            self.fail(AttemptStatus.DIAL_FAILED, "the backend accepts no new sessions, or the deadline has passed")
            return
        self.stage = AttemptStage.SENT
        self._world.log(EventKind.ATTEMPT_SENT, self._proxy.name, self._owner.name, server.name, self.number)
        self.call_in_proxy(deadline_us, partial(self.fail, AttemptStatus.EXPIRED, "timed out"))
        receive_request = partial(self._receive_at_server, server, self._generation, self.number, deadline_us)
        self.call_after(self.draw_latency_us(server), receive_request)

    def _receive_at_server(self, server: ServerModel, generation: int, attempt: int, deadline_us: int) -> None:
        """Handle the complete request: from now on it may run, whether or not the proxy still waits for it."""
        if self._world.is_unreachable(self._proxy.zone, server):
            return
        if server.lifecycle is ServerLifecycle.GONE:
            self._deliver_refusal(server, generation, AttemptStatus.DROPPED)
            return
        now_us = self._scheduler.now_us()
        units = server.expected_load_units(self._owner.group)
        self._world.log(
            EventKind.ATTEMPT_EXECUTED, self._proxy.name, self._owner.name, server.name, attempt, f"{units:g}"
        )
        decision = server.handle_open(now_us, units, self._owner.group, deadline_us)
        if decision.outcome == "reset":
            self._deliver_refusal(server, generation, AttemptStatus.DROPPED)
            return
        apply_decision = partial(self._apply_setup_decision, server, generation, decision.outcome, server.started_us)
        self._scheduler.call_at(decision.decided_at_us, apply_decision)

    def _apply_setup_decision(self, server: ServerModel, generation: int, outcome: str, started_us: int) -> None:
        is_same_process = server.started_us == started_us
        if (is_same_process and outcome == "up") or server.setups_in_progress > 0:
            server.finish_setup()
        if server.lifecycle is ServerLifecycle.GONE or not is_same_process or not self._is_current(generation):
            return  # the end of the process was reported already, or the proxy no longer waits for the answer
        if outcome == "busy" or server.lifecycle is not ServerLifecycle.SERVING:
            self._deliver_refusal(server, generation, AttemptStatus.SHED)
            return
        self.add_to_server(server, is_reachable=not self._proxy.loop.is_frozen)
        latency_us = self.draw_latency_us(server)
        if not self._world.is_unreachable(self._proxy.zone, server):
            self.call_in_proxy(self._scheduler.now_us() + latency_us, self._owner.on_established)

    def _deliver_refusal(self, server: ServerModel, generation: int, status: AttemptStatus) -> None:
        """Schedule the arrival of the server's refusal, or of the end of its connection, at the proxy."""
        if self._is_current(generation):
            at_us = self._scheduler.now_us() + self.draw_latency_us(server)
            self.call_in_proxy(at_us, partial(self.fail, status, status.value))

    def fail(self, status: AttemptStatus, reason: str) -> None:
        """End the attempt at the stage that it has reached."""
        self._owner.on_attempt_failed(AttemptEnd(status, self.stage, reason))

    def log_ended(self, server: ServerModel, end_kind: str) -> None:
        """Log the end of an attempt that was sent."""
        self._world.log(EventKind.ATTEMPT_ENDED, self._proxy.name, self._owner.name, server.name, self.number, end_kind)

    # The server's side and the network.

    def add_to_server(self, server: ServerModel, *, is_reachable: bool) -> None:
        """Add the connection to the server, and schedule the first change of its load."""
        units, change_us = self._owner.client.next_load()
        on_dropped = partial(self._owner.server_ended, "drop", AttemptStatus.DROPPED)
        connection = HeldConnection(
            self._owner.name, self._owner.request_class, units, self._owner.group, is_reachable, on_dropped
        )
        server.add_connection(self._scheduler.now_us(), connection)
        self.call_after(change_us, partial(self._change_load, server))

    def _change_load(self, server: ServerModel) -> None:
        """Change the load of the connection, and schedule the next change, while the server has the connection."""
        now_us = self._scheduler.now_us()
        if self._owner.name in server.connections and now_us < self._world.end_us:
            units, change_us = self._owner.client.next_load()
            server.update_load(now_us, self._owner.name, units)
            self.call_after(change_us, partial(self._change_load, server))

    def close_server_connection(self, server: ServerModel) -> None:
        """Close the proxy's connection to the server, which notices it after the network latency."""
        self.call_after(self.draw_latency_us(server), partial(self._remove_from_server, server))

    def _remove_from_server(self, server: ServerModel) -> None:
        server.remove_connection(self._scheduler.now_us(), self._owner.name)

    def draw_latency_us(self, server: ServerModel) -> int:
        """Draw a one-way network latency between the proxy and the server."""
        base_us = self._world.one_way_latency_us(self._proxy.zone, server)
        jitter = self._world.scenario.network.jitter
        return max(1, int(base_us * (1.0 + jitter * (2.0 * self._proxy.random.next() - 1.0))))

    # Scheduling.

    def _is_current(self, generation: int) -> bool:
        return self._generation == generation and not self._owner.has_ended

    def call_after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Schedule an action outside the proxy's process, such as on the server or in the network."""
        self._scheduler.call_at(self._scheduler.now_us() + delay_us, action)

    def call_in_proxy(self, at_us: int, action: Callable[[], None]) -> None:
        """Schedule an action in the proxy's process; it is skipped if the attempt or the session has ended by then."""
        generation = self._generation

        def run_if_current() -> None:
            """Run the action unless its attempt or session has ended."""
            if self._is_current(generation):
                action()

        self._scheduler.call_at(at_us, partial(self._proxy.loop.deliver, run_if_current))
