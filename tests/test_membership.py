"""The lease core explored: calls in any order, lost calls and answers, instances that stop, and expiry."""

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

TERM, GUARD, LAST, TOKENS = 2, 1, 3, 2
NEW, OPEN = LeaseState(GUARD), FencingGuard()


@dataclass(frozen=True)
class Instance:
    claim: LeaseState = NEW
    to: LeaseCall | None = None  # a call on its way to the engine
    back: LeaseResult | None = None  # an answer on its way
    act: int = 0  # an act that was allowed and is not carried out yet: frozen in between


@dataclass(frozen=True)
class World:
    instances: tuple[Instance, ...]
    now: int = 0
    holder: int = -1
    token: int = 0
    expires: int = 0
    fence: FencingGuard = OPEN
    last: int = 0  # token of the newest act that took effect


def put(world: World, index: int, instance: Instance) -> World:
    each = list(world.instances)
    each[index] = instance
    return replace(world, instances=tuple(each))


def plain(world: World) -> World:
    """One of the worlds from which the same can follow: what is over or unused is zero, and names do not matter."""
    each = []
    for index, one in enumerate(world.instances):
        until = one.claim.valid_until_us if one.claim.valid_until_us > world.now else 0
        sent = one.claim.sent_us if one.claim.pending_call else 0
        mine = index == world.holder and world.expires > world.now
        each.append((replace(one, claim=replace(one.claim, valid_until_us=until, sent_us=sent)), mine))
    each.sort(key=repr)
    holder = next((index for index, (_, mine) in enumerate(each) if mine), -1)
    return replace(world, instances=tuple(one for one, _ in each), holder=holder, expires=world.expires * (holder >= 0))


def engine(world: World, index: int, call: LeaseCall) -> tuple[World, LeaseResult]:
    held = world.now < world.expires
    mine = held and world.holder == index
    if call is LeaseCall.LOOKUP:
        return world, LeaseFound(world.token) if mine else LeaseDenied()
    if call is LeaseCall.ACQUIRE and not held:
        after = replace(world, holder=index, token=world.token + 1, expires=world.now + TERM)
        return after, LeaseGranted(after.token, TERM)
    if call is LeaseCall.RENEW and mine and world.instances[index].claim.token == world.token:
        return replace(world, expires=world.now + TERM), LeaseGranted(world.token, TERM)
    return world, LeaseDenied()


def steps(world: World, fenced: bool) -> Iterator[World]:
    """All that may happen next. An instance that does nothing more is one that has crashed, or hangs."""
    if world.now < LAST:
        yield replace(world, now=world.now + 1)
    for index, one in enumerate(world.instances):
        if one.to is None and one.back is None and (one.claim.token or one.claim.is_uncertain or world.token < TOKENS):
            claim, call = one.claim.next_call(world.now)
            yield put(world, index, replace(one, claim=claim, to=call))
        if one.to is not None:
            after, answer = engine(world, index, one.to)
            yield put(after, index, replace(one, to=None, back=answer))
            yield put(
                after, index, replace(one, to=None, back=LeaseOutcomeUnknown())
            )  # carried out; the answer is lost
            yield put(world, index, replace(one, to=None, back=LeaseOutcomeUnknown()))  # never came
        if one.back is not None:
            yield put(world, index, replace(one, claim=one.claim.record_result(one.back), back=None))
        if one.act:
            fence, taken = world.fence.admit(one.act) if fenced else (world.fence, True)
            yield put(replace(world, fence=fence, last=one.act if taken else world.last), index, replace(one, act=0))
        elif token := one.claim.valid_token(world.now):
            yield put(world, index, replace(one, act=token))


def explore(count: int, fenced: bool = True) -> tuple[int, set[str]]:
    """States visited, and what was broken in any. Stops at the first fault."""
    begin = World((Instance(),) * count)
    seen, todo = {begin}, [begin]
    while todo:
        world = todo.pop()
        for after in map(plain, steps(world, fenced)):
            if sum(one.claim.valid_token(after.now) > 0 for one in after.instances) > 1:
                return len(seen), {"two may act at once"}
            if after.last < world.last:
                return len(seen), {"an act of an old token took effect"}
            if after not in seen:
                seen.add(after)
                todo.append(after)
    return len(seen), set()


def test_no_two_hold_a_duty_at_once_in_any_order_of_events() -> None:
    states, broken = explore(2)
    assert broken == set()
    assert states > 10_000


def test_nor_of_three(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.test_membership.LAST", 2)
    states, broken = explore(3)
    assert broken == set()
    assert states > 90_000


def test_without_the_fence_an_old_holders_act_takes_effect() -> None:
    assert explore(2, fenced=False)[1] == {"an act of an old token took effect"}


def test_a_term_that_counts_from_the_answer_is_found_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """The fault that the exploration is there for: the holder's time begins when the answer comes."""
    answered = LeaseState.record_result

    def late(self: LeaseState, answer: LeaseResult) -> LeaseState:
        claim = answered(self, answer)
        return replace(claim, valid_until_us=claim.valid_until_us + 2) if isinstance(answer, LeaseGranted) else claim

    monkeypatch.setattr(LeaseState, "record_result", late)
    assert explore(2)[1] == {"two may act at once"}
