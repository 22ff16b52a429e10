"""Shared probing in virtual time: the agents themselves, over the stand-in's store; what servers and engine see."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import numpy as np
import orjson

from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.controller.messages import HealthCheckCompleted, Message
from stoatgw.decisions.interface import AttemptStatus
from stoatgw.emulator.engine.gateway import NotFoundError, answer
from stoatgw.emulator.engine.store import Store
from stoatgw.lab.errors import LabError
from stoatgw.lab.tables import Value, write_csv
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure
from stoatgw.shared_health_checks.checker import TICK_S, SharedHealthChecker
from stoatgw.telemetry.log import EventLog

TICK_US = int(TICK_S * 1e6)


class Silent(EventLog):
    def event(self, event: str, **fields: Any) -> None:
        pass


class Proxy:
    """One agent, with the owner and the session servers in one."""

    def __init__(self, fleet: Fleet, place: int) -> None:
        self._fleet, self.name = fleet, f"n{place}"
        self.alive, self.frozen, self.linked = True, False, True
        self.told: set[str] = set()  # servers of which the decisions were told anything
        self.handed, self._own = 0, False
        self.agent = SharedHealthChecker(
            fleet.membership,
            fleet.sharing,
            self.name,
            self,
            self,
            self._probe,
            fleet.servers,
            lambda: fleet.now_us,
            Silent("lab"),
            Random(place),
        )
        # They look at times of their own, as processes that start one after the other do.
        self.next_look_us = Random(place).randrange(fleet.membership.poll_interval_ms * 1000)

    async def call(self, path: str, body: etcd_api.Body) -> etcd_api.Body | CallFailure:
        if not self.linked:
            return CallFailure("cut off", may_have_run=False)
        return self._fleet.call(path, body)

    def post(self, message: Message) -> None:
        if isinstance(message, HealthCheckCompleted):
            self.told.add(message.server)
            self.handed += not self._own

    def _probe(self, server: str) -> None:
        self._fleet.probes.append((self._fleet.now_us, server))
        self._own = True
        self.agent.post(HealthCheckCompleted(server, AttemptStatus.DELIVERED, 300, (0.4, 20.0)))
        self._own = False

    def look(self) -> None:
        """A whole look, in no time."""
        run = self.agent.reconcile()
        try:
            run.send(None)
        except StopIteration:
            return
        raise RuntimeError("a look waited for something in virtual time")


class Fleet:
    def __init__(
        self, proxies: int, servers: int, look_ms: int = 200, probe_ms: int = 250, stale_ms: int = 900
    ) -> None:
        self.now_us, self.store, self._names = 1_000_000, Store(), [f"s-{place}" for place in range(servers)]
        self.membership = MembershipConfig(
            endpoints=("127.0.0.1:1",), lease_ttl_s=3, poll_interval_ms=look_ms, call_timeout_ms=300
        )
        self.sharing = SharedHealthChecksConfig(
            check_interval_ms=probe_ms, takeover_delay_ms=stale_ms, max_report_age_ms=1_500
        )
        self.probes: list[tuple[int, str]] = []
        self._marked_us, self.calls, self.bytes = self.now_us, 0, 0
        self.proxies = [Proxy(self, place) for place in range(proxies)]

    def servers(self) -> list[str]:
        return self._names

    def call(self, path: str, body: etcd_api.Body) -> etcd_api.Body | CallFailure:
        self.calls += 1
        try:
            found = answer(self.store, path, body, self.now_us)
        except NotFoundError as error:
            return CallFailure(str(error), may_have_run=True)
        self.bytes += len(orjson.dumps(body)) + len(orjson.dumps(found))
        return found

    def run(self, for_s: float) -> None:
        for _ in range(round(for_s / TICK_S)):
            self.now_us += TICK_US
            for proxy in self.proxies:
                if not proxy.alive or proxy.frozen:
                    continue
                if self.now_us >= proxy.next_look_us:
                    proxy.next_look_us = self.now_us + self.membership.poll_interval_ms * 1000
                    proxy.look()
                proxy.agent.start_due_checks()

    def mark(self) -> None:
        """Figures count from now on."""
        self.probes, self._marked_us, self.calls, self.bytes = [], self.now_us, 0, 0

    @property
    def passed_s(self) -> float:
        return (self.now_us - self._marked_us) / 1e6

    def rates(self) -> dict[str, float]:
        """Probes a second at each server."""
        count = Counter(server for _, server in self.probes)
        return {name: count[name] / self.passed_s for name in self._names}

    def gaps_s(self) -> dict[str, float]:
        """The longest time without a probe, of each server."""
        at: dict[str, list[int]] = {name: [self._marked_us] for name in self._names}
        for now_us, server in self.probes:
            at[server].append(now_us)
        return {name: max(np.diff([*times, self.now_us])) / 1e6 for name, times in at.items()}

    def longest_gap_s(self) -> float:
        return float(max(self.gaps_s().values()))

    def lose(self, place: int, how: str) -> None:
        proxy = self.proxies[place]
        proxy.alive, proxy.frozen, proxy.linked = how != "killed", how == "frozen", how != "cut off"

    def back(self, place: int) -> None:
        self.proxies[place].frozen, self.proxies[place].linked = False, True

    def step(self, place: int) -> None:
        """One look, whenever it would have been due."""
        self.proxies[place].look()

    def spoil(self, place: int) -> None:
        """What a proxy of another version may publish."""
        key = f"{self.membership.scope}/sharing/reports/{self.proxies[place].name}"
        answer(self.store, etcd_api.TXN, etcd_api.txn([], [etcd_api.put(key, b"{]")]), self.now_us)


def measure(sizes: tuple[int, ...], servers: int, out: Path) -> Iterator[str]:
    """Lines for people; tables go to OUT/sharing.csv and OUT/sharing-lost.csv, the chart to OUT/sharing.png."""
    from stoatgw.lab.charts import draw_shared_health_checks

    if out.exists() and not out.is_dir():
        raise LabError(f"{out}: is no folder")
    out.mkdir(parents=True, exist_ok=True)
    rows: list[dict[str, Value]] = []
    for count in sizes:
        fleet = Fleet(count, servers)
        fleet.run(5.0)
        fleet.mark()
        fleet.run(4.0)
        rates, calls, sent = list(fleet.rates().values()), fleet.calls / 4.0, fleet.bytes / 4.0
        fleet.mark()
        held = set(fleet.proxies[0].agent.assigned_servers)
        fleet.lose(0, "killed")
        fleet.run(8.0)
        taken = [gap for name, gap in fleet.gaps_s().items() if name in held] or [0.0]
        rows.append(
            {
                "proxies": count,
                "servers": servers,
                "probes_a_server_s": round(float(np.mean(rates)), 3),
                "most": max(rates),
                "if_each_did": round(count * 4.0, 1),
                "engine_calls_s": round(calls, 1),
                "engine_mb_s": round(sent / 1e6, 3),
                "gap_median_s": round(float(np.median(taken)), 3),
                "gap_99th_s": round(float(np.quantile(taken, 0.99)), 3),
                "gap_worst_s": round(max(taken), 3),
                "rate_after_kill": round(float(np.mean(list(fleet.rates().values()))), 3),
            }
        )
        yield ", ".join(f"{name} {value}" for name, value in rows[-1].items())
    write_csv(out / "sharing.csv", rows)
    seconds: list[dict[str, Value]] = []
    for how in ("killed", "frozen"):
        fleet = Fleet(3, 30)
        fleet.run(6.0)
        fleet.mark()
        for second in range(16):
            before = len(fleet.probes)
            if second == 4:
                fleet.lose(0, how)
            if second == 10:
                fleet.back(0)
            fleet.run(1.0)
            seconds.append({"how": how, "second": second, "probes": len(fleet.probes) - before})
    write_csv(out / "sharing-lost.csv", seconds)
    yield str(draw_shared_health_checks(seconds, out / "sharing.png"))
