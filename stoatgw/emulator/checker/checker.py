"""Checks an event log against the rules. Does no I/O: it consumes records and returns violations.

The same checker is used for every driver, and for any later protocol.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from stoatgw.emulator.checker.rules import CheckerLimits, Rule, Violation
from stoatgw.emulator.checker.slow_start import SlowStartAudit
from stoatgw.emulator.world.events import Event, EventKind

NEVER_US = 1 << 62
FREEZE_RECOVERY_US = 10_000_000  # an answer due up to this long after a freeze may be late because of it


@dataclass(slots=True)
class _RequestRecord:
    deadline_us: int
    proxy: str
    is_answered: bool = False
    needs_no_answer: bool = False  # its client disconnected, or it was rejected
    server: str = ""


class Checker:
    """Checks one run: call `feed` with each record in order, then `finish`.

    Attributes:
        violations: The violations found until now.
        counts: Number of records by kind.
    """

    def __init__(self, limits: CheckerLimits) -> None:
        self._limits = limits
        self._requests: dict[str, _RequestRecord] = {}
        self._attempts: dict[str, dict[int, str]] = {}  # servers of the attempts in flight, by request and attempt
        self._draining_since_us: dict[tuple[str, str], int] = {}  # when notified of a drain, by proxy and server
        self._slow_start = SlowStartAudit(limits)
        self._unresponsive: set[str] = set()
        self._freezes: dict[str, list[tuple[int, int]]] = {}  # begin and end, by proxy
        self._handlers: dict[EventKind, Callable[[Event], None]] = {
            EventKind.REQUEST_RECEIVED: self._on_request_received,
            EventKind.REQUEST_ANSWERED: self._on_request_answered,
            EventKind.CLIENT_DISCONNECTED: self._on_client_disconnected,
            EventKind.ATTEMPT_SENT: self._on_attempt_sent,
            EventKind.ATTEMPT_EXECUTED: self._on_attempt_executed,
            EventKind.ATTEMPT_ENDED: self._on_attempt_ended,
            EventKind.ENDPOINT_NOTIFIED: self._on_endpoint_notified,
            EventKind.SERVER_STARTED: self._on_server_started,
            EventKind.SERVER_RESPONSIVE: self._on_server_responsive,
            EventKind.SERVER_UNRESPONSIVE: self._on_server_unresponsive,
            EventKind.SERVER_COLLAPSED: self._on_server_collapsed,
            EventKind.SESSION_ESTABLISHED: self._on_session_established,
            EventKind.SESSION_MIGRATED: self._on_session_ended,
            EventKind.SESSION_ENDED: self._on_session_ended,
            EventKind.SESSION_BROKEN: self._on_session_broken,
            EventKind.PROXY_STATE_CHANGED: self._on_proxy_state_changed,
            EventKind.REQUESTS_LEAKED: self._on_requests_leaked,
            EventKind.PROGRAM_FAULT: self._on_program_fault,
        }
        self.violations: list[Violation] = []
        self.counts: dict[str, int] = {}

    def feed(self, event: Event) -> None:
        """Check one record."""
        handler = self._handlers.get(event.kind)
        if handler is not None:
            handler(event)
        self.counts[event.kind.value] = self.counts.get(event.kind.value, 0) + 1

    def finish(self, time_us: int) -> list[Violation]:
        """Report the requests that are still unanswered at the end of the log, and return all violations.

        Args:
            time_us: When the log ends; only requests that were due before are reported.
        """
        for request_id, request in self._requests.items():
            is_due = time_us - request.deadline_us - self._limits.answer_grace_us > 0
            if not is_due or request.is_answered or request.needs_no_answer:
                continue
            if not self._was_frozen(request.proxy, request.deadline_us, time_us):
                reason = "no answer, and its client's time is up"
                self.violations.append(Violation(Rule.SINGLE_ANSWER, time_us, request.proxy, request_id, "", reason))
        return self.violations

    def _report(self, rule: Rule, event: Event, reason: str, server: str = "") -> None:
        server = server or event.server
        self.violations.append(Violation(rule, event.time_us, event.proxy, event.request_id, server, reason))

    # Requests.

    def _on_request_received(self, event: Event) -> None:
        if event.request_id in self._requests:
            self._report(Rule.SINGLE_ANSWER, event, "an id is taken twice")
        self._requests[event.request_id] = _RequestRecord(event.number, event.proxy)

    def _on_request_answered(self, event: Event) -> None:
        request = self._requests.get(event.request_id)
        if request is None:
            self._report(Rule.SINGLE_ANSWER, event, "an answer to a req that was never taken, or is over")
            return
        if request.is_answered:
            self._report(Rule.SINGLE_ANSWER, event, f"a second answer ({event.detail})")
            return
        request.is_answered = True
        late_us = event.time_us - request.deadline_us
        was_frozen = self._was_frozen(event.proxy, request.deadline_us, event.time_us)
        if late_us > self._limits.answer_grace_us and not was_frozen:
            self._report(Rule.ANSWER_IN_TIME, event, f"{late_us / 1000:.1f} ms after the client's time was up")
        if event.detail != "up":
            # The record is kept to detect a second answer. A proxy that stops need not answer it again.
            request.needs_no_answer = True

    def _on_client_disconnected(self, event: Event) -> None:
        request = self._requests.get(event.request_id)
        if request is not None:
            request.needs_no_answer = True

    # Attempts.

    def _on_attempt_sent(self, event: Event) -> None:
        attempts = self._attempts.setdefault(event.request_id, {})
        for attempt, server in attempts.items():
            self._report(Rule.SINGLE_ATTEMPT, event, f"attempt {event.number} while {attempt} is out at {server}")
        attempts[event.number] = event.server
        notified_us = self._draining_since_us.get((event.proxy, event.server))
        if notified_us is not None and event.time_us > notified_us + self._limits.drain_grace_us:
            late_ms = (event.time_us - notified_us) / 1000
            reason = f"sent {late_ms:.1f} ms after the proxy was told that it leaves"
            self._report(Rule.NO_SEND_TO_DRAINING, event, reason)

    def _on_attempt_executed(self, event: Event) -> None:
        reason = self._slow_start.record_attempt(event)
        if reason is not None:
            self._report(Rule.SLOW_START_BUDGET, event, reason)

    def _on_attempt_ended(self, event: Event) -> None:
        attempts = self._attempts.get(event.request_id)
        if attempts is not None:
            attempts.pop(event.number, None)
            if not attempts:
                del self._attempts[event.request_id]

    # Servers.

    def _on_endpoint_notified(self, event: Event) -> None:
        key = (event.proxy, event.server)
        if event.detail == "SERVING":
            self._draining_since_us.pop(key, None)
            self._slow_start.record_notified_start(event)
        else:
            self._draining_since_us.setdefault(key, event.time_us)

    def _on_server_started(self, event: Event) -> None:
        self._slow_start.start_server(event)
        self._unresponsive.discard(event.server)

    def _on_server_responsive(self, event: Event) -> None:
        self._unresponsive.discard(event.server)

    def _on_server_unresponsive(self, event: Event) -> None:
        self._unresponsive.add(event.server)

    def _on_server_collapsed(self, event: Event) -> None:
        reason = self._slow_start.record_collapse(event)
        if reason is not None:
            self._report(Rule.SLOW_START_BUDGET, event, reason)

    # Sessions.

    def _on_session_established(self, event: Event) -> None:
        established = _RequestRecord(NEVER_US, event.proxy, is_answered=True)  # used if established before the run
        request = self._requests.setdefault(event.request_id, established)
        request.server = event.server

    def _on_session_ended(self, event: Event) -> None:
        self._requests.pop(event.request_id, None)

    def _on_session_broken(self, event: Event) -> None:
        request = self._requests.pop(event.request_id, None)
        server = request.server if request is not None else event.server
        if server not in self._unresponsive:
            self._report(Rule.NO_BROKEN_SESSION, event, "cut without MOVE while its server answers", server)

    # Proxies.

    def _on_proxy_state_changed(self, event: Event) -> None:
        match event.detail:
            case "frozen":
                self._freezes.setdefault(event.proxy, []).append((event.time_us, NEVER_US))
            case "thawed":
                freezes = self._freezes[event.proxy]
                freezes[-1] = (freezes[-1][0], event.time_us)
            case "stopped":
                self._report_unanswered(event)
                self._remove_proxy(event.proxy)
            case "killed":
                self._remove_proxy(event.proxy)

    def _report_unanswered(self, event: Event) -> None:
        """Report the unanswered requests of a proxy that was stopped as planned."""
        for request_id, request in self._requests.items():
            needs_answer = not request.is_answered and not request.needs_no_answer
            if request.proxy == event.proxy and needs_answer:
                reason = "the proxy ended without an answer to it"
                self.violations.append(
                    Violation(Rule.SINGLE_ANSWER, event.time_us, event.proxy, request_id, "", reason)
                )

    def _remove_proxy(self, proxy: str) -> None:
        for request_id in [each for each, request in self._requests.items() if request.proxy == proxy]:
            del self._requests[request_id]
            self._attempts.pop(request_id, None)
        for key in [key for key in self._draining_since_us if key[0] == proxy]:
            del self._draining_since_us[key]

    def _was_frozen(self, proxy: str, from_us: int, to_us: int) -> bool:
        """Return whether a freeze of the proxy may have delayed an answer due between two times."""
        freezes = self._freezes.get(proxy, ())
        return any(begin_us <= to_us and end_us >= from_us - FREEZE_RECOVERY_US for begin_us, end_us in freezes)

    def _on_requests_leaked(self, event: Event) -> None:
        if event.number:
            self._report(Rule.NO_LEAKED_REQUEST, event, f"{event.number} reqs are still known at the end")

    def _on_program_fault(self, event: Event) -> None:
        self._report(Rule.NO_PROGRAM_FAULT, event, event.detail)
