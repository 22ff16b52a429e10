"""The scenario's faults, turned into what happens to the world and when."""

from __future__ import annotations

from collections.abc import Callable

from stoatgw.emulator.world import scenario_faults as files
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.server_model import ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import UniformSource, WorldState, fault_name


def schedule(world: WorldState) -> None:
    """Put all faults of the scenario into the world's time; each has a stream of its own."""
    for number, fault in enumerate(world.scenario.faults):
        at_us = world.start_us + int(fault.at_s * 1e6)
        world.scheduler.call_at(at_us, lambda n=number, f=fault: _begin(world, n, f))  # type: ignore[misc]


def _begin(world: WorldState, number: int, fault: files.AnyFault) -> None:
    name = fault_name(fault)
    world.log(EventKind.FAULT_CHANGED, number=number, detail=f"{name} begins")
    draws = UniformSource(world.streams.of("fault", number))
    span_s = _Begin(world, draws).run(fault)
    end_us = world.scheduler.now_us() + int(span_s * 1e6)
    world.scheduler.call_at(end_us, lambda: world.log(EventKind.FAULT_CHANGED, number=number, detail=f"{name} ends"))


class _Begin:
    """Begins one fault; `run` gives how long it lasts, in seconds."""

    def __init__(self, world: WorldState, draws: UniformSource) -> None:
        self._world, self._draws = world, draws
        self._now_us = world.scheduler.now_us()

    def _later(self, wait_s: float, action: Callable[[], None]) -> None:
        self._world.scheduler.call_at(self._now_us + int(wait_s * 1e6), action)

    def _some(self, part: float) -> list[ServerModel]:
        """A part of the serving machines, drawn."""
        serving = self._world.serving_servers()
        order = sorted(serving, key=lambda _: self._draws.next())
        return order[: round(part * len(serving))]

    def _machine(self, number: int) -> ServerModel:
        return self._world.servers[self._world.initial_servers[number]]

    def run(self, fault: files.AnyFault) -> float:
        world, stage = self._world, self._world.driver
        match fault:
            case files.Pauses():
                for machine in self._some(fault.part):
                    self._pause(machine, fault, self._now_us + int(fault.for_s * 1e6), first=True)
                return fault.for_s
            case files.Shrink():
                serving = len(world.serving_servers())
                leaving = self._some(1.0)[: serving - max(1, round(fault.to * serving))]
                for place, machine in enumerate(leaving):
                    self._later(fault.over_s * place / len(leaving), lambda m=machine: world.drain_server(m))  # type: ignore[misc]
                return fault.over_s
            case files.Grow():
                lacks = round(fault.to * world.scenario.fleet.servers) - len(world.serving_servers())
                for place in range(max(0, lacks)):
                    self._later(fault.over_s * place / lacks, self._grow)
                return fault.over_s
            case files.Drop():
                stage.disconnect_clients(fault.part, int(fault.within_s * 1e6))
                return fault.within_s
            case files.Rush():
                return fault.for_s  # the arrivals were drawn with it
            case files.RestartProxies():
                for proxy in range(len(world.proxy_names)):
                    self._later(fault.every_s * proxy, lambda p=proxy: stage.restart_proxy(p))  # type: ignore[misc]
                return fault.every_s * len(world.proxy_names)
            case files.KillProxy():
                stage.kill_proxy(fault.proxy, int(fault.back_s * 1e6))
                return fault.back_s
            case files.FreezeProxy():
                stage.freeze_proxy(fault.proxy, int(fault.for_s * 1e6))
                return fault.for_s
            case files.KillServer():
                machine = self._machine(fault.server)
                world.kill_server(machine)
                self._later(fault.back_s, lambda: world.restart_server(machine))
                return fault.back_s
            case files.VanishServer():
                world.vanish_server(self._machine(fault.server))
                return 0.0
            case files.ResettingServer():
                machine = self._machine(fault.server)
                machine.is_resetting = True
                self._later(fault.for_s, lambda: setattr(machine, "is_resetting", False))
                return fault.for_s
            case files.StaleReports():
                for machine in self._some(fault.part):
                    machine.has_stale_reports = True
                    self._later(fault.for_s, lambda m=machine: setattr(m, "has_stale_reports", False))  # type: ignore[misc]
                return fault.for_s
            case files.SilentDiscovery():
                world.silence_discovery(self._now_us + int(fault.for_s * 1e6))
                return fault.for_s
            case files.GarbledDiscovery():
                for proxy in range(len(world.proxy_names)):
                    stage.corrupt_endpoint_stream(proxy)
                    self._later(0.5, lambda p=proxy: world.publish_snapshot(p))  # type: ignore[misc]
                return 0.5
            case files.CutZones():
                world.is_partitioned = True
                stage.set_zones_partitioned(True)
                self._later(fault.for_s, self._mend)
                return fault.for_s

    def _grow(self) -> None:
        self._world.add_server()

    def _mend(self) -> None:
        self._world.is_partitioned = False
        self._world.driver.set_zones_partitioned(False)

    def _pause(self, machine: ServerModel, fault: files.Pauses, until_us: int, first: bool = False) -> None:
        scheduler, draws = self._world.scheduler, self._draws
        now_us = scheduler.now_us()
        if now_us >= until_us or machine.lifecycle in (ServerLifecycle.GONE, ServerLifecycle.VANISHED):
            return
        if first:  # each at a phase of its own
            wait_s = draws.between(0.0, fault.every_s[1])
        else:
            machine.pause(now_us, int(draws.between(*fault.pause_ms) * 1000))
            wait_s = draws.between(*fault.every_s)
        scheduler.call_at(now_us + int(wait_s * 1e6), lambda: self._pause(machine, fault, until_us))
