"""Duration of a rolling maintenance by the limit of servers out of service, with and without a killed proxy.

The proxies run as real processes.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.emulator.loopback.maintenance.run import MaintenanceRun
from stoatgw.lab.errors import LabError
from stoatgw.lab.tables import Value, write_csv
from stoatgw.maintenance.keys import StoreSnapshot
from stoatgw.maintenance.rollout_state import StepState

RUN_TIMEOUT_S = 300.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """Measurements of one maintenance run.

    Attributes:
        duration_s: Time from the first step to the end of the last.
        max_machines_out: Largest number of machines out of service at once.
        not_worked_on_once: Number of machines that were not maintained exactly once.
        timed_out: Number of steps that timed out.
        clients_lost: Number of clients without an answer.
        clients_cut_off: Number of clients whose session was ended by a restart.
    """

    duration_s: float
    max_machines_out: int
    not_worked_on_once: int
    timed_out: int
    clients_lost: int
    clients_cut_off: int


def measure(servers: int, bounds: tuple[int, ...], repeats: int, out: Path) -> Iterator[str]:
    """Measure runs for each limit in `bounds`; yield lines of text, and write OUT/upkeep.csv and OUT/upkeep.png.

    Raises:
        LabError: `out` exists and is not a folder.
    """
    from stoatgw.lab.charts import draw_maintenance

    if out.exists() and not out.is_dir():
        raise LabError(f"{out}: is not a folder")
    out.mkdir(parents=True, exist_ok=True)
    rows: list[dict[str, Value]] = []
    for max_unavailable_servers in bounds:
        for kills_leader in (False, True):
            results = [
                asyncio.run(_run(servers, max_unavailable_servers, kills_leader=kills_leader)) for _ in range(repeats)
            ]
            rows.append(
                {"servers": servers, "out_most": max_unavailable_servers, "killed": int(kills_leader), "plays": repeats}
                | _summarise(results)
            )
            yield ", ".join(f"{name} {value}" for name, value in rows[-1].items())
    write_csv(out / "upkeep.csv", rows)
    yield str(draw_maintenance(rows, out / "upkeep.png"))


def _summarise(results: list[RunResult]) -> dict[str, Value]:
    durations_s = [result.duration_s for result in results]
    return {
        "median_s": round(float(np.median(durations_s)), 2),
        "least_s": round(min(durations_s), 2),
        "most_s": round(max(durations_s), 2),
        "most_out": max(result.max_machines_out for result in results),
        "twice_or_never": sum(result.not_worked_on_once for result in results),
        "late": sum(result.timed_out for result in results),
        "lost": sum(result.clients_lost for result in results),
        "cut": sum(result.clients_cut_off for result in results),
    }


async def _run(servers: int, max_unavailable_servers: int, *, kills_leader: bool) -> RunResult:
    plan = MaintenancePlan(
        name="upkeep",
        machines=tuple(f"s-{index}" for index in range(servers)),
        max_unavailable_servers=max_unavailable_servers,
        max_zone_fraction=1.0,
        settle_s=0.5,
        member_loss_timeout_s=3.0,
        step_timeout_s=60.0,
    )

    def has_reached_half(snapshot: StoreSnapshot) -> bool:
        """Return whether a leader is elected and half of the steps have begun."""
        rollout = snapshot.rollout
        return snapshot.fencing_token > 0 and rollout is not None and len(rollout.steps) >= servers // 2

    with tempfile.TemporaryDirectory() as folder:
        async with (
            MaintenanceRun(Path(folder), plan, servers=servers, clients=3 * servers) as run,
            asyncio.timeout(RUN_TIMEOUT_S),
        ):
            await run.wait_for(lambda snapshot: snapshot.rollout is not None and bool(snapshot.rollout.steps))
            started_s = asyncio.get_running_loop().time()
            if kills_leader:
                snapshot = await run.wait_for(has_reached_half)
                await run.kill_proxy(run.leader_index(snapshot))
            rollout = await run.wait_until_finished()
            return RunResult(
                duration_s=asyncio.get_running_loop().time() - started_s,
                max_machines_out=max(len(state.machines_out_of_service()) for state in run.rollout_history()),
                not_worked_on_once=sum(run.restart_counts[name] != 1 for name in plan.machines),
                timed_out=sum(step.state is StepState.LATE for step in rollout.steps.values()),
                clients_lost=run.clients.tally.lost,
                clients_cut_off=run.clients.tally.cut_off,
            )
