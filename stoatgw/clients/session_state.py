"""The rules of one client session, without sockets, tasks or clocks.

Both `request_handler.py`, which serves clients on sockets, and the emulator's `Session` keep a `SessionState` and query
it for what is allowed: whether the request may still be answered, whether an attempt may start, whether a migration
has to wait, and how an interrupted attempt is reported.

Not included, because the two have nothing in common there: the steps of an attempt (a task that waits on a socket in
the proxy, scheduled events in the emulator), the reset and the last line of a closing connection, counters and logs.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stoatgw.controller.messages import AttemptEnd, AttemptStage
from stoatgw.decisions.interface import AttemptStatus


class EndReason(Enum):
    """Why a session ended."""

    ANSWERED = "answered"  # with BUSY or ERR
    CLIENT_DISCONNECTED = "client_disconnected"
    PROTOCOL_VIOLATED = "protocol_violated"  # the client sent data before UP
    SERVER_ENDED = "server_ended"
    MIGRATED = "migrated"


CLIENT_FAULT_REASONS = (EndReason.CLIENT_DISCONNECTED, EndReason.PROTOCOL_VIOLATED)
# A client that disconnected or was migrated: lines in flight, in both directions, still have to be delivered.
ORDERLY_REASONS = (EndReason.CLIENT_DISCONNECTED, EndReason.MIGRATED)
ANSWER_REASONS = (EndReason.ANSWERED, EndReason.PROTOCOL_VIOLATED)


@dataclass(frozen=True, slots=True)
class SessionEnd:
    """How a session ends.

    Attributes:
        reason: Why it ended.
        last_line: The line sent to the client before its connection is closed.
        was_reset: The peer ended the session with a reset, which is propagated to the other side.
        why: The cause, for the log.
    """

    reason: EndReason
    last_line: bytes = b""
    was_reset: bool = False
    why: str = ""

    @property
    def is_answer(self) -> bool:
        """Whether the last line answers the request, so that no data of the client can follow it."""
        return self.reason in ANSWER_REASONS


class SessionState:
    """The state of one client session, and the transitions that it allows.

    `is_sending` and `is_aligned` are plain attributes, as the relay sets them for each chunk of data.

    Attributes:
        end: How the session ended; None while it has not.
        is_established: UP is being sent to the client, or was sent: this is the request's one answer.
        is_sending: A send to the client is in progress.
        is_aligned: What was sent to the client ends with a complete line, and not in the middle of an overlong one.
        is_migrating: The session is to end as soon as `is_line_complete`.
        is_closed_to_client: No more server data is sent to the client: its last line was sent, or sending has failed.
    """

    __slots__ = (
        "_interrupted_status",
        "_is_outcome_claimed",
        "end",
        "is_aligned",
        "is_closed_to_client",
        "is_established",
        "is_migrating",
        "is_sending",
    )

    def __init__(self) -> None:
        self.end: SessionEnd | None = None
        self.is_established = False
        self.is_sending = False
        self.is_aligned = True
        self.is_migrating = False
        self.is_closed_to_client = False
        self._interrupted_status = AttemptStatus.REVOKED
        self._is_outcome_claimed = False

    @property
    def has_ended(self) -> bool:
        """Whether the session has ended."""
        return self.end is not None

    def finish(self, end: SessionEnd) -> bool:
        """End the session; return False, and change nothing, if it has already ended."""
        if self.end is not None:
            return False
        self.end = end
        return True

    # The answer.

    def can_answer(self) -> bool:
        """Return whether BUSY or ERR may be sent.

        Guards against a second answer: UP may be in flight when the controller finds the client's deadline passed.
        """
        return not self.is_established and not self.has_ended

    def claim_outcome(self) -> bool:
        """Return whether to count the request's outcome now: once, and not for a client that disconnected before it."""
        if self._is_outcome_claimed or self.has_ended:
            return False
        self._is_outcome_claimed = True
        return True

    # Attempts.

    def refuse_attempt(self) -> AttemptEnd | None:
        """Return the end of an attempt that must not start; None if it may start.

        Guards against running a request whose client disconnected before the controller started the attempt.
        """
        if not self.has_ended:
            return None
        return AttemptEnd(AttemptStatus.REVOKED, AttemptStage.CONNECTING, "the client has disconnected")

    def establish(self) -> None:
        """Record that UP is being sent now. Callers check `refuse_establishment` first."""
        self.is_established = True

    def refuse_establishment(self) -> AttemptEnd | None:
        """Return the end of an attempt that its server accepted after the session's end; None if UP may be forwarded.

        Guards against UP after another answer, or for a client that has disconnected.
        """
        if not self.has_ended:
            return None
        return AttemptEnd(AttemptStatus.REVOKED, AttemptStage.ESTABLISHED, "the session ended before UP was received")

    def interrupted_attempt(self, stage: AttemptStage) -> AttemptEnd:
        """Return the end of an attempt that the proxy abandons, as opposed to one that its server ends."""
        return AttemptEnd(self._interrupted_status, stage, "abandoned by the proxy")

    def record_unresponsive_server(self) -> None:
        """Record that the server no longer replies: an attempt abandoned from now on counts as dropped by it."""
        self._interrupted_status = AttemptStatus.DROPPED

    # Ends.

    @property
    def is_line_complete(self) -> bool:
        """Whether a last line such as MOVE may be sent to the client now."""
        return self.is_aligned and not self.is_sending

    @property
    def has_pending_last_line(self) -> bool:
        """Whether the session has ended, and its client is still to be sent a last line."""
        return self.end is not None and bool(self.end.last_line)

    def may_send_to_client(self) -> bool:
        """Return whether data received from the server now may still be sent to the client.

        Until MOVE is sent, a migrating client still gets the server's earlier lines; a client that has shut down
        sending may still read, and gets the replies to its last lines. Guards against data after a last line.
        """
        if self.is_closed_to_client:
            return False
        return self.end is None or (self.end.reason in ORDERLY_REASONS and not self.end.was_reset)

    def must_report_disconnect(self) -> bool:
        """Return whether the controller has to be notified that the client no longer waits for or uses the session.

        It already knows if it gave the answer or requested the migration, or if it is notified of the attempt's end.
        """
        return self.end is None or self.end.reason in CLIENT_FAULT_REASONS
