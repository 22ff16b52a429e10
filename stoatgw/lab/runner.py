"""One run, from a scenario and a seed to a reproducible result."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram

from stoatgw.emulator.virtual.driver import SETTLE_US, PolicyBuilder, VirtualDriver, balancer_policy
from stoatgw.emulator.virtual.policies import omniscient_policy, random_policy
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.service_accounting import compute_goal
from stoatgw.emulator.world.world_state import WorldState
from stoatgw.lab.recording import RunRecording, record_run
from stoatgw.lab.result import LOOPBACK, MODULE, VIRTUAL, Result

POLICIES: dict[str, PolicyBuilder] = {MODULE: balancer_policy, "floor": random_policy, "top": omniscient_policy}
MAX_SETUP_TIME_US = 60_000_000
HISTOGRAM_DIGITS = 3
MAX_VIOLATIONS_KEPT = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class _FinishedRun:
    """A finished run, with the counts of its driver."""

    seed: int
    policy: str
    driver: str
    world: WorldState
    totals: dict[str, int]
    setup_times_us: list[tuple[int, int]]  # request class and set-up time
    utilization: dict[str, list[float]]
    void_reason: str = ""


def run_virtual(scenario: Scenario, seed: int, policy: str, event_file: Path | None = None) -> Result:
    """Run in virtual time; the event log is written to `event_file` (gzip) unless it is None."""
    with record_run(scenario, event_file) as recording:
        driver = VirtualDriver(scenario, seed, recording.sink, POLICIES[policy])
        recording.observe(driver.world)
        driver.run()
    finished = _FinishedRun(
        seed=seed,
        policy=policy,
        driver=VIRTUAL,
        world=driver.world,
        totals=driver.counts,
        setup_times_us=driver.setup_times_us,
        utilization=recording.utilization,
    )
    return _make_result(finished, recording)


def run_loopback(scenario: Scenario, seed: int, event_file: Path | None = None, network_offset: int = 0) -> Result:
    """Run real proxies on 127.0.0.0/8 in real time; `network_offset` is added to the numbers of the networks used."""
    # Imported here because most uses of this module run in virtual time only.
    from stoatgw.emulator.loopback import driver as loopback

    with record_run(scenario, event_file) as recording:
        base_network = loopback.BASE_NETWORK + network_offset
        driver, void_reason = loopback.run_loopback(scenario, seed, recording.sink, base_network, recording.observe)
    finished = _FinishedRun(
        seed=seed,
        policy=MODULE,
        driver=LOOPBACK,
        world=driver.world,
        totals=driver.counts,
        setup_times_us=driver.setup_times_us,
        utilization=driver.utilization_samples,
        void_reason=void_reason,
    )
    return _make_result(finished, recording)


def _make_result(run: _FinishedRun, recording: RunRecording) -> Result:
    world = run.world
    scenario = world.scenario
    accounting = world.accounting
    checker = recording.checker
    checker.finish(world.length_us + SETTLE_US)
    service = accounting.service_shares()
    shares = _penalized_shares(run.totals, max(1, len(world.population)))
    faults = recording.counter.faults
    recovery = recording.scorecard.compute_metrics(
        accounting.demanded_weight, accounting.earned_weight, run.utilization, faults
    )
    return Result(
        scenario=scenario.name,
        scenario_digest=scenario.digest,
        seed=run.seed,
        policy=run.policy,
        driver=run.driver,
        void_reason=run.void_reason,
        service=service,
        goal=compute_goal(service, shares),
        totals=run.totals,
        shares=shares,
        violations=[str(violation) for violation in checker.violations[:MAX_VIOLATIONS_KEPT]],
        violation_count=len(checker.violations),
        event_count=world.sink.count,
        events_digest=world.sink.digest,
        checker_counts=checker.counts,
        faults=faults,
        demanded_weight=_round_rows(accounting.demanded_weight.tolist()),
        earned_weight=_round_rows(accounting.earned_weight.tolist()),
        class_names=[request_class.name for request_class in scenario.clients.classes],
        counts_by_second=recording.counter.counts,
        utilization=run.utilization,
        setup_histograms=_setup_histograms(run.setup_times_us, len(scenario.clients.classes)),
        proxy_count=scenario.proxies.count,
        server_count=scenario.fleet.servers,
        initial_sessions=world.population.established_count,
        recovery={name: round(value, 6) for name, value in recovery.items()},
    )


def _penalized_shares(totals: dict[str, int], clients: int) -> dict[str, float]:
    """Return the shares that the goal penalizes, from 0 up."""
    return {
        "cross_zone": totals["cross_us"] / max(1, totals["stood_us"]),
        "waste": totals["wasted"] / max(1, totals["attempts"]),
        "probe": totals["probes"] / max(1, totals["first_tries"]),
        "moves": totals["moved"] / clients,
        "late_fail": totals["late_failures"] / max(1, totals["tries"]),
    }


def _setup_histograms(setup_times_us: list[tuple[int, int]], classes: int) -> list[str]:
    """Encode one HDR histogram per class (base64); times over MAX_SETUP_TIME_US count as that limit."""
    histograms = [HdrHistogram(1, MAX_SETUP_TIME_US, HISTOGRAM_DIGITS) for _ in range(classes)]
    for request_class, time_us in setup_times_us:
        histograms[request_class].record_value(min(MAX_SETUP_TIME_US, max(1, time_us)))
    return [histogram.encode().decode() for histogram in histograms]


def _round_rows(rows: list[list[float]]) -> list[list[float]]:
    return [[round(value, 6) for value in row] for row in rows]
