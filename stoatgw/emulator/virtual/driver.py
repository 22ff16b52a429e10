"""The virtual driver: the real controller and decisions of each proxy, in virtual time, before the modelled world.

Only what touches sockets is modelled: sessions, the backends as a proxy reaches them, and the clients.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import numpy as np

from stoatgw.controller.messages import SessionRestored
from stoatgw.controller.policy import PolicyFactory
from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import AttemptStatus
from stoatgw.emulator.virtual.endpoints import deliver_endpoints
from stoatgw.emulator.virtual.event_loop import VirtualScheduler
from stoatgw.emulator.virtual.proxy import HostedSession, VirtualProxy
from stoatgw.emulator.virtual.proxy_processes import ProxyProcesses
from stoatgw.emulator.virtual.session_model import Session
from stoatgw.emulator.world.client_population import ClientPopulation
from stoatgw.emulator.world.endpoint_publication import EndpointEntry
from stoatgw.emulator.world.events import EventKind, EventSink
from stoatgw.emulator.world.faults import schedule_faults
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.server_model import HeldConnection, ServerModel
from stoatgw.emulator.world.world_state import WorldState, drop_connections

START_US = 1_700_000_000_000_000  # the virtual clock's first time: no run depends on the day it is made
SETTLE_US = 4_000_000  # a run goes on so long after its last arrival, until all is answered
REWATCH_DELAY_US = 100_000  # a proxy that lost its watch has it again so soon

PolicyBuilder = Callable[[WorldState], PolicyFactory]


def balancer_policy(_: WorldState) -> PolicyFactory:
    """The project's own decisions, as in service."""
    return Balancer


class VirtualDriver(ClientPopulation[Session]):
    """One virtual run: `run` plays it; the results are in `world`, `counts` and `setup_times_us`."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        sink: EventSink,
        policy: PolicyBuilder = balancer_policy,
        shuffle: int | None = None,
    ) -> None:
        """`shuffle` is a seed for the order of what is due at the same microsecond; None keeps it fixed."""
        ties = None if shuffle is None else np.random.default_rng(shuffle)
        self.scheduler = VirtualScheduler(START_US, ties)
        super().__init__(WorldState(scenario, seed, self.scheduler, sink))
        self._processes = ProxyProcesses(self, self.scheduler, policy(self.world))

    @property
    def proxies(self) -> list[VirtualProxy]:
        """The current process of each proxy."""
        return self._processes.proxies

    # The run.

    def run(self) -> None:
        """Play the scenario to its end."""
        world = self.world
        world.start(self)
        world.begin_measurement()
        self._processes.start_all()
        self._establish_initial_sessions()
        schedule_faults(world)
        self.schedule_arrivals()
        self.scheduler.run_until(world.end_us)
        for server in world.servers.values():
            server.advance_to(world.end_us)
        self.scheduler.run_until(world.end_us + SETTLE_US)
        self._processes.log_leaks_and_faults()

    def _establish_initial_sessions(self) -> None:
        """Hand the sessions that are established at the start to the proxies, as a restart of all would."""
        population = self.world.population
        zone_count = len(self.world.scenario.fleet.zones)
        for index, server_name in enumerate(self.world.initial_placements()):
            zone = population.zone[index] % zone_count
            candidates = [proxy for proxy in self.proxies if proxy.zone == zone] or self.proxies
            proxy = candidates[index % len(candidates)]
            client = self.clients[index]
            session = Session(self, proxy, client, client.next_request_id(), self.scheduler.now_us())
            self.register_established(session)
            session.start_established(self.world.servers[server_name])
            restored = SessionRestored(session.request_state, server_name)
            proxy.loop.deliver(partial(proxy.controller.post, restored))

    # Clients: see ClientPopulation.

    def open_session(self, index: int, proxy: int) -> Session | None:
        """A client connects and, once connected, sends its request: the deadline counts from then."""
        process = self.proxies[proxy]
        if process.has_ended:
            return None
        now_us = self.scheduler.now_us()
        latency_us = self.world.client_latency_us
        client = self.clients[index]
        session = Session(self, process, client, client.next_request_id(), now_us + 2 * latency_us)
        arrive = partial(process.loop.deliver, session.receive_request)
        self.scheduler.call_at(now_us + 3 * latency_us, arrive)
        self.scheduler.call_at(session.requested_us + session.wait_us, partial(self.time_out, session))
        return session

    def disconnect_client(self, session: Session) -> None:
        """The client closes its side; the proxy notices one latency later."""
        if not session.is_answered:
            self.world.log(EventKind.CLIENT_DISCONNECTED, session.proxy.name, session.name)
        notice = partial(session.proxy.loop.deliver, session.client_disconnected)
        self.scheduler.call_at(self.scheduler.now_us() + self.world.client_latency_us, notice)

    def finish_session(self, session: Session) -> None:
        """The client asks its server to end the session."""
        session.close_by_client()

    # Servers: see WorldDriver.

    def _sessions_at(self, server: ServerModel) -> list[HostedSession]:
        return [session for proxy in self.proxies for session in proxy.established.get(server.name, {}).values()]

    def on_server_added(self, server: ServerModel) -> None:
        """Nothing to do: a proxy that is notified of a server reaches it."""

    def on_server_draining(self, server: ServerModel) -> None:
        """It sends MOVE on all its sessions."""
        for session in self._sessions_at(server):
            session.server_ended("MOVE", AttemptStatus.REVOKED)

    def on_server_stopped(self, server: ServerModel) -> None:
        """Its connections are reset, also those of attempts in flight."""
        for proxy in self.proxies:
            for session in list(proxy.sessions.values()):
                if session.server is server:
                    session.server_ended("reset", AttemptStatus.DROPPED)

    def on_connections_dropped(self, server: ServerModel, connections: list[HeldConnection]) -> None:
        """A server closes connections because of its backlog."""
        drop_connections(connections)

    def on_server_vanished(self, server: ServerModel) -> None:
        """Its sessions stay open and silent."""
        for proxy in self.proxies:
            _lose_server(proxy, server)

    def set_zones_partitioned(self, is_partitioned: bool) -> None:
        """Cut or restore the network between zones."""
        for proxy in self.proxies:
            for server in self.world.servers.values():
                if server.properties.zone != proxy.zone and server.name in proxy.established:
                    self._set_partitioned(proxy, server, is_partitioned)

    def _set_partitioned(self, proxy: VirtualProxy, server: ServerModel, is_partitioned: bool) -> None:
        now_us = self.scheduler.now_us()
        is_reachable = not is_partitioned and not proxy.loop.is_frozen
        for session in proxy.established[server.name].values():
            server.set_reachable(now_us, session.name, is_reachable)
        if is_partitioned:
            _lose_server(proxy, server)

    # Discovery: see WorldDriver.

    def publish_endpoints(self, proxy: int, entries: list[EndpointEntry], is_snapshot: bool) -> None:
        """Notify a proxy's process of endpoints."""
        process = self.proxies[proxy]
        if not process.has_ended:
            process.loop.deliver(partial(deliver_endpoints, self.world, process, entries, is_snapshot))

    def corrupt_endpoint_stream(self, proxy: int) -> None:
        """Unreadable data changes nothing; the watch begins anew, with a full snapshot."""
        publish = partial(self.world.discovery.publish_snapshot, proxy)
        self.scheduler.call_at(self.scheduler.now_us() + REWATCH_DELAY_US, publish)

    # Proxies: see WorldDriver.

    def restart_proxy(self, proxy: int) -> None:
        """Stop a proxy by SIGTERM and start it again."""
        self._processes.restart(proxy)

    def kill_proxy(self, proxy: int, restart_delay_us: int) -> None:
        """Kill a proxy and start it again after `restart_delay_us`."""
        self._processes.kill(proxy, restart_delay_us)

    def freeze_proxy(self, proxy: int, freeze_us: int) -> None:
        """Stop a proxy by SIGSTOP for a time."""
        self._processes.freeze(proxy, freeze_us)


def _lose_server(proxy: VirtualProxy, server: ServerModel) -> None:
    for session in proxy.established.get(server.name, {}).values():
        session.lose_server()
