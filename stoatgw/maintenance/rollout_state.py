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


STEP_FIELDS = {
    "started_at_ms": "at_ms",
    "machine_start_ms": "start_ms",
    "expected_members": "must",
    "is_notified": "told",
    "is_evacuated": "empty",
}
STATE_FIELDS = {"plan_fingerprint": "plan", "is_aborted": "aborted", "is_finished": "finished"}


class RolloutStep(msgspec.Struct, frozen=True, kw_only=True, rename=STEP_FIELDS):
    """A machine's turn. Which times have passed is for each steward's own clock; `at_ms` is for people."""

    state: StepState
    token: int  # of the duty under which it began
    started_at_ms: int
    machine_start_ms: int  # when the machine had started, as it was told at the beginning
    expected_members: tuple[str, ...]  # proxies at the engine then, by identity
    is_notified: bool = False  # all of them have it out
    is_evacuated: bool = False  # and none has anybody on it: it may be worked on


class RolloutState(msgspec.Struct, frozen=True, kw_only=True, rename=STATE_FIELDS):
    plan_fingerprint: str  # fingerprint
    steps: dict[str, RolloutStep] = {}
    is_aborted: bool = False
    is_finished: bool = False

    def machines_out(self) -> list[str]:
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
