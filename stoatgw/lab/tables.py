"""Results as tables: one row a run, and one row a second; CSV for people, Parquet for tools."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import pyarrow as pa
import pyarrow.csv as pa_csv
import pyarrow.parquet as pa_parquet

from stoatgw.lab.runner import Result, read_setups

Value = str | int | float | None


def metrics(result: Result) -> dict[str, float]:
    """What two runs are compared by. Shares from 0 to 1, counts per client or try, times in ms."""
    tally = result.tally
    setups = read_setups(result)
    total = setups[0]
    for each in setups[1:]:
        total.add(each)
    clients = max(1, result.standing + tally["first_tries"])
    return {
        "service": result.service["whole"],
        "worst_10s": result.service["worst_window"],
        "worst_class": result.service["worst_class"],
        "goal": result.goal,
        "moves_per_client": tally["moved"] / clients,
        "refused_per_try": tally["refused"] / max(1, tally["tries"]),
        "failed_per_try": (tally["failed"] + tally["timed_out"]) / max(1, tally["tries"]),
        "attempts_per_up": tally["attempts"] / max(1, tally["up"]),
        "probes_per_try": tally["probes"] / max(1, tally["first_tries"]),
        "cross_zone": result.shares["cross_zone"],
        "setup_p50_ms": total.get_value_at_percentile(50.0) / 1e3,
        "setup_p99_ms": total.get_value_at_percentile(99.0) / 1e3,
        "rules_broken": float(result.broken_count),
        **result.recovery,
    }


def run_row(result: Result) -> dict[str, Value]:
    head: dict[str, Value] = {
        "scenario": result.scenario,
        "driver": result.driver,
        "policy": result.policy,
        "seed": result.seed,
        "void": result.void,
    }
    return (
        head
        | {name: round(value, 6) for name, value in metrics(result).items()}
        | {f"class_{name}": round(result.service[f"class_{at}"], 6) for at, name in enumerate(result.classes)}
        | dict(result.tally)
        | {"events": result.events, "events_digest": result.events_digest}
    )


def second_rows(result: Result) -> list[dict[str, Value]]:
    rows = []
    for second in range(len(result.asked[0])):
        asked = sum(each[second] for each in result.asked)
        earned = sum(each[second] for each in result.earned)
        mean = result.loads.get("mean", [])
        row: dict[str, Value] = {
            "policy": result.policy,
            "seed": result.seed,
            "second": second,
            "asked": round(asked, 4),
            "earned": round(earned, 4),
            "mean_load": mean[second] if second < len(mean) else None,
        }
        rows.append(row | {name: values[second] for name, values in result.seconds.items()})
    return rows


def write_csv(path: Path, rows: Sequence[Mapping[str, Value]]) -> None:
    pa_csv.write_csv(pa.Table.from_pylist([dict(row) for row in rows]), path)


def write_tables(folder: Path, results: list[Result]) -> None:
    for name, rows in (
        ("runs", [run_row(result) for result in results]),
        ("seconds", [row for result in results for row in second_rows(result)]),
    ):
        write_csv(folder / f"{name}.csv", rows)
        pa_parquet.write_table(pa.Table.from_pylist(rows), folder / f"{name}.parquet")
