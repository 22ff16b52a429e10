"""Parts of the cases on a rolling maintenance: the operators' file, and staff who work on what the ledger frees."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from typing import Any

from standins import Engine, Place, Proxy, SessionServer

PLAN_NAME = "2026-12-kernel"
SCOPE = "dk-main"
PREFIX = f"{SCOPE}/maintenance/{PLAN_NAME}/"


def operators_file(place: Place, engine: Engine, machines: list[str], **plan: Any) -> str:
    """Return the operators' file of docs/maintenance.md, with this plan."""
    settings = {"name": PLAN_NAME, "machines": machines, "out_most": 1, "zone_share": 0.34, "done": "restarted"} | plan
    lines = [
        f"{name} = {str(value) if not isinstance(value, str) else repr(value)}" for name, value in settings.items()
    ]
    head = f"""version = 1

[membership]
engine = ["{place.host}:{engine.port}"]
scope = "{SCOPE}"
lease_s = 6
look_ms = 200
call_ms = 300

[maintenance]
"""
    return head + "\n".join(lines).replace("'", '"') + "\n"


class Staff:
    """Works on each machine that the ledger says may be worked on: a restart, once for each step."""

    def __init__(self, place: Place, servers: list[SessionServer], proxies: list[Proxy], tell: Any) -> None:
        self._place = place
        self._servers = {server.name: server for server in servers}
        self._proxies = {f"proxy/{proxy.name}": proxy for proxy in proxies}
        self._tell = tell
        self._begun: set[tuple[str, int]] = set()
        self.works: Counter[str] = Counter()
        self.busy: set[str] = set()
        self.stop_signal = signal.SIGTERM
        self.before_proxy: Any = None  # awaited before the next work on a proxy

    async def run(self, engine: Engine) -> None:
        shown = ""
        while True:
            ledger = await engine.ledger(PREFIX)
            steps = ledger["steps"] if ledger is not None else {}
            brief = {name: step["state"] + (" empty" if step.get("empty") else "") for name, step in steps.items()}
            now_shown = "no ledger" if ledger is None else f"ledger {brief}"
            if now_shown != shown:
                shown = now_shown
                self._place.record.note("engine", shown)
            for name, step in steps.items():
                key = (name, step["at_ms"])
                if step["state"] == "out" and step.get("empty") and key not in self._begun:
                    self._begun.add(key)
                    self._place.spawn(self.work_on(name))
            await asyncio.sleep(0.05)

    async def work_on(self, name: str) -> None:
        self.works[name] += 1
        self.busy.add(name)
        self._place.record.note("staff", f"{name} may be worked on: work {self.works[name]} begins")
        if name in self._servers:
            await self._servers[name].restart(0.5)
            await asyncio.sleep(0.7)
            self._tell(self._servers[name].entry)
        else:
            if self.before_proxy is not None:
                prepare, self.before_proxy = self.before_proxy, None
                await prepare()
            await self._proxies[name].end(self.stop_signal)
            await self._proxies[name].start()
        self.busy.discard(name)
        self._place.record.note("staff", f"{name}: the work is done")


def steps_of(ledger: dict[str, Any] | None) -> dict[str, Any]:
    """Return a ledger's steps by machine; none without a ledger."""
    return dict(ledger["steps"]) if ledger is not None else {}


def seconds_since(start: float) -> float:
    return time.monotonic() - start
