"""The state of all requests, and their final answers: exactly one for each."""

from __future__ import annotations

from collections.abc import Iterator

from stoatgw.controller.decision_runner import DecisionRunner
from stoatgw.controller.drain import DrainSchedule
from stoatgw.controller.messages import (
    ClientDisconnected,
    MessageQueue,
    RequestReceived,
    RequestState,
    RequestTimedOut,
)
from stoatgw.controller.reasons import AnswerReason
from stoatgw.controller.timers import post_later
from stoatgw.decisions import interface
from stoatgw.decisions.interface import Fail, Idempotency, KeyScope, Reject, RequestClass, Settings
from stoatgw.telemetry.counters import Counters


class RequestTable:
    """The state of each request from its receipt until it is answered and has no attempt in flight.

    Only the controller's task changes it.
    """

    def __init__(
        self,
        settings: Settings,
        decisions: DecisionRunner,
        drain: DrainSchedule,
        queue: MessageQueue,
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._decisions = decisions
        self._drain = drain
        self._queue = queue
        self._counters = counters
        self._states: dict[str, RequestState] = {}

    def __len__(self) -> int:
        return len(self._states)

    def get(self, request_id: str) -> RequestState | None:
        """Return the state of a request, or None if the table does not contain it."""
        return self._states.get(request_id)

    def add(self, state: RequestState) -> None:
        """Add a request, which stays in the table until `remove_if_complete`."""
        self._states[state.request.request_id] = state

    def remove_if_complete(self, state: RequestState) -> None:
        """Remove a request if it is answered and has no attempt in flight; otherwise do nothing."""
        if state.is_answered and state.active_attempt is None:
            self._states.pop(state.request.request_id, None)

    def class_of(self, state: RequestState) -> RequestClass:
        """Return the settings of the request's class."""
        return self._settings.profiles[state.request.request_class]

    def established(self) -> Iterator[RequestState]:
        """Yield the requests whose session is established."""
        return (state for state in self._states.values() if state.is_established)

    def unanswered(self) -> list[RequestState]:
        """Return the requests without a final answer."""
        return [state for state in self._states.values() if not state.is_answered]

    def connections_to(self, server: str) -> int:
        """Return the number of connections of this proxy to a server, established or being set up."""
        return sum(
            1
            for state in self._states.values()
            if state.server == server and (state.is_established or state.active_attempt is not None)
        )

    # Messages.

    def handle_received(self, message: RequestReceived) -> None:
        """Pass a new request to the policy, or reject it if a drain no longer admits requests."""
        state = message.state
        now_us = self._decisions.now_us
        if not self._drain.is_admitting(now_us):
            self.reject(state, self._drain.retry_after_us(now_us), AnswerReason.DRAINING)
            return
        self.add(state)
        left_s = max(0.0, (state.deadline_us - now_us) / 1e6)
        state.timeout_handle = post_later(self._queue, left_s, RequestTimedOut(state))
        self._decisions.notify(state.request)

    def handle_disconnected(self, message: ClientDisconnected) -> None:
        """Notify the policy that the client no longer waits for an answer."""
        state = message.state
        state.mark_answered()
        if state.request.request_id in self._states:
            self._notify_disconnected(state)
            self.remove_if_complete(state)

    def handle_timed_out(self, message: RequestTimedOut) -> None:
        """Answer a request whose deadline has passed, whatever the policy does."""
        state = message.state
        if not state.is_answered:
            self._counters.add("requests_timed_out")
            self._notify_disconnected(state)
            self._reject_or_fail(state, AnswerReason.DEADLINE)

    # Actions of the policy.

    def perform_reject(self, action: Reject) -> None:
        """Reject a request, unless it is answered already."""
        state = self._states.get(action.request_id)
        if state is not None and not state.is_answered:
            self.reject(state, action.retry_after_us, AnswerReason.POLICY)

    def perform_fail(self, action: Fail) -> None:
        """Fail a request, unless it is answered already."""
        state = self._states.get(action.request_id)
        if state is not None and not state.is_answered:
            self.fail(state, AnswerReason.POLICY)

    # Final answers.

    def reject(self, state: RequestState, retry_after_us: int, reason: AnswerReason) -> None:
        """Answer that the request was rejected and can be retried; `retry_after_us` 0: without a retry delay."""
        state.answer_reason = reason
        state.mark_answered()
        self._counters.add("requests_rejected")
        state.handler.reject(retry_after_us)
        self.remove_if_complete(state)

    def fail(self, state: RequestState, reason: AnswerReason) -> None:
        """Answer that the request failed and may have run."""
        state.answer_reason = reason
        state.mark_answered()
        self._counters.add("requests_failed")
        state.handler.fail()
        self.remove_if_complete(state)

    def answer_all_waiting(self) -> None:
        """Answer all waiting requests; their attempts in flight are not cancelled."""
        for state in self.unanswered():
            self._reject_or_fail(state, AnswerReason.DRAIN_ADMISSION_ENDED)
            if state.active_attempt is None:
                self._notify_disconnected(state)  # the policy may delay the request until health checks complete

    def fail_orphans(self) -> None:
        """Fail the waiting requests that have no attempt; the others fail if their attempt in flight does."""
        for state in self.unanswered():
            state.is_orphaned = True
            if state.active_attempt is None:
                self.fail(state, AnswerReason.POLICY_CRASHED)

    def _reject_or_fail(self, state: RequestState, reason: AnswerReason) -> None:
        """Answer a request that has no session: reject it if a retry is known to be harmless, else fail it."""
        if self._is_safe_to_retry(state):
            self.reject(state, self._drain.retry_after_us(self._decisions.now_us), reason)
        else:
            self.fail(state, reason)

    def _is_safe_to_retry(self, state: RequestState) -> bool:
        never_ran = state.first_run_us is None and state.active_attempt is None
        if never_ran:
            return True
        if not self._drain.is_draining:
            return False
        request_class = self.class_of(state)
        if request_class.idempotency is Idempotency.DEDUP:
            return request_class.key_scope is KeyScope.ALL
        return request_class.idempotency is Idempotency.RETRYABLE

    def _notify_disconnected(self, state: RequestState) -> None:
        self._decisions.notify(interface.ClientDisconnected(state.request.request_id))
