"""One instance's claim on one duty: what to ask the engine next, and whether it may act now. Pure.

Times are microseconds of the instance's own monotonic clock. A lease counts from when the call that got it was sent:
the engine counts from later, so the holder's time always ends first, by the guard at least. An answer that did not
come proves nothing: the call may have been carried out.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class Ask(Enum):
    """A call to the engine."""

    ACQUIRE = "acquire"  # take the duty if nobody holds it
    RENEW = "renew"  # hold it for one more term, if it is still held under this token
    LOOK = "look"  # whether an acquire that was not answered has won


@dataclass(frozen=True, slots=True)
class Held:
    """ACQUIRE or RENEW was carried out: held under a token, for a term from its carrying out."""

    token: int
    term_us: int


@dataclass(frozen=True, slots=True)
class Found:
    """LOOK has found the duty held by this very instance; for how much longer is not known."""

    token: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Somebody else holds it, or the token's time is over."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """No answer came, or none that can be read."""


Answer = Held | Found | Refused | Unknown


@dataclass(frozen=True, slots=True)
class Claim:
    """A value: each step gives the claim after it."""

    guard_us: int  # how much earlier than the engine it gives up; covers clocks that run apart within a term
    token: int = 0  # of the tenure it has, or had last; 0: none
    until_us: int = 0  # it may act before this
    asked: Ask | None = None  # the call that is out; one at a time
    sent_us: int = 0
    unsure: bool = False  # an acquire was not answered

    def ask(self, now_us: int) -> tuple[Claim, Ask]:
        """The next call, sent now. One that was out is given up: its answer must not be handed in any more."""
        due = Ask.LOOK if self.unsure or self.asked is Ask.ACQUIRE else Ask.RENEW if self.token else Ask.ACQUIRE
        return replace(self, asked=due, sent_us=now_us, unsure=due is Ask.LOOK), due

    def answered(self, answer: Answer) -> Claim:
        """The call that is out has ended so."""
        asked, done = self.asked, replace(self, asked=None)
        match answer:
            case Held(token, term_us) if asked is Ask.ACQUIRE or token == self.token:
                return replace(done, token=token, until_us=self.sent_us + term_us - self.guard_us, unsure=False)
            case Found(token) if asked is Ask.LOOK:
                # Its term began at an unknown time: it must be renewed before it may act.
                return replace(done, token=token, until_us=0, unsure=False)
            case Unknown():
                return replace(done, unsure=self.unsure or asked is Ask.ACQUIRE)
            case _:
                return replace(done, token=0, until_us=0, unsure=False)

    def acts(self, now_us: int) -> int:
        """The token to act under now, or 0. To be asked right before each act, never remembered."""
        return self.token if now_us < self.until_us else 0
