"""From SIGTERM, or the end of a task, to the end of the process: by the controller's `ShutdownPlan`."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from stoatgw.controller.graceful_shutdown import ShutdownPlan, plan_shutdown
from stoatgw.service.component import ServiceComponent
from stoatgw.service.core import ProxyCore

POLL_INTERVAL_S = 0.02
# Who waits without an answer gets one so long before the latest end: longer than a rejected connection lingers.
FINAL_ANSWER_LEAD_US = 300_000
BACKLOG_LEAD_US = 50_000  # the backlog is accepted, and the listener closed, so long before the earliest end


async def shut_down(core: ProxyCore, components: Sequence[ServiceComponent]) -> None:
    """Drain the proxy and end its parts; returns when the process may end."""
    context = core.context
    is_handed_over = any(component.is_superseded() for component in components)
    context.log.event("shutdown_started", open_connections=core.listener.open_connections, handed_over=is_handed_over)
    context.lifecycle.begin_shutdown(handed_over=is_handed_over)
    if is_handed_over:
        # The other process accepts all new connections. Those accepted here are served, then migrated.
        core.listener.set_accepting(False)
    plan = plan_shutdown(context.deployment.settings, handed_over=is_handed_over)
    started_us = context.clock.now_us()
    context.controller.post(plan.drain)
    for component in components:
        component.begin_shutdown()
    await _serve_to_the_end(core, plan, started_us, is_listening=not is_handed_over)
    _log_cut_sessions(core)
    for component in reversed(components):
        component.stop()
    core.log_totals("proxy_stopped")


async def _serve_to_the_end(core: ProxyCore, plan: ShutdownPlan, started_us: int, *, is_listening: bool) -> None:
    """Wait until all connections have ended, at least for the plan's shortest duration and at most for its longest."""
    while True:
        elapsed_us = core.context.clock.now_us() - started_us
        if elapsed_us >= plan.max_duration_us:
            return
        if is_listening and elapsed_us >= plan.min_duration_us - BACKLOG_LEAD_US:
            is_listening = False
            await core.listener.close()
        if elapsed_us >= plan.max_duration_us - FINAL_ANSWER_LEAD_US:
            _answer_waiting(core)  # each time, as more may come
        if elapsed_us >= plan.min_duration_us and not core.listener.open_connections:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def _answer_waiting(core: ProxyCore) -> None:
    """Answer and migrate who is still there shortly before the end: what crosses it would get no answer, and no MOVE.

    Those are connections that may send their request at any moment, requests whose session was not restored yet, and
    sessions whose server does not end its line.
    """
    core.context.descriptor_limiter.evict_all()
    for reject in list(core.context.restoring.values()):
        reject()
    for session in list(core.context.established_sessions.values()):
        session.relay.migrate_now()


def _log_cut_sessions(core: ProxyCore) -> None:
    """Log the sessions that end with the process: none should be left."""
    for request_id, session in core.context.established_sessions.items():
        core.context.log.event("session_cut", id=request_id, backend=session.server, why="the process ends")
