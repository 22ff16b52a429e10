"""Attempts, at most one in flight for each request: their start, the established session and their end."""

from __future__ import annotations

from stoatgw.controller.decision_runner import DecisionRunner
from stoatgw.controller.messages import (
    AttemptEnded,
    AttemptEstablished,
    SessionMetricObserved,
    SessionRestored,
)
from stoatgw.controller.reasons import AnswerReason
from stoatgw.controller.requests import RequestTable
from stoatgw.decisions import interface
from stoatgw.decisions.interface import (
    AttemptOutcome,
    AttemptStatus,
    Cancel,
    Idempotency,
    Send,
    SessionMetric,
    Settings,
)
from stoatgw.telemetry.counters import Counters

KEY_EXPIRY_MARGIN_US = 20_000  # a retry is sent at least this long before its idempotency key expires


class AttemptTracker:
    """Starts and cancels attempts for the policy and notifies it of their progress and outcome.

    Called from the controller's task only.
    """

    def __init__(
        self, settings: Settings, decisions: DecisionRunner, requests: RequestTable, counters: Counters
    ) -> None:
        self._settings = settings
        self._decisions = decisions
        self._requests = requests
        self._counters = counters

    # Actions of the policy.

    def perform_send(self, action: Send) -> None:
        """Start an attempt, its deadline capped at the client's; one that is not allowed has the outcome `UNUSED`."""
        state = self._requests.get(action.request_id)
        if state is None:
            return
        number = state.attempts
        if state.is_answered or state.active_attempt is not None or number >= self._settings.max_attempts:
            # At most one attempt in flight, and none for a request that is answered.
            self._decisions.notify(
                AttemptOutcome(action.request_id, number, action.server, AttemptStatus.UNUSED, 0, state.is_answered)
            )
            return
        deadline_us = min(action.deadline_us or state.deadline_us, state.deadline_us)
        state.begin_attempt(action.server, self._decisions.now_us)
        self._counters.add("attempts")
        request_class = self._requests.class_of(state)
        if state.first_run_us is not None and request_class.idempotency is Idempotency.DEDUP:
            state.retry_before_us = max(1, state.first_run_us + request_class.key_ttl_us - KEY_EXPIRY_MARGIN_US)
        state.handler.start_attempt(number, action.server, deadline_us)

    def perform_cancel(self, action: Cancel) -> None:
        """Cancel an attempt that is not established yet."""
        state = self._requests.get(action.request_id)
        if state is not None and state.active_attempt == action.attempt and not state.is_established:
            state.handler.cancel_attempt(action.attempt)

    # Messages.

    def handle_restored(self, message: SessionRestored) -> None:
        """Add a session that was established before this process started."""
        state = message.state
        self._requests.add(state)
        state.is_established = True
        state.is_answered = True
        state.begin_attempt(message.server, self._decisions.now_us)
        self._decisions.notify(interface.SessionRestored(state.request, message.server))

    def handle_established(self, message: AttemptEstablished) -> bool:
        """Record that an attempt is established, which is the request's final answer.

        Returns:
            Whether it is the attempt in flight; any other attempt is ignored.
        """
        state = message.state
        if state.active_attempt != message.attempt:
            return False
        state.is_established = True
        state.mark_answered()
        elapsed_us = self._decisions.now_us - state.sent_us
        self._decisions.notify(
            interface.AttemptEstablished(state.request.request_id, message.attempt, state.server, elapsed_us)
        )
        return True

    def handle_ended(self, message: AttemptEnded) -> None:
        """Record the end of the attempt in flight; the end of any other attempt, or a repeated one, is ignored."""
        state = message.state
        end = message.end
        if state.active_attempt != message.attempt:
            return
        state.active_attempt = None
        if state.first_run_us is None and not end.status.never_ran:
            state.first_run_us = state.sent_us
        self._counters.add(f"attempts_{end.status.value}")
        is_final = state.is_answered or state.is_established
        outcome = AttemptOutcome(
            state.request.request_id,
            message.attempt,
            state.server,
            end.status,
            self._decisions.now_us - state.sent_us,
            is_final,
            end.load_report,
        )
        if is_final:
            state.is_answered = True
            self._requests.remove_if_complete(state)
        self._decisions.notify(outcome)
        if state.is_orphaned and not state.is_answered:
            self._requests.fail(state, AnswerReason.POLICY_CRASHED)

    def handle_metric(self, message: SessionMetricObserved) -> None:
        """Notify the policy of a metric of an established session."""
        state = message.state
        if state.is_established and state.active_attempt is not None:
            self._decisions.notify(
                SessionMetric(state.request.request_id, state.active_attempt, state.server, message.kind, message.value)
            )
