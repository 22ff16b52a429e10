"""How long a rolling maintenance takes, against how many may be out at once and with a proxy killed; real processes."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterator
from pathlib import Path

import numpy as np

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.emulator.loopback.maintenance_run import MaintenanceRun
from stoatgw.lab.errors import LabError
from stoatgw.lab.tables import Value, write_csv
from stoatgw.maintenance.rollout_state import StepState

LIMIT_S = 300.0


def measure(servers: int, bounds: tuple[int, ...], repeats: int, out: Path) -> Iterator[str]:
    """Lines for people; the table goes to OUT/upkeep.csv, the chart to OUT/upkeep.png."""
    from stoatgw.lab.charts import draw_maintenance

    if out.exists() and not out.is_dir():
        raise LabError(f"{out}: is no folder")
    out.mkdir(parents=True, exist_ok=True)
    rows: list[dict[str, Value]] = []
    for bound in bounds:
        for kill in (False, True):
            plays = [asyncio.run(_play(servers, bound, kill)) for _ in range(repeats)]
            took = [play[0] for play in plays]
            rows.append(
                {
                    "servers": servers,
                    "out_most": bound,
                    "killed": int(kill),
                    "plays": repeats,
                    "median_s": round(float(np.median(took)), 2),
                    "least_s": round(min(took), 2),
                    "most_s": round(max(took), 2),
                    "most_out": max(play[1] for play in plays),
                    "twice_or_never": sum(play[2] for play in plays),
                    "late": sum(play[3] for play in plays),
                    "lost": sum(play[4] for play in plays),
                    "cut": sum(play[5] for play in plays),
                }
            )
            yield ", ".join(f"{name} {value}" for name, value in rows[-1].items())
    write_csv(out / "upkeep.csv", rows)
    yield str(draw_maintenance(rows, out / "upkeep.png"))


async def _play(servers: int, bound: int, kill: bool) -> tuple[float, int, int, int, int, int]:
    """Seconds from the first step to the last, most out at once, machines not worked on once, late, and clients
    lost and cut off."""
    plan = MaintenancePlan(
        name="upkeep",
        machines=tuple(f"s-{place}" for place in range(servers)),
        max_servers_out=bound,
        max_zone_fraction=1.0,
        settle_s=0.5,
        member_loss_timeout_s=3.0,
        step_timeout_s=60.0,
    )
    with tempfile.TemporaryDirectory() as folder:
        async with (
            MaintenanceRun(Path(folder), plan, servers=servers, clients=3 * servers) as up,
            asyncio.timeout(LIMIT_S),
        ):
            await up.until(lambda look: look.rollout is not None and bool(look.rollout.steps))
            began_s = asyncio.get_running_loop().time()
            if kill:
                look = await up.until(
                    lambda look: (
                        look.fencing_token > 0 and look.rollout is not None and len(look.rollout.steps) >= servers // 2
                    )
                )
                await up.kill_proxy(up.leader(look))
            last = await up.finished()
            took_s = asyncio.get_running_loop().time() - began_s
            wrong = sum(up.worked[name] != 1 for name in plan.machines)
            late = sum(step.state is StepState.LATE for step in last.steps.values())
            return (
                took_s,
                max(len(each.machines_out()) for each in up.ledgers()),
                wrong,
                late,
                up.tally.lost,
                up.tally.cut,
            )
