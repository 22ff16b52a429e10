"""Reports the message latencies of a modelled proxy's sessions, as the real latency monitor does."""

from __future__ import annotations

from collections.abc import Iterator

from stoatgw.controller.messages import SessionMetricObserved
from stoatgw.decisions.interface import SessionMetricKind
from stoatgw.emulator.virtual.proxy import HostedSession, VirtualProxy
from stoatgw.emulator.world.server_model import ServerLifecycle
from stoatgw.emulator.world.world_state import WorldState

OBSERVE_INTERVAL_US = 1_000_000
PHASE_STEP_US = 1013  # added per proxy index, so that proxies observe at different times
REPORT_THRESHOLD_DIVISOR = 3  # latencies over a third of the shortest latency objective are reported


class LatencyMonitor:
    """Reports high message latencies to a proxy's controller, once per interval."""

    def __init__(self, world: WorldState, proxy: VirtualProxy) -> None:
        self._world = world
        self._proxy = proxy
        self._report_threshold_ms = min(world.latency_objectives_s) * 1e3 / REPORT_THRESHOLD_DIVISOR

    def start(self) -> None:
        """Schedule the first observation."""
        phase_us = PHASE_STEP_US * self._proxy.index
        self._world.scheduler.call_at(
            self._world.scheduler.now_us() + OBSERVE_INTERVAL_US + phase_us, self._observe_and_repeat
        )

    def _observe_and_repeat(self) -> None:
        if self._proxy.has_ended:
            return
        self._proxy.loop.deliver(self._observe)
        now_us = self._world.scheduler.now_us()
        if now_us < self._world.end_us:
            self._world.scheduler.call_at(now_us + OBSERVE_INTERVAL_US, self._observe_and_repeat)

    def _observe(self) -> None:
        proxy = self._proxy
        slow_servers = set()
        for name, session in self._one_session_per_server():
            latency_ms = self._draw_latency_ms(name)
            if latency_ms is None:
                continue
            if latency_ms > self._report_threshold_ms:
                slow_servers.add(name)
            if latency_ms > self._report_threshold_ms or name in proxy.slow_servers:
                proxy.controller.post(
                    SessionMetricObserved(session.request_state, SessionMetricKind.LATENCY, latency_ms)
                )
        proxy.slow_servers = slow_servers

    def _draw_latency_ms(self, server_name: str) -> float | None:
        """Draw a server's current message latency; None if no message was answered in the last interval."""
        proxy = self._proxy
        server = self._world.servers[server_name]
        is_unreachable = self._world.is_unreachable(proxy.zone, server)
        if server.lifecycle is not ServerLifecycle.SERVING or is_unreachable:
            return None
        # A message was answered within the last second, unless none of this proxy's clients at the server sent one.
        message_interval_s = self._world.scenario.clients.line_every_s
        all_quiet_probability = max(0.0, 1.0 - 1.0 / message_interval_s) ** len(proxy.established[server_name])
        if proxy.random.next() < all_quiet_probability:
            return None
        server.advance_to(self._world.scheduler.now_us())
        return server.draw_message_latency_s() * 1e3

    def _one_session_per_server(self) -> Iterator[tuple[str, HostedSession]]:
        for server_name, sessions in self._proxy.established.items():
            if sessions:
                yield server_name, next(iter(sessions.values()))
