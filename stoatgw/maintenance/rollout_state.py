"""What a maintenance has done so far: one value under one key of the engine. Pure.

One key, because one comparison then guards all of it: nobody writes without having seen the last write. The stored
field names differ from the code's and never change: processes of two versions meet at one engine.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from stoatgw.atomic_file import frame, unframe

HEAD = b"stoatgw-maintenance 1 "  # the format's version; the checksum of the rest follows
MAX_STATE_BYTES = 1 << 20

STORED_STEP_FIELDS = {
    "started_at_ms": "at_ms",
    "machine_start_ms": "start_ms",
    "expected_members": "must",
    "is_notified": "told",
    "is_evacuated": "empty",
}
STORED_STATE_FIELDS = {"plan_fingerprint": "plan", "is_aborted": "aborted", "is_finished": "finished"}


class RolloutStateError(ValueError):
    """The bytes are no rollout state."""


class StepState(Enum):
    """Where a machine's step has got to; all but OUT_OF_SERVICE are final."""

    OUT_OF_SERVICE = "out"
    DONE = "done"
    LATE = "late"  # it timed out
    RELEASED = "released"  # the maintenance was aborted while the machine was out


class RolloutStep(msgspec.Struct, frozen=True, kw_only=True, rename=STORED_STEP_FIELDS):
    """One machine's step. Timeouts are measured by each leader's own clock; `started_at_ms` is for people.

    Attributes:
        state: Where it has got to.
        token: The fencing token under which it began.
        started_at_ms: When it began, in Unix time.
        machine_start_ms: When the machine's process had started, as it was listed then.
        expected_members: The proxies that the step concerned when it began, by identity.
        is_notified: All proxies have taken the machine out.
        is_evacuated: None of them has connections to it: it may be worked on.
    """

    state: StepState
    token: int
    started_at_ms: int
    machine_start_ms: int
    expected_members: tuple[str, ...]
    is_notified: bool = False
    is_evacuated: bool = False


class RolloutState(msgspec.Struct, frozen=True, kw_only=True, rename=STORED_STATE_FIELDS):
    """All steps so far, by machine, in the order in which they began."""

    plan_fingerprint: str
    steps: dict[str, RolloutStep] = {}
    is_aborted: bool = False
    is_finished: bool = False

    def machines_out_of_service(self) -> list[str]:
        """The machines that are out now."""
        return [name for name, step in self.steps.items() if step.state is StepState.OUT_OF_SERVICE]

    def with_step(self, name: str, step: RolloutStep) -> RolloutState:
        """The state with one machine's step added or replaced."""
        return msgspec.structs.replace(self, steps=self.steps | {name: step})


def encode(state: RolloutState) -> bytes:
    """The state as it is stored, with version and checksum."""
    return frame(HEAD, msgspec.json.encode(state))


def decode(data: bytes) -> RolloutState:
    """A stored state. Raises RolloutStateError."""
    try:
        return msgspec.json.decode(unframe(HEAD, data, "is no ledger"), type=RolloutState)
    except ValueError as error:  # msgspec's own among them
        raise RolloutStateError(str(error)[:200]) from None
