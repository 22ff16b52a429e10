"""The one task that owns the decisions. All else reaches them through its inbox.

It does for the module what the simulator does there: numbers attempts, clips cut times to the client's
time, tells which outcome is final, and hands the actions on.
"""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import (
    Action,
    Begun,
    Cancel,
    ClientGone,
    CloseIdle,
    Event,
    Existing,
    Fail,
    FetchList,
    Idempotency,
    KeyScope,
    ListUpdate,
    Log,
    Move,
    Note,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    Send,
    SetTimer,
    Settings,
    Status,
    TimerDue,
)
from stoatgw.owner.clock import Clock
from stoatgw.owner.messages import (
    Activate,
    Arrived,
    AttemptEnd,
    AttemptEnded,
    AttemptUp,
    ClientLeft,
    Drain,
    Due,
    Fleet,
    Heard,
    Listed,
    Message,
    Mover,
    Overdue,
    Probed,
    Rebalance,
    Req,
    SendAway,
    Stood,
    Unserved,
    Vacate,
)
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

REPEAT_GUARD_US = 20_000  # a repeat's line leaves so long before its window ends, at the latest
GOLDEN = 0.6180339887  # steps of this part of a span, over and over, never fall close together


class Module(Protocol):
    """Whatever decides: the `Balancer`, or a policy that experiments set beside it."""

    def start(self, now_us: int) -> list[Action]: ...

    def handle(self, event: Event, now_us: int) -> list[Action]: ...


class Owner:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        make: Callable[[Settings, int], Module] = Balancer,
        mover: Mover | None = None,
    ) -> None:
        self._settings, self._seed, self._clock, self._make = settings, seed, clock, make
        self._log, self._counters, self._mover = log, counters, mover
        self._inbox: deque[Message] = deque()
        self._wake = asyncio.Event()
        self._reqs: dict[str, Req] = {}
        self._balancer = make(settings, seed)
        self._lists: dict[str, ListUpdate] = {}
        self._draining, self._newcomers_until_us = False, 0
        self._serve_until_us, self._over_us, self._late = 0, 0, 0
        self._moves: list[asyncio.TimerHandle] = []  # of a drain, not due yet
        self._vacating: dict[str, list[asyncio.TimerHandle]] = {}  # servers out by hand: moves off them
        self._fleet: Fleet | None = None
        self._now_us = 0

    @property
    def open(self) -> int:
        """How many reqs are known: none may be left behind."""
        return len(self._reqs)

    def avoided(self) -> list[str]:
        """The listed servers that the decisions avoid now, read without a turn of the inbox."""
        balancer = self._balancer
        return balancer.avoided(self._clock.now_us()) if isinstance(balancer, Balancer) else []

    def put(self, message: Message) -> None:
        self._inbox.append(message)
        self._wake.set()

    def start(self, fleet: Fleet) -> None:
        self._fleet, self._now_us = fleet, self._clock.now_us()
        self._perform(self._balancer.start(self._now_us))
        if self._mover is not None:
            asyncio.get_running_loop().call_later(self._mover.step_us / 1e6, self.put, Rebalance())

    async def run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            # Everything queued is one turn at one time, as a batch is in the simulator.
            self._now_us = self._clock.now_us()
            for _ in range(len(self._inbox)):
                message = self._inbox.popleft()
                try:
                    self._take(message)
                except Exception as error:
                    try:
                        self._recover(error)
                    except Exception as second:  # the fault is in the start too: the inbox goes on
                        self._log.event("recovery_failed", error=repr(second))

    def _take(self, message: Message) -> None:
        match message:
            case Arrived(req):
                self._arrived(req)
            case Stood(req, server):
                self._reqs[req.asked.request] = req
                req.up = req.answered = True
                req.attempts, req.out, req.server, req.sent_us = 1, 0, server, self._now_us
                self._tell(Existing(req.asked, server))
                self._move_late(req)
            case AttemptUp(req, attempt):
                if req.out == attempt:
                    req.up = True
                    req.settle()
                    self._tell(Begun(req.asked.request, attempt, req.server, self._now_us - req.sent_us))
                    self._move_late(req)
            case AttemptEnded(req, attempt, end):
                self._ended(req, attempt, end)
            case ClientLeft(req):
                req.settle()
                if req.asked.request in self._reqs:
                    self._tell(ClientGone(req.asked.request))
                    self._forget(req)
            case Heard(req, kind, value):
                if req.up and req.out is not None:
                    self._tell(Note(req.asked.request, req.out, req.server, kind, value))
            case Listed(update):
                self._tell(update)
            case Probed(server, status, spent_us, report):
                self._tell(ProbeResult(server, status, spent_us, report))
            case Due(token, at_us):
                if self._now_us < at_us:  # the loop's timers count whole milliseconds
                    self._timer(token, at_us)
                else:
                    self._tell(TimerDue(token))
            case Overdue(req):
                if not req.answered:
                    self._counters.add("answers_overdue")
                    self._tell(ClientGone(req.asked.request))
                    self._end_waiting(req)
            case Drain():
                self._drain(message)
            case SendAway(req):
                if req.up and req.out is not None:
                    self._send_away(req)
            case Unserved():
                self._answer_waiting()
            case Vacate(server, out, over_us):
                self._vacate(server, out, over_us)
            case Activate():
                self._activate()
            case Rebalance():
                self._rebalance()

    def holds(self, server: str) -> int:
        """Connections of this proxy there, standing or under way."""
        return sum(req.server == server and (req.up or req.out is not None) for req in self._reqs.values())

    def _rebalance(self) -> None:
        """One step of the mover; a fault of its own ends this step and nothing else."""
        if self._mover is None or self._draining:
            return
        asyncio.get_running_loop().call_later(self._mover.step_us / 1e6, self.put, Rebalance())
        if isinstance(self._balancer, Balancer):
            for request in self._mover.plan(self._balancer.beliefs(self._now_us), self._now_us):
                self._counters.add("moves_planned")
                self._perform(self._balancer.move(request))

    def _tell(self, event: Event) -> None:
        self._perform(self._balancer.handle(event, self._now_us))

    def _arrived(self, req: Req) -> None:
        request = req.asked.request
        if self._draining and self._now_us >= self._serve_until_us:
            self._refuse(req, self._elsewhere_us())
            return
        self._reqs[request] = req
        left_s = max(0.0, (req.deadline_us - self._now_us) / 1e6)
        req.overdue = asyncio.get_running_loop().call_later(left_s, self.put, Overdue(req))
        self._tell(req.asked)

    def _ended(self, req: Req, attempt: int, end: AttemptEnd) -> None:
        if req.out != attempt:
            return
        req.out = None
        if req.ran_us is None and not end.status.never_ran:
            req.ran_us = req.sent_us
        self._counters.add(f"fetches_{end.status.value}")
        final = req.answered or req.up
        spent_us = self._now_us - req.sent_us
        outcome = Outcome(req.asked.request, attempt, req.server, end.status, spent_us, final, end.report)
        if final:
            req.answered = True
            self._forget(req)
        self._tell(outcome)
        if req.orphan and not req.answered:
            self._fail(req)

    def _forget(self, req: Req) -> None:
        """A record goes once no answer is owed and no attempt is out."""
        if req.answered and req.out is None:
            self._reqs.pop(req.asked.request, None)

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(request, server, cut_at_us):
                    self._send(request, server, cut_at_us)
                case Cancel(request, attempt):
                    req = self._reqs.get(request)
                    if req is not None and req.out == attempt and not req.up:
                        req.door.cancel(attempt)
                case Refuse(request, retry_after_us):
                    req = self._reqs.get(request)
                    if req is not None and not req.answered:
                        self._refuse(req, retry_after_us)
                case Fail(request):
                    req = self._reqs.get(request)
                    if req is not None and not req.answered:
                        self._fail(req)
                case Move(request):
                    req = self._reqs.get(request)
                    if req is not None and req.up:
                        self._counters.add("moves")
                        req.door.move()
                case SetTimer(at_us, token):
                    self._timer(token, at_us)
                case Probe(server):
                    if self._fleet is not None:
                        self._fleet.probe(server)
                case CloseIdle(server):
                    if self._fleet is not None:
                        self._fleet.close_idle(server)
                case FetchList():
                    if self._fleet is not None:
                        self._fleet.fetch_list()
                case Log(message):
                    self._log.event("decision", text=message)
                case _:  # Subscribe: the watch always stands; Tell: proxies share nothing
                    pass

    def _timer(self, token: int, at_us: int) -> None:
        delay = max(0.0, (at_us - self._clock.now_us()) / 1e6)
        asyncio.get_running_loop().call_later(delay, self.put, Due(token, at_us))

    def _send(self, request: str, server: str, cut_at_us: int) -> None:
        req = self._reqs.get(request)
        if req is None:
            return
        attempt = req.attempts
        cut_at_us = min(cut_at_us or req.deadline_us, req.deadline_us)
        if req.answered or req.out is not None or attempt >= self._settings.max_attempts:
            # Never two at once, and none for a req that has its answer.
            self._tell(Outcome(request, attempt, server, Status.UNUSED, 0, req.answered))
            return
        req.attempts, req.out, req.server, req.sent_us = attempt + 1, attempt, server, self._now_us
        self._counters.add("fetches")
        profile = self._settings.profiles[req.asked.profile]
        if req.ran_us is not None and profile.idempotency is Idempotency.DEDUP:
            req.repeat_by_us = max(1, req.ran_us + profile.key_ttl_us - REPEAT_GUARD_US)
        req.door.begin(attempt, server, cut_at_us)

    def _refuse(self, req: Req, retry_after_us: int) -> None:
        req.settle()
        self._counters.add("answers_busy")
        req.door.refuse(retry_after_us)
        self._forget(req)

    def _fail(self, req: Req) -> None:
        req.settle()
        self._counters.add("answers_failed")
        req.door.fail()
        self._forget(req)

    def _elsewhere_us(self) -> int:
        """Advice to come again once newcomers are led to other proxies: sooner would mean this one again."""
        left_us = min(self._newcomers_until_us - self._now_us, self._settings.max_retry_after_us)
        return max(0, left_us) if self._settings.can_advise_retry_after else 0

    def _drain(self, drain: Drain) -> None:
        """Asked to send all away: those who wait are answered now, or served where there is time; those who
        stand are moved one by one, but not before newcomers stop coming here: a client moved earlier would
        come back and be refused."""
        self._cancel_moves()
        self._draining, self._late, self._over_us = True, 0, drain.over_us
        self._newcomers_until_us = self._now_us + drain.newcomers_us
        self._serve_until_us = self._now_us + drain.serve_us if drain.serve_us else 0
        standing = [req for req in self._reqs.values() if req.up]
        loop = asyncio.get_running_loop()
        if drain.serve_us:
            self._moves.append(loop.call_later(drain.serve_us / 1e6, self.put, Unserved()))
        else:
            self._answer_waiting()
        for place, req in enumerate(standing):
            # Ever faster: who is moved late is served the longer, and a peer that restarted just before is back.
            after_us = drain.newcomers_us + drain.over_us * (place / len(standing)) ** 0.5
            self._moves.append(loop.call_later(after_us / 1e6, self.put, SendAway(req)))

    def _answer_waiting(self) -> None:
        for req in [req for req in self._reqs.values() if not req.answered]:
            self._end_waiting(req)
            if req.out is None:
                self._tell(ClientGone(req.asked.request))  # it may wait for probes

    def _end_waiting(self, req: Req) -> None:
        """Without an answer of a backend: a refusal where a repeat is known to be harmless, else a failure."""
        profile = self._settings.profiles[req.asked.profile]
        dedup = profile.idempotency is Idempotency.DEDUP and profile.key_scope is KeyScope.ALL
        never_ran = req.ran_us is None and req.out is None
        if never_ran or (self._draining and (dedup or profile.idempotency is Idempotency.RETRYABLE)):
            self._refuse(req, self._elsewhere_us())
        else:
            self._fail(req)

    def _vacate(self, server: str, out: bool, over_us: int) -> None:
        """Nobody waits for its restart to be cut off: the list does not tell it to send its clients away."""
        for handle in self._vacating.pop(server, []):
            handle.cancel()
        if not out:
            return
        standing = [req for req in self._reqs.values() if req.up and req.server == server]
        loop, moves = asyncio.get_running_loop(), self._vacating.setdefault(server, [])
        for place, req in enumerate(standing):
            moves.append(loop.call_later(over_us / 1e6 * place / len(standing), self.put, SendAway(req)))

    def _move_late(self, req: Req) -> None:
        """One that came up in a drain leaves among the others, by even steps that never fall together."""
        if not self._draining:
            if req.server in self._vacating:  # it was under way there when the server was taken out
                self._send_away(req)
            return
        self._late += 1
        left_us = self._newcomers_until_us + self._over_us * (self._late * GOLDEN % 1.0) - self._now_us
        if self._serve_until_us and left_us > 0:
            self._moves.append(asyncio.get_running_loop().call_later(left_us / 1e6, self.put, SendAway(req)))
        else:
            self._send_away(req)

    def _send_away(self, req: Req) -> None:
        """Guards against a module that takes its own proxy's drain for one of the servers: they would all be
        left out for seconds after the drain is called back."""
        if isinstance(self._balancer, Balancer):
            self._balancer.move(req.asked.request)
        req.door.move()

    def _activate(self) -> None:
        self._cancel_moves()
        self._draining = False

    def _cancel_moves(self) -> None:
        for handle in self._moves:
            handle.cancel()
        self._moves.clear()

    def _recover(self, error: Exception) -> None:
        """A fault of the decisions: answer whoever waits without an attempt, begin again with what stands."""
        self._counters.add("decision_faults")
        self._log.event("decision_fault", error=repr(error), trace=traceback.format_exc(limit=4))
        self._seed += 1
        self._balancer = self._make(self._settings, self._seed)
        for req in [req for req in self._reqs.values() if not req.answered]:
            req.orphan = True
            if req.out is None:
                self._fail(req)
        if self._fleet is not None:
            self._perform(self._balancer.start(self._now_us))
            self._fleet.fetch_list()
        for req in self._reqs.values():
            if req.up and req.out is not None:
                self._perform(self._balancer.handle(Existing(req.asked, req.server), self._now_us))
