"""The real proxy: wires the parts, handles signals. `python -m stoatgw` or `stoatgw run`, with LB_CONFIG set."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import resource
import signal
import sys
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

import uvloop

from stoatgw.backends.backend import Backends
from stoatgw.backends.probe import Columns, Prober
from stoatgw.clients.context import ProxyContext
from stoatgw.clients.listener import Listener
from stoatgw.clients.room import Room
from stoatgw.config.deployment import Address, ConfigError, Deployment, load
from stoatgw.decisions.interface import Settings
from stoatgw.director.backoff import Backoff
from stoatgw.director.director import ASKED_ANSWER_S, PUSHED_ANSWER_S, Director
from stoatgw.director.list import ListReader
from stoatgw.owner.clock import Clock
from stoatgw.owner.messages import Mover
from stoatgw.owner.owner import Owner
from stoatgw.owner.stopping import stopping
from stoatgw.suspension.overlay import Overlay
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

if TYPE_CHECKING:
    from stoatgw.config.operators import Operators

LAST_LOOK_US = 50_000  # the backlog is emptied so long before the earliest end
CALLERS_KEPT = 36  # descriptors of the second address, where there is one: its callers and its listener


class Backstage:
    """The backends' side as the owner sees it."""

    def __init__(self, backends: Backends, prober: Prober, director: Director) -> None:
        self._backends, self._prober, self._director = backends, prober, director
        self.wanted = self.now  # who probes where the decisions ask for it; shared probing takes its place

    def probe(self, server: str) -> None:
        self.wanted(server)

    def now(self, server: str) -> None:
        backend = self._backends.get(server)
        if backend is not None:
            self._prober.probe(backend)

    def close_idle(self, server: str) -> None:
        self._prober.close(server)

    def fetch_list(self) -> None:
        self._director.tell_all()


class Reload:
    """SIGHUP: LB_CONFIG read anew. The address of discovery is taken over; the rest needs a restart."""

    def __init__(
        self, path: str, deployment: Deployment, director: Director, log: EventLog, counters: Counters
    ) -> None:
        self._path, self._deployment, self._director = path, deployment, director
        self._log, self._counters = log, counters

    def __call__(self) -> None:
        """A file that cannot be used is logged and changes nothing."""
        self._counters.add("reloads")
        try:
            fresh = load(self._path)
        except Exception as fault:  # guards against a half-written file: what runs stays as it is
            self._counters.add("reloads_bad")
            self._log.event("reload_bad", error=str(fault)[:200])
            return
        # The seed and the list are new with each file; what else differs is told, not taken.
        same = replace(fresh, discovery=self._deployment.discovery, seed=self._deployment.seed,
                       known=self._deployment.known)  # fmt: skip
        self._log.event("reload", discovery=str(fresh.discovery), restart_needed=same != self._deployment)
        self._director.move_to(fresh.discovery)


def make_mover(operators: Operators | None, settings: Settings, seed: int) -> Mover | None:
    """Who moves standing connections towards balance, if the operators' file asks for it."""
    if operators is None or not operators.rebalance.enabled:
        return None
    from stoatgw.rebalance.mover import Rebalancer

    return Rebalancer(operators.rebalance, settings, seed)


def read_operators() -> Operators | None:
    """The operators' own file, if STOATGW_CONFIG names one. Without it nothing of ours is loaded."""
    path = os.environ.get("STOATGW_CONFIG")
    if not path:
        return None
    from stoatgw.config.operators import load_operators

    return load_operators(path)


async def serve(deployment: Deployment, path: str, operators: Operators | None = None) -> None:
    loop, clock = asyncio.get_running_loop(), Clock()
    log, counters, backends = EventLog(deployment.name), Counters(), Backends()
    settings = deployment.settings
    mover = make_mover(operators, settings, deployment.seed)
    owner = Owner(settings, deployment.seed, clock, log, counters, mover=mover)
    columns = Columns(settings.report_columns)
    sharing = None
    if operators is not None and operators.membership is not None and operators.sharing is not None:
        from stoatgw.sharing.service import make_sharing

        sharing = make_sharing(operators.membership, operators.sharing, deployment, owner, log,
                               lambda name: backstage.now(name),  # noqa: PLW0108 (it comes later)
                               lambda: [entry.server for entry in director.entries()])  # fmt: skip
    prober = Prober(sharing or owner, clock, columns, deployment.dial_timeout_us, counters)
    overlay = Overlay()
    director = Director(
        deployment.discovery,
        ListReader(deployment.zones, deployment.kinds),
        backends,
        owner,
        clock,
        lambda backend: prober.close(backend.name),
        log,
        counters,
        Backoff(settings.balancers, random.Random(deployment.seed), pushed=not settings.must_subscribe),
        ASKED_ANSWER_S if settings.must_subscribe else PUSHED_ANSWER_S,
        overlay.lay,
    )
    room = Room(deployment.sockets - (CALLERS_KEPT if deployment.management else 0))
    context = ProxyContext(deployment, owner, backends, clock, columns.row, counters, log, room)
    listener = Listener(context)
    loop.add_signal_handler(signal.SIGHUP, Reload(path, deployment, director, log, counters))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(
        signal.SIGUSR1, lambda: log.event("counters", open=listener.open, reqs=owner.open, **counters.all())
    )
    keeper = agent = None
    if deployment.management is not None:
        from stoatgw.suspension.keeper import Keeper
        from stoatgw.suspension.outs import Outs

        keeper = Keeper(os.environ.get("TMPDIR"), Outs(overlay, director, owner, clock, log), director, clock, log)
        keeper.begin()
    if operators is not None and operators.membership is not None and operators.maintenance is not None:
        from stoatgw.maintenance.service import make_agent

        agent = make_agent(operators.membership, operators.maintenance, deployment, context, owner, director, overlay,
                           clock, log)  # fmt: skip
        agent.begin()
    director.known(deployment.known)
    backstage = Backstage(backends, prober, director)
    owner.start(backstage)
    bind(listener, deployment.listen)
    loops: list[Callable[[], Coroutine[Any, Any, None]]] = [owner.run, director.run, listener.run, listener.watch]
    beside = None
    if "LB_LISTEN_FD" in os.environ:
        from stoatgw.upgrade.beside import LOOK_S, Beside

        beside = Beside(os.environ.get("TMPDIR"), context, listener, director, log)
        beside.begin()
        loops.append(partial(every, LOOK_S, beside.look, log))
    if deployment.management is not None and keeper is not None:
        from stoatgw.management.listener import ManagementListener
        from stoatgw.operations import Operations
        from stoatgw.suspension.keeper import LOOK_S as BANS_LOOK_S

        desk = Operations(context, owner, director, keeper, log, lambda: beside is None or beside.accepts)
        callers = ManagementListener(desk, log, counters)
        try:
            callers.bind(deployment.management)
        except OSError as fault:
            raise ConfigError(f"management: cannot listen there: {fault.strerror}") from None
        loops += [callers.run, partial(every, BANS_LOOK_S, keeper.look, log)]
    if sharing is not None:
        backstage.wanted = sharing.wanted
        loops.append(sharing.run)
    if agent is not None:
        loops.append(agent.run)
    tasks = [loop.create_task(run()) for run in loops]
    log.event("ready", listen=str(deployment.listen))
    stop = loop.create_task(stopped.wait())
    await asyncio.wait([stop, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():  # none of them ends by itself
            log.event("task_ended", error=repr(task.exception()))
    handed = beside is not None and beside.taken_over()
    log.event("draining", open=listener.open, handed_over=handed)
    context.course.stop(handed_over=handed)
    if handed:
        # Nobody comes here any more: the other process answers them. Those that came are served, then moved.
        listener.accept(False)
    end, began = stopping(settings, handed_over=handed), clock.now_us()
    owner.put(end.drain)
    leaving = loop.create_task(agent.leave()) if agent is not None else None
    listening = not handed
    while (passed_us := clock.now_us() - began) < end.most_us:
        if listening and passed_us >= end.least_us - LAST_LOOK_US:
            listening = False
            await listener.end()
        if passed_us >= end.least_us and not listener.open:
            break
        await asyncio.sleep(0.02)
    if leaving is not None:
        leaving.cancel()
    if beside is not None:
        beside.leave()
    log.event("stopped", open=listener.open, reqs=owner.open, **counters.all())


async def every(pause_s: float, look: Callable[[], None], log: EventLog) -> None:
    """Look again and again; a fault of one look must not end the proxy."""
    told = ""
    while True:
        await asyncio.sleep(pause_s)
        try:
            look()
        except Exception as fault:
            if told != repr(fault):
                told = repr(fault)
                log.event("look_fault", error=told)


def bind(listener: Listener, listen: Address) -> None:
    """Listen, or accept where the platform listens for us. Raises ConfigError."""
    number = os.environ.get("LB_LISTEN_FD")
    if number is not None:
        from stoatgw.upgrade.inherited import adopt

        listener.adopt(adopt(number, listen))
        return
    try:
        listener.bind(listen)
    except OSError as fault:
        raise ConfigError(f"listen: cannot listen there: {fault.strerror}") from None


def main() -> int:
    # Guards against a reload during the start, which would end the program: it waits for its handler.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    path = os.environ.get("LB_CONFIG")
    try:
        if not path:
            raise ConfigError("LB_CONFIG: not set")
        start(load(path), path, read_operators())
    except ConfigError as fault:
        print(f"stoatgw: {fault}", file=sys.stderr)
        return 2
    return 0


def start(deployment: Deployment, path: str, operators: Operators | None = None) -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = deployment.sockets if hard == resource.RLIM_INFINITY else min(deployment.sockets, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    gc.freeze()
    uvloop.run(serve(deployment, path, operators))

