"""The state of a rollout: one value under one key of the coordination engine. Pure.

With a single key one comparison guards the whole state: a write succeeds only if its writer has seen the last one. The
stored field names differ from the attributes and never change, since processes of two versions share one engine.
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
    """The bytes are not a rollout state."""


class StepState(Enum):
    """State of a machine's step; all but OUT_OF_SERVICE are final."""

    OUT_OF_SERVICE = "out"
    DONE = "done"
    LATE = "late"  # it timed out
    RELEASED = "released"  # the maintenance was aborted while the machine was out of service


class RolloutStep(msgspec.Struct, frozen=True, kw_only=True, rename=STORED_STEP_FIELDS):
    """One machine's step. Timeouts use each leader's monotonic clock; `started_at_ms` is for display only.

    Attributes:
        state: The step's state.
        token: The fencing token with which the step was started.
        started_at_ms: When the step started, in Unix time.
        machine_start_ms: When the machine's process had started, as listed at the step's start.
        expected_members: The members that had to confirm the step at its start, by identity.
        is_notified: Whether all members have taken the machine out of service.
        is_evacuated: Whether no member has connections to the machine, so that it may be worked on.
    """

    state: StepState
    token: int
    started_at_ms: int
    machine_start_ms: int
    expected_members: tuple[str, ...]
    is_notified: bool = False
    is_evacuated: bool = False


class RolloutState(msgspec.Struct, frozen=True, kw_only=True, rename=STORED_STATE_FIELDS):
    """The state of a rollout.

    Attributes:
        plan_fingerprint: The fingerprint of the rollout's plan.
        steps: All started steps by machine, in the order in which they were started.
        is_aborted: Whether the rollout was aborted: no further step starts, and steps in progress are released.
        is_finished: Whether all steps have ended.
    """

    plan_fingerprint: str
    steps: dict[str, RolloutStep] = {}
    is_aborted: bool = False
    is_finished: bool = False

    def machines_out_of_service(self) -> list[str]:
        """List the machines that are out of service now."""
        return [name for name, step in self.steps.items() if step.state is StepState.OUT_OF_SERVICE]

    def with_step(self, name: str, step: RolloutStep) -> RolloutState:
        """Return the state with one machine's step added or replaced."""
        return msgspec.structs.replace(self, steps=self.steps | {name: step})


def encode(state: RolloutState) -> bytes:
    """Encode a state for storage, with version and checksum."""
    return frame(HEAD, msgspec.json.encode(state))


def decode(data: bytes) -> RolloutState:
    """Decode a stored state.

    Raises:
        RolloutStateError: The data is damaged, or of another version.
    """
    try:
        return msgspec.json.decode(unframe(HEAD, data, "is no ledger"), type=RolloutState)
    except ValueError as error:  # includes msgspec's errors
        raise RolloutStateError(str(error)[:200]) from None
