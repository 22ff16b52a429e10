"""The scenario's faults, turned into what happens to the realm and when."""

from __future__ import annotations

from collections.abc import Callable

from stoatgw.emulator.world import scenario as files
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.server_model import ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import Uniforms, WorldState, fault_name


def schedule(realm: WorldState) -> None:
    """Put all faults of the scenario into the realm's time; each has a stream of its own."""
    for number, fault in enumerate(realm.scenario.faults):
        at_us = realm.start_us + int(fault.at_s * 1e6)
        realm.scheduler.at(at_us, lambda n=number, f=fault: _begin(realm, n, f))  # type: ignore[misc]


def _begin(realm: WorldState, number: int, fault: files.Faults) -> None:
    name = fault_name(fault)
    realm.log(EventKind.FAULT, number=number, detail=f"{name} begins")
    draws = Uniforms(realm.streams.of("fault", number))
    span_s = _Begin(realm, draws).run(fault)
    end_us = realm.scheduler.now_us() + int(span_s * 1e6)
    realm.scheduler.at(end_us, lambda: realm.log(EventKind.FAULT, number=number, detail=f"{name} ends"))


class _Begin:
    """Begins one fault; `run` gives how long it lasts, in seconds."""

    def __init__(self, realm: WorldState, draws: Uniforms) -> None:
        self._realm, self._draws = realm, draws
        self._now_us = realm.scheduler.now_us()

    def _later(self, wait_s: float, action: Callable[[], None]) -> None:
        self._realm.scheduler.at(self._now_us + int(wait_s * 1e6), action)

    def _some(self, part: float) -> list[ServerModel]:
        """A part of the serving machines, drawn."""
        serving = self._realm.serving()
        order = sorted(serving, key=lambda _: self._draws.next())
        return order[: round(part * len(serving))]

    def _machine(self, number: int) -> ServerModel:
        return self._realm.machines[self._realm.first[number]]

    def run(self, fault: files.Faults) -> float:
        realm, stage = self._realm, self._realm.stage
        match fault:
            case files.Pauses():
                for machine in self._some(fault.part):
                    self._pause(machine, fault, self._now_us + int(fault.for_s * 1e6), first=True)
                return fault.for_s
            case files.Shrink():
                serving = len(realm.serving())
                leaving = self._some(1.0)[: serving - max(1, round(fault.to * serving))]
                for place, machine in enumerate(leaving):
                    self._later(fault.over_s * place / len(leaving), lambda m=machine: realm.drain(m))  # type: ignore[misc]
                return fault.over_s
            case files.Grow():
                lacks = round(fault.to * realm.scenario.fleet.servers) - len(realm.serving())
                for place in range(max(0, lacks)):
                    self._later(fault.over_s * place / lacks, self._grow)
                return fault.over_s
            case files.Drop():
                stage.drop_clients(fault.part, int(fault.within_s * 1e6))
                return fault.within_s
            case files.Rush():
                return fault.for_s  # the arrivals were drawn with it
            case files.RestartProxies():
                for proxy in range(len(realm.proxies)):
                    self._later(fault.every_s * proxy, lambda p=proxy: stage.restart_proxy(p))  # type: ignore[misc]
                return fault.every_s * len(realm.proxies)
            case files.KillProxy():
                stage.kill_proxy(fault.proxy, int(fault.back_s * 1e6))
                return fault.back_s
            case files.FreezeProxy():
                stage.freeze_proxy(fault.proxy, int(fault.for_s * 1e6))
                return fault.for_s
            case files.KillServer():
                machine = self._machine(fault.server)
                realm.kill(machine)
                self._later(fault.back_s, lambda: realm.back(machine))
                return fault.back_s
            case files.VanishServer():
                realm.vanish(self._machine(fault.server))
                return 0.0
            case files.ResettingServer():
                machine = self._machine(fault.server)
                machine.resetting = True
                self._later(fault.for_s, lambda: setattr(machine, "resetting", False))
                return fault.for_s
            case files.StaleReports():
                for machine in self._some(fault.part):
                    machine.stale = True
                    self._later(fault.for_s, lambda m=machine: setattr(m, "stale", False))  # type: ignore[misc]
                return fault.for_s
            case files.SilentDiscovery():
                realm.silence(self._now_us + int(fault.for_s * 1e6))
                return fault.for_s
            case files.GarbledDiscovery():
                for proxy in range(len(realm.proxies)):
                    stage.garble(proxy)
                    self._later(0.5, lambda p=proxy: realm.tell_whole(p))  # type: ignore[misc]
                return 0.5
            case files.CutZones():
                realm.cut = True
                stage.cut_zones(True)
                self._later(fault.for_s, self._mend)
                return fault.for_s

    def _grow(self) -> None:
        self._realm.grow()

    def _mend(self) -> None:
        self._realm.cut = False
        self._realm.stage.cut_zones(False)

    def _pause(self, machine: ServerModel, fault: files.Pauses, until_us: int, first: bool = False) -> None:
        scheduler, draws = self._realm.scheduler, self._draws
        now_us = scheduler.now_us()
        if now_us >= until_us or machine.life in (ServerLifecycle.GONE, ServerLifecycle.VANISHED):
            return
        if first:  # each at a phase of its own
            wait_s = draws.between(0.0, fault.every_s[1])
        else:
            machine.pause(now_us, int(draws.between(*fault.pause_ms) * 1000))
            wait_s = draws.between(*fault.every_s)
        scheduler.at(now_us + int(wait_s * 1e6), lambda: self._pause(machine, fault, until_us))
