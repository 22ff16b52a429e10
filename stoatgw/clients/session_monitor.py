"""Monitoring the message latency of established sessions."""

from __future__ import annotations

import asyncio

from stoatgw.backends.latency import current_latency_ms
from stoatgw.clients.context import ProxyContext
from stoatgw.clients.unread_eof import UnreadEofDetector
from stoatgw.controller.messages import SessionMetricObserved
from stoatgw.decisions.interface import SessionMetricKind

MONITOR_INTERVAL_S = 0.25
ROUNDS_PER_REPORT = round(1 / MONITOR_INTERVAL_S)  # latencies and unread EOFs are reported once a second
# A client sends a line every 2 s and has to be migrated within 7 s of the last reply if its server stops replying: with
# the monitor's interval and the wait for the end of a line, a timeout of 5 s was too long.
UNANSWERED_TIMEOUT_US = 4_000_000
REPORT_THRESHOLD_DIVISOR = 3  # latencies over a third of the shortest objective are reported


class SessionMonitor:
    """Reports the message latency of servers to the controller, and abandons servers that stop replying.

    Also ends sessions whose client has reset its connection where no read can detect that, and logs unread EOFs.
    """

    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        objectives_us = [profile.message_aim_us for profile in context.deployment.settings.profiles]
        self._report_threshold_ms = min(objectives_us) / 1000 / REPORT_THRESHOLD_DIVISOR
        self._reported_servers: set[str] = set()  # with high latency in the last report
        self._unread_eof = UnreadEofDetector(context)

    async def run(self) -> None:
        """Check all sessions at each interval, until cancelled."""
        rounds = 0
        while True:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            rounds += 1
            try:
                is_report_due = rounds % ROUNDS_PER_REPORT == 0
                self.check_sessions(reports_latency=is_report_due)
                if is_report_due:
                    self._unread_eof.check()
            except Exception as error:  # an error here must not end the proxy
                self._context.counters.add("session_monitor_failures")
                self._context.log.event("session_monitor_failed", error=repr(error))

    def check_sessions(self, *, reports_latency: bool) -> None:
        """Abandon the servers of sessions with a line that is unanswered for too long; report latencies if asked to."""
        now_us = self._context.clock.now_us()
        for session in list(self._context.established_sessions.values()):
            session.relay.end_if_blocked_client_reset()
            if session.session_state.is_sending:
                # The client does not read, so the server is not read: whether it has replied is unknown.
                session.latency.pending.clear()
            elif session.latency.oldest_pending_age_us(now_us) > UNANSWERED_TIMEOUT_US:
                self._context.counters.add("sessions_unanswered")
                session.latency.pending.clear()
                session.relay.abandon_server()
        if reports_latency and self._context.deployment.reports_message_latency:
            self._report_latencies(now_us)

    def _report_latencies(self, now_us: int) -> None:
        """Report each server whose latency is high, and once more when it no longer is."""
        slow_servers = set()
        for server, sessions in self._context.sessions_by_server():
            latency_ms = current_latency_ms([session.latency for session in sessions], now_us)
            is_slow = latency_ms > self._report_threshold_ms
            if is_slow:
                slow_servers.add(server)
                self._context.counters.add("latencies_reported")
            if is_slow or server in self._reported_servers:
                self._context.controller.post(
                    SessionMetricObserved(sessions[0].state, SessionMetricKind.LATENCY, latency_ms)
                )
        self._reported_servers = slow_servers
