"""What a maintenance has done so far: a value, kept whole under one key of the engine. Pure.

One key, because one comparison then guards all of it: nobody writes without having seen the last write.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from stoatgw.atomic_file import frame, unframe

HEAD = b"stoatgw-maintenance 1 "  # its version; the checksum of the rest follows
BYTES_MOST = 1 << 20


class RolloutStateError(ValueError):
    """The bytes are no ledger of ours."""


class StepState(Enum):
    OUT = "out"
    DONE = "done"
    LATE = "late"  # its time ran out
    RELEASED = "released"  # the maintenance was aborted while it was out


class RolloutStep(msgspec.Struct, frozen=True, kw_only=True):
    """A machine's turn. Which times have passed is for each steward's own clock; `at_ms` is for people."""

    state: StepState
    token: int  # of the duty under which it began
    at_ms: int
    start_ms: int  # when the machine had started, as it was told at the beginning
    must: tuple[str, ...]  # proxies at the engine then, by identity
    told: bool = False  # all of them have it out
    empty: bool = False  # and none has anybody on it: it may be worked on


class RolloutState(msgspec.Struct, frozen=True, kw_only=True):
    plan: str  # fingerprint
    steps: dict[str, RolloutStep] = {}
    aborted: bool = False
    finished: bool = False

    def out(self) -> list[str]:
        return [name for name, step in self.steps.items() if step.state is StepState.OUT]

    def with_step(self, name: str, step: RolloutStep) -> RolloutState:
        return msgspec.structs.replace(self, steps=self.steps | {name: step})


def encode(ledger: RolloutState) -> bytes:
    body = msgspec.json.encode(ledger)
    return frame(HEAD, body)


def decode(data: bytes) -> RolloutState:
    """Raises LedgerError."""
    try:
        return msgspec.json.decode(unframe(HEAD, data, "is no ledger"), type=RolloutState)
    except ValueError as error:  # msgspec's own among them
        raise RolloutStateError(str(error)[:200]) from None
