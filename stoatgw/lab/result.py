"""The stored result of one run."""

from __future__ import annotations

import msgspec
from hdrh.histogram import HdrHistogram

VIRTUAL = "virtual"  # the driver that runs in virtual time
LOOPBACK = "loopback"  # the driver that runs real proxies on 127.0.0.0/8
MODULE = "module"  # the policy under test: this project's balancer


class Result(msgspec.Struct, kw_only=True):
    """Measurements of one run; they contain no time of day, path or machine name.

    Attributes:
        scenario: The scenario's name.
        scenario_digest: Digest of everything that the run depended on, except the seed.
        seed: Seed of the run's random draws.
        policy: Name of the policy that placed the sessions.
        driver: `virtual` or `loopback`.
        void_reason: Why the run is void, which excludes it from means; empty for a valid run.
        service: Served share of the demanded weight, 0 to 1: whole run, worst window, worst class, and each class.
        goal: Score of the run: weighted service minus the penalties for `shares`.
        totals: Counts of what clients and proxies did, kept by the driver.
        shares: Shares that the goal penalizes, such as session time across zones and wasted attempts.
        violations: The first rule violations, as text.
        violation_count: Number of all rule violations.
        event_count: Number of events in the event log.
        events_digest: Digest of the event log.
        checker_counts: Counts kept by the checker.
        faults: Time in seconds and text of the begin and end of each fault.
        demanded_weight: Priority weight demanded, by class and second.
        earned_weight: Priority weight served in time, by class and second.
        class_names: Names of the request classes, by index.
        counts_by_second: Answers, migrations and attempts in each second.
        utilization: Load divided by capacity at each second, by server or quantile; -1 while the server did not serve.
        setup_histograms: HDR histograms of set-up times in microseconds, by class, base64 encoded.
        proxy_count: Number of proxies in the scenario.
        server_count: Number of servers in the scenario.
        initial_sessions: Number of sessions established at the start.
        recovery: Metrics of the scorecard.
    """

    scenario: str
    scenario_digest: str = msgspec.field(name="digest")
    seed: int
    policy: str
    driver: str
    void_reason: str = msgspec.field(name="void", default="")
    service: dict[str, float]
    goal: float
    totals: dict[str, int] = msgspec.field(name="tally")
    shares: dict[str, float]
    violations: list[str] = msgspec.field(name="broken")
    violation_count: int = msgspec.field(name="broken_count")
    event_count: int = msgspec.field(name="events")
    events_digest: str
    checker_counts: dict[str, int] = msgspec.field(name="counts")
    faults: list[tuple[float, str]]
    demanded_weight: list[list[float]] = msgspec.field(name="asked")
    earned_weight: list[list[float]] = msgspec.field(name="earned")
    class_names: list[str] = msgspec.field(name="classes")
    counts_by_second: dict[str, list[float]] = msgspec.field(name="seconds")
    utilization: dict[str, list[float]] = msgspec.field(name="loads")
    setup_histograms: list[str] = msgspec.field(name="setups")
    proxy_count: int = msgspec.field(name="proxies")
    server_count: int = msgspec.field(name="servers")
    initial_sessions: int = msgspec.field(name="standing")
    recovery: dict[str, float] = {}

    def setup_times(self) -> HdrHistogram:
        """Return the set-up times of all classes together, in microseconds."""
        total, *others = (HdrHistogram.decode(text.encode()) for text in self.setup_histograms)
        for histogram in others:
            total.add(histogram)
        return total


def encode_result(result: Result) -> bytes:
    """Encode a result for storage: indented JSON, byte for byte the same for the same run."""
    return msgspec.json.format(msgspec.json.encode(result, order="deterministic"), indent=1) + b"\n"


def decode_result(data: bytes) -> Result:
    """Read a stored result.

    Raises:
        msgspec.DecodeError: The data is not a result, or is truncated.
    """
    return msgspec.json.decode(data, type=Result)
