"""State machine of one process and one lease: the next call to the engine, and whether the process may write. Pure.

Times are microseconds of the process's monotonic clock. The holder counts a lease's time to live from when it sent the
call, the engine from when it received the call, which is later; so validity at the holder ends before the lease does,
by the safety margin at least. A missing response proves nothing: the engine may have carried the call out.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class LeaseCall(Enum):
    """A call to the engine."""

    ACQUIRE = "acquire"  # create the key if no process holds it
    RENEW = "renew"  # extend the lease, if the key is still held with this token
    LOOKUP = "lookup"  # find out whether an acquire without response has succeeded


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """ACQUIRE or RENEW succeeded: the lease's time to live started when the engine carried the call out."""

    token: int
    lease_ttl_us: int


@dataclass(frozen=True, slots=True)
class LeaseFound:
    """LOOKUP found the key held by this process; the lease's remaining time is not known."""

    token: int


@dataclass(frozen=True, slots=True)
class LeaseDenied:
    """Another process holds the key, or the lease has expired."""


@dataclass(frozen=True, slots=True)
class LeaseOutcomeUnknown:
    """No response was received, or a malformed one."""


LeaseResult = LeaseGranted | LeaseFound | LeaseDenied | LeaseOutcomeUnknown


@dataclass(frozen=True, slots=True)
class LeaseState:
    """An immutable state: methods return the next state.

    Attributes:
        safety_margin_us: How much earlier than at the engine validity ends; covers clock drift during a lease.
        token: The fencing token of the lease held now, or of the last one; 0: none.
        valid_until_us: The process may write before this time.
        pending_call: The call in flight; at most one.
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
        """Return the next call, sent now. A call still in flight is abandoned: its response must not be recorded."""
        if self.is_uncertain or self.pending_call is LeaseCall.ACQUIRE:
            call = LeaseCall.LOOKUP
        elif self.token:
            call = LeaseCall.RENEW
        else:
            call = LeaseCall.ACQUIRE
        state = replace(self, pending_call=call, sent_us=now_us, is_uncertain=call is LeaseCall.LOOKUP)
        return state, call

    def record_result(self, result: LeaseResult) -> LeaseState:
        """Return the state after the result of the call in flight."""
        call = self.pending_call
        ended = replace(self, pending_call=None)
        match result:
            case LeaseGranted(token, lease_ttl_us) if call is LeaseCall.ACQUIRE or token == self.token:
                valid_until_us = self.sent_us + lease_ttl_us - self.safety_margin_us
                return replace(ended, token=token, valid_until_us=valid_until_us, is_uncertain=False)
            case LeaseFound(token) if call is LeaseCall.LOOKUP:
                # The lease's time to live began at an unknown time: it must be renewed before the first write.
                return replace(ended, token=token, valid_until_us=0, is_uncertain=False)
            case LeaseOutcomeUnknown():
                return replace(ended, is_uncertain=self.is_uncertain or call is LeaseCall.ACQUIRE)
            case _:
                return replace(ended, token=0, valid_until_us=0, is_uncertain=False)

    def valid_token(self, now_us: int) -> int:
        """Return the token to write with now, or 0. Must be called right before each write, and not be cached."""
        return self.token if now_us < self.valid_until_us else 0
