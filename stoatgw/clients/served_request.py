"""An accepted request, and the objects that serve it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stoatgw.backends.attempt import Attempt
from stoatgw.backends.backend import Backend
from stoatgw.clients.context import ProxyContext
from stoatgw.clients.relay import Relay
from stoatgw.clients.session_closer import SessionCloser
from stoatgw.clients.session_state import EndReason, SessionEnd
from stoatgw.controller.messages import AttemptEnd, AttemptEnded, RequestState
from stoatgw.line_protocol.grammar import SessionRequest


@dataclass(slots=True, eq=False)
class ServedRequest:
    """The objects that an attempt uses, whether the controller started it or it restores a session.

    Attributes:
        context: The state and services shared by all sessions.
        request: The client's first line.
        request_state: The controller's state of the request.
        closer: Ends the session, and holds its state.
        relay: Relays the session once it is established.
    """

    context: ProxyContext
    request: SessionRequest
    request_state: RequestState
    closer: SessionCloser
    relay: Relay

    def log_event(self, event: str, **fields: Any) -> None:
        """Log an event of this request, with its id."""
        self.context.log.event(event, id=self.request.request_id, **fields)

    def create_attempt(self, backend: Backend, dial_timeout_us: int) -> Attempt:
        """Create an attempt at a server."""
        context = self.context
        grace_us = context.deployment.settings.drain_grace_us
        return Attempt(backend, context.clock, dial_timeout_us, grace_us, context.load_report_row, self._count_dispatch)

    def _count_dispatch(self) -> None:
        self.context.metrics.dispatches += 1

    def close_attempt(self, attempt: Attempt | None) -> None:
        """Stop relaying to an attempt that is over, and have its connection closed; idempotent."""
        self.relay.detach()
        if attempt is not None:
            self.closer.close_attempt(attempt)

    def post_attempt_end(self, number: int, end: AttemptEnd) -> None:
        """Report the end of an attempt to the controller."""
        self.context.controller.post(AttemptEnded(self.request_state, number, end))

    def finish_on_server_end(self, attempt: Attempt | None, end: AttemptEnd) -> None:
        """End the session because its established attempt is over."""
        was_reset = attempt is not None and attempt.was_reset
        self.closer.finish(SessionEnd(EndReason.SERVER_ENDED, was_reset=was_reset, why=end.reason))

    def record_crash(self, error: Exception) -> None:
        """Count and log an exception that only an internal error raises."""
        self.context.counters.add("attempts_crashed")
        self.log_event("attempt_crashed", error=repr(error))
