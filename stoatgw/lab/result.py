"""The result of one run, as it is stored."""

from __future__ import annotations

import msgspec
from hdrh.histogram import HdrHistogram

VIRTUAL = "virtual"  # the driver in virtual time
LOOPBACK = "loopback"  # the driver of real proxies on 127.0.0.0/8
MODULE = "module"  # the policy under test: the project's own decisions


class Result(msgspec.Struct, kw_only=True):
    """What one run showed. No time of day, path or machine is in it.

    Attributes:
        scenario: The scenario's name.
        scenario_digest: Digest of all that the run depended on but the seed.
        seed: Seed of the run's random draws.
        policy: What decided.
        driver: `virtual` or `loopback`.
        void_reason: Why the run does not count; empty if it does.
        service: Shares from 0 to 1: of the run, of its worst window, of the worst class, and of each class.
        goal: The operators' figure of the run.
        totals: What clients and proxies did, counted by the driver.
        shares: Priced shares, such as sessions across zones and wasted attempts.
        violations: The first broken rules, as text.
        violation_count: All broken rules.
        event_count: Records of the event log.
        events_digest: Digest of the event log.
        checker_counts: What the checker counted.
        faults: Time in seconds and text of each fault's begin and end.
        demanded_weight: Priority weight asked for, by class and second.
        earned_weight: Priority weight well served, by class and second.
        class_names: Names of the request classes, by index.
        counts_by_second: Answers, migrations and attempts in each second.
        utilization: Load over capacity at each second, by server or quantile; -1 where the server did not serve.
        setup_histograms: HDR histograms of set-up times in microseconds, by class, base64.
        proxy_count: Proxies of the scenario.
        server_count: Servers of the scenario.
        initial_sessions: Sessions established at the start.
        recovery: Figures of the scorecard.
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
        """Set-up times of all classes together, in microseconds."""
        total, *others = (HdrHistogram.decode(text.encode()) for text in self.setup_histograms)
        for histogram in others:
            total.add(histogram)
        return total


def encode_result(result: Result) -> bytes:
    """The result as it is stored: indented JSON, the same bytes for the same run."""
    return msgspec.json.format(msgspec.json.encode(result, order="deterministic"), indent=1) + b"\n"


def decode_result(data: bytes) -> Result:
    """Read a stored result.

    Raises:
        msgspec.DecodeError: It is none, or was cut off.
    """
    return msgspec.json.decode(data, type=Result)
