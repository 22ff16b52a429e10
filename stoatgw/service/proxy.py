"""The proxy's life cycle from start-up to shutdown."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING

from stoatgw.clients.listener import Listener
from stoatgw.config.deployment import Address, Deployment
from stoatgw.config.errors import ConfigError
from stoatgw.hot_restart import LISTEN_DESCRIPTOR_VARIABLE
from stoatgw.service.component import BackgroundTask, ServiceComponent
from stoatgw.service.core import ProxyCore, build_core
from stoatgw.service.optional_components import create_components, create_migration_planner
from stoatgw.service.reload import ConfigReloader
from stoatgw.service.shutdown import shut_down
from stoatgw.service.signals import install_signal_handlers
from stoatgw.telemetry.log import EventLog

if TYPE_CHECKING:
    from stoatgw.config.operators import OperatorConfig


async def serve(deployment: Deployment, path: str, operators: OperatorConfig | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    Args:
        deployment: The platform's configuration.
        path: The file it was loaded from, which is read again on SIGHUP.
        operators: The operators' configuration, if there is one.

    Raises:
        ConfigError: The proxy cannot run as configured.
    """
    core = build_core(deployment)
    context = core.context
    components = create_components(core, operators)
    reloader = ConfigReloader(path, deployment, core.discovery, context.log, context.counters)
    stop_requested = install_signal_handlers(reloader.reload, partial(core.log_totals, "counters_reported"))
    for component in components:
        component.restore()
    core.discovery.load_snapshot(deployment.initial_endpoints)
    context.controller.start(core.gateway, create_migration_planner(deployment, operators))
    _open_listener(core.listener, deployment.listen_address)
    for component in components:
        component.attach()
    tasks = _start_tasks(core, components)
    context.log.event("ready", listen=str(deployment.listen_address))
    await _wait_until_stopped(tasks, stop_requested, context.log)
    await shut_down(core, components)


def _start_tasks(core: ProxyCore, components: Sequence[ServiceComponent]) -> list[asyncio.Task[None]]:
    """Start all background tasks; none of them ends on its own except by an exception."""
    loop = asyncio.get_running_loop()
    background: list[BackgroundTask] = [
        core.context.controller.run,
        core.discovery.run,
        core.listener.run,
        core.session_monitor.run,
    ]
    for component in components:
        background += component.background_tasks()
    return [loop.create_task(run()) for run in background]


async def _wait_until_stopped(
    tasks: Sequence[asyncio.Task[None]], stop_requested: asyncio.Event, log: EventLog
) -> None:
    """Wait for a signal, or for a task to fail, which is logged; the other tasks keep running in both cases."""
    stop = asyncio.get_running_loop().create_task(stop_requested.wait())
    await asyncio.wait([stop, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():
            log.event("task_ended", error=repr(task.exception()))


def _open_listener(listener: Listener, address: Address) -> None:
    """Listen on the address, or adopt the listening socket that the platform passes to this process.

    Raises:
        ConfigError: The address cannot be bound, or the platform's socket cannot be used.
    """
    descriptor = os.environ.get(LISTEN_DESCRIPTOR_VARIABLE)
    if descriptor is not None:
        from stoatgw.hot_restart.socket_activation import adopt_listening_socket

        listener.adopt(adopt_listening_socket(descriptor, address))
        return
    try:
        listener.bind(address)
    except OSError as error:
        raise ConfigError(f"cannot listen on this address: {error.strerror}", field="listen") from error
