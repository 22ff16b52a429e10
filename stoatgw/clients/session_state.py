"""The rules of one client session, without sockets, tasks or clocks.

Both `request_handler.py`, which serves clients on sockets, and the emulator's `Session` keep one `SessionState` and
ask it what is allowed now: whether the request may still be answered, whether an attempt may start, whether a
migration has to wait, and how an interrupted attempt is reported.

Not in here, because the two sides have nothing in common: the steps of an attempt (a task that waits on a socket
there, scheduled events here), the reset and the last line of a closing connection, and what is counted or logged.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stoatgw.controller.messages import AttemptEnd, AttemptStage
from stoatgw.decisions.interface import AttemptStatus


class EndReason(Enum):
    """Why a session ended."""

    ANSWERED = "answered"  # with BUSY or ERR, not with UP
    CLIENT_DISCONNECTED = "client_disconnected"
    PROTOCOL_VIOLATED = "protocol_violated"  # the client did not wait for UP
    SERVER_ENDED = "server_ended"
    MIGRATED = "migrated"


CLIENT_FAULT_REASONS = (EndReason.CLIENT_DISCONNECTED, EndReason.PROTOCOL_VIOLATED)
# A client that left, or was sent elsewhere, did so in an orderly way: lines on their way, either way, shall arrive.
ORDERLY_REASONS = (EndReason.CLIENT_DISCONNECTED, EndReason.MIGRATED)
ANSWER_REASONS = (EndReason.ANSWERED, EndReason.PROTOCOL_VIOLATED)


@dataclass(frozen=True, slots=True)
class SessionEnd:
    """How a session ends.

    Attributes:
        reason: Why it ended.
        last_line: What the client is sent before its connection is closed.
        was_reset: The peer that ended it did so with a reset, which is passed on to the other side.
        why: What brought it about, for the log.
    """

    reason: EndReason
    last_line: bytes = b""
    was_reset: bool = False
    why: str = ""

    @property
    def is_answer(self) -> bool:
        """Whether the last line answers the request, so that nothing of the client's can follow it."""
        return self.reason in ANSWER_REASONS


class SessionState:
    """What has happened to one client session so far, and what may happen next.

    `is_sending` and `is_aligned` are plain attributes, as the relay sets them for each piece of data.

    Attributes:
        end: How the session ended; None while it has not.
        is_established: UP is on its way to the client, or has arrived there: this is the request's one answer.
        is_sending: The client has still to take a part of what it is sent now.
        is_aligned: What it is sent ends with a complete line, and not in the middle of one over the limit.
        is_migrating: The session is to end as soon as `is_line_complete`.
        is_closed_to_client: Nothing more of the server's is sent: the last line is, or sending has failed.
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
        """Ends the session; returns False, and changes nothing, if it has ended before."""
        if self.end is not None:
            return False
        self.end = end
        return True

    # The one answer.

    def can_answer(self) -> bool:
        """Whether BUSY or ERR may be sent.

        Guards against a second answer: UP may be on its way while the controller finds the client's time to be up.
        """
        return not self.is_established and not self.has_ended

    def claim_outcome(self) -> bool:
        """Whether the request's outcome is to be counted now: once, and not for a client that left before it."""
        if self._is_outcome_claimed or self.has_ended:
            return False
        self._is_outcome_claimed = True
        return True

    # Attempts.

    def refuse_attempt(self) -> AttemptEnd | None:
        """How an attempt that is about to start ends at once; None if it may start.

        Guards against a client that left before the controller's turn: its request would run for nobody.
        """
        if not self.has_ended:
            return None
        return AttemptEnd(AttemptStatus.REVOKED, AttemptStage.CONNECTING, "its client has gone")

    def establish(self) -> None:
        """Records that UP goes out now. Callers check `refuse_establishment` first."""
        self.is_established = True

    def refuse_establishment(self) -> AttemptEnd | None:
        """How an attempt whose server has accepted it ends all the same; None if UP may be passed on.

        Guards against UP behind another answer, or for a client that has gone.
        """
        if not self.has_ended:
            return None
        return AttemptEnd(AttemptStatus.REVOKED, AttemptStage.ESTABLISHED, "its client was answered meanwhile")

    def interrupted_attempt(self, stage: AttemptStage) -> AttemptEnd:
        """How an attempt ends that the proxy gives up, not its server."""
        return AttemptEnd(self._interrupted_status, stage, "given up")

    def record_unresponsive_server(self) -> None:
        """The session's server answers nothing any more: an attempt given up from now on counts as dropped by it."""
        self._interrupted_status = AttemptStatus.DROPPED

    # Ends.

    @property
    def is_line_complete(self) -> bool:
        """Whether a last line such as MOVE may be sent to the client now."""
        return self.is_aligned and not self.is_sending

    @property
    def owes_last_line(self) -> bool:
        """Whether the session has ended, and its client is still to be sent a last line."""
        return self.end is not None and bool(self.end.last_line)

    def may_send_to_client(self) -> bool:
        """Whether what comes from the server now may still be sent to the client.

        Until MOVE is sent a client gets what its server had to say before, and one that has ended its side, which may
        still read, the replies to its last lines. Guards against anything behind a last line.
        """
        if self.is_closed_to_client:
            return False
        return self.end is None or (self.end.reason in ORDERLY_REASONS and not self.end.was_reset)

    def must_report_disconnect(self) -> bool:
        """Whether the controller has yet to learn that nobody waits for the request, or uses the session, any more.

        It knows by itself where it gave the answer, or asked for the migration, or learns of the attempt's end.
        """
        return self.end is None or self.end.reason in CLIENT_FAULT_REASONS
