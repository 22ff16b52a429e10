"""One run, from scenario and seed to a result that is the same whoever makes it."""

from __future__ import annotations

import gzip
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from stoatgw.emulator.checker.checker import Checker
from stoatgw.emulator.checker.rules import CheckerLimits
from stoatgw.emulator.virtual.driver import SETTLE_US, PolicyBuilder, VirtualDriver, balancer_policy
from stoatgw.emulator.virtual.policies import omniscient_policy, random_policy
from stoatgw.emulator.world.events import Event, EventKind, EventSink
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.server_model import ServerLifecycle
from stoatgw.emulator.world.service_accounting import compute_goal
from stoatgw.emulator.world.world_state import WorldState
from stoatgw.lab.scorecard import Scorecard

POLICIES: dict[str, PolicyBuilder] = {"module": balancer_policy, "floor": random_policy, "top": omniscient_policy}
SAMPLE_US = 1_000_000
SERVERS_SHOWN = 40  # of a larger fleet only quantiles are kept
SETUP_MOST_US = 60_000_000
BROKEN_KEPT = 50


class Result(msgspec.Struct, kw_only=True):
    """What one run showed. No time of day, path or machine is in it."""

    scenario: str
    digest: str
    seed: int
    policy: str
    driver: str
    void: str = ""  # why the run does not count, or empty
    service: dict[str, float]
    goal: float
    tally: dict[str, int]
    shares: dict[str, float]
    broken: list[str]
    broken_count: int
    events: int
    events_digest: str
    counts: dict[str, int]
    faults: list[tuple[float, str]]
    asked: list[list[float]]
    earned: list[list[float]]
    classes: list[str]
    seconds: dict[str, list[float]]  # what was counted or seen in each second
    loads: dict[str, list[float]]  # utilisation at each second, by server or quantile
    setups: list[str]  # HDR histograms of set-up times in us, by class, base64
    proxies: int
    servers: int
    standing: int
    recovery: dict[str, float] = {}  # see lab/scorecard.py


@dataclass(slots=True)
class Recorder:
    """Counts by second from the event log, and the faults."""

    seconds: int
    counts: dict[str, list[float]]
    faults: list[tuple[float, str]]

    @classmethod
    def of(cls, scenario: Scenario) -> Recorder:
        seconds = int(scenario.length_s + 0.999)
        names = ("up", "busy", "err", "moved", "over", "sent", "cut")
        return cls(seconds, {name: [0.0] * seconds for name in names}, [])

    def feed(self, event: Event) -> None:
        if event.kind is EventKind.FAULT_CHANGED:
            self.faults.append((event.time_us / 1e6, event.detail))
            return
        second = event.time_us // 1_000_000
        name = event.detail if event.kind is EventKind.REQUEST_ANSWERED else event.kind.value
        if 0 <= second < self.seconds and name in self.counts and event.kind is not EventKind.SESSION_ESTABLISHED:
            self.counts[name][second] += 1


def figures(scenario: Scenario) -> CheckerLimits:
    rules = scenario.module
    return CheckerLimits(round(rules.drain_grace_ms * 1000), rules.fall_multiple, round(rules.fall_ms * 1000))


def play_virtual(
    scenario: Scenario, seed: int, policy: str, events: Path | None = None, shuffle: int | None = None
) -> Result:
    """Play in virtual time; `events` is where the event log goes (gzip), if it is kept."""
    checker, recorder = Checker(figures(scenario)), Recorder.of(scenario)
    file = gzip.GzipFile(events, "wb", 6, mtime=0) if events is not None else None
    late = Late()
    try:
        sink = EventSink((checker.feed, recorder.feed, late.feed), file)
        driver = VirtualDriver(scenario, seed, sink, POLICIES[policy], shuffle)
        late.card = card = make_card(driver.world)
        loads = sample_loads(driver.world)
        driver.run()
        checker.finish(driver.world.length_us + SETTLE_US)
    finally:
        if file is not None:
            file.close()
    return make_result(
        driver.world, seed, policy, "virtual", driver.counts, driver.setup_times_us, checker, recorder, loads, card
    )


def play_loopback(scenario: Scenario, seed: int, events: Path | None = None, shift: int = 0) -> Result:
    """Play with real proxies on 127.0.0.0/8, in real time; `shift` moves the networks that it uses."""
    # Imported here: most uses of this module play in virtual time.
    from stoatgw.emulator.loopback.driver import BASE_NETWORK, run_loopback

    checker, recorder = Checker(figures(scenario)), Recorder.of(scenario)
    file = gzip.GzipFile(events, "wb", 6, mtime=0) if events is not None else None
    late, cards = Late(), list[Scorecard]()

    def watch(world: WorldState) -> dict[str, list[float]]:
        cards.append(make_card(world))
        late.card = cards[0]
        return sample_loads(world)

    try:
        sink = EventSink((checker.feed, recorder.feed, late.feed), file)
        driver, void = run_loopback(scenario, seed, sink, BASE_NETWORK + shift, watch)
    finally:
        if file is not None:
            file.close()
    checker.finish(driver.world.length_us + SETTLE_US)
    return make_result(
        driver.world,
        seed,
        "module",
        "loopback",
        driver.counts,
        driver.setup_times_us,
        checker,
        recorder,
        driver.utilization_samples,
        cards[0],
        void,
    )


@dataclass(slots=True)
class Late:
    """Hands records to a scorecard that can be made only once the world is there."""

    card: Scorecard | None = None
    before: list[Event] = field(default_factory=list)

    def feed(self, event: Event) -> None:
        if self.card is None:
            self.before.append(event)
            return
        for early in self.before:
            self.card.feed(early)
        self.before.clear()
        self.card.feed(event)


def make_card(world: WorldState) -> Scorecard:
    def load(server: str) -> float:
        machine = world.servers.get(server)
        return machine.utilization if machine is not None and machine.lifecycle is ServerLifecycle.SERVING else 0.0

    worths = tuple(each.worth for each in world.scenario.clients.classes)
    return Scorecard(world.population, worths, world.length_us, load)


def sample_loads(world: WorldState) -> dict[str, list[float]]:
    """Utilisation once a second, filled while the run goes on."""
    loads: dict[str, list[float]] = {}
    few = world.scenario.fleet.servers <= SERVERS_SHOWN

    def sample(second: int) -> None:
        serving = world.serving_servers()
        if few:
            for machine in serving:
                row = loads.setdefault(machine.properties.name, [])
                row.extend([-1.0] * (second - len(row)))  # -1: it did not serve then
                row.append(round(machine.utilization, 4))
        elif serving:
            values = sorted(machine.utilization for machine in serving)
            for name, part in (("p10", 0.1), ("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)):
                loads.setdefault(name, []).append(round(values[int(part * (len(values) - 1))], 4))
        loads.setdefault("mean", []).append(
            round(sum(machine.utilization for machine in serving) / max(1, len(serving)), 4)
        )

    for second in range(int(world.scenario.length_s)):
        world.scheduler.call_at(world.start_us + second * SAMPLE_US + 1, lambda s=second: sample(s))  # type: ignore[misc]
    return loads


def make_result(
    world: WorldState,
    seed: int,
    policy: str,
    driver: str,
    tally: dict[str, int],
    setups_us: list[tuple[int, int]],
    checker: Checker,
    recorder: Recorder,
    loads: dict[str, list[float]],
    card: Scorecard,
    void: str = "",
) -> Result:
    """Figures of a run that is over."""
    scenario, service = world.scenario, world.accounting.service_shares()
    clients = max(1, len(world.population))
    shares = {
        "cross_zone": tally["cross_us"] / max(1, tally["stood_us"]),
        "waste": tally["wasted"] / max(1, tally["attempts"]),
        "probe": tally["probes"] / max(1, tally["first_tries"]),
        "moves": tally["moved"] / clients,
        "late_fail": tally["late_failures"] / max(1, tally["tries"]),
    }
    histograms = [HdrHistogram(1, SETUP_MOST_US, 3) for _ in scenario.clients.classes]
    for profile, took_us in setups_us:
        histograms[profile].record_value(min(SETUP_MOST_US, max(1, took_us)))
    return Result(
        scenario=scenario.name,
        digest=scenario.digest,
        seed=seed,
        policy=policy,
        driver=driver,
        void=void,
        service=service,
        goal=compute_goal(service, shares),
        tally=tally,
        shares=shares,
        broken=[str(each) for each in checker.violations[:BROKEN_KEPT]],
        broken_count=len(checker.violations),
        events=world.sink.count,
        events_digest=world.sink.digest,
        counts=checker.counts,
        faults=recorder.faults,
        asked=[[round(x, 6) for x in row] for row in world.accounting.demanded_weight.tolist()],
        earned=[[round(x, 6) for x in row] for row in world.accounting.earned_weight.tolist()],
        classes=[each.name for each in scenario.clients.classes],
        seconds=recorder.counts,
        loads=loads,
        setups=[histogram.encode().decode() for histogram in histograms],
        proxies=scenario.proxies.count,
        servers=scenario.fleet.servers,
        standing=world.population.established_count,
        recovery={
            name: round(value, 6)
            for name, value in card.figures(
                world.accounting.demanded_weight, world.accounting.earned_weight, loads, recorder.faults
            ).items()
        },
    )


def read_setups(result: Result) -> list[Any]:
    """The histograms of a result, decoded."""
    return [HdrHistogram.decode(text.encode()) for text in result.setups]


def encode(result: Result) -> bytes:
    return msgspec.json.format(msgspec.json.encode(result, order="deterministic"), indent=1) + b"\n"


def decode(data: bytes) -> Result:
    return msgspec.json.decode(data, type=Result)
