"""A session server as a model: capacity, load, backlog, messages, reports. Pure; the clock is handed in.

Loads are in *units*, mean connections. A machine is filled by `full_units` of them while warm. What is asked over
what it can do is its utilisation u; while u is over 1, or it stands still, work piles up (`backlog_s`, seconds of
its whole capacity) and messages wait for it. docs/emulator.md derives each formula.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import numpy as np

from stoatgw.emulator.world.scenario import Fleet, Kind, Module
from stoatgw.emulator.world.service_accounting import ServiceAccounting

STEP_US = 25_000  # while work is piled up, its course is followed in steps of this length
COLD_SLACK = 3.0  # units sent to a cold server beyond its budget that may be chance
SHED_TO = 0.9  # utilisation down to which a server that piles up too much drops its newest
U_MOST = 0.98  # utilisation at which the tail of message times is as long as it gets


class ServerLifecycle(Enum):
    SERVING = "SERVING"
    DRAINING = "DRAINING"
    GONE = "DELETED"  # the process ended: connections are refused
    VANISHED = "vanished"  # the machine says nothing any more


@dataclass(slots=True, eq=False)
class Held:
    """A connection on a machine."""

    conn: str
    profile: int
    units: float
    group: int | None
    live: bool = True  # whether messages get through to its client
    on_drop: Callable[[], None] | None = None


@dataclass(frozen=True, slots=True)
class Draw:
    """A machine's drawn properties."""

    name: str
    zone: int
    kind: int
    cores: int
    speed: float
    full_units: float
    cap: int
    message_s: float
    full_tax: float
    group_cost: float
    buffer_s: float
    setup_s: tuple[float, float]  # of the whole machine's time
    probe_s: float
    report_us: int
    report_late_us: int
    report_noise: float
    cold_from: float
    cold_us: int


def draw(
    name: str, zone: int, number: int, kind: Kind, fleet: Fleet, aim_s: float, stream: np.random.Generator
) -> Draw:
    """Draw a machine of a kind; `number` is the kind's place in the list."""
    uniform = stream.uniform
    speed = float(uniform(*kind.speed))
    full = float(uniform(*fleet.per_core)) * kind.cores * speed
    power = kind.cores * speed
    return Draw(
        name=name,
        zone=zone,
        kind=number,
        cores=kind.cores,
        speed=speed,
        full_units=full,
        cap=max(1, int(full * uniform(*fleet.cap))),
        message_s=float(uniform(*fleet.message)) * aim_s,
        full_tax=float(uniform(*fleet.full_tax)),
        group_cost=fleet.group_cost,
        buffer_s=float(uniform(*fleet.buffer_s)),
        setup_s=(fleet.setup_ms[0] / 1e3 / power, fleet.setup_ms[1] / 1e3 / power),
        probe_s=float(uniform(*fleet.probe_ms)) / 1e3 / power,
        report_us=max(1000, int(uniform(*fleet.report_ms) * 1000)),
        report_late_us=int(uniform(*fleet.report_late_ms) * 1000),
        report_noise=float(uniform(*fleet.report_noise)),
        cold_from=float(uniform(*kind.cold_from)),
        cold_us=int(uniform(*kind.cold_s) * 1e6),
    )


@dataclass(slots=True)
class Answer:
    """What a machine does with an OPEN line: up, busy or reset, at a time."""

    how: str
    at_us: int


@dataclass(eq=False)
class ServerModel:
    draw: Draw
    aims_s: tuple[float, ...]
    rules: Module
    ledger: ServiceAccounting
    stream: np.random.Generator
    now_us: int  # up to where its course is known
    started_us: int = 0  # when it last started cold; 0: long ago
    life: ServerLifecycle = ServerLifecycle.SERVING
    resetting: bool = False
    stale: bool = False
    backlog_s: float = 0.0
    paused_until_us: int = 0
    held: dict[str, Held] = field(default_factory=dict)
    groups: Counter[int] = field(default_factory=Counter)
    sum_units: float = 0.0
    live: list[int] = field(default_factory=list)
    setting_up: int = 0
    errors: int = 0
    sent: deque[tuple[int, float]] = field(default_factory=deque)
    on_fall: Callable[[], None] | None = None
    report: dict[str, float] = field(default_factory=dict)
    _pending: list[tuple[int, dict[str, float]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.live = [0] * len(self.aims_s)
        self.report = self._measure()

    # What it can do, and how late it is.

    def share(self, now_us: int) -> float:
        """Part of its full capacity that it has by now."""
        age_us, cold_us = now_us - self.started_us, self.draw.cold_us
        if self.started_us <= 0 or age_us >= cold_us:
            return 1.0
        return self.draw.cold_from + (1.0 - self.draw.cold_from) * age_us / cold_us

    @property
    def utilisation(self) -> float:
        full = self.draw.full_units * self.share(self.now_us)
        table = 1.0 - self.draw.full_tax * min(1.0, len(self.held) / self.draw.cap)
        return (self.sum_units + self.draw.group_cost * len(self.groups)) / (full * table)

    def wait_s(self) -> float:
        """What a message that comes now waits before its own work begins."""
        return self.backlog_s + max(0, self.paused_until_us - self.now_us) / 1e6

    def in_time(self, aim_s: float, wait_s: float, utilisation: float) -> float:
        """Share of the messages that are answered within an aim: an exponential tail, as M/M/1 has it."""
        if wait_s >= aim_s:
            return 0.0
        return 1.0 - math.exp(-(aim_s - wait_s) * (1.0 - min(U_MOST, utilisation)) / self.draw.message_s)

    def message_s(self) -> float:
        """The time that one message takes now, drawn."""
        tail = self.draw.message_s / (1.0 - min(U_MOST, self.utilisation))
        return self.wait_s() + float(self.stream.exponential(tail))

    def advance(self, now_us: int) -> None:
        """Follow its course up to a time, and book what its connections earned."""
        while self.now_us < now_us:
            paused = self.paused_until_us > self.now_us
            until = min(now_us, self.paused_until_us) if paused else now_us
            utilisation = self.utilisation
            if paused or self.backlog_s > 0.0 or utilisation > 1.0:
                until = min(until, self.now_us + STEP_US)
            self._earn(until, utilisation)
            span_s = (until - self.now_us) / 1e6
            gained = utilisation if paused else utilisation - 1.0
            self.backlog_s = max(0.0, self.backlog_s + gained * span_s)
            self.now_us = until

    def _earn(self, until_us: int, utilisation: float) -> None:
        if self.life in (ServerLifecycle.GONE, ServerLifecycle.VANISHED):
            return
        wait_s = self.wait_s()
        for profile, count in enumerate(self.live):
            if count:
                share = self.in_time(self.aims_s[profile], wait_s, utilisation)
                self.ledger.earn(self.now_us, until_us, profile, count, share)

    # Connections.

    def opened(self, now_us: int, units: float, group: int | None, cut_us: int) -> Answer:
        """An OPEN line has come whole. `units` is what the sender could expect of it."""
        self.advance(now_us)
        self._pressed(now_us, units)
        if self.resetting:
            return Answer("reset", now_us)
        if self.life is not ServerLifecycle.SERVING or len(self.held) + self.setting_up >= self.draw.cap:
            return Answer("busy", now_us + int(self.wait_s() * 1e6))
        self.backlog_s += float(self.stream.uniform(*self.draw.setup_s))
        ready_us = now_us + int(self.wait_s() * 1e6)
        self.setting_up += 1
        # One whose client's time is up when its turn comes is turned away unseen.
        return Answer("up" if ready_us < cut_us else "busy", min(ready_us, max(now_us, cut_us)))

    def set_up(self) -> None:
        """A set-up begun by `opened` is over, one way or the other."""
        self.setting_up -= 1

    def hold(self, now_us: int, held: Held) -> None:
        self.advance(now_us)
        self.held[held.conn] = held
        self.sum_units += held.units
        self.live[held.profile] += held.live
        if held.group is not None:
            self.groups[held.group] += 1

    def release(self, now_us: int, conn: str) -> Held | None:
        held = self.held.get(conn)
        if held is None:
            return None
        self.advance(now_us)
        del self.held[conn]
        self.sum_units = self.sum_units - held.units if self.held else 0.0
        self.live[held.profile] -= held.live
        if held.group is not None:
            self.groups[held.group] -= 1
            if not self.groups[held.group]:
                del self.groups[held.group]
        return held

    def change(self, now_us: int, conn: str, units: float) -> None:
        """A connection's load is another from now on."""
        held = self.held.get(conn)
        if held is not None:
            self.advance(now_us)
            self.sum_units += units - held.units
            held.units = units

    def set_live(self, now_us: int, conn: str, live: bool) -> None:
        """Whether messages get through to the connection's client."""
        held = self.held.get(conn)
        if held is not None and held.live != live:
            self.advance(now_us)
            held.live = live
            self.live[held.profile] += 1 if live else -1

    def probed(self, now_us: int) -> int:
        """A probe comes; gives when it is answered (it is served beside the queue, but not in a pause)."""
        self.advance(now_us)
        self.backlog_s += self.draw.probe_s
        return max(now_us, self.paused_until_us) + int(self.draw.probe_s * 1e6)

    # Troubles.

    def pause(self, now_us: int, span_us: int) -> None:
        self.advance(now_us)
        self.paused_until_us = max(self.paused_until_us, now_us + span_us)

    def expected_units(self, group: int | None) -> float:
        """What one more connection is expected to cost: itself, and its group where that is new here."""
        return 1.0 if group is None or self.groups[group] > 0 else 1.0 + self.draw.group_cost

    def cold_most(self, now_us: int) -> float:
        """Units that may be sent in a window of `fall_ms` while it is cold."""
        rules, share = self.rules, self.share(now_us)
        budget = rules.fall_multiple * share * self.draw.full_units * rules.fall_ms * 1000 / self.draw.cold_us
        return budget + COLD_SLACK

    def _pressed(self, now_us: int, units: float) -> None:
        """Everything that reaches a cold machine presses on it, also what it turns away."""
        if self.share(now_us) >= 1.0 or self.life is not ServerLifecycle.SERVING:
            self.sent.clear()
            return
        self.sent.append((now_us, units))
        while self.sent[0][0] <= now_us - self.rules.fall_ms * 1000:
            self.sent.popleft()
        if sum(each for _, each in self.sent) > self.cold_most(now_us) and self.on_fall is not None:
            self.on_fall()

    def begin(self, now_us: int) -> None:
        """The process starts, cold and empty."""
        self.advance(now_us)
        self.life, self.started_us, self.backlog_s, self.paused_until_us = ServerLifecycle.SERVING, now_us, 0.0, 0
        self.sent.clear()
        self._pending.clear()
        self.report = self._measure()

    # Once a report period.

    def tick(self, now_us: int) -> list[Held]:
        """Refresh the report; gives the newest connections that it drops for work piled up."""
        self.advance(now_us)
        while self._pending and self._pending[0][0] <= now_us:
            self.report = self._pending.pop(0)[1]
        if not self.stale:
            self._pending.append((now_us + self.draw.report_late_us, self._measure()))
        if self.backlog_s <= self.draw.buffer_s or self.life is not ServerLifecycle.SERVING:
            return []
        dropped: list[Held] = []
        left = self.sum_units
        full = self.draw.full_units * self.share(now_us) * (1.0 - self.draw.full_tax)
        for held in reversed(self.held.values()):
            if dropped and left + self.draw.group_cost * len(self.groups) <= SHED_TO * full:
                break
            dropped.append(held)
            left -= held.units
        self.backlog_s = self.draw.buffer_s / 2
        return dropped

    def _measure(self) -> dict[str, float]:
        noise = 1.0 + self.draw.report_noise * float(self.stream.standard_normal())
        load = max(0.0, (self.utilisation + max(0.0, self.backlog_s - 0.05)) * noise)
        errors, self.errors = self.errors, 0
        return {
            "eps": errors * 1e6 / self.draw.report_us,
            "inflight": float(len(self.held) + self.setting_up),
            "util": min(1.0, load),
            "x0": load,
        }
