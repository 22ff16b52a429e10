"""A rolling maintenance on loopback, with simulated operators who restart machines, and with faults."""

from __future__ import annotations

import asyncio
import json
import signal
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from stoatgw.config.deployment import Address
from stoatgw.config.maintenance import PROXY_PREFIX, MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.emulator.loopback.maintenance.addresses import free_port, unique_host
from stoatgw.emulator.loopback.maintenance.child_process import ChildProcess
from stoatgw.emulator.loopback.maintenance.clients import LoopbackClients
from stoatgw.emulator.loopback.maintenance.proxy_config import ZONES, ProxyFleetConfig
from stoatgw.emulator.loopback.maintenance.substitutes import DiscoveryServer, EngineLink, SessionServer
from stoatgw.maintenance.keys import MaintenanceKeys, StoreSnapshot, read_store_snapshot
from stoatgw.maintenance.rollout_state import RolloutState, StepState, decode
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure, CoordinationClient

PROXY_COUNT = 3
SERVER_DOWNTIME_S = 0.2
POLL_INTERVAL_S = 0.03
OPERATOR_POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 1.0


class MaintenanceRun:
    """A fleet of proxies and its coordination engine; they run within `async with`.

    Attributes:
        folder: Where the run's files are written.
        plan: The maintenance plan.
        host: The loopback address of all listeners.
        servers: The session servers.
        links: Each proxy's link to the engine.
        membership: The proxies' membership settings, with the engine's address.
        keys: The engine's keys of the maintenance.
        engine: The engine's process.
        clients: The clients, and what they observed.
        proxies: The proxies' processes.
        restart_counts: How often operators have restarted each machine.
        max_servers_down: The largest number of session servers that operators had down at once.
    """

    def __init__(
        self,
        folder: Path,
        plan: MaintenancePlan,
        *,
        servers: int = 6,
        clients: int = 12,
        full_disks: tuple[int, ...] = (),
        sharing: SharedHealthChecksConfig | None = None,
    ) -> None:
        """Prepare a run; its processes and servers start on entry.

        Args:
            folder: Where the run's files are written.
            plan: The maintenance plan.
            servers: The number of session servers.
            clients: The number of clients.
            full_disks: Indexes of the proxies in which all writes to files fail.
            sharing: The settings of shared health checks; None if each proxy does its own.
        """
        self.folder = folder
        self.plan = plan
        self.host = unique_host()
        self.servers = [SessionServer(self.host, f"s-{index}", ZONES[index % len(ZONES)]) for index in range(servers)]
        self._discovery = DiscoveryServer(self.host, self.servers)
        self._engine_port = free_port(self.host)
        self.links = [EngineLink(self.host, self._engine_port) for _ in range(PROXY_COUNT)]
        self.membership = MembershipConfig(
            endpoints=(f"{self.host}:{self._engine_port}",), lease_ttl_s=2, poll_interval_ms=100, call_timeout_ms=250
        )
        self.keys = MaintenanceKeys(self.membership.scope, plan.name)
        self._client = CoordinationClient([Address(self.host, self._engine_port)], CALL_TIMEOUT_S)
        self._history = folder / "history"
        self.engine = self._make_engine()
        ports = [free_port(self.host) for _ in self.links]
        self.clients = LoopbackClients(self.host, ports)
        self._client_count = clients
        self.proxies = self._make_proxies(ports, full_disks, sharing)
        self.restart_counts: Counter[str] = Counter()
        self.max_servers_down = 0
        self._servers_down = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners: list[asyncio.Server] = []

    def _make_proxies(
        self, ports: list[int], full_disks: tuple[int, ...], sharing: SharedHealthChecksConfig | None
    ) -> list[ChildProcess]:
        fleet = ProxyFleetConfig(
            folder=self.folder,
            membership=self.membership,
            plan=self.plan,
            sharing=sharing,
            listen=tuple(f"{self.host}:{port}" for port in ports),
            discovery=f"{self.host}:{self._discovery.port}",
        )
        return [
            fleet.make_proxy(index, f"{self.host}:{link.port}", has_full_disk=index in full_disks)
            for index, link in enumerate(self.links)
        ]

    async def __aenter__(self) -> MaintenanceRun:
        for server in self.servers:
            await server.start()
        self._listeners = [await self._discovery.start(), *[await link.start() for link in self.links]]
        await self.engine.start()
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))
        self._start_task(self._run_operators())
        for number in range(self._client_count):
            self._start_task(self.clients.run_client(number))
        return self

    async def __aexit__(self, *_: object) -> None:
        self._discovery.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for proxy in self.proxies:
            await proxy.end(signal.SIGKILL)
        await self.engine.end(signal.SIGKILL)
        for listener in self._listeners:
            listener.close()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_engine(self, *, has_full_disk: bool = False) -> ChildProcess:
        options = {
            "--listen": f"{self.host}:{self._engine_port}",
            "--data": str(self.folder / "engine"),
            "--history": str(self._history),
        }
        arguments = [argument for option in options.items() for argument in option]
        return ChildProcess(["stoatgw.emulator.engine.server", *arguments], {}, has_full_disk=has_full_disk)

    # Faults.

    async def restart_engine(self, *, has_full_disk: bool = False, loses_data: bool = False) -> None:
        """Kill the engine and start it again, with its stored data or without."""
        await self.engine.end(signal.SIGKILL)
        if loses_data:
            (self.folder / "engine").unlink(missing_ok=True)
        self.engine = self._make_engine(has_full_disk=has_full_disk)
        await self.engine.start()

    async def lose_responses(self, count: int) -> None:
        """Make the engine execute its next `count` transactions without responding to them."""
        await self._client.call("/stand-in/faults", {"lose": count})

    async def kill_proxy(self, index: int) -> None:
        """Kill a proxy, which is not started again."""
        self.clients.killed_proxies.add(index)
        await self.proxies[index].end(signal.SIGKILL)

    # The engine's contents, read from it directly and not over the links.

    async def read_snapshot(self) -> StoreSnapshot | None:
        """Return a snapshot of the engine's contents, or None if it does not respond."""
        response = await self._client.call(etcd_api.RANGE_PATH, etcd_api.prefix_range(self.keys.prefix))
        if isinstance(response, CallFailure):
            return None
        return read_store_snapshot(self.keys, etcd_api.parse_range(response))

    async def wait_for(self, condition: Callable[[StoreSnapshot], bool]) -> StoreSnapshot:
        """Wait until a condition holds, and return the snapshot for which it does."""
        while True:
            snapshot = await self.read_snapshot()
            if snapshot is not None and condition(snapshot):
                return snapshot
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_finished(self) -> RolloutState:
        """Wait until the rollout is finished, and return its state."""
        snapshot = await self.wait_for(lambda latest: latest.rollout is not None and latest.rollout.is_finished)
        assert snapshot.rollout is not None
        return snapshot.rollout

    def leader_index(self, snapshot: StoreSnapshot) -> int:
        """Return the index of the proxy that is the leader, or -1 if none is."""
        if not snapshot.leader:
            return -1
        name, _, _ = snapshot.leader.partition("-")
        return int(name.removeprefix("n"))

    def rollout_history(self) -> list[RolloutState]:
        """Return every rollout state that the engine has stored, in order."""
        rows = [json.loads(line) for line in self._history.read_bytes().splitlines()]
        return [decode(value.encode()) for _, key, value in rows if key == self.keys.rollout]

    # Operators.

    async def _run_operators(self) -> None:
        """Restart each machine once it is evacuated, as operators or their scripts would."""
        started: set[str] = set()
        while True:
            snapshot = await self.read_snapshot()
            steps = snapshot.rollout.steps if snapshot is not None and snapshot.rollout is not None else {}
            for name, step in steps.items():
                if step.state is StepState.OUT_OF_SERVICE and step.is_evacuated and name not in started:
                    started.add(name)
                    self._start_task(self._restart_machine(name))
            await asyncio.sleep(OPERATOR_POLL_INTERVAL_S)

    async def _restart_machine(self, name: str) -> None:
        self.restart_counts[name] += 1
        if name.startswith(PROXY_PREFIX):
            proxy = self.proxies[int(name.removeprefix(PROXY_PREFIX + "n"))]
            await proxy.end(signal.SIGTERM)
            await proxy.start()
            return
        self._servers_down += 1
        self.max_servers_down = max(self.max_servers_down, self._servers_down)
        await next(server for server in self.servers if server.name == name).restart(SERVER_DOWNTIME_S)
        self._servers_down -= 1
        self._discovery.publish()
