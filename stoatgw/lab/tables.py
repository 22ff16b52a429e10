"""Results as tables, with one row per run and one row per second, in CSV for people and Parquet for tools."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import pyarrow as pa
import pyarrow.csv as pa_csv
import pyarrow.parquet as pa_parquet

from stoatgw.lab.errors import LabError
from stoatgw.lab.result import Result

Value = str | int | float | None
Row = Mapping[str, Value]


def metrics(result: Result) -> dict[str, float]:
    """Return the metrics by which runs are compared: shares from 0 to 1, counts per client or request, times in ms."""
    totals = result.totals
    setup_times = result.setup_times()
    clients = max(1, result.initial_sessions + totals["first_tries"])
    requests = max(1, totals["tries"])
    return {
        "service": result.service["whole"],
        "worst_10s": result.service["worst_window"],
        "worst_class": result.service["worst_class"],
        "goal": result.goal,
        "moves_per_client": totals["moved"] / clients,
        "refused_per_try": totals["refused"] / requests,
        "failed_per_try": (totals["failed"] + totals["timed_out"]) / requests,
        "attempts_per_up": totals["attempts"] / max(1, totals["up"]),
        "probes_per_try": totals["probes"] / max(1, totals["first_tries"]),
        "cross_zone": result.shares["cross_zone"],
        "setup_p50_ms": setup_times.get_value_at_percentile(50.0) / 1e3,
        "setup_p99_ms": setup_times.get_value_at_percentile(99.0) / 1e3,
        "rules_broken": float(result.violation_count),
        **result.recovery,
    }


def run_row(result: Result) -> dict[str, Value]:
    """Return the table row of one run."""
    identity: dict[str, Value] = {
        "scenario": result.scenario,
        "driver": result.driver,
        "policy": result.policy,
        "seed": result.seed,
        "void": result.void_reason,
    }
    run_metrics = {name: round(value, 6) for name, value in metrics(result).items()}
    classes = {
        f"class_{name}": round(result.service[f"class_{index}"], 6) for index, name in enumerate(result.class_names)
    }
    events: dict[str, Value] = {"events": result.event_count, "events_digest": result.events_digest}
    return identity | run_metrics | classes | dict(result.totals) | events


def second_rows(result: Result) -> list[dict[str, Value]]:
    """Return the table rows of one run, one for each second."""
    mean_utilization = result.utilization.get("mean", [])
    rows = []
    for second in range(len(result.demanded_weight[0])):
        row: dict[str, Value] = {
            "policy": result.policy,
            "seed": result.seed,
            "second": second,
            "asked": round(sum(by_second[second] for by_second in result.demanded_weight), 4),
            "earned": round(sum(by_second[second] for by_second in result.earned_weight), 4),
            "mean_load": mean_utilization[second] if second < len(mean_utilization) else None,
        }
        rows.append(row | {name: counts[second] for name, counts in result.counts_by_second.items()})
    return rows


def write_csv(path: Path, rows: Sequence[Row]) -> None:
    """Write rows as CSV; the keys of the first row are the columns."""
    pa_csv.write_csv(pa.Table.from_pylist([dict(row) for row in rows]), path)


def write_tables(folder: Path, results: list[Result]) -> None:
    """Write the tables of an experiment, each as CSV and Parquet."""
    tables = {
        "runs": [run_row(result) for result in results],
        "seconds": [row for result in results for row in second_rows(result)],
    }
    for name, rows in tables.items():
        write_csv(folder / f"{name}.csv", rows)
        pa_parquet.write_table(pa.Table.from_pylist(rows), folder / f"{name}.parquet")


def make_output_folder(folder: Path) -> None:
    """Create a folder for tables and charts.

    Raises:
        LabError: The path exists and is not a folder.
    """
    if folder.exists() and not folder.is_dir():
        raise LabError(f"{folder}: is not a folder")
    folder.mkdir(parents=True, exist_ok=True)


def format_row(row: Row) -> str:
    """Format a row as a line of text."""
    return ", ".join(f"{name} {value}" for name, value in row.items())
