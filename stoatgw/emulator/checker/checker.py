"""The rules, judged from the event log alone. Pure: records go in, broken rules come out.

Whoever wrote the log (virtual time, loopback, a later protocol), the same checker judges it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from stoatgw.emulator.world.events import Event, EventKind
from stoatgw.emulator.world.warm_up import MIN_WARM_UP_EXCESS_UNITS


class Rule(StrEnum):
    SINGLE_ANSWER = "one final answer"
    ANSWER_IN_TIME = "an answer in time"
    SINGLE_ATTEMPT = "never two attempts out"
    NO_SEND_TO_DRAINING = "nothing new to a leaving server"
    SLOW_START_BUDGET = "cold servers within their budget"
    NO_BROKEN_SESSION = "no standing connection cut"
    NO_LEAKED_REQUEST = "no req held or lost"
    NO_PROGRAM_FAULT = "no fault inside the program"


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule broken: which, when (us from the run's start), and by whom."""

    rule: Rule
    time_us: int
    proxy: str
    request_id: str
    server: str
    reason: str

    def __str__(self) -> str:
        names = " ".join(name for name in (self.proxy, self.request_id, self.server) if name)
        return f"{self.time_us / 1e6:.6f} s {names}: {self.rule.value}: {self.reason}"


@dataclass(frozen=True, slots=True)
class CheckerLimits:
    """What the rules are measured by."""

    drain_grace_us: int
    fall_multiple: float
    fall_us: int
    allowed_excess_units: Callable[[float], float] = lambda budget: (
        MIN_WARM_UP_EXCESS_UNITS
    )  # units beyond the budget that may be chance
    answer_grace_us: int = 50_000  # an answer may come so long after the deadline
    cut_us: int = 1_000_000  # an end of one side may take so long to be mirrored


@dataclass(slots=True)
class _Req:
    deadline_us: int
    proxy: str
    answered: bool = False
    gone: bool = False
    server: str = ""
    up: bool = False


@dataclass(slots=True)
class _Cold:
    started_us: int
    full_units: float
    cold_from: float
    cold_us: int
    ran: deque[tuple[int, float, str, bool]] = field(default_factory=deque)
    fallen: bool = False


class Checker:
    """Feed it every record in order, then `finish`; `broken` has what it found."""

    def __init__(self, figures: CheckerLimits) -> None:
        self._figures = figures
        self._reqs: dict[str, _Req] = {}
        self._out: dict[str, dict[int, str]] = {}  # attempts that are out, by req
        self._leaving: dict[tuple[str, str], int] = {}  # when a proxy was told that a server leaves
        self._started: dict[tuple[str, str], int] = {}  # the last start that a proxy was told of
        self._cold: dict[str, _Cold] = {}
        self._silent: set[str] = set()
        self._stopped: dict[str, int] = {}  # proxies that do not run, since when
        self._frozen: dict[str, list[tuple[int, int]]] = {}
        self._groups_units: dict[tuple[str, int], float] = {}
        self.violations: list[Violation] = []
        self.counts: dict[str, int] = {}

    def _break(self, rule: Rule, event: Event, why: str, server: str = "") -> None:
        self.violations.append(
            Violation(rule, event.time_us, event.proxy, event.request_id, server or event.server, why)
        )

    def feed(self, event: Event) -> None:
        match event.kind:
            case EventKind.REQUEST_RECEIVED:
                if event.request_id in self._reqs:
                    self._break(Rule.SINGLE_ANSWER, event, "an id is taken twice")
                self._reqs[event.request_id] = _Req(event.number, event.proxy)
            case EventKind.REQUEST_ANSWERED:
                self._answered(event)
            case EventKind.CLIENT_DISCONNECTED:
                req = self._reqs.get(event.request_id)
                if req is not None:
                    req.gone = True
            case EventKind.ATTEMPT_SENT:
                self._sent(event)
            case EventKind.ATTEMPT_EXECUTED:
                self._ran(event)
            case EventKind.ATTEMPT_ENDED:
                out = self._out.get(event.request_id)
                if out is not None:
                    out.pop(event.number, None)
                    if not out:
                        del self._out[event.request_id]
            case EventKind.ENDPOINT_NOTIFIED:
                self._told(event)
            case EventKind.SERVER_STARTED:
                cold_from, cold_us = event.detail.split(",")
                self._cold[event.server] = _Cold(event.time_us, event.number / 1000, float(cold_from), int(cold_us))
                self._silent.discard(event.server)
            case EventKind.SERVER_RESPONSIVE:
                self._silent.discard(event.server)
            case EventKind.SERVER_UNRESPONSIVE:
                self._silent.add(event.server)
            case EventKind.SERVER_COLLAPSED:
                self._fell(event)
            case EventKind.SESSION_ESTABLISHED:
                req = self._reqs.setdefault(event.request_id, _Req(1 << 62, event.proxy, answered=True))
                req.up, req.server = True, event.server
            case EventKind.SESSION_MIGRATED | EventKind.SESSION_ENDED:
                self._reqs.pop(event.request_id, None)
            case EventKind.SESSION_BROKEN:
                self._cut(event)
            case EventKind.PROXY_STATE_CHANGED:
                self._proxy(event)
            case EventKind.REQUESTS_LEAKED:
                if event.number:
                    self._break(Rule.NO_LEAKED_REQUEST, event, f"{event.number} reqs are still known at the end")
            case EventKind.PROGRAM_FAULT:
                self._break(Rule.NO_PROGRAM_FAULT, event, event.detail)
            case EventKind.FAULT_CHANGED:
                pass
        self.counts[event.kind.value] = self.counts.get(event.kind.value, 0) + 1

    def _answered(self, event: Event) -> None:
        req = self._reqs.get(event.request_id)
        if req is None:
            self._break(Rule.SINGLE_ANSWER, event, "an answer to a req that was never taken, or is over")
        elif req.answered:
            self._break(Rule.SINGLE_ANSWER, event, f"a second answer ({event.detail})")
        else:
            req.answered = True
            late_us = event.time_us - req.deadline_us
            if late_us > self._figures.answer_grace_us and not self._was_frozen(
                event.proxy, req.deadline_us, event.time_us
            ):
                self._break(Rule.ANSWER_IN_TIME, event, f"{late_us / 1000:.1f} ms after the client's time was up")
            if event.detail != "up":
                # Kept as answered, so that a second answer is seen; a proxy that ends has no more to say.
                req.gone = True

    def _was_frozen(self, proxy: str, from_us: int, to_us: int) -> bool:
        spans = self._frozen.get(proxy, ())
        return any(begin <= to_us and end >= from_us - 10_000_000 for begin, end in spans)

    def _sent(self, event: Event) -> None:
        out = self._out.setdefault(event.request_id, {})
        for attempt, server in out.items():
            self._break(Rule.SINGLE_ATTEMPT, event, f"attempt {event.number} while {attempt} is out at {server}")
        out[event.number] = event.server
        told_us = self._leaving.get((event.proxy, event.server))
        if told_us is not None and event.time_us > told_us + self._figures.drain_grace_us:
            late_ms = (event.time_us - told_us) / 1000
            self._break(
                Rule.NO_SEND_TO_DRAINING, event, f"sent {late_ms:.1f} ms after the proxy was told that it leaves"
            )

    def _ran(self, event: Event) -> None:
        cold = self._cold.get(event.server)
        if cold is None or cold.fallen:
            return
        age_us = event.time_us - cold.started_us
        if age_us >= cold.cold_us:
            del self._cold[event.server]
            return
        units = float(event.detail or 1.0)
        knew = self._started.get((event.proxy, event.server), -1) >= cold.started_us
        cold.ran.append((event.time_us, units, event.proxy, knew))
        figures = self._figures
        while cold.ran[0][0] <= event.time_us - figures.fall_us:
            cold.ran.popleft()
        share = cold.cold_from + (1.0 - cold.cold_from) * age_us / cold.cold_us
        budget = figures.fall_multiple * share * cold.full_units * figures.fall_us / cold.cold_us
        most = budget + figures.allowed_excess_units(budget)
        total = sum(units for _, units, _, _ in cold.ran)
        if total > most:
            cold.fallen = True
            knowing = sum(units for _, units, _, knew in cold.ran if knew)
            if knowing >= total * 2 / 3:
                self._break(
                    Rule.SLOW_START_BUDGET, event, f"sent {total:.1f} units within the window, {most:.1f} are allowed"
                )

    def _fell(self, event: Event) -> None:
        cold = self._cold.get(event.server)
        if cold is not None and not cold.fallen:
            self._break(Rule.SLOW_START_BUDGET, event, "it fell over, though the log shows less than its budget")

    def _told(self, event: Event) -> None:
        key = (event.proxy, event.server)
        if event.detail == "SERVING":
            self._leaving.pop(key, None)
            self._started[key] = event.number
        elif key not in self._leaving:
            self._leaving[key] = event.time_us

    def _cut(self, event: Event) -> None:
        req = self._reqs.pop(event.request_id, None)
        server = req.server if req is not None else event.server
        if server not in self._silent:
            self._break(Rule.NO_BROKEN_SESSION, event, "cut without MOVE while its server answers", server)

    def _proxy(self, event: Event) -> None:
        if event.detail == "frozen":
            self._frozen.setdefault(event.proxy, []).append((event.time_us, 1 << 62))
        elif event.detail == "thawed":
            spans = self._frozen[event.proxy]
            spans[-1] = (spans[-1][0], event.time_us)
        elif event.detail in ("killed", "stopped"):
            stopped = event.detail == "stopped"
            for name, req in list(self._reqs.items()):
                if req.proxy != event.proxy:
                    continue
                if stopped and not req.answered and not req.gone:
                    self.violations.append(
                        Violation(
                            Rule.SINGLE_ANSWER,
                            event.time_us,
                            event.proxy,
                            name,
                            "",
                            "the proxy ended without an answer to it",
                        )
                    )
                del self._reqs[name]
                self._out.pop(name, None)
            for key in [key for key in self._leaving if key[0] == event.proxy]:
                del self._leaving[key]

    def finish(self, t_us: int) -> list[Violation]:
        """The log is over at `t_us`: whoever was owed an answer by then and has none was forgotten."""
        for name, req in self._reqs.items():
            waited_us = t_us - req.deadline_us - self._figures.answer_grace_us
            if not req.answered and waited_us > 0 and not self._excused(req, t_us):
                why = "no answer, and its client's time is up" if not req.gone else "no answer though its client left"
                if not req.gone:
                    self.violations.append(Violation(Rule.SINGLE_ANSWER, t_us, req.proxy, name, "", why))
        return self.violations

    def _excused(self, req: _Req, t_us: int) -> bool:
        return self._was_frozen(req.proxy, req.deadline_us, t_us)
