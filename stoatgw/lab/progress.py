"""Terminal output of the lab: tables, and a progress bar if the output is a terminal."""

from __future__ import annotations

from collections.abc import Sequence
from types import TracebackType

import numpy as np
from rich import box
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, TextColumn, TimeRemainingColumn
from rich.progress import Progress as ProgressBar
from rich.table import Table

from stoatgw.lab.compare import Difference, format_mean
from stoatgw.lab.experiment import Experiment
from stoatgw.lab.result import Result
from stoatgw.lab.tables import Row, metrics

SUMMARY_METRICS = ("service", "worst_10s", "worst_class", "goal", "moves_per_client", "refused_per_try", "setup_p99_ms")
WIDTH_WITHOUT_TERMINAL = 200
STATUS_OK = 0
STATUS_FINDINGS = 1


class ExperimentProgress:
    """Progress bar over the runs of an experiment, as a context manager; hidden if the output is not a terminal."""

    def __init__(self, experiment: Experiment) -> None:
        console = Console(stderr=True)
        self._bar = ProgressBar(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeRemainingColumn(),
            console=console,
            disable=not console.is_terminal,
        )
        self._task = self._bar.add_task(experiment.scenario.name, total=len(experiment.tasks()))

    def __enter__(self) -> ExperimentProgress:
        self._bar.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._bar.stop()

    def advance(self, _: Result) -> None:
        """Count one more finished run."""
        self._bar.advance(self._task)


def print_summary(experiment: Experiment, results: list[Result]) -> int:
    """Print the metrics of each policy, and return the exit status: 1 if a rule was violated or a run is void."""
    console = _make_console()
    title = f"{experiment.scenario.name}, {experiment.manifest.driver}: means, 95% intervals"
    table = Table(box=box.SIMPLE, title=title)
    table.add_column("policy")
    for name in (*SUMMARY_METRICS, "runs"):
        table.add_column(name, justify="right")
    for policy in experiment.manifest.policies:
        run_metrics = [metrics(result) for result in results if result.policy == policy and not result.void_reason]
        cells = [_format_cell([each[name] for each in run_metrics]) for name in SUMMARY_METRICS]
        table.add_row(policy, *cells, str(len(run_metrics)))
    console.print(table)
    status = STATUS_OK
    for result in results:
        for finding in _findings(result):
            status = STATUS_FINDINGS
            console.print(finding, highlight=False)
    console.print(f"results in {experiment.out}", highlight=False)
    return status


def print_comparison(differences: list[Difference], title: str) -> None:
    """Print B minus A for each metric; a star marks intervals that exclude zero."""
    table = Table(box=box.SIMPLE, title=f"{title}, {differences[0].seeds} seeds")
    for name in ("metric", "A", "B", "B minus A", "95% interval", ""):
        table.add_column(name, justify="left" if name == "metric" else "right")
    for each in differences:
        table.add_row(
            each.name,
            f"{each.mean_a:.4f}",
            f"{each.mean_b:.4f}",
            f"{each.difference:+.4f}",
            f"[{each.low:+.4f}, {each.high:+.4f}]" if each.seeds > 1 else "one seed",
            "*" if each.is_significant else "",
        )
    _make_console().print(table)


def print_rows(rows: Sequence[Row], title: str) -> None:
    """Print rows as a table; the keys of the first row are the columns."""
    table = Table(box=box.SIMPLE, title=title)
    for name, value in rows[0].items():
        table.add_column(name, justify="right" if isinstance(value, int | float) else "left")
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    _make_console().print(table)


def _make_console() -> Console:
    console = Console()
    return console if console.is_terminal else Console(width=WIDTH_WITHOUT_TERMINAL)


def _format_cell(values: list[float]) -> str:
    return format_mean(np.array(values)) if values else "-"


def _findings(result: Result) -> list[str]:
    """Return the run's findings: why it is void, and its first rule violation."""
    findings = []
    if result.void_reason:
        findings.append(f"void: {result.policy} seed {result.seed}: {result.void_reason}")
    if result.violation_count:
        count = result.violation_count
        findings.append(f"{count} violation(s): {result.policy} seed {result.seed}: {result.violations[0]}")
    return findings
