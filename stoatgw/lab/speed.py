"""How fast virtual time runs, and how its cost grows with the fleet, as a table and a chart."""

from __future__ import annotations

import resource
import time
from collections.abc import Iterator
from pathlib import Path

import numpy as np
from msgspec.structs import replace

from stoatgw.emulator.virtual.driver import VirtualDriver
from stoatgw.emulator.world.events import EventSink
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.scenario_faults import Shrink
from stoatgw.emulator.world.scenario_file import load_scenario
from stoatgw.lab.charts import draw_axes, draw_speed
from stoatgw.lab.scenarios import find_scenario
from stoatgw.lab.tables import Value, format_row, make_output_folder, write_csv

LENGTHS_S = {8: 60.0, 100: 30.0}  # by servers
LENGTH_OF_LARGE_S = 10.0  # of every other fleet
SERVERS_PER_PROXY = 20
MIN_PROXIES = 3
REPEATS = 3
ONE_RUN_FROM_SERVERS = 500  # fleets of so many servers are run once
SMALL_FLEET_PER_CORE = (20.0, 40.0)
SMALL_FLEET_SERVERS = 100  # under so many, a core holds as many sessions as in the other scenarios
AXES = {"servers": (25.0, 100.0, 400.0), "proxies": (2.0, 10.0, 50.0), "load": (0.1, 0.2, 0.4)}
AXES_SERVERS = 100


def measure(servers: tuple[int, ...], out: Path) -> Iterator[str]:
    """Measure fleets of some sizes, and along each axis the cost of one size alone.

    Yields lines for people; tables go to OUT/speed.csv and OUT/axes.csv, charts to OUT/speed.png and OUT/axes.png.

    Raises:
        LabError: `out` is no folder.
    """
    make_output_folder(out)
    speed_rows: list[dict[str, Value]] = []
    for count in servers:
        speed_rows.append(_measure_scenario(scale_scenario(count), 1 if count >= ONE_RUN_FROM_SERVERS else REPEATS))
        yield format_row(speed_rows[-1])
    write_csv(out / "speed.csv", speed_rows)
    yield str(draw_speed(speed_rows, out / "speed.png"))
    axis_rows: list[dict[str, Value]] = []
    for axis, values in AXES.items():
        for value in values:
            row: dict[str, Value] = {"axis": axis, "value": value}
            axis_rows.append(row | _measure_scenario(_scale_axis(axis, value), REPEATS))
            yield format_row(axis_rows[-1])
    write_csv(out / "axes.csv", axis_rows)
    yield str(draw_axes(axis_rows, out / "axes.png"))


def scale_scenario(servers: int) -> Scenario:
    """A calm day with a drain in it, of so many servers, one proxy for twenty of them (three at least)."""
    base = load_scenario(find_scenario("large"))
    length_s = LENGTHS_S.get(servers, LENGTH_OF_LARGE_S)
    per_core = base.fleet.per_core if servers >= SMALL_FLEET_SERVERS else SMALL_FLEET_PER_CORE
    return replace(
        base,
        name=f"speed-{servers}",
        length_s=length_s,
        fleet=replace(base.fleet, servers=servers, per_core=per_core),
        proxies=replace(base.proxies, count=max(MIN_PROXIES, servers // SERVERS_PER_PROXY)),
        faults=(Shrink(at_s=length_s / 3, to=0.9, over_s=length_s / 6),),
    )


def _scale_axis(axis: str, value: float) -> Scenario:
    """The day of 100 servers, shorter, with one of its sizes changed and the others kept."""
    base = replace(scale_scenario(AXES_SERVERS), length_s=LENGTH_OF_LARGE_S, faults=())
    if axis == "servers":
        # As many sessions as before, on fewer or more servers.
        low, high = (bound * AXES_SERVERS / value for bound in base.fleet.per_core)
        return replace(base, fleet=replace(base.fleet, servers=int(value), per_core=(low, high)))
    if axis == "proxies":
        return replace(base, proxies=replace(base.proxies, count=int(value)))
    return replace(base, clients=replace(base.clients, load=value))


def _measure_scenario(scenario: Scenario, repeats: int) -> dict[str, Value]:
    """Run a scenario on so many seeds; the medians of the wall times."""
    run_times_s = []
    build_times_s = []
    for seed in range(repeats):
        started_s = time.perf_counter()
        driver = VirtualDriver(scenario, seed, EventSink())
        built_s = time.perf_counter()
        driver.run()
        run_times_s.append(time.perf_counter() - built_s)
        build_times_s.append(built_s - started_s)
    wall_s = float(np.median(run_times_s))
    steps = driver.scheduler.executed_steps
    return {
        "servers": scenario.fleet.servers,
        "proxies": scenario.proxies.count,
        "standing": driver.world.population.established_count,
        "tries": driver.counts["tries"],
        "simulated_s": scenario.length_s,
        "wall_s": round(wall_s, 3),
        "speed": round(scenario.length_s / wall_s, 3),
        "steps": steps,
        "us_a_step": round(1e6 * wall_s / steps, 2),
        "set_up_s": round(float(np.median(build_times_s)), 3),
        "peak_mib": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }
