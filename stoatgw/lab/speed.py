"""Speed of the virtual driver, and its cost by the size of the fleet, as a table and a chart."""

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
from stoatgw.lab.charts import draw_cost_by_axis, draw_speed
from stoatgw.lab.scenarios import find_scenario
from stoatgw.lab.tables import Value, format_row, make_output_folder, write_csv

LENGTH_BY_SERVERS_S = {8: 60.0, 100: 30.0}  # by number of servers
DEFAULT_LENGTH_S = 10.0  # for every other number of servers
SERVERS_PER_PROXY = 20
MIN_PROXIES = 3
REPEATS = 3
MIN_SERVERS_FOR_SINGLE_RUN = 500  # fleets of at least this size are run once
SMALL_FLEET_PER_CORE = (20.0, 40.0)
SMALL_FLEET_SERVERS = 100  # smaller fleets have as many sessions per core as in other scenarios
# The sizes of a scenario that are changed one at a time, with their values.
AXES = {"servers": (25.0, 100.0, 400.0), "proxies": (2.0, 10.0, 50.0), "load": (0.1, 0.2, 0.4)}
AXES_SERVERS = 100


def measure(servers: tuple[int, ...], out: Path) -> Iterator[str]:
    """Measure the speed for each fleet size, and the cost along each axis with the other sizes constant.

    Yields lines of text; writes tables to OUT/speed.csv and OUT/axes.csv, charts to OUT/speed.png and OUT/axes.png.

    Raises:
        LabError: `out` exists and is not a folder.
    """
    make_output_folder(out)
    speed_rows: list[dict[str, Value]] = []
    for count in servers:
        speed_rows.append(
            _measure_scenario(make_scaled_scenario(count), 1 if count >= MIN_SERVERS_FOR_SINGLE_RUN else REPEATS)
        )
        yield format_row(speed_rows[-1])
    write_csv(out / "speed.csv", speed_rows)
    yield str(draw_speed(speed_rows, out / "speed.png"))
    axis_rows: list[dict[str, Value]] = []
    for axis, values in AXES.items():
        for value in values:
            row: dict[str, Value] = {"axis": axis, "value": value}
            axis_rows.append(row | _measure_scenario(_make_axis_scenario(axis, value), REPEATS))
            yield format_row(axis_rows[-1])
    write_csv(out / "axes.csv", axis_rows)
    yield str(draw_cost_by_axis(axis_rows, out / "axes.png"))


def make_scaled_scenario(servers: int) -> Scenario:
    """Create a steady scenario with one drain, of `servers` servers and one proxy for each 20 of them (at least 3)."""
    base = load_scenario(find_scenario("large"))
    length_s = LENGTH_BY_SERVERS_S.get(servers, DEFAULT_LENGTH_S)
    per_core = base.fleet.per_core if servers >= SMALL_FLEET_SERVERS else SMALL_FLEET_PER_CORE
    return replace(
        base,
        name=f"speed-{servers}",
        length_s=length_s,
        fleet=replace(base.fleet, servers=servers, per_core=per_core),
        proxies=replace(base.proxies, count=max(MIN_PROXIES, servers // SERVERS_PER_PROXY)),
        faults=(Shrink(at_s=length_s / 3, to=0.9, over_s=length_s / 6),),
    )


def _make_axis_scenario(axis: str, value: float) -> Scenario:
    """Create a shorter scenario of 100 servers without the drain, with one of its sizes changed to `value`."""
    base = replace(make_scaled_scenario(AXES_SERVERS), length_s=DEFAULT_LENGTH_S, faults=())
    if axis == "servers":
        # The number of sessions stays the same.
        low, high = (bound * AXES_SERVERS / value for bound in base.fleet.per_core)
        return replace(base, fleet=replace(base.fleet, servers=int(value), per_core=(low, high)))
    if axis == "proxies":
        return replace(base, proxies=replace(base.proxies, count=int(value)))
    return replace(base, clients=replace(base.clients, load=value))


def _measure_scenario(scenario: Scenario, repeats: int) -> dict[str, Value]:
    """Run a scenario on `repeats` seeds; return its table row, with medians of the wall times."""
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
