"""One instance's claim on one duty: what to ask the engine next, and whether it may act now. Pure.

Times are microseconds of the instance's own monotonic clock. A lease counts from when the call that got it was sent:
the engine counts from later, so the holder's time always ends first, by the guard at least. An answer that did not
come proves nothing: the call may have been carried out.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class LeaseCall(Enum):
    """A call to the engine."""

    ACQUIRE = "acquire"  # take the duty if nobody holds it
    RENEW = "renew"  # hold it for one more term, if it is still held under this token
    LOOKUP = "look"  # whether an acquire that was not answered has won


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """ACQUIRE or RENEW was carried out: held under a token, for a term from its carrying out."""

    token: int
    term_us: int


@dataclass(frozen=True, slots=True)
class LeaseFound:
    """LOOK has found the duty held by this very instance; for how much longer is not known."""

    token: int


@dataclass(frozen=True, slots=True)
class LeaseDenied:
    """Somebody else holds it, or the token's time is over."""


@dataclass(frozen=True, slots=True)
class LeaseOutcomeUnknown:
    """No answer came, or none that can be read."""


LeaseResult = LeaseGranted | LeaseFound | LeaseDenied | LeaseOutcomeUnknown


@dataclass(frozen=True, slots=True)
class LeaseState:
    """A value: each step gives the claim after it."""

    guard_us: int  # how much earlier than the engine it gives up; covers clocks that run apart within a term
    token: int = 0  # of the tenure it has, or had last; 0: none
    valid_until_us: int = 0  # it may act before this
    pending_call: LeaseCall | None = None  # the call that is out; one at a time
    sent_us: int = 0
    is_uncertain: bool = False  # an acquire was not answered

    def next_call(self, now_us: int) -> tuple[LeaseState, LeaseCall]:
        """The next call, sent now. One that was out is given up: its answer must not be handed in any more."""
        due = (
            LeaseCall.LOOKUP
            if self.is_uncertain or self.pending_call is LeaseCall.ACQUIRE
            else LeaseCall.RENEW
            if self.token
            else LeaseCall.ACQUIRE
        )
        return replace(self, pending_call=due, sent_us=now_us, is_uncertain=due is LeaseCall.LOOKUP), due

    def record_result(self, answer: LeaseResult) -> LeaseState:
        """The call that is out has ended so."""
        asked, done = self.pending_call, replace(self, pending_call=None)
        match answer:
            case LeaseGranted(token, term_us) if asked is LeaseCall.ACQUIRE or token == self.token:
                return replace(
                    done, token=token, valid_until_us=self.sent_us + term_us - self.guard_us, is_uncertain=False
                )
            case LeaseFound(token) if asked is LeaseCall.LOOKUP:
                # Its term began at an unknown time: it must be renewed before it may act.
                return replace(done, token=token, valid_until_us=0, is_uncertain=False)
            case LeaseOutcomeUnknown():
                return replace(done, is_uncertain=self.is_uncertain or asked is LeaseCall.ACQUIRE)
            case _:
                return replace(done, token=0, valid_until_us=0, is_uncertain=False)

    def valid_token(self, now_us: int) -> int:
        """The token to act under now, or 0. To be asked right before each act, never remembered."""
        return self.token if now_us < self.valid_until_us else 0
