"""Recording of a run: rule checks, counts per second, utilization, and the scorecard."""

from __future__ import annotations

import gzip
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from stoatgw.emulator.checker.checker import Checker
from stoatgw.emulator.checker.rules import CheckerLimits
from stoatgw.emulator.world.events import Event, EventKind, EventSink
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.server_model import ServerLifecycle
from stoatgw.emulator.world.world_state import WorldState
from stoatgw.lab.scorecard import Scorecard

SAMPLE_INTERVAL_US = 1_000_000
MAX_SERVERS_SHOWN = 40  # for a larger fleet, only quantiles are stored
NOT_SERVING = -1.0
QUANTILES = (("p10", 0.1), ("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0))
COUNTED_NAMES = ("up", "busy", "err", "moved", "over", "sent", "cut")  # answers and events, as the event log names them
COMPRESSION_LEVEL = 6


class EventCounter:
    """Counter of answers and events per second, which also collects the faults.

    Attributes:
        counts: For each name, the count in each second.
        faults: Time in seconds and text of the begin and end of each fault.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._seconds = int(scenario.length_s + 0.999)
        self.counts = {name: [0.0] * self._seconds for name in COUNTED_NAMES}
        self.faults: list[tuple[float, str]] = []

    def feed(self, event: Event) -> None:
        """Count one event."""
        if event.kind is EventKind.FAULT_CHANGED:
            self.faults.append((event.time_us / 1e6, event.detail))
            return
        if event.kind is EventKind.SESSION_ESTABLISHED:
            return  # "up" is also the name of its answer, which is counted instead
        name = event.detail if event.kind is EventKind.REQUEST_ANSWERED else event.kind.value
        second = event.time_us // 1_000_000
        if name in self.counts and 0 <= second < self._seconds:
            self.counts[name][second] += 1


@dataclass(slots=True)
class DeferredScorecard:
    """Forwards events to a scorecard that is created with the world, and buffers the events recorded before that."""

    scorecard: Scorecard | None = None
    _pending: list[Event] = field(default_factory=list)

    def feed(self, event: Event) -> None:
        """Forward one event, after any buffered ones."""
        if self.scorecard is None:
            self._pending.append(event)
            return
        for pending in self._pending:
            self.scorecard.feed(pending)
        self._pending.clear()
        self.scorecard.feed(event)


class RunRecording:
    """The event listeners of one run.

    Attributes:
        sink: Receives the run's events.
        checker: Checks the rules on the events.
        counter: Counts the events per second.
        utilization: Load divided by capacity by second, per server or quantile; filled during the run.
    """

    def __init__(self, scenario: Scenario, event_file: gzip.GzipFile | None) -> None:
        self.checker = Checker(checker_limits(scenario))
        self.counter = EventCounter(scenario)
        self.utilization: dict[str, list[float]] = {}
        self._deferred = DeferredScorecard()
        self.sink = EventSink((self.checker.feed, self.counter.feed, self._deferred.feed), event_file)

    @property
    def scorecard(self) -> Scorecard:
        """The scorecard; available after `observe`."""
        if self._deferred.scorecard is None:
            raise RuntimeError("observe() has not been called")
        return self._deferred.scorecard

    def observe(self, world: WorldState) -> dict[str, list[float]]:
        """Set up the scorecard and the utilization samples of a world before it runs; return `utilization`."""
        self._deferred.scorecard = make_scorecard(world)
        self._deferred.scorecard = make_scorecard(world)
        for second in range(int(world.scenario.length_s)):
            # 1 us after the full second, so that the sample includes events at that second.
            at_us = world.start_us + second * SAMPLE_INTERVAL_US + 1
            world.scheduler.call_at(at_us, partial(self._sample_utilization, world, second))
        return self.utilization

    def _sample_utilization(self, world: WorldState, second: int) -> None:
        serving = world.serving_servers()
        if world.scenario.fleet.servers <= MAX_SERVERS_SHOWN:
            for server in serving:
                samples = self.utilization.setdefault(server.properties.name, [])
                samples.extend([NOT_SERVING] * (second - len(samples)))
                samples.append(round(server.utilization, 4))
        elif serving:
            ascending = sorted(server.utilization for server in serving)
            for name, quantile in QUANTILES:
                sample = ascending[int(quantile * (len(ascending) - 1))]
                self.utilization.setdefault(name, []).append(round(sample, 4))
        mean = sum(server.utilization for server in serving) / max(1, len(serving))
        self.utilization.setdefault("mean", []).append(round(mean, 4))


@contextmanager
def record_run(scenario: Scenario, event_file: Path | None) -> Iterator[RunRecording]:
    """Record a run; the event log is written to `event_file` (gzip) unless it is None."""
    with ExitStack() as stack:
        gzip_file = None
        if event_file is not None:
            # mtime=0 keeps the time out of the gzip header, so that the same run gives the same bytes.
            gzip_file = stack.enter_context(gzip.GzipFile(event_file, "wb", COMPRESSION_LEVEL, mtime=0))
        yield RunRecording(scenario, gzip_file)


def checker_limits(scenario: Scenario) -> CheckerLimits:
    """Return the limits of the checker's rules that the scenario sets."""
    rules = scenario.module
    return CheckerLimits(round(rules.drain_grace_ms * 1000), rules.fall_multiple, round(rules.fall_ms * 1000))


def make_scorecard(world: WorldState) -> Scorecard:
    """Create the scorecard for a world's clients."""

    def utilization(name: str) -> float:
        """Return a server's load divided by capacity; 0 while it does not serve."""
        server = world.servers.get(name)
        is_serving = server is not None and server.lifecycle is ServerLifecycle.SERVING
        return server.utilization if server is not None and is_serving else 0.0

    weights = tuple(request_class.worth for request_class in world.scenario.clients.classes)
    return Scorecard(world.population, weights, world.length_us, utilization)
