"""The virtual driver: each proxy's real controller and decisions, in virtual time, against the modelled world.

Only what uses sockets is modelled: sessions, the proxies' access to the backends, and the clients.
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

START_US = 1_700_000_000_000_000  # the virtual clock's start; fixed, so that runs do not depend on the date
SETTLE_US = 4_000_000  # time that a run continues after its last arrival, so that all requests are answered
REWATCH_DELAY_US = 100_000  # from the loss of a proxy's watch to the next one

PolicyBuilder = Callable[[WorldState], PolicyFactory]


def balancer_policy(_: WorldState) -> PolicyFactory:
    """Build the project's own balancer, as the service uses it."""
    return Balancer


class VirtualDriver(ClientPopulation[Session]):
    """One virtual run. `run` executes it; the results are in `world`, `counts` and `setup_times_us`."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        sink: EventSink,
        policy: PolicyBuilder = balancer_policy,
        shuffle_seed: int | None = None,
    ) -> None:
        """Create a run; `shuffle_seed` shuffles the timers due at the same microsecond, None keeps their order."""
        shuffle_rng = None if shuffle_seed is None else np.random.default_rng(shuffle_seed)
        self.scheduler = VirtualScheduler(START_US, shuffle_rng)
        super().__init__(WorldState(scenario, seed, self.scheduler, sink))
        self._processes = ProxyProcesses(self, self.scheduler, policy(self.world))

    @property
    def proxies(self) -> list[VirtualProxy]:
        """The current process of each proxy."""
        return self._processes.proxies

    # The run.

    def run(self) -> None:
        """Run the scenario to its end."""
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
        """Add the sessions that are established at the start to the proxies, as after a restart of all proxies."""
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
        """Connect a client to a proxy; once connected it sends its request, from which its deadline counts."""
        process = self.proxies[proxy]
        if process.has_ended:
            return None
        now_us = self.scheduler.now_us()
        latency_us = self.world.client_latency_us
        client = self.clients[index]
        session = Session(self, process, client, client.next_request_id(), now_us + 2 * latency_us)
        deliver_request = partial(process.loop.deliver, session.receive_request)
        self.scheduler.call_at(now_us + 3 * latency_us, deliver_request)
        self.scheduler.call_at(session.requested_us + session.timeout_us, partial(self.time_out, session))
        return session

    def disconnect_client(self, session: Session) -> None:
        """Close the client's side; the proxy notices it one client latency later."""
        if not session.is_answered:
            self.world.log(EventKind.CLIENT_DISCONNECTED, session.proxy.name, session.name)
        deliver_disconnect = partial(session.proxy.loop.deliver, session.client_disconnected)
        self.scheduler.call_at(self.scheduler.now_us() + self.world.client_latency_us, deliver_disconnect)

    def finish_session(self, session: Session) -> None:
        """Make the client ask its server to end the session."""
        session.close_by_client()

    # Servers: see WorldDriver.

    def _sessions_at(self, server: ServerModel) -> list[HostedSession]:
        return [session for proxy in self.proxies for session in proxy.established.get(server.name, {}).values()]

    def on_server_added(self, server: ServerModel) -> None:
        """Do nothing: a proxy can reach a server as soon as it is notified of it."""

    def on_server_draining(self, server: ServerModel) -> None:
        """Send MOVE on all sessions of the server."""
        for session in self._sessions_at(server):
            session.server_ended("MOVE", AttemptStatus.REVOKED)

    def on_server_stopped(self, server: ServerModel) -> None:
        """Reset all connections of the server, including those of attempts in flight."""
        for proxy in self.proxies:
            for session in list(proxy.sessions.values()):
                if session.server is server:
                    session.server_ended("reset", AttemptStatus.DROPPED)

    def on_connections_dropped(self, server: ServerModel, connections: list[HeldConnection]) -> None:
        """Close connections that a server drops because of its backlog."""
        drop_connections(connections)

    def on_server_vanished(self, server: ServerModel) -> None:
        """Keep the server's sessions open without any data from it."""
        for proxy in self.proxies:
            _mark_server_unreachable(proxy, server)

    def set_zones_partitioned(self, is_partitioned: bool) -> None:
        """Partition the network between zones, or restore it."""
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
            _mark_server_unreachable(proxy, server)

    # Discovery: see WorldDriver.

    def publish_endpoints(self, proxy: int, entries: list[EndpointEntry], is_snapshot: bool) -> None:
        """Notify a proxy's process of endpoints, unless it has ended."""
        process = self.proxies[proxy]
        if not process.has_ended:
            process.loop.deliver(partial(deliver_endpoints, self.world, process, entries, is_snapshot))

    def corrupt_endpoint_stream(self, proxy: int) -> None:
        """Publish a full snapshot after `REWATCH_DELAY_US`: invalid data changes no endpoint, but ends the watch."""
        publish = partial(self.world.discovery.publish_snapshot, proxy)
        self.scheduler.call_at(self.scheduler.now_us() + REWATCH_DELAY_US, publish)

    # Proxies: see WorldDriver.

    def restart_proxy(self, proxy: int) -> None:
        """Stop a proxy by SIGTERM, and restart it."""
        self._processes.restart(proxy)

    def kill_proxy(self, proxy: int, restart_delay_us: int) -> None:
        """Kill a proxy, and restart it after `restart_delay_us`."""
        self._processes.kill(proxy, restart_delay_us)

    def freeze_proxy(self, proxy: int, freeze_us: int) -> None:
        """Freeze a proxy's process by SIGSTOP for `freeze_us`."""
        self._processes.freeze(proxy, freeze_us)


def _mark_server_unreachable(proxy: VirtualProxy, server: ServerModel) -> None:
    for session in proxy.established.get(server.name, {}).values():
        session.mark_server_unreachable()
