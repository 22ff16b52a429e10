"""The real proxy: wires the parts, handles signals. `python -m stoatgw` or `stoatgw run`, with LB_CONFIG set."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import resource
import signal
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

import uvloop

from stoatgw.backends.backend import BackendRegistry
from stoatgw.backends.health_check import HealthChecker, LoadReportSchema
from stoatgw.clients.context import ProxyContext
from stoatgw.clients.descriptor_limiter import DescriptorLimiter
from stoatgw.clients.listener import Listener
from stoatgw.clients.session_monitor import SessionMonitor
from stoatgw.clock import Clock
from stoatgw.config.deployment import Address, Deployment, load_deployment
from stoatgw.config.errors import ConfigError, report_config_error
from stoatgw.controller.controller import Controller
from stoatgw.controller.graceful_shutdown import plan_shutdown
from stoatgw.controller.migrations import MigrationPlanner
from stoatgw.decisions.interface import Settings
from stoatgw.discovery.backoff import Backoff
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.discovery.endpoint_list import EndpointListParser
from stoatgw.discovery.publisher import EndpointPublisher
from stoatgw.suspension.overrides import EndpointOverrides
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

if TYPE_CHECKING:
    from stoatgw.config.operators import OperatorConfig

LAST_LOOK_US = 50_000  # the backlog is emptied so long before the earliest end
CALLERS_KEPT = 36  # descriptors of the second address, where there is one: its callers and its listener


class ServiceGateway:
    """The backends' side as the owner sees it."""

    def __init__(self, backends: BackendRegistry, prober: HealthChecker, director: DiscoveryClient) -> None:
        self._backends, self._prober, self._director = backends, prober, director
        self.request_health_check = (
            self.check_health_now
        )  # who probes where the decisions ask for it; shared probing takes its place

    def check_health(self, server: str) -> None:
        self.request_health_check(server)

    def check_health_now(self, server: str) -> None:
        backend = self._backends.get(server)
        if backend is not None:
            self._prober.check(backend)

    def close_idle(self, server: str) -> None:
        self._prober.close(server)

    def fetch_endpoints(self) -> None:
        self._director.publisher.publish_all()


class Reload:
    """SIGHUP: LB_CONFIG read anew. The address of discovery is taken over; the rest needs a restart."""

    def __init__(
        self, path: str, deployment: Deployment, director: DiscoveryClient, log: EventLog, counters: Counters
    ) -> None:
        self._path, self._deployment, self._director = path, deployment, director
        self._log, self._counters = log, counters

    def __call__(self) -> None:
        """A file that cannot be used is logged and changes nothing."""
        self._counters.add("configuration_reloads")
        try:
            fresh = load_deployment(self._path)
        except Exception as fault:  # guards against a half-written file: what runs stays as it is
            self._counters.add("configuration_rejections")
            self._log.event("configuration_rejected", error=str(fault)[:200])
            return
        # The seed and the list are new with each file; what else differs is told, not taken.
        same = replace(
            fresh,
            discovery_address=self._deployment.discovery_address,
            seed=self._deployment.seed,
            initial_endpoints=self._deployment.initial_endpoints,
        )
        self._log.event(
            "configuration_reloaded", discovery=str(fresh.discovery_address), restart_needed=same != self._deployment
        )
        self._director.change_address(fresh.discovery_address)


def make_mover(operators: OperatorConfig | None, settings: Settings, seed: int) -> MigrationPlanner | None:
    """Who moves standing connections towards balance, if the operators' file asks for it."""
    if operators is None or not operators.rebalance.enabled:
        return None
    from stoatgw.rebalance.rebalancer import Rebalancer

    return Rebalancer(operators.rebalance, settings, seed)


def read_operators() -> OperatorConfig | None:
    """The operators' own file, if STOATGW_CONFIG names one. Without it nothing of ours is loaded."""
    path = os.environ.get("STOATGW_CONFIG")
    if not path:
        return None
    from stoatgw.config.operators import load_operator_config

    return load_operator_config(path)


async def serve(deployment: Deployment, path: str, operators: OperatorConfig | None = None) -> None:
    loop, clock = asyncio.get_running_loop(), Clock()
    log, counters, backends = EventLog(deployment.name), Counters(), BackendRegistry()
    settings = deployment.settings
    owner = Controller(settings, deployment.seed, clock, log, counters)
    columns = LoadReportSchema(settings.report_columns)
    sharing = None
    if operators is not None and operators.membership is not None and operators.shared_health_checks is not None:
        from stoatgw.shared_health_checks.checker import ProxyHooks
        from stoatgw.shared_health_checks.service import make_shared_health_checker

        sharing = make_shared_health_checker(
            operators.membership,
            operators.shared_health_checks,
            deployment,
            ProxyHooks(
                queue=owner,
                start_check=lambda name: backstage.check_health_now(name),  # noqa: PLW0108 (it comes later)
                list_servers=lambda: [entry.name for entry in director.publisher.endpoints()],
            ),
            log,
        )
    prober = HealthChecker(sharing or owner, clock, columns, deployment.dial_timeout_us, counters)
    overlay = EndpointOverrides()
    director = DiscoveryClient(
        deployment.discovery_address,
        EndpointListParser(deployment.zones, deployment.machine_types),
        EndpointPublisher(
            backends,
            owner,
            clock,
            log,
            on_draining=lambda backend: prober.close(backend.name),
            override=overlay.apply,
        ),
        Backoff(settings.balancers, random.Random(deployment.seed), pushed=not settings.must_subscribe),
        log,
        counters,
    )
    room = DescriptorLimiter(deployment.max_sockets - (CALLERS_KEPT if deployment.management_address else 0))
    context = ProxyContext(deployment, owner, backends, clock, columns.to_row, counters, log, room)
    listener = Listener(context)
    session_monitor = SessionMonitor(context)
    loop.add_signal_handler(signal.SIGHUP, Reload(path, deployment, director, log, counters))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(
        signal.SIGUSR1,
        lambda: log.event(
            "counters_reported",
            open_connections=listener.open_connections,
            open_requests=owner.open_requests,
            **counters.all(),
        ),
    )
    keeper = agent = None
    if deployment.management_address is not None:
        from stoatgw.suspension.applier import SuspensionApplier
        from stoatgw.suspension.service import SuspensionService

        keeper = SuspensionService(
            os.environ.get("TMPDIR"),
            SuspensionApplier(overlay, director.publisher, owner, clock, log),
            director,
            clock,
            log,
        )
        keeper.start()
    if operators is not None and operators.membership is not None and operators.maintenance is not None:
        from stoatgw.maintenance.service import make_maintenance_controller

        agent = make_maintenance_controller(operators.membership, operators.maintenance, context, director, overlay)
        agent.start()
    director.load_snapshot(deployment.initial_endpoints)
    backstage = ServiceGateway(backends, prober, director)
    owner.start(backstage, make_mover(operators, settings, deployment.seed))
    bind(listener, deployment.listen_address)
    loops: list[Callable[[], Coroutine[Any, Any, None]]] = [
        owner.run,
        director.run,
        listener.run,
        session_monitor.run,
    ]
    beside = None
    if "LB_LISTEN_FD" in os.environ:
        from stoatgw.hot_restart.hot_restart import LOOK_S, HotRestart

        beside = HotRestart(os.environ.get("TMPDIR"), context, listener, director, log)
        beside.start()
        loops.append(partial(run_periodically, LOOK_S, beside.poll, log))
    if deployment.management_address is not None and keeper is not None:
        from stoatgw.management.listener import ManagementListener
        from stoatgw.management.operations import Operations
        from stoatgw.suspension.service import LOOK_S as BANS_LOOK_S

        desk = Operations(context, owner, director, keeper, log, lambda: beside is None or beside.is_accepting)
        callers = ManagementListener(desk, log, counters)
        try:
            callers.bind(deployment.management_address)
        except OSError as fault:
            raise ConfigError(f"cannot listen there: {fault.strerror}", field="management") from None
        loops += [callers.run, partial(run_periodically, BANS_LOOK_S, keeper.poll, log)]
    if sharing is not None:
        backstage.request_health_check = sharing.request_health_check
        loops.append(sharing.run)
    if agent is not None:
        loops.append(agent.run)
    tasks = [loop.create_task(run()) for run in loops]
    log.event("ready", listen=str(deployment.listen_address))
    stop = loop.create_task(stopped.wait())
    await asyncio.wait([stop, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():  # none of them ends by itself
            log.event("task_ended", error=repr(task.exception()))
    handed = beside is not None and beside.is_superseded()
    log.event("shutdown_started", open_connections=listener.open_connections, handed_over=handed)
    context.lifecycle.begin_shutdown(handed_over=handed)
    if handed:
        # Nobody comes here any more: the other process answers them. Those that came are served, then moved.
        listener.set_accepting(False)
    end, began = plan_shutdown(settings, handed_over=handed), clock.now_us()
    owner.post(end.drain)
    leaving = loop.create_task(agent.stop()) if agent is not None else None
    listening = not handed
    while (passed_us := clock.now_us() - began) < end.max_duration_us:
        if listening and passed_us >= end.min_duration_us - LAST_LOOK_US:
            listening = False
            await listener.close()
        if passed_us >= end.min_duration_us and not listener.open_connections:
            break
        await asyncio.sleep(0.02)
    if leaving is not None:
        leaving.cancel()
    if beside is not None:
        beside.stop()
    log.event(
        "proxy_stopped", open_connections=listener.open_connections, open_requests=owner.open_requests, **counters.all()
    )


async def run_periodically(pause_s: float, look: Callable[[], None], log: EventLog) -> None:
    """Look again and again; a fault of one look must not end the proxy."""
    told = ""
    while True:
        await asyncio.sleep(pause_s)
        try:
            look()
        except Exception as fault:
            if told != repr(fault):
                told = repr(fault)
                log.event("periodic_task_failed", error=told)


def bind(listener: Listener, listen: Address) -> None:
    """Listen, or accept where the platform listens for us. Raises ConfigError."""
    number = os.environ.get("LB_LISTEN_FD")
    if number is not None:
        from stoatgw.hot_restart.socket_activation import adopt

        listener.adopt(adopt(number, listen))
        return
    try:
        listener.bind(listen)
    except OSError as fault:
        raise ConfigError(f"cannot listen there: {fault.strerror}", field="listen") from None


def main() -> int:
    # Guards against a reload during the start, which would end the program: it waits for its handler.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    path = os.environ.get("LB_CONFIG")
    try:
        if not path:
            raise ConfigError("not set", file="LB_CONFIG")
        start(load_deployment(path), path, read_operators())
    except ConfigError as fault:
        return report_config_error(fault)
    return 0


def start(deployment: Deployment, path: str, operators: OperatorConfig | None = None) -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = deployment.max_sockets if hard == resource.RLIM_INFINITY else min(deployment.max_sockets, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    gc.freeze()
    uvloop.run(serve(deployment, path, operators))
