"""One process's side of one lease: what to ask the engine next, and whether it may write now. Pure.

Times are microseconds of the process's own monotonic clock. A term counts from when the call that got it was sent: the
engine counts from later, so the holder's time always ends first, by the safety margin at least. A response that did not
come proves nothing: the call may have been carried out.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class LeaseCall(Enum):
    """A call to the engine."""

    ACQUIRE = "acquire"  # hold the key if nobody does
    RENEW = "renew"  # hold it for one more term, if it is still held under this token
    LOOKUP = "lookup"  # whether an acquire without response has won


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """ACQUIRE or RENEW was carried out: held under a token, for a term that began when the engine carried it out."""

    token: int
    lease_ttl_us: int


@dataclass(frozen=True, slots=True)
class LeaseFound:
    """LOOKUP has found the key held by this very process; for how much longer is not known."""

    token: int


@dataclass(frozen=True, slots=True)
class LeaseDenied:
    """Somebody else holds the key, or the lease has expired."""


@dataclass(frozen=True, slots=True)
class LeaseOutcomeUnknown:
    """No response came, or none that can be read."""


LeaseResult = LeaseGranted | LeaseFound | LeaseDenied | LeaseOutcomeUnknown


@dataclass(frozen=True, slots=True)
class LeaseState:
    """A value: each method returns the state that follows.

    Attributes:
        safety_margin_us: How much earlier than the engine it gives up; covers clock drift within a term.
        token: The fencing token of its tenure, or of the last one; 0: none.
        valid_until_us: It may write before this.
        pending_call: The call in flight; one at a time.
        sent_us: When that call was sent.
        is_uncertain: An acquire had no response.
    """

    safety_margin_us: int
    token: int = 0
    valid_until_us: int = 0
    pending_call: LeaseCall | None = None
    sent_us: int = 0
    is_uncertain: bool = False

    def next_call(self, now_us: int) -> tuple[LeaseState, LeaseCall]:
        """The next call, sent now. One still in flight is given up: its response must not be recorded any more."""
        if self.is_uncertain or self.pending_call is LeaseCall.ACQUIRE:
            call = LeaseCall.LOOKUP
        elif self.token:
            call = LeaseCall.RENEW
        else:
            call = LeaseCall.ACQUIRE
        state = replace(self, pending_call=call, sent_us=now_us, is_uncertain=call is LeaseCall.LOOKUP)
        return state, call

    def record_result(self, result: LeaseResult) -> LeaseState:
        """The call in flight has ended with a result."""
        call = self.pending_call
        ended = replace(self, pending_call=None)
        match result:
            case LeaseGranted(token, lease_ttl_us) if call is LeaseCall.ACQUIRE or token == self.token:
                valid_until_us = self.sent_us + lease_ttl_us - self.safety_margin_us
                return replace(ended, token=token, valid_until_us=valid_until_us, is_uncertain=False)
            case LeaseFound(token) if call is LeaseCall.LOOKUP:
                # Its term began at an unknown time: it must be renewed before the first write.
                return replace(ended, token=token, valid_until_us=0, is_uncertain=False)
            case LeaseOutcomeUnknown():
                return replace(ended, is_uncertain=self.is_uncertain or call is LeaseCall.ACQUIRE)
            case _:
                return replace(ended, token=0, valid_until_us=0, is_uncertain=False)

    def valid_token(self, now_us: int) -> int:
        """The token to write under now, or 0. To be asked right before each write, never remembered."""
        return self.token if now_us < self.valid_until_us else 0
