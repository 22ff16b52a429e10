"""Injects the faults of a scenario into the world model at their scheduled times."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial, singledispatchmethod

from stoatgw.emulator.world import scenario_faults as tables
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.server_model import ServerModel
from stoatgw.emulator.world.streams import UniformSource
from stoatgw.emulator.world.world_state import WorldState

SNAPSHOT_DELAY_S = 0.5  # from a corrupted endpoint stream to the full snapshot


def schedule_faults(world: WorldState) -> None:
    """Schedule all faults of the scenario; each uses its own random stream."""
    for number, fault in enumerate(world.scenario.faults):
        begin_us = world.start_us + int(fault.at_s * 1e6)
        world.scheduler.call_at(begin_us, partial(_begin_fault, world, number, fault))


def _begin_fault(world: WorldState, number: int, fault: tables.AnyFault) -> None:
    kind = tables.fault_kind(type(fault).__name__)
    world.log(EventKind.FAULT_CHANGED, number=number, detail=f"{kind} begins")
    injector = FaultInjector(world, UniformSource(world.streams.create_generator("fault", number)))
    duration_s = injector.inject(fault)
    end_us = world.scheduler.now_us() + int(duration_s * 1e6)
    world.scheduler.call_at(end_us, partial(world.log, EventKind.FAULT_CHANGED, number=number, detail=f"{kind} ends"))


class FaultInjector:
    """Injects one fault, beginning now."""

    def __init__(self, world: WorldState, random: UniformSource) -> None:
        self._world = world
        self._driver = world.driver
        self._random = random
        self._begin_us = world.scheduler.now_us()

    @singledispatchmethod
    def inject(self, fault: tables.Fault) -> float:
        """Begin a fault, schedule its later steps, and return its duration in seconds."""
        raise TypeError(f"unknown fault type: {type(fault).__name__}")

    # Servers.

    @inject.register
    def _inject_pauses(self, fault: tables.Pauses) -> float:
        end_us = self._begin_us + int(fault.for_s * 1e6)
        for server in self._draw_servers(fault.part):
            self._schedule_pause(server, fault, end_us, self._random.between(0.0, fault.every_s[1]))
        return fault.for_s

    def _pause(self, server: ServerModel, fault: tables.Pauses, end_us: int) -> None:
        now_us = self._world.scheduler.now_us()
        if now_us >= end_us or server.lifecycle.is_dead:
            return
        server.pause(now_us, int(self._random.between(*fault.pause_ms) * 1000))
        self._schedule_pause(server, fault, end_us, self._random.between(*fault.every_s))

    def _schedule_pause(self, server: ServerModel, fault: tables.Pauses, end_us: int, wait_s: float) -> None:
        now_us = self._world.scheduler.now_us()
        self._world.scheduler.call_at(now_us + int(wait_s * 1e6), partial(self._pause, server, fault, end_us))

    @inject.register
    def _inject_shrink(self, fault: tables.Shrink) -> float:
        serving = len(self._world.serving_servers())
        draining = self._draw_servers(1.0)[: serving - max(1, round(fault.to * serving))]
        for index, server in enumerate(draining):
            self._schedule(fault.over_s * index / len(draining), partial(self._world.drain_server, server))
        return fault.over_s

    @inject.register
    def _inject_grow(self, fault: tables.Grow) -> float:
        missing = round(fault.to * self._world.scenario.fleet.servers) - len(self._world.serving_servers())
        for index in range(max(0, missing)):
            self._schedule(fault.over_s * index / missing, self._world.add_server)
        return fault.over_s

    @inject.register
    def _inject_kill_server(self, fault: tables.KillServer) -> float:
        server = self._initial_server(fault.server)
        self._world.kill_server(server)
        self._schedule(fault.back_s, partial(self._world.restart_server, server))
        return fault.back_s

    @inject.register
    def _inject_vanish_server(self, fault: tables.VanishServer) -> float:
        self._world.vanish_server(self._initial_server(fault.server))
        return 0.0

    @inject.register
    def _inject_resetting_server(self, fault: tables.ResettingServer) -> float:
        server = self._initial_server(fault.server)
        server.is_resetting = True
        self._schedule(fault.for_s, partial(_stop_resetting, server))
        return fault.for_s

    @inject.register
    def _inject_stale_reports(self, fault: tables.StaleReports) -> float:
        for server in self._draw_servers(fault.part):
            server.has_stale_reports = True
            self._schedule(fault.for_s, partial(_resume_reports, server))
        return fault.for_s

    # Clients.

    @inject.register
    def _inject_drop(self, fault: tables.Drop) -> float:
        self._driver.disconnect_clients(fault.part, int(fault.within_s * 1e6))
        return fault.within_s

    @inject.register
    def _inject_rush(self, fault: tables.Rush) -> float:
        return fault.for_s  # `draw_population` has applied it to the arrival rate

    # Proxies.

    @inject.register
    def _inject_restart_proxies(self, fault: tables.RestartProxies) -> float:
        proxy_count = len(self._world.proxy_names)
        for proxy in range(proxy_count):
            self._schedule(fault.every_s * proxy, partial(self._driver.restart_proxy, proxy))
        return fault.every_s * proxy_count

    @inject.register
    def _inject_kill_proxy(self, fault: tables.KillProxy) -> float:
        self._driver.kill_proxy(fault.proxy, int(fault.back_s * 1e6))
        return fault.back_s

    @inject.register
    def _inject_freeze_proxy(self, fault: tables.FreezeProxy) -> float:
        self._driver.freeze_proxy(fault.proxy, int(fault.for_s * 1e6))
        return fault.for_s

    # Discovery and network.

    @inject.register
    def _inject_silent_discovery(self, fault: tables.SilentDiscovery) -> float:
        self._world.discovery.silence(self._begin_us + int(fault.for_s * 1e6))
        return fault.for_s

    @inject.register
    def _inject_garbled_discovery(self, fault: tables.GarbledDiscovery) -> float:
        for proxy in range(len(self._world.proxy_names)):
            self._driver.corrupt_endpoint_stream(proxy)
            self._schedule(SNAPSHOT_DELAY_S, partial(self._world.discovery.publish_snapshot, proxy))
        return SNAPSHOT_DELAY_S

    @inject.register
    def _inject_cut_zones(self, fault: tables.CutZones) -> float:
        self._set_partitioned(True)
        self._schedule(fault.for_s, partial(self._set_partitioned, False))
        return fault.for_s

    def _set_partitioned(self, is_partitioned: bool) -> None:
        self._world.is_partitioned = is_partitioned
        self._driver.set_zones_partitioned(is_partitioned)

    # Helpers.

    def _schedule(self, wait_s: float, action: Callable[[], None]) -> None:
        self._world.scheduler.call_at(self._begin_us + int(wait_s * 1e6), action)

    def _draw_servers(self, share: float) -> list[ServerModel]:
        """Select a share of the serving servers, in random order."""
        serving = self._world.serving_servers()
        shuffled = sorted(serving, key=lambda _: self._random.next())
        return shuffled[: round(share * len(serving))]

    def _initial_server(self, number: int) -> ServerModel:
        return self._world.servers[self._world.initial_servers[number]]


def _stop_resetting(server: ServerModel) -> None:
    server.is_resetting = False


def _resume_reports(server: ServerModel) -> None:
    server.has_stale_reports = False
