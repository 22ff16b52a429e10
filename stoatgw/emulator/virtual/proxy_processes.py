"""The modelled proxy processes: their start, restart by SIGTERM, kill and freeze."""

from __future__ import annotations

from functools import partial
from typing import Any

from stoatgw.backends.backend import BackendRegistry
from stoatgw.config.settings import flatten, read_settings
from stoatgw.controller.controller import Controller
from stoatgw.controller.graceful_shutdown import plan_shutdown
from stoatgw.controller.policy import PolicyFactory
from stoatgw.emulator.virtual.endpoints import deliver_endpoints
from stoatgw.emulator.virtual.event_loop import ProcessEventLoop, VirtualClock, VirtualScheduler
from stoatgw.emulator.virtual.gateway import VirtualGateway
from stoatgw.emulator.virtual.latency_monitor import LatencyMonitor
from stoatgw.emulator.virtual.proxy import VirtualProxy
from stoatgw.emulator.world.client_population import ClientPopulation
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.proxy_settings import proxy_settings
from stoatgw.emulator.world.streams import UniformSource
from stoatgw.emulator.world.world_state import WorldState
from stoatgw.rebalance.rebalancer import Rebalancer
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

ADMISSION_AFTER_SIGTERM_US = (200_000, 400_000)  # range of the time for which new clients still connect after SIGTERM
DRAIN_POLL_INTERVAL_US = 20_000
ADMISSION_DELAY_US = 100_000  # from a proxy's restart until it admits clients
MAX_FAULT_TEXT_LENGTH = 200
PROGRAM_FAULT_EVENTS = ("decision_crashed", "recovery_failed")


class ProgramFaultLog(EventLog):
    """A proxy's log that records faults of the program in the run's event log, and drops all other events."""

    def __init__(self, proxy_name: str, world: WorldState) -> None:
        super().__init__(proxy_name)
        self._proxy_name = proxy_name
        self._world = world

    def event(self, event: str, **fields: object) -> None:
        """Record an event if it is a fault of the program."""
        if event in PROGRAM_FAULT_EVENTS:
            detail = f"{event}: {str(fields.get('error'))[:MAX_FAULT_TEXT_LENGTH]}"
            self._world.log(EventKind.PROGRAM_FAULT, self._proxy_name, detail=detail)


class ProxyProcesses:
    """All proxies of a run.

    Attributes:
        proxies: The current process of each proxy, by index.
    """

    def __init__(
        self, population: ClientPopulation[Any], scheduler: VirtualScheduler, make_policy: PolicyFactory
    ) -> None:
        """Create the proxies; `population` also models the load balancer that sends clients to them."""
        self._population = population
        self._world = population.world
        self._scheduler = scheduler
        self._clock = VirtualClock(scheduler)
        self._make_policy = make_policy
        self._start_counts = [0] * len(self._world.proxy_names)
        self.proxies: list[VirtualProxy] = []

    # Start.

    def start_all(self) -> None:
        """Start every proxy for the first time."""
        for index in range(len(self._world.proxy_names)):
            self.proxies.append(self._start(index))

    def _start(self, index: int) -> VirtualProxy:
        world = self._world
        start_number = self._start_counts[index]
        self._start_counts[index] += 1
        proxy = self._create(index, start_number)
        world.log(EventKind.PROXY_STATE_CHANGED, proxy.name, detail="up")
        known = list(world.discovery.known_endpoints[index].values())
        proxy.loop.deliver(partial(self._start_controller, proxy, self._policy_seed(index, start_number)))
        deliver_endpoints(world, proxy, known, is_snapshot=True)
        proxy.loop.deliver(partial(_run_controller, proxy))
        if proxy.settings.profiles and world.scenario.module.tells_delay:
            LatencyMonitor(world, proxy).start()
        return proxy

    def _create(self, index: int, start_number: int) -> VirtualProxy:
        world = self._world
        name = world.proxy_names[index]
        settings = read_settings(flatten(proxy_settings(world.scenario, index)))
        seed = self._policy_seed(index, start_number)
        log = ProgramFaultLog(name, world)
        return VirtualProxy(
            index=index,
            name=name,
            zone=world.proxy_zone(index),
            loop=ProcessEventLoop(self._scheduler),  # type: ignore[abstract]  # implements only what the controller uses
            controller=Controller(settings, seed, self._clock, log, Counters(), self._make_policy),
            backends=BackendRegistry(),
            settings=settings,
            random=UniformSource(world.streams.create_generator(f"proxy {index}", start_number)),
        )

    def _policy_seed(self, index: int, start_number: int) -> int:
        return self._world.streams.derive_seed(f"module {index}", start_number)

    def _start_controller(self, proxy: VirtualProxy, seed: int) -> None:
        limits = self._world.scenario.operators.rebalance
        rebalancer = Rebalancer(limits, proxy.settings, seed) if limits.enabled else None
        proxy.controller.start(VirtualGateway(self._world, proxy, self._population.counts), rebalancer)

    # Restart by SIGTERM.

    def restart(self, index: int) -> None:
        """Send SIGTERM to a process, which drains and ends, and start a new one some time later."""
        proxy = self.proxies[index]
        if proxy.has_ended:
            return
        self._world.log(EventKind.PROXY_STATE_CHANGED, proxy.name, detail="draining")
        plan = plan_shutdown(proxy.settings, handed_over=False)
        proxy.loop.deliver(partial(proxy.controller.post, plan.drain))
        now_us = self._scheduler.now_us()
        stop_us = now_us + int(self._population.load_balancer_random.between(*ADMISSION_AFTER_SIGTERM_US))
        self._scheduler.call_at(stop_us, partial(self._stop_admission, index))
        poll = partial(self._poll_drained, proxy, now_us + plan.max_duration_us)
        self._scheduler.call_at(now_us + plan.min_duration_us, poll)

    def _stop_admission(self, index: int) -> None:
        self._population.is_admitting[index] = False

    def _poll_drained(self, proxy: VirtualProxy, until_us: int) -> None:
        if proxy.has_ended:
            return
        now_us = self._scheduler.now_us()
        if proxy.sessions and now_us < until_us:
            self._scheduler.call_at(now_us + DRAIN_POLL_INTERVAL_US, partial(self._poll_drained, proxy, until_us))
            return
        restart_delay_range_s = self._world.scenario.proxies.restart_s
        self._end(proxy, "stopped", int(self._population.load_balancer_random.between(*restart_delay_range_s) * 1e6))

    # Kill.

    def kill(self, index: int, restart_delay_us: int) -> None:
        """End a process immediately; a new one starts after `restart_delay_us`."""
        proxy = self.proxies[index]
        if proxy.has_ended:
            return
        self._end(proxy, "killed", restart_delay_us)
        detection_delay_range_s = self._world.scenario.proxies.notice_s
        detection_delay_us = int(self._population.load_balancer_random.between(*detection_delay_range_s) * 1e6)
        self._scheduler.call_at(self._scheduler.now_us() + detection_delay_us, partial(self._detect_end, index))

    def _detect_end(self, index: int) -> None:
        """Let the load balancer stop sending clients to an ended proxy, unless it has restarted by then."""
        if self.proxies[index].has_ended:
            self._stop_admission(index)

    def _end(self, proxy: VirtualProxy, end_kind: str, restart_delay_us: int) -> None:
        proxy.has_ended = True
        proxy.loop.kill()
        for session in list(proxy.sessions.values()):
            session.proxy_ended(end_kind)
        self._world.log(EventKind.PROXY_STATE_CHANGED, proxy.name, detail=end_kind)
        self._scheduler.call_at(
            self._scheduler.now_us() + restart_delay_us, partial(self._start_replacement, proxy.index)
        )

    def _start_replacement(self, index: int) -> None:
        self.proxies[index] = self._start(index)
        self._scheduler.call_at(self._scheduler.now_us() + ADMISSION_DELAY_US, partial(self._admit, index))

    def _admit(self, index: int) -> None:
        self._population.is_admitting[index] = not self.proxies[index].has_ended

    # Freeze by SIGSTOP.

    def freeze(self, index: int, freeze_us: int) -> None:
        """Freeze a process for a time."""
        proxy = self.proxies[index]
        if proxy.has_ended or proxy.loop.is_frozen:
            return
        self._world.log(EventKind.PROXY_STATE_CHANGED, proxy.name, detail="frozen")
        proxy.loop.freeze()
        self._set_sessions_reachable(proxy, False)
        self._scheduler.call_at(self._scheduler.now_us() + freeze_us, partial(self._thaw, proxy))

    def _thaw(self, proxy: VirtualProxy) -> None:
        if not proxy.has_ended:
            self._world.log(EventKind.PROXY_STATE_CHANGED, proxy.name, detail="thawed")
            proxy.loop.thaw()
            self._set_sessions_reachable(proxy, True)

    def _set_sessions_reachable(self, proxy: VirtualProxy, is_reachable: bool) -> None:
        now_us = self._scheduler.now_us()
        for server_name, sessions in proxy.established.items():
            server = self._world.servers[server_name]
            is_connected = is_reachable and not self._world.is_unreachable(proxy.zone, server)
            for session_name in sessions:
                server.set_reachable(now_us, session_name, is_connected)

    # The end of the run.

    def log_leaks_and_faults(self) -> None:
        """Log the number of ended requests that each controller still has, and the errors that asyncio reported."""
        for proxy in self.proxies:
            if proxy.has_ended:
                continue
            open_sessions = sum(1 for session in proxy.sessions.values() if session.is_known_to_controller)
            leaked = max(0, proxy.controller.open_requests - open_sessions)
            self._world.log(EventKind.REQUESTS_LEAKED, proxy.name, number=leaked)
            for error in proxy.loop.unhandled_errors:
                detail = str(error.get("exception", error))[:MAX_FAULT_TEXT_LENGTH]
                self._world.log(EventKind.PROGRAM_FAULT, proxy.name, detail=detail)


def _run_controller(proxy: VirtualProxy) -> None:
    proxy.task = proxy.loop.create_task(proxy.controller.run())
