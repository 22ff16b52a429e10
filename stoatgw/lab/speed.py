"""How fast virtual time runs, and how its cost grows with the fleet, as a table and a chart."""

from __future__ import annotations

import resource
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import numpy as np

from stoatgw.emulator.virtual.driver import VirtualDriver
from stoatgw.emulator.world.events import EventSink
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.scenario_faults import Shrink
from stoatgw.lab.errors import LabError
from stoatgw.lab.experiment import find_scenario
from stoatgw.lab.tables import Value, write_csv

LENGTHS_S = {8: 60.0, 100: 30.0}  # larger fleets are played for `LONG_S`
LONG_S = 10.0
SERVERS_A_PROXY = 20
REPEATS = 3
AXES = {"servers": (25.0, 100.0, 400.0), "proxies": (2.0, 10.0, 50.0), "load": (0.1, 0.2, 0.4)}


def scaled(servers: int) -> Scenario:
    """A calm day with a drain in it, of so many servers, one proxy for twenty of them (three at least)."""
    from stoatgw.emulator.world.scenario_file import load_scenario

    base = load_scenario(find_scenario("large"))
    length_s = LENGTHS_S.get(servers, LONG_S)
    proxies = max(3, servers // SERVERS_A_PROXY)
    per_core = base.fleet.per_core if servers >= 100 else (20.0, 40.0)
    return msgspec.structs.replace(
        base,
        name=f"speed-{servers}",
        length_s=length_s,
        fleet=msgspec.structs.replace(base.fleet, servers=servers, per_core=per_core),
        proxies=msgspec.structs.replace(base.proxies, count=proxies),
        faults=(Shrink(at_s=length_s / 3, to=0.9, over_s=length_s / 6),),
    )


def measure(servers: tuple[int, ...], out: Path) -> Iterator[str]:
    """Lines for people; tables go to OUT/speed.csv and OUT/axes.csv, charts to OUT/speed.png and OUT/axes.png."""
    from stoatgw.lab.charts import draw_axes, draw_speed

    if out.exists() and not out.is_dir():
        raise LabError(f"{out}: is no folder")
    out.mkdir(parents=True, exist_ok=True)
    rows: list[dict[str, Value]] = []
    for count in servers:
        rows.append(_time(scaled(count), 1 if count >= 500 else REPEATS))
        yield _text(rows[-1])
    write_csv(out / "speed.csv", rows)
    yield str(draw_speed(rows, out / "speed.png"))
    axes: list[dict[str, Value]] = []
    for axis, values in AXES.items():
        for value in values:
            head: dict[str, Value] = {"axis": axis, "value": value}
            axes.append(head | _time(_along(axis, value), REPEATS))
            yield _text(axes[-1])
    write_csv(out / "axes.csv", axes)
    yield str(draw_axes(axes, out / "axes.png"))


def _along(axis: str, value: float) -> Scenario:
    """The day of 100 servers, shorter, with one of its sizes changed and the others kept."""
    base = msgspec.structs.replace(scaled(100), length_s=LONG_S, faults=())
    if axis == "servers":
        # As many connections as before, on fewer or more servers.
        low, high = (edge * 100 / value for edge in base.fleet.per_core)
        return msgspec.structs.replace(
            base, fleet=msgspec.structs.replace(base.fleet, servers=int(value), per_core=(low, high))
        )
    if axis == "proxies":
        return msgspec.structs.replace(base, proxies=msgspec.structs.replace(base.proxies, count=int(value)))
    return msgspec.structs.replace(base, clients=msgspec.structs.replace(base.clients, load=value))


def _time(scenario: Scenario, repeats: int) -> dict[str, Value]:
    """Play a scenario on so many seeds; the median of the wall times."""
    took, built = [], []
    for repeat in range(repeats):
        began = time.perf_counter()
        driver = VirtualDriver(scenario, repeat, EventSink())
        ready = time.perf_counter()
        driver.run()
        built.append(ready - began)
        took.append(time.perf_counter() - ready)
    wall = float(np.median(took))
    return {
        "servers": scenario.fleet.servers,
        "proxies": scenario.proxies.count,
        "standing": driver.world.population.established_count,
        "tries": driver.counts["tries"],
        "simulated_s": scenario.length_s,
        "wall_s": round(wall, 3),
        "speed": round(scenario.length_s / wall, 3),
        "steps": driver.scheduler.executed_steps,
        "us_a_step": round(1e6 * wall / driver.scheduler.executed_steps, 2),
        "set_up_s": round(float(np.median(built)), 3),
        "peak_mib": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


def _text(row: dict[str, Value]) -> str:
    return ", ".join(f"{name} {value}" for name, value in row.items())
