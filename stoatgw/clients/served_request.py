"""An accepted request, and what serves it."""

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
    """What an attempt works with, be it one that the controller asked for or the restoring of a session.

    Attributes:
        context: Shared by all sessions.
        request: The client's first line.
        request_state: The request as the controller knows it.
        closer: Ends the session, and knows its state.
        relay: Relays the session once it is established.
    """

    context: ProxyContext
    request: SessionRequest
    request_state: RequestState
    closer: SessionCloser
    relay: Relay

    def log_event(self, event: str, **fields: Any) -> None:
        """Logs an event of this request, with its id."""
        self.context.log.event(event, id=self.request.request_id, **fields)

    def create_attempt(self, backend: Backend, dial_timeout_us: int) -> Attempt:
        """Prepares an attempt at a server."""
        context = self.context
        grace_us = context.deployment.settings.drain_grace_us
        return Attempt(backend, context.clock, dial_timeout_us, grace_us, context.load_report_row, self._count_dispatch)

    def _count_dispatch(self) -> None:
        self.context.metrics.dispatches += 1

    def close_attempt(self, attempt: Attempt | None) -> None:
        """Ends the relaying to an attempt that is over, and has its connection closed; may be called again."""
        self.relay.detach()
        if attempt is not None:
            self.closer.close_attempt(attempt)

    def post_attempt_end(self, number: int, end: AttemptEnd) -> None:
        """Reports the end of an attempt to the controller."""
        self.context.controller.post(AttemptEnded(self.request_state, number, end))

    def finish_by_server(self, attempt: Attempt | None, end: AttemptEnd) -> None:
        """Ends the session because the attempt that it was established by is over."""
        was_reset = attempt is not None and attempt.was_reset
        self.closer.finish(SessionEnd(EndReason.SERVER_ENDED, was_reset=was_reset, why=end.reason))

    def record_crash(self, error: Exception) -> None:
        """Counts and logs an exception that nothing but a fault of the program raises."""
        self.context.counters.add("attempts_crashed")
        self.log_event("attempt_crashed", error=repr(error))
