"""Shuts the proxy down after SIGTERM, or after a task has failed, according to the controller's `ShutdownPlan`."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from stoatgw.controller.graceful_shutdown import ShutdownPlan, plan_shutdown
from stoatgw.service.component import ServiceComponent
from stoatgw.service.core import ProxyCore

POLL_INTERVAL_S = 0.02
# How long before the plan's longest duration the clients that still wait are answered. It is longer than a rejected
# connection lingers.
FINAL_ANSWER_LEAD_US = 300_000
# How long before the plan's shortest duration the backlog is accepted and the listener closed.
BACKLOG_LEAD_US = 50_000


async def shut_down(core: ProxyCore, components: Sequence[ServiceComponent]) -> None:
    """Drain the proxy and stop its components; return when the process may end."""
    context = core.context
    is_handed_over = any(component.is_superseded() for component in components)
    context.log.event("shutdown_started", open_connections=core.listener.open_connections, handed_over=is_handed_over)
    context.lifecycle.begin_shutdown(handed_over=is_handed_over)
    if is_handed_over:
        # The other process accepts all new connections. Connections accepted here are served, then migrated.
        core.listener.set_accepting(False)
    plan = plan_shutdown(context.deployment.settings, handed_over=is_handed_over)
    started_us = context.clock.now_us()
    context.controller.post(plan.drain)
    for component in components:
        component.begin_shutdown()
    await _wait_for_drain(core, plan, started_us, is_listening=not is_handed_over)
    _log_cut_sessions(core)
    for component in reversed(components):
        component.stop()
    core.log_totals("proxy_stopped")


async def _wait_for_drain(core: ProxyCore, plan: ShutdownPlan, started_us: int, *, is_listening: bool) -> None:
    """Wait until all connections have ended, at least for the plan's shortest duration and at most for its longest."""
    while True:
        elapsed_us = core.context.clock.now_us() - started_us
        if elapsed_us >= plan.max_duration_us:
            return
        if is_listening and elapsed_us >= plan.min_duration_us - BACKLOG_LEAD_US:
            is_listening = False
            await core.listener.close()
        if elapsed_us >= plan.max_duration_us - FINAL_ANSWER_LEAD_US:
            _answer_remaining_clients(core)  # in each iteration, as more requests may be received
        if elapsed_us >= plan.min_duration_us and not core.listener.open_connections:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def _answer_remaining_clients(core: ProxyCore) -> None:
    """Answer or migrate the clients that remain shortly before the process ends.

    A message that races with the end of the process would get no answer, and a session no MOVE. The remaining clients
    are connections that may send their request at any moment, requests whose session is not restored yet, and sessions
    whose server has not completed its line.
    """
    core.context.descriptor_limiter.evict_all()
    for reject in list(core.context.pending_restores.values()):
        reject()
    for session in list(core.context.established_sessions.values()):
        session.relay.migrate_now()


def _log_cut_sessions(core: ProxyCore) -> None:
    """Log the sessions that are interrupted because the process ends; there should be none."""
    for request_id, session in core.context.established_sessions.items():
        core.context.log.event("session_cut", id=request_id, backend=session.server, why="the process ends")
