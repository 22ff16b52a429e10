"""Watches the message latency of established sessions."""

from __future__ import annotations

import asyncio

from stoatgw.backends.latency import current_latency_ms
from stoatgw.clients.context import ProxyContext
from stoatgw.clients.unread_eof import UnreadEofDetector
from stoatgw.controller.messages import SessionMetricObserved
from stoatgw.decisions.interface import SessionMetricKind

MONITOR_INTERVAL_S = 0.25
ROUNDS_PER_REPORT = round(1 / MONITOR_INTERVAL_S)  # latencies and unread ends are reported once a second
# A client sends a line every 2 s, and one whose server answers nothing is to be migrated within 7 s of the last line
# that came back: with this interval and the wait for the end of a line, 5 s were too many.
UNANSWERED_TIMEOUT_US = 4_000_000
REPORTED_OBJECTIVE_DIVISOR = 3  # latencies over a third of the shortest latency objective are reported


class SessionMonitor:
    """Reports the message latency of servers to the controller, and abandons servers that answer nothing.

    Sees to the ends of connections, too, that no read can tell of, and logs those that nobody reads.
    """

    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        objectives_us = [profile.message_aim_us for profile in context.deployment.settings.profiles]
        self._reported_from_ms = min(objectives_us) / 1000 / REPORTED_OBJECTIVE_DIVISOR
        self._reported_servers: set[str] = set()  # in the last round that reported
        self._unread_ends = UnreadEofDetector(context)

    async def run(self) -> None:
        """Checks all sessions at each interval, for good."""
        rounds = 0
        while True:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            rounds += 1
            try:
                is_report_due = rounds % ROUNDS_PER_REPORT == 0
                self.check_sessions(reports_latency=is_report_due)
                if is_report_due:
                    self._unread_ends.check()
            except Exception as error:  # a fault here must not end the proxy
                self._context.counters.add("session_monitor_failures")
                self._context.log.event("session_monitor_failed", error=repr(error))

    def check_sessions(self, *, reports_latency: bool) -> None:
        """Abandons the servers of sessions with a line that is unanswered for too long; may report latencies."""
        now_us = self._context.clock.now_us()
        for session in list(self._context.established_sessions.values()):
            session.relay.end_if_blocked_client_reset()
            if session.session_state.is_sending:
                # The client takes nothing, so its server is not read: what it has answered by now is not known.
                session.latency.pending.clear()
            elif session.latency.oldest_pending_age_us(now_us) > UNANSWERED_TIMEOUT_US:
                self._context.counters.add("sessions_unanswered")
                session.latency.pending.clear()
                session.relay.abandon_server()
        if reports_latency and self._context.deployment.reports_message_delay:
            self._report_latencies(now_us)

    def _report_latencies(self, now_us: int) -> None:
        """Reports each server whose latency is high, and once more when it no longer is."""
        slow_servers = set()
        for server, sessions in self._context.sessions_by_server():
            latency_ms = current_latency_ms([session.latency for session in sessions], now_us)
            is_slow = latency_ms > self._reported_from_ms
            if is_slow:
                slow_servers.add(server)
                self._context.counters.add("latencies_reported")
            if is_slow or server in self._reported_servers:
                self._context.controller.post(
                    SessionMetricObserved(sessions[0].state, SessionMetricKind.DELAY, latency_ms)
                )
        self._reported_servers = slow_servers
