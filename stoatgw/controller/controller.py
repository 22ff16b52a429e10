"""The one task that owns the decisions. All else reaches them through its inbox.

It does for the module what the simulator does there: numbers attempts, clips cut times to the client's
time, tells which outcome is final, and hands the actions on.
"""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Iterable

from stoatgw.clock import Clock
from stoatgw.controller.actions import BackendGateway
from stoatgw.controller.messages import (
    AttemptEnd,
    AttemptEnded,
    AttemptEstablished,
    BeginDrain,
    CancelDrain,
    ClientDisconnected,
    DrainAdmissionEnded,
    EndpointsUpdated,
    EvacuateServer,
    HealthCheckCompleted,
    Message,
    MigrateSession,
    RebalanceDue,
    RequestReceived,
    RequestState,
    RequestTimedOut,
    SessionMetricObserved,
    SessionRestored,
    TimerFired,
)
from stoatgw.controller.migrations import MigrationPlanner
from stoatgw.controller.policy import MakePolicy
from stoatgw.decisions import interface
from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import (
    Action,
    AttemptOutcome,
    AttemptStatus,
    Cancel,
    CheckHealth,
    CloseIdle,
    Event,
    Fail,
    FetchEndpoints,
    HealthCheckResult,
    Idempotency,
    KeyScope,
    Log,
    Migrate,
    Reject,
    Send,
    SessionMetric,
    SetTimer,
    Settings,
    TimerExpired,
)
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

REPEAT_GUARD_US = 20_000  # a repeat's line leaves so long before its window ends, at the latest
GOLDEN = 0.6180339887  # steps of this part of a span, over and over, never fall close together


class Controller:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        make_policy: MakePolicy = Balancer,
    ) -> None:
        self._settings, self._seed, self._clock, self._make = settings, seed, clock, make_policy
        self._log, self._counters = log, counters
        self._mover: MigrationPlanner | None = None
        self._inbox: deque[Message] = deque()
        self._wake = asyncio.Event()
        self._reqs: dict[str, RequestState] = {}
        self._balancer = make_policy(settings, seed)
        self._draining, self._newcomers_until_us = False, 0
        self._serve_until_us, self._over_us, self._late = 0, 0, 0
        self._moves: list[asyncio.TimerHandle] = []  # of a drain, not due yet
        self._vacating: dict[str, list[asyncio.TimerHandle]] = {}  # servers out by hand: moves off them
        self._fleet: BackendGateway | None = None
        self._now_us = 0

    @property
    def open_requests(self) -> int:
        """How many reqs are known: none may be left behind."""
        return len(self._reqs)

    def avoided_servers(self) -> list[str]:
        """The listed servers that the decisions avoid now, read without a turn of the inbox."""
        balancer = self._balancer
        return balancer.avoided_servers(self._clock.now_us()) if isinstance(balancer, Balancer) else []

    def post(self, message: Message) -> None:
        self._inbox.append(message)
        self._wake.set()

    def start(self, fleet: BackendGateway, migration_planner: MigrationPlanner | None = None) -> None:
        self._fleet, self._mover, self._now_us = fleet, migration_planner, self._clock.now_us()
        self._perform(self._balancer.start(self._now_us))
        if self._mover is not None:
            asyncio.get_running_loop().call_later(self._mover.interval_us / 1e6, self.post, RebalanceDue())

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
            case RequestReceived(req):
                self._arrived(req)
            case SessionRestored(req, server):
                self._reqs[req.request.request_id] = req
                req.is_established = req.is_answered = True
                req.attempts, req.active_attempt, req.server, req.sent_us = 1, 0, server, self._now_us
                self._tell(interface.SessionRestored(req.request, server))
                self._move_late(req)
            case AttemptEstablished(req, attempt):
                if req.active_attempt == attempt:
                    req.is_established = True
                    req.mark_answered()
                    self._tell(
                        interface.AttemptEstablished(
                            req.request.request_id, attempt, req.server, self._now_us - req.sent_us
                        )
                    )
                    self._move_late(req)
            case AttemptEnded(req, attempt, end):
                self._ended(req, attempt, end)
            case ClientDisconnected(req):
                req.mark_answered()
                if req.request.request_id in self._reqs:
                    self._tell(interface.ClientDisconnected(req.request.request_id))
                    self._forget(req)
            case SessionMetricObserved(req, kind, value):
                if req.is_established and req.active_attempt is not None:
                    self._tell(SessionMetric(req.request.request_id, req.active_attempt, req.server, kind, value))
            case EndpointsUpdated(update):
                self._tell(update)
            case HealthCheckCompleted(server, status, spent_us, report):
                self._tell(HealthCheckResult(server, status, spent_us, report))
            case TimerFired(token, at_us):
                if self._now_us < at_us:  # the loop's timers count whole milliseconds
                    self._timer(token, at_us)
                else:
                    self._tell(TimerExpired(token))
            case RequestTimedOut(req):
                if not req.is_answered:
                    self._counters.add("requests_timed_out")
                    self._tell(interface.ClientDisconnected(req.request.request_id))
                    self._end_waiting(req)
            case BeginDrain():
                self._drain(message)
            case MigrateSession(req):
                if req.is_established and req.active_attempt is not None:
                    self._send_away(req)
            case DrainAdmissionEnded():
                self._answer_waiting()
            case EvacuateServer(server, out, over_us):
                self._vacate(server, out, over_us)
            case CancelDrain():
                self._activate()
            case RebalanceDue():
                self._rebalance()

    def connections_to(self, server: str) -> int:
        """Connections of this proxy there, standing or under way."""
        return sum(
            req.server == server and (req.is_established or req.active_attempt is not None)
            for req in self._reqs.values()
        )

    def _rebalance(self) -> None:
        """One step of the mover; a fault of its own ends this step and nothing else."""
        if self._mover is None or self._draining:
            return
        asyncio.get_running_loop().call_later(self._mover.interval_us / 1e6, self.post, RebalanceDue())
        if isinstance(self._balancer, Balancer):
            for request in self._mover.plan(self._balancer.estimates(self._now_us), self._now_us):
                self._counters.add("migrations_planned")
                self._perform(self._balancer.migrate(request))

    def _tell(self, event: Event) -> None:
        self._perform(self._balancer.handle(event, self._now_us))

    def _arrived(self, req: RequestState) -> None:
        request = req.request.request_id
        if self._draining and self._now_us >= self._serve_until_us:
            self._refuse(req, self._elsewhere_us())
            return
        self._reqs[request] = req
        left_s = max(0.0, (req.deadline_us - self._now_us) / 1e6)
        req.timeout_handle = asyncio.get_running_loop().call_later(left_s, self.post, RequestTimedOut(req))
        self._tell(req.request)

    def _ended(self, req: RequestState, attempt: int, end: AttemptEnd) -> None:
        if req.active_attempt != attempt:
            return
        req.active_attempt = None
        if req.first_run_us is None and not end.status.never_ran:
            req.first_run_us = req.sent_us
        self._counters.add(f"attempts_{end.status.value}")
        final = req.is_answered or req.is_established
        spent_us = self._now_us - req.sent_us
        outcome = AttemptOutcome(
            req.request.request_id, attempt, req.server, end.status, spent_us, final, end.load_report
        )
        if final:
            req.is_answered = True
            self._forget(req)
        self._tell(outcome)
        if req.is_orphaned and not req.is_answered:
            self._fail(req)

    def _forget(self, req: RequestState) -> None:
        """A record goes once no answer is owed and no attempt is out."""
        if req.is_answered and req.active_attempt is None:
            self._reqs.pop(req.request.request_id, None)

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(request, server, cut_at_us):
                    self._send(request, server, cut_at_us)
                case Cancel(request, attempt):
                    req = self._reqs.get(request)
                    if req is not None and req.active_attempt == attempt and not req.is_established:
                        req.handler.cancel_attempt(attempt)
                case Reject(request, retry_after_us):
                    req = self._reqs.get(request)
                    if req is not None and not req.is_answered:
                        self._refuse(req, retry_after_us)
                case Fail(request):
                    req = self._reqs.get(request)
                    if req is not None and not req.is_answered:
                        self._fail(req)
                case Migrate(request):
                    req = self._reqs.get(request)
                    if req is not None and req.is_established:
                        self._counters.add("migrations")
                        req.handler.migrate()
                case SetTimer(at_us, token):
                    self._timer(token, at_us)
                case CheckHealth(server):
                    if self._fleet is not None:
                        self._fleet.check_health(server)
                case CloseIdle(server):
                    if self._fleet is not None:
                        self._fleet.close_idle(server)
                case FetchEndpoints():
                    if self._fleet is not None:
                        self._fleet.fetch_endpoints()
                case Log(message):
                    self._log.event("decision_logged", text=message)
                case _:  # Subscribe: the watch always stands; Tell: proxies share nothing
                    pass

    def _timer(self, token: int, at_us: int) -> None:
        delay = max(0.0, (at_us - self._clock.now_us()) / 1e6)
        asyncio.get_running_loop().call_later(delay, self.post, TimerFired(token, at_us))

    def _send(self, request: str, server: str, cut_at_us: int) -> None:
        req = self._reqs.get(request)
        if req is None:
            return
        attempt = req.attempts
        cut_at_us = min(cut_at_us or req.deadline_us, req.deadline_us)
        if req.is_answered or req.active_attempt is not None or attempt >= self._settings.max_attempts:
            # Never two at once, and none for a req that has its answer.
            self._tell(AttemptOutcome(request, attempt, server, AttemptStatus.UNUSED, 0, req.is_answered))
            return
        req.attempts, req.active_attempt, req.server, req.sent_us = attempt + 1, attempt, server, self._now_us
        self._counters.add("attempts")
        profile = self._settings.profiles[req.request.request_class]
        if req.first_run_us is not None and profile.idempotency is Idempotency.DEDUP:
            req.retry_before_us = max(1, req.first_run_us + profile.key_ttl_us - REPEAT_GUARD_US)
        req.handler.start_attempt(attempt, server, cut_at_us)

    def _refuse(self, req: RequestState, retry_after_us: int) -> None:
        req.mark_answered()
        self._counters.add("requests_rejected")
        req.handler.reject(retry_after_us)
        self._forget(req)

    def _fail(self, req: RequestState) -> None:
        req.mark_answered()
        self._counters.add("requests_failed")
        req.handler.fail()
        self._forget(req)

    def _elsewhere_us(self) -> int:
        """Advice to come again once newcomers are led to other proxies: sooner would mean this one again."""
        left_us = min(self._newcomers_until_us - self._now_us, self._settings.max_retry_after_us)
        return max(0, left_us) if self._settings.can_advise_retry_after else 0

    def _drain(self, drain: BeginDrain) -> None:
        """Asked to send all away: those who wait are answered now, or served where there is time; those who
        stand are moved one by one, but not before newcomers stop coming here: a client moved earlier would
        come back and be refused."""
        self._cancel_moves()
        self._draining, self._late, self._over_us = True, 0, drain.migration_window_us
        self._newcomers_until_us = self._now_us + drain.accept_window_us
        self._serve_until_us = self._now_us + drain.admission_window_us if drain.admission_window_us else 0
        standing = [req for req in self._reqs.values() if req.is_established]
        loop = asyncio.get_running_loop()
        if drain.admission_window_us:
            self._moves.append(loop.call_later(drain.admission_window_us / 1e6, self.post, DrainAdmissionEnded()))
        else:
            self._answer_waiting()
        for place, req in enumerate(standing):
            # Ever faster: who is moved late is served the longer, and a peer that restarted just before is back.
            after_us = drain.accept_window_us + drain.migration_window_us * (place / len(standing)) ** 0.5
            self._moves.append(loop.call_later(after_us / 1e6, self.post, MigrateSession(req)))

    def _answer_waiting(self) -> None:
        for req in [req for req in self._reqs.values() if not req.is_answered]:
            self._end_waiting(req)
            if req.active_attempt is None:
                self._tell(interface.ClientDisconnected(req.request.request_id))  # it may wait for probes

    def _end_waiting(self, req: RequestState) -> None:
        """Without an answer of a backend: a refusal where a repeat is known to be harmless, else a failure."""
        profile = self._settings.profiles[req.request.request_class]
        dedup = profile.idempotency is Idempotency.DEDUP and profile.key_scope is KeyScope.ALL
        never_ran = req.first_run_us is None and req.active_attempt is None
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
        standing = [req for req in self._reqs.values() if req.is_established and req.server == server]
        loop, moves = asyncio.get_running_loop(), self._vacating.setdefault(server, [])
        for place, req in enumerate(standing):
            moves.append(loop.call_later(over_us / 1e6 * place / len(standing), self.post, MigrateSession(req)))

    def _move_late(self, req: RequestState) -> None:
        """One that came up in a drain leaves among the others, by even steps that never fall together."""
        if not self._draining:
            if req.server in self._vacating:  # it was under way there when the server was taken out
                self._send_away(req)
            return
        self._late += 1
        left_us = self._newcomers_until_us + self._over_us * (self._late * GOLDEN % 1.0) - self._now_us
        if self._serve_until_us and left_us > 0:
            self._moves.append(asyncio.get_running_loop().call_later(left_us / 1e6, self.post, MigrateSession(req)))
        else:
            self._send_away(req)

    def _send_away(self, req: RequestState) -> None:
        """Guards against a module that takes its own proxy's drain for one of the servers: they would all be
        left out for seconds after the drain is called back."""
        if isinstance(self._balancer, Balancer):
            self._balancer.migrate(req.request.request_id)
        req.handler.migrate()

    def _activate(self) -> None:
        self._cancel_moves()
        self._draining = False

    def _cancel_moves(self) -> None:
        for handle in self._moves:
            handle.cancel()
        self._moves.clear()

    def _recover(self, error: Exception) -> None:
        """A fault of the decisions: answer whoever waits without an attempt, begin again with what stands."""
        self._counters.add("decision_crashes")
        self._log.event("decision_crashed", error=repr(error), trace=traceback.format_exc(limit=4))
        self._seed += 1
        self._balancer = self._make(self._settings, self._seed)
        for req in [req for req in self._reqs.values() if not req.is_answered]:
            req.is_orphaned = True
            if req.active_attempt is None:
                self._fail(req)
        if self._fleet is not None:
            self._perform(self._balancer.start(self._now_us))
            self._fleet.fetch_endpoints()
        for req in self._reqs.values():
            if req.is_established and req.active_attempt is not None:
                self._perform(self._balancer.handle(interface.SessionRestored(req.request, req.server), self._now_us))
