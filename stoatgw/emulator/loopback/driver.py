"""The loopback driver: it carries out the world model's events on sockets and processes."""

from __future__ import annotations

import asyncio
import gc
import os
import tempfile
from collections.abc import Callable
from pathlib import Path

import uvloop

from stoatgw.emulator.loopback.addresses import AddressPlan
from stoatgw.emulator.loopback.clients import ClientConnection
from stoatgw.emulator.loopback.clock import RealTimeScheduler
from stoatgw.emulator.loopback.discovery import DiscoveryEndpoint
from stoatgw.emulator.loopback.proxy_fleet import LoopbackError, ProxyFleet
from stoatgw.emulator.loopback.run_state import RunState
from stoatgw.emulator.loopback.servers import ServerEndpoint
from stoatgw.emulator.world.client_population import ClientPopulation
from stoatgw.emulator.world.endpoint_publication import EndpointEntry
from stoatgw.emulator.world.events import EventKind, EventSink
from stoatgw.emulator.world.faults import schedule_faults
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.server_model import HeldConnection, ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import WorldState, drop_connections

BASE_NETWORK = 60  # the addresses are 127.60.x.x and up
SETTLE_S = 4.0  # after the scenario's end, for the last requests to be answered
INITIAL_SESSIONS_TIMEOUT_S = 40.0
INITIAL_BATCH_SIZE = 50
INITIAL_BATCH_INTERVAL_S = 0.05
CLOSE_S = 0.05  # time for the last callbacks of cancelled tasks

ObserveStart = Callable[[WorldState], dict[str, list[float]]]


class LoopbackDriver(ClientPopulation[ClientConnection]):
    """One loopback run, which `run` executes; the results are in `world`, `counts` and `setup_times_us`.

    Attributes:
        scheduler: The run's clock and timers.
        observe_start: Called as the run starts; returns the series for `utilization_samples`, which it may fill later.
        utilization_samples: What `observe_start` returned.
    """

    def __init__(
        self, scenario: Scenario, seed: int, sink: EventSink, folder: Path, base_network: int = BASE_NETWORK
    ) -> None:
        """Create a run on the running event loop; `folder` is for temporary files."""
        self.scheduler = RealTimeScheduler(asyncio.get_running_loop())
        super().__init__(WorldState(scenario, seed, self.scheduler, sink, has_server_accounting=False))
        self.observe_start: ObserveStart | None = None
        self.utilization_samples: dict[str, list[float]] = {}
        self._run = RunState(self.world, AddressPlan(base_network), self.counts)
        self._servers: dict[str, ServerEndpoint] = {}
        self._connections: list[ClientConnection] = []
        self._discoveries = [DiscoveryEndpoint(self._run, proxy) for proxy in range(len(self.world.proxy_names))]
        self._proxies = ProxyFleet(self, self._run.addresses, folder)

    # The run.

    async def run(self) -> str:
        """Run the scenario; return why the run is void, or an empty text.

        Raises:
            LoopbackError: The run could not start.
        """
        try:
            await self._start()
            await asyncio.sleep(self.world.length_us / 1e6 + SETTLE_S)
            invalid_reason = self.scheduler.invalid_reason()
            await self._proxies.stop_all()
            return invalid_reason
        finally:
            await self._close()

    async def _start(self) -> None:
        world = self.world
        for model in list(world.servers.values()):
            self._open_server(model)
        for discovery in self._discoveries:
            discovery.open()
        world.start(self)
        await self._proxies.start_all([discovery.snapshot() for discovery in self._discoveries])
        await self._establish_initial_sessions()
        gc.freeze()
        world.begin_measurement()
        self.scheduler.start_measurement()
        schedule_faults(world)
        self.schedule_arrivals()
        if self.observe_start is not None:
            self.utilization_samples = self.observe_start(world)

    async def _close(self) -> None:
        self.scheduler.close()
        self._proxies.cancel_tasks()
        for connection in self._connections:
            connection.task.cancel()
        for server in self._servers.values():
            await server.stop()
        for discovery in self._discoveries:
            await discovery.stop()
        self._proxies.close()
        await asyncio.sleep(CLOSE_S)

    def _open_server(self, model: ServerModel) -> None:
        number = self._run.server_numbers[model.name] = len(self._run.server_numbers)
        server = self._servers[model.name] = ServerEndpoint(self._run, model, number)
        server.open()

    async def _establish_initial_sessions(self) -> None:
        """Establish the initial sessions by requests with `at=ID`, and wait until all are established."""
        connections = []
        for index, server_name in enumerate(self.world.initial_placements()):
            connection = self._connect(index, self._initial_proxy(index), server_name)
            connection.is_client_answered = True
            self.register_established(connection)
            connections.append(connection)
            if (index + 1) % INITIAL_BATCH_SIZE == 0:
                await asyncio.sleep(INITIAL_BATCH_INTERVAL_S)  # avoid a burst before the run has started
        if connections:
            futures = [connection.established for connection in connections]
            await asyncio.wait(futures, timeout=INITIAL_SESSIONS_TIMEOUT_S)
        established = [each for each in connections if each.established.done() and each.established.result()]
        missing = len(connections) - len(established)
        if missing:
            raise LoopbackError(f"{missing} of {len(connections)} initial sessions were not established")

    def _initial_proxy(self, index: int) -> int:
        """Return a proxy in the client's zone, or the first proxy if the zone has none."""
        zone = int(self.world.population.zone[index])
        proxies = range(len(self.world.proxy_names))
        local = [proxy for proxy in proxies if self.world.proxy_zone(proxy) == zone] or [0]
        return local[index % len(local)]

    def _connect(self, index: int, proxy: int, pinned_server: str = "") -> ClientConnection:
        connection = ClientConnection(self, self._run, self.clients[index], proxy, pinned_server)
        self._connections.append(connection)
        return connection

    # Clients: see ClientPopulation and SessionHost.

    def is_running(self, proxy: int) -> bool:
        """Return whether a proxy's process runs and the driver has not ended it."""
        return self._proxies.is_running(proxy)

    def open_session(self, index: int, proxy: int) -> ClientConnection | None:
        """Connect a client to a proxy."""
        return self._connect(index, proxy)

    def disconnect_client(self, session: ClientConnection) -> None:
        """Close the connection from the client's side."""
        kind = EventKind.SESSION_ENDED if session.server else EventKind.CLIENT_DISCONNECTED
        self.world.log(kind, self.world.proxy_names[session.proxy], session.name, detail="client left")
        session.disconnect()

    def finish_session(self, session: ClientConnection) -> None:
        """Ask the session's server, as its client, to end the session."""
        session.finish()

    # Discovery: see WorldDriver.

    def publish_endpoints(self, proxy: int, entries: list[EndpointEntry], is_snapshot: bool) -> None:
        """Send a proxy endpoint entries: a full snapshot, or changes."""
        self._discoveries[proxy].publish(entries, is_snapshot)
        self.world.log_notified(proxy, entries)

    def corrupt_endpoint_stream(self, proxy: int) -> None:
        """Send a proxy unreadable data and end its watches."""
        self._discoveries[proxy].corrupt_watches()

    # Servers: see WorldDriver.

    def on_server_added(self, server: ServerModel) -> None:
        """Listen for a server that is new or was restarted."""
        if server.name in self._servers:
            self._servers[server.name].open()
        else:
            self._open_server(server)

    def on_server_draining(self, server: ServerModel) -> None:
        """End all sessions of a draining server by MOVE."""
        for connection in list(self._servers[server.name].connections):
            if connection.is_established:
                self._run.ended_by_server.add(connection.request_id)
                connection.end("MOVE", b"MOVE\r\n")

    def on_server_stopped(self, server: ServerModel) -> None:
        """Reset all connections of a stopped server, and refuse new ones."""
        endpoint = self._servers[server.name]
        self._mark_all_ended(endpoint)
        endpoint.refuse()

    def on_server_vanished(self, server: ServerModel) -> None:
        """Leave all connections of a vanished server open but unanswered, and new ones unanswered too."""
        endpoint = self._servers[server.name]
        for proxy in range(len(self.world.proxy_names)):
            endpoint.set_unresponsive(proxy, True)
        self._mark_all_ended(endpoint)

    def _mark_all_ended(self, endpoint: ServerEndpoint) -> None:
        self._run.ended_by_server.update(connection.request_id for connection in endpoint.connections)

    def on_connections_dropped(self, server: ServerModel, connections: list[HeldConnection]) -> None:
        """Close connections that a server drops because of its backlog."""
        self._run.ended_by_server.update(connection.connection_id for connection in connections)
        drop_connections(connections)

    def set_zones_partitioned(self, is_partitioned: bool) -> None:
        """Partition the network between zones, or restore it."""
        for proxy in range(len(self.world.proxy_names)):
            for endpoint in self._servers.values():
                is_remote = self.world.proxy_zone(proxy) != endpoint.model.properties.zone
                if endpoint.model.lifecycle is ServerLifecycle.SERVING and is_remote:
                    endpoint.set_unresponsive(proxy, is_partitioned)

    # Proxies: see WorldDriver.

    def restart_proxy(self, proxy: int) -> None:
        """Stop a proxy by SIGTERM and start it again."""
        self._proxies.restart(proxy)

    def kill_proxy(self, proxy: int, restart_delay_us: int) -> None:
        """Kill a proxy and start it again after `restart_delay_us`."""
        self._proxies.kill(proxy, restart_delay_us)

    def freeze_proxy(self, proxy: int, freeze_us: int) -> None:
        """Freeze a proxy's process by SIGSTOP for `freeze_us`."""
        self._proxies.freeze(proxy, freeze_us)


def run_loopback(
    scenario: Scenario,
    seed: int,
    sink: EventSink,
    base_network: int = BASE_NETWORK,
    observe_start: ObserveStart | None = None,
) -> tuple[LoopbackDriver, str]:
    """Execute one loopback run on a new event loop.

    Args:
        scenario: The scenario.
        seed: The seed of its random streams.
        sink: Receives the run's events.
        base_network: The second octet of the run's first 127.x network.
        observe_start: Called with the world as the run starts; its result becomes `utilization_samples`.

    Returns:
        The driver, and why the run is void, or an empty text.
    """
    affinity = os.sched_getaffinity(0)

    async def _run(folder: Path) -> tuple[LoopbackDriver, str]:
        driver = LoopbackDriver(scenario, seed, sink, folder, base_network)
        driver.observe_start = observe_start
        return driver, await driver.run()

    with tempfile.TemporaryDirectory(prefix="stoatgw-") as folder_name:
        try:
            return uvloop.run(_run(Path(folder_name)))
        finally:
            os.sched_setaffinity(0, affinity)
            gc.unfreeze()
