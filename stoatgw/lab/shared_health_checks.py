"""Simulation of shared health checks in virtual time: the real checkers, on the store of the emulated engine."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from random import Random
from typing import Any

import numpy as np
import orjson

from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.controller.messages import HealthCheckCompleted, Message
from stoatgw.decisions.interface import AttemptStatus
from stoatgw.emulator.engine.gateway import NotFoundError, handle_call
from stoatgw.emulator.engine.store import Store
from stoatgw.lab.errors import LabError
from stoatgw.lab.tables import Value, write_csv
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure
from stoatgw.shared_health_checks.checker import (
    TICK_INTERVAL_S,
    ProxyHooks,
    SharedHealthChecker,
    SharedHealthCheckSettings,
)
from stoatgw.telemetry.log import EventLog

TICK_US = int(TICK_INTERVAL_S * 1e6)
CHECKS_PER_SERVER_S = 4.0  # by one proxy without sharing: the default interval is 250 ms
WARM_UP_S = 5.0
MEASURED_S = 4.0
AFTER_KILL_S = 8.0


class DiscardingLog(EventLog):
    """Event log that discards all events."""

    def event(self, event: str, **fields: Any) -> None:
        """Discard an event."""


class ProxyFault(StrEnum):
    """The way in which a proxy fails; the values are stored in the table."""

    KILLED = "killed"
    FROZEN = "frozen"
    CUT_OFF = "cut off"


class SimulatedProxy:
    """One checker with substitutes for its proxy's controller, the engine client and the session servers."""

    def __init__(self, fleet: SimulatedFleet, index: int) -> None:
        self._fleet = fleet
        self.name = f"n{index}"
        self.is_alive = True
        self.is_frozen = False
        self.is_connected = True
        self.servers_reported: set[str] = set()  # servers of which the controller has received a result
        self.peer_result_count = 0
        self._is_own_result = False
        self.checker = SharedHealthChecker(
            SharedHealthCheckSettings(membership=fleet.membership, sharing=fleet.sharing, identity=self.name),
            store=self,
            hooks=ProxyHooks(queue=self, start_check=self._check, list_servers=fleet.list_servers),
            now_us=lambda: fleet.now_us,
            log=DiscardingLog("lab"),
            jitter=Random(index),
        )
        # Each proxy polls with its own phase, as processes that were started at different times do.
        self.next_poll_us = Random(index).randrange(fleet.membership.poll_interval_ms * 1000)

    async def call(self, path: str, body: etcd_api.Body) -> etcd_api.Body | CallFailure:
        """Send a call of the checker to the engine."""
        if not self.is_connected:
            return CallFailure("cut off", may_have_run=False)
        return self._fleet.call(path, body)

    def post(self, message: Message) -> None:
        """Receive a message of the checker to the controller."""
        if isinstance(message, HealthCheckCompleted):
            self.servers_reported.add(message.server)
            if not self._is_own_result:
                self.peer_result_count += 1

    def _check(self, server: str) -> None:
        self._fleet.checks.append((self._fleet.now_us, server))
        self._is_own_result = True
        self.checker.post(HealthCheckCompleted(server, AttemptStatus.DELIVERED, 300, (0.4, 20.0)))
        self._is_own_result = False

    def poll(self) -> None:
        """Run one reconcile pass to its end without advancing virtual time."""
        reconcile_pass = self.checker.reconcile()
        try:
            reconcile_pass.send(None)
        except StopIteration:
            return
        raise RuntimeError("a reconcile pass waited; virtual time requires that it completes immediately")


class SimulatedFleet:
    """Proxies, session servers and one engine in virtual time.

    Attributes:
        now_us: Current virtual time.
        checks: Time and server of each health check since the last `reset_measurement`.
        calls: Number of calls to the engine since then.
        transferred_bytes: Bytes of these calls, requests and responses.
    """

    def __init__(
        self,
        proxies: int,
        servers: int,
        poll_interval_ms: int = 200,
        check_interval_ms: int = 250,
        takeover_delay_ms: int = 900,
    ) -> None:
        self.now_us = 1_000_000
        self.store = Store()
        self._servers = [f"s-{index}" for index in range(servers)]
        self.membership = MembershipConfig(
            endpoints=("127.0.0.1:1",), lease_ttl_s=3, poll_interval_ms=poll_interval_ms, call_timeout_ms=300
        )
        self.sharing = SharedHealthChecksConfig(
            check_interval_ms=check_interval_ms, takeover_delay_ms=takeover_delay_ms, max_report_age_ms=1_500
        )
        self.checks: list[tuple[int, str]] = []
        self._measured_since_us = self.now_us
        self.calls = 0
        self.transferred_bytes = 0
        self.proxies = [SimulatedProxy(self, index) for index in range(proxies)]

    def list_servers(self) -> list[str]:
        """Return the session servers in the endpoint list."""
        return self._servers

    def call(self, path: str, body: etcd_api.Body) -> etcd_api.Body | CallFailure:
        """Execute a call on the engine immediately."""
        self.calls += 1
        try:
            response = handle_call(self.store, path, body, self.now_us)
        except NotFoundError as error:
            return CallFailure(str(error), may_have_run=True)
        self.transferred_bytes += len(orjson.dumps(body)) + len(orjson.dumps(response))
        return response

    def run(self, duration_s: float) -> None:
        """Advance virtual time and run the proxies."""
        for _ in range(round(duration_s / TICK_INTERVAL_S)):
            self.now_us += TICK_US
            for proxy in self.proxies:
                if not proxy.is_alive or proxy.is_frozen:
                    continue
                if self.now_us >= proxy.next_poll_us:
                    proxy.next_poll_us = self.now_us + self.membership.poll_interval_ms * 1000
                    proxy.poll()
                proxy.checker.start_due_checks()

    def reset_measurement(self) -> None:
        """Start a new measurement."""
        self.checks = []
        self._measured_since_us = self.now_us
        self.calls = 0
        self.transferred_bytes = 0

    @property
    def measured_s(self) -> float:
        """Duration of the current measurement."""
        return (self.now_us - self._measured_since_us) / 1e6

    def check_rates(self) -> dict[str, float]:
        """Return the health checks per second of each server."""
        counts = Counter(server for _, server in self.checks)
        return {name: counts[name] / self.measured_s for name in self._servers}

    def check_gaps_s(self) -> dict[str, float]:
        """Return the longest time without a health check for each server."""
        times_us: dict[str, list[int]] = {name: [self._measured_since_us] for name in self._servers}
        for checked_us, server in self.checks:
            times_us[server].append(checked_us)
        return {name: max(np.diff([*times, self.now_us])) / 1e6 for name, times in times_us.items()}

    def longest_gap_s(self) -> float:
        """Return the longest time without a health check for any server."""
        return float(max(self.check_gaps_s().values()))

    def inject_fault(self, index: int, fault: ProxyFault) -> None:
        """Kill, freeze or disconnect a proxy."""
        proxy = self.proxies[index]
        proxy.is_alive = fault is not ProxyFault.KILLED
        proxy.is_frozen = fault is ProxyFault.FROZEN
        proxy.is_connected = fault is not ProxyFault.CUT_OFF

    def recover(self, index: int) -> None:
        """End a proxy's fault; a killed proxy is not restarted."""
        self.proxies[index].is_frozen = False
        self.proxies[index].is_connected = True

    def poll(self, index: int) -> None:
        """Run one reconcile pass of a proxy, independent of when it is due."""
        self.proxies[index].poll()

    def publish_malformed_report(self, index: int) -> None:
        """Publish an undecodable report under a proxy's key, as a proxy of another version may do."""
        key = f"{self.membership.scope}/sharing/reports/{self.proxies[index].name}"
        request = etcd_api.transaction([], [etcd_api.put_operation(key, b"{]")])
        handle_call(self.store, etcd_api.TRANSACTION_PATH, request, self.now_us)


def measure(sizes: tuple[int, ...], servers: int, out: Path) -> Iterator[str]:
    """Measure each number of proxies and two faults; yield lines of text.

    The tables are written to OUT/sharing.csv and OUT/sharing-lost.csv, the chart to OUT/sharing.png.

    Raises:
        LabError: `out` exists and is not a folder.
    """
    from stoatgw.lab.charts import draw_shared_health_checks

    if out.exists() and not out.is_dir():
        raise LabError(f"{out}: is not a folder")
    out.mkdir(parents=True, exist_ok=True)
    rows: list[dict[str, Value]] = []
    for proxies in sizes:
        rows.append(_measure_size(proxies, servers))
        yield ", ".join(f"{name} {value}" for name, value in rows[-1].items())
    write_csv(out / "sharing.csv", rows)
    seconds = [row for fault in (ProxyFault.KILLED, ProxyFault.FROZEN) for row in _measure_fault(fault)]
    write_csv(out / "sharing-lost.csv", seconds)
    yield str(draw_shared_health_checks(seconds, out / "sharing.png"))


def _measure_size(proxies: int, servers: int) -> dict[str, Value]:
    """Measure check rates and engine load of `proxies` proxies, and how long servers are unchecked if one is killed."""
    fleet = SimulatedFleet(proxies, servers)
    fleet.run(WARM_UP_S)
    fleet.reset_measurement()
    fleet.run(MEASURED_S)
    rates = list(fleet.check_rates().values())
    calls_s = fleet.calls / MEASURED_S
    bytes_s = fleet.transferred_bytes / MEASURED_S
    fleet.reset_measurement()
    assigned = set(fleet.proxies[0].checker.assigned_servers)
    fleet.inject_fault(0, ProxyFault.KILLED)
    fleet.run(AFTER_KILL_S)
    gaps_s = [gap_s for name, gap_s in fleet.check_gaps_s().items() if name in assigned] or [0.0]
    return {
        "proxies": proxies,
        "servers": servers,
        "probes_a_server_s": round(float(np.mean(rates)), 3),
        "most": max(rates),
        "if_each_did": round(proxies * CHECKS_PER_SERVER_S, 1),
        "engine_calls_s": round(calls_s, 1),
        "engine_mb_s": round(bytes_s / 1e6, 3),
        "gap_median_s": round(float(np.median(gaps_s)), 3),
        "gap_99th_s": round(float(np.quantile(gaps_s, 0.99)), 3),
        "gap_worst_s": round(max(gaps_s), 3),
        "rate_after_kill": round(float(np.mean(list(fleet.check_rates().values()))), 3),
    }


def _measure_fault(fault: ProxyFault) -> Iterator[dict[str, Value]]:
    """Yield the health checks of each second, with one of three proxies failing from second 4 to 10."""
    fleet = SimulatedFleet(3, 30)
    fleet.run(6.0)
    fleet.reset_measurement()
    for second in range(16):
        checks_before = len(fleet.checks)
        if second == 4:
            fleet.inject_fault(0, fault)
        if second == 10:
            fleet.recover(0)
        fleet.run(1.0)
        yield {"how": fault.value, "second": second, "probes": len(fleet.checks) - checks_before}
