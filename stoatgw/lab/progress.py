"""What the lab prints: a progress bar on a terminal, tables everywhere."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from types import TracebackType

import numpy as np
from rich import box
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, TextColumn, TimeRemainingColumn
from rich.progress import Progress as Bar
from rich.table import Table

from stoatgw.lab.compare import Row, interval
from stoatgw.lab.experiment import Experiment
from stoatgw.lab.runner import Result
from stoatgw.lab.tables import Value, metrics

SHOWN = ("service", "worst_10s", "worst_class", "goal", "moves_per_client", "refused_per_try", "setup_p99_ms")


class Progress:
    """A bar over the runs; nothing at all where the output is no terminal."""

    def __init__(self, experiment: Experiment) -> None:
        self._console = Console(stderr=True)
        self._bar = Bar(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeRemainingColumn(),
            console=self._console,
            disable=not self._console.is_terminal,
        )
        self._task = self._bar.add_task(experiment.scenario.name, total=len(experiment.tasks()))

    def __enter__(self) -> Progress:
        self._bar.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._bar.stop()

    def done(self, _: Result) -> None:
        self._bar.advance(self._task)


def _console() -> Console:
    console = Console()
    return console if console.is_terminal else Console(width=200)


def summary(experiment: Experiment, results: list[Result]) -> int:
    """Print each policy's figures; gives the status: 1 if a rule was broken or a run is void."""
    console = _console()
    title = f"{experiment.scenario.name}, {experiment.manifest.driver}: means, 95% intervals"
    table = Table(box=box.SIMPLE, title=title)
    table.add_column("policy")
    for name in SHOWN:
        table.add_column(name, justify="right")
    table.add_column("runs", justify="right")
    for policy in experiment.manifest.policies:
        mine = [result for result in results if result.policy == policy and not result.void]
        cells = []
        for name in SHOWN:
            values = np.array([metrics(result)[name] for result in mine])
            if not len(values):
                cells.append("-")
                continue
            low, high = interval(values)
            cells.append(f"{values.mean():.3f} [{low:.3f}, {high:.3f}]" if len(values) > 1 else f"{values.mean():.3f}")
        table.add_row(policy, *cells, str(len(mine)))
    console.print(table)
    status = 0
    for result in results:
        if result.void:
            status = 1
            console.print(f"void: {result.policy} seed {result.seed}: {result.void}", highlight=False)
        if result.broken_count:
            status = 1
            console.print(
                f"{result.broken_count} broken: {result.policy} seed {result.seed}: {result.broken[0]}", highlight=False
            )
    console.print(f"results in {experiment.out}", highlight=False)
    return status


def comparison(rows: list[Row], title: str) -> None:
    table = Table(box=box.SIMPLE, title=f"{title}, {rows[0].seeds} seeds")
    for name in ("figure", "A", "B", "B less A", "95% interval", ""):
        table.add_column(name, justify="left" if name == "figure" else "right")
    for row in rows:
        span = f"[{row.low:+.4f}, {row.high:+.4f}]" if row.seeds > 1 else "one seed"
        table.add_row(
            row.name, f"{row.mean_a:.4f}", f"{row.mean_b:.4f}", f"{row.difference:+.4f}", span, "*" if row.sure else ""
        )
    _console().print(table)


def rows_as_table(rows: Sequence[Mapping[str, Value]], title: str) -> None:
    table = Table(box=box.SIMPLE, title=title)
    for name in rows[0]:
        table.add_column(name, justify="right" if isinstance(rows[0][name], int | float) else "left")
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    _console().print(table)
