"""An experiment: a scenario, policies and seeds, with a folder that keeps what was asked for and every result.

DIR/manifest.json     what was asked for: scenario, driver, policies, seeds, commit, versions
DIR/scenario.toml     the scenario's file as it was read
DIR/runs/P-S.json     the result of policy P on seed S; written completely or not at all
DIR/events/P-S.jsonl.gz   its event log, where asked for
DIR/runs.csv, runs.parquet, seconds.csv, seconds.parquet   the tables
"""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Callable, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from pathlib import Path

from stoatgw.atomic_file import write_atomically
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.scenario_file import load_scenario
from stoatgw.lab.errors import LabError
from stoatgw.lab.manifest import (
    FORMAT,
    Manifest,
    library_versions,
    manifest_file,
    program_commit,
    read_manifest,
    write_manifest,
)
from stoatgw.lab.result import LOOPBACK, MODULE, VIRTUAL, Result
from stoatgw.lab.run_task import RunTask, execute
from stoatgw.lab.tables import write_tables

CORES_PER_LOOPBACK_RUN = 2  # where there are as many
MAX_JOBS = 256
DEFAULT_POLICIES = {VIRTUAL: (MODULE, "floor", "top"), LOOPBACK: (MODULE,)}

OnResult = Callable[[Result], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class ExperimentRequest:
    """What is asked for.

    Attributes:
        scenario_file: The scenario's file.
        out: The experiment's folder.
        driver: `virtual` or `loopback`.
        policies: What decides, by name; none for the driver's default.
        seeds: Seeds of the runs.
        changes: Changed fields, as PATH=VALUE.
        keep_events: Whether the event log of each run is kept.
    """

    scenario_file: Path
    out: Path
    driver: str = VIRTUAL
    policies: Sequence[str] = ()
    seeds: Sequence[int] = (0,)
    changes: tuple[str, ...] = ()
    keep_events: bool = False


class Experiment:
    """A planned experiment, whose folder is its own.

    Attributes:
        scenario: The scenario, with its changes.
        manifest: What the folder holds after the run, what it held before included.
        out: The folder.
    """

    def __init__(self, scenario: Scenario, manifest: Manifest, out: Path, *, keep_events: bool) -> None:
        self.scenario = scenario
        self.manifest = manifest
        self.out = out
        self._keep_events = keep_events

    @classmethod
    def plan(cls, request: ExperimentRequest) -> Experiment:
        """Check all that was asked for before anything is run or written, and claim the folder.

        Raises:
            LabError: The driver cannot run the policies, or the folder holds anything else.
            ScenarioError: The scenario cannot be used.
        """
        scenario = load_scenario(request.scenario_file, request.changes)
        policies = list(dict.fromkeys(request.policies or DEFAULT_POLICIES[request.driver]))
        if request.driver == LOOPBACK and policies != [MODULE]:
            raise LabError("--policy: on loopback the real program runs, and its module alone decides")
        manifest = Manifest(
            format=FORMAT,
            scenario=scenario.name,
            scenario_digest=scenario.digest,
            changes=list(request.changes),
            driver=request.driver,
            policies=policies,
            seeds=list(request.seeds),
            commit=program_commit(),
            versions=library_versions(),
        )
        experiment = cls(scenario, manifest, request.out, keep_events=request.keep_events)
        experiment._claim_folder(request.scenario_file)
        return experiment

    def tasks(self) -> list[RunTask]:
        """All runs, by seed and policy."""
        result_folder = self.out / "runs"
        event_folder = self.out / "events" if self._keep_events else None
        return [
            RunTask(self.scenario, self.manifest.driver, policy, seed, result_folder, event_folder)
            for seed in self.manifest.seeds
            for policy in self.manifest.policies
        ]

    def run(self, jobs: int | None, on_result: OnResult) -> list[Result]:
        """Execute the runs that are missing, and write the tables.

        Args:
            jobs: Concurrent runs; None for as many as there are cores.
            on_result: Called with each result as it is there.

        Returns:
            All results, in the order of the tasks.
        """
        tasks = self.tasks()
        results: dict[str, Result] = {}
        missing: list[RunTask] = []

        def keep(task: RunTask, result: Result) -> None:
            """Keep a result and report it."""
            results[task.name] = result
            on_result(result)

        for task in tasks:
            kept = task.kept_result()
            if kept is None:
                missing.append(task)
            else:
                keep(task, kept)
        jobs = self._limit_jobs(jobs, len(missing))
        if jobs == 1:
            for task in missing:
                keep(task, execute(task))
        else:
            _execute_parallel(missing, jobs, keep)
        ordered = [results[task.name] for task in tasks]
        write_tables(self.out, ordered)
        return ordered

    def _limit_jobs(self, jobs: int | None, runs: int) -> int:
        cores = len(os.sched_getaffinity(0))
        max_jobs = MAX_JOBS
        if self.manifest.driver == LOOPBACK:
            max_jobs = max(1, cores // CORES_PER_LOOPBACK_RUN)
        return min(jobs or cores, max(1, runs), max_jobs)

    def _claim_folder(self, scenario_file: Path) -> None:
        """Create the folder, or go on in it if it holds this very experiment."""
        if self.out.exists() and not self.out.is_dir():
            raise LabError(f"{self.out}: is no folder")
        if manifest_file(self.out).exists():
            self._continue_experiment(read_manifest(self.out))
        elif self.out.is_dir() and any(self.out.iterdir()):
            raise LabError(f"{self.out}: is not empty and holds no experiment; nothing was changed")
        try:
            (self.out / "runs").mkdir(parents=True, exist_ok=True)
            if self._keep_events:
                (self.out / "events").mkdir(exist_ok=True)
            write_manifest(self.out, self.manifest)
            write_atomically(self.out / "scenario.toml", scenario_file.read_bytes())
        except OSError as error:
            raise LabError(f"{self.out}: cannot be written: {error.strerror}") from error

    def _continue_experiment(self, held: Manifest) -> None:
        """Add the policies and seeds that the folder holds."""
        if not held.is_same_experiment(self.manifest):
            raise LabError(
                f"{self.out}: holds another experiment ({held.scenario}, digest {held.scenario_digest}, "
                f"{held.driver}, commit {held.commit}); nothing was changed"
            )
        self.manifest.policies = list(dict.fromkeys([*held.policies, *self.manifest.policies]))
        self.manifest.seeds = sorted({*held.seeds, *self.manifest.seeds})


def _execute_parallel(tasks: list[RunTask], jobs: int, keep: Callable[[RunTask, Result], None]) -> None:
    """Execute runs in processes of their own; each running one has a slot, for its cores and networks."""
    queue = tasks[::-1]
    free_slots = list(range(jobs))
    context = multiprocessing.get_context("spawn")  # nothing of this process leaks into a run
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        running: dict[Future[Result], tuple[RunTask, int]] = {}
        try:
            while queue or running:
                while queue and free_slots:
                    task = queue.pop()
                    slot = free_slots.pop(0)
                    running[pool.submit(execute, task, slot, jobs)] = (task, slot)
                finished, _ = wait(running, return_when=FIRST_COMPLETED)
                for future in finished:
                    task, slot = running.pop(future)
                    free_slots.append(slot)
                    keep(task, future.result())
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
