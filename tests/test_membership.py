"""Exhaustive exploration of the lease state machine.

Covers calls in any order, lost calls and responses, paused processes, and expiring leases.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

import pytest

from stoatgw.membership.fencing import FencingGuard
from stoatgw.membership.lease_state import (
    LeaseCall,
    LeaseDenied,
    LeaseFound,
    LeaseGranted,
    LeaseOutcomeUnknown,
    LeaseResult,
    LeaseState,
)

LEASE_TTL = 2
SAFETY_MARGIN = 1
LAST_TIME = 3
MAX_TOKENS = 2
NO_LEASE = LeaseState(SAFETY_MARGIN)
NOTHING_WRITTEN = FencingGuard()


@dataclass(frozen=True)
class Process:
    state: LeaseState = NO_LEASE
    call: LeaseCall | None = None  # in flight to the engine
    response: LeaseResult | None = None  # in flight back to the process
    write_token: int = 0  # of a write that was allowed and not carried out yet: the process is paused in between


@dataclass(frozen=True)
class World:
    processes: tuple[Process, ...]
    now: int = 0
    holder: int = -1
    token: int = 0
    expires: int = 0
    guard: FencingGuard = NOTHING_WRITTEN
    last_written_token: int = 0


def with_process(world: World, index: int, process: Process) -> World:
    processes = list(world.processes)
    processes[index] = process
    return replace(world, processes=tuple(processes))


def normalize(world: World) -> World:
    """Return the representative of equivalent worlds: expired and unused values are zero, processes are sorted."""
    normalized = []
    for index, process in enumerate(world.processes):
        state = process.state
        valid_until_us = state.valid_until_us if state.valid_until_us > world.now else 0
        sent_us = state.sent_us if state.pending_call else 0
        is_holder = index == world.holder and world.expires > world.now
        state = replace(state, valid_until_us=valid_until_us, sent_us=sent_us)
        normalized.append((replace(process, state=state), is_holder))
    normalized.sort(key=repr)
    holder = next((index for index, (_, is_holder) in enumerate(normalized) if is_holder), -1)
    return replace(
        world,
        processes=tuple(process for process, _ in normalized),
        holder=holder,
        expires=world.expires if holder >= 0 else 0,
    )


def carry_out(world: World, index: int, call: LeaseCall) -> tuple[World, LeaseResult]:
    """Carry out a process's call at the engine."""
    is_held = world.now < world.expires
    is_holder = is_held and world.holder == index
    if call is LeaseCall.LOOKUP:
        return world, LeaseFound(world.token) if is_holder else LeaseDenied()
    if call is LeaseCall.ACQUIRE and not is_held:
        after = replace(world, holder=index, token=world.token + 1, expires=world.now + LEASE_TTL)
        return after, LeaseGranted(after.token, LEASE_TTL)
    if call is LeaseCall.RENEW and is_holder and world.processes[index].state.token == world.token:
        return replace(world, expires=world.now + LEASE_TTL), LeaseGranted(world.token, LEASE_TTL)
    return world, LeaseDenied()


def next_worlds(world: World, *, is_fenced: bool) -> Iterator[World]:
    """Yield all possible next worlds. A process without further transitions stands for one that crashed or hangs."""
    if world.now < LAST_TIME:
        yield replace(world, now=world.now + 1)
    for index in range(len(world.processes)):
        yield from next_calls(world, index)
        yield from next_writes(world, index, is_fenced=is_fenced)


def next_calls(world: World, index: int) -> Iterator[World]:
    process = world.processes[index]
    is_idle = process.call is None and process.response is None
    may_call = process.state.token or process.state.is_uncertain or world.token < MAX_TOKENS
    if is_idle and may_call:
        state, call = process.state.next_call(world.now)
        yield with_process(world, index, replace(process, state=state, call=call))
    if process.call is not None:
        after, result = carry_out(world, index, process.call)
        unanswered = replace(process, call=None, response=LeaseOutcomeUnknown())
        yield with_process(after, index, replace(process, call=None, response=result))
        yield with_process(after, index, unanswered)  # carried out; the response is lost
        yield with_process(world, index, unanswered)  # never received
    if process.response is not None:
        state = process.state.record_result(process.response)
        yield with_process(world, index, replace(process, state=state, response=None))


def next_writes(world: World, index: int, *, is_fenced: bool) -> Iterator[World]:
    process = world.processes[index]
    if process.write_token:
        guard, is_admitted = world.guard.admit(process.write_token) if is_fenced else (world.guard, True)
        last_written_token = process.write_token if is_admitted else world.last_written_token
        after = replace(world, guard=guard, last_written_token=last_written_token)
        yield with_process(after, index, replace(process, write_token=0))
    elif token := process.state.valid_token(world.now):
        yield with_process(world, index, replace(process, write_token=token))


def explore(count: int, *, is_fenced: bool = True) -> tuple[int, set[str]]:
    """Visit all reachable states up to the first violation; return the number of states, and the violations."""
    first = World((Process(),) * count)
    seen = {first}
    pending = [first]
    while pending:
        world = pending.pop()
        for after in map(normalize, next_worlds(world, is_fenced=is_fenced)):
            if sum(process.state.valid_token(after.now) > 0 for process in after.processes) > 1:
                return len(seen), {"two processes may write at the same time"}
            if after.last_written_token < world.last_written_token:
                return len(seen), {"a write with an old token took effect"}
            if after not in seen:
                seen.add(after)
                pending.append(after)
    return len(seen), set()


def test_two_processes_never_hold_a_lease_at_the_same_time() -> None:
    states, violations = explore(2)
    assert violations == set()
    assert states > 10_000


def test_no_two_of_three_processes_hold_a_lease_at_the_same_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.test_membership.LAST_TIME", 2)
    states, violations = explore(3)
    assert violations == set()
    assert states > 90_000


def test_without_fencing_an_old_holders_write_takes_effect() -> None:
    """Fencing is necessary: without it the exploration finds a write by a process whose lease has expired."""
    _, violations = explore(2, is_fenced=False)
    assert violations == {"a write with an old token took effect"}


def test_exploration_finds_a_lease_that_is_counted_from_the_response(monkeypatch: pytest.MonkeyPatch) -> None:
    """The exploration detects a holder that counts its lease from the response instead of from the call."""
    record_result = LeaseState.record_result

    def record_from_response(self: LeaseState, result: LeaseResult) -> LeaseState:
        state = record_result(self, result)
        if isinstance(result, LeaseGranted):
            return replace(state, valid_until_us=state.valid_until_us + 2)
        return state

    monkeypatch.setattr(LeaseState, "record_result", record_from_response)
    _, violations = explore(2)
    assert violations == {"two processes may write at the same time"}
