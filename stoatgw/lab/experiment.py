"""An experiment: a scenario, policies and seeds, with a folder for the request and every result.

DIR/manifest.json     the request: scenario, driver, policies, seeds, commit, versions
DIR/scenario.toml     a copy of the scenario's file
DIR/runs/P-S.json     the result of policy P on seed S; written atomically
DIR/events/P-S.jsonl.gz   its event log, if requested
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
    FORMAT_VERSION,
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

CORES_PER_LOOPBACK_RUN = 2  # if the machine has that many
MAX_JOBS = 256
DEFAULT_POLICIES = {VIRTUAL: (MODULE, "floor", "top"), LOOPBACK: (MODULE,)}

ResultCallback = Callable[[Result], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class ExperimentRequest:
    """The request for an experiment.

    Attributes:
        scenario_file: The scenario's file.
        out: The experiment's folder.
        driver: `virtual` or `loopback`.
        policies: Names of the policies that place the sessions; empty for the driver's default.
        seeds: Seeds of the runs.
        changes: Scenario fields to change, as PATH=VALUE.
        keep_events: Whether to store the event log of each run.
    """

    scenario_file: Path
    out: Path
    driver: str = VIRTUAL
    policies: Sequence[str] = ()
    seeds: Sequence[int] = (0,)
    changes: tuple[str, ...] = ()
    keep_events: bool = False


class Experiment:
    """A planned experiment that has claimed its folder.

    Attributes:
        scenario: The scenario, after its changes.
        manifest: The folder's manifest after the run, including the policies and seeds already in it.
        out: The folder.
    """

    def __init__(self, scenario: Scenario, manifest: Manifest, out: Path, *, keep_events: bool) -> None:
        self.scenario = scenario
        self.manifest = manifest
        self.out = out
        self._keep_events = keep_events

    @classmethod
    def plan(cls, request: ExperimentRequest) -> Experiment:
        """Check the whole request before anything is run or written, and claim the folder.

        Raises:
            LabError: The driver cannot run the policies, or the folder contains another experiment or other files.
            ScenarioError: The scenario cannot be used.
        """
        scenario = load_scenario(request.scenario_file, request.changes)
        policies = list(dict.fromkeys(request.policies or DEFAULT_POLICIES[request.driver]))
        if request.driver == LOOPBACK and policies != [MODULE]:
            raise LabError("--policy: the loopback driver runs the real program and supports only the policy module")
        manifest = Manifest(
            format=FORMAT_VERSION,
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
        """Return all runs, by seed and policy."""
        result_folder = self.out / "runs"
        event_folder = self.out / "events" if self._keep_events else None
        return [
            RunTask(self.scenario, self.manifest.driver, policy, seed, result_folder, event_folder)
            for seed in self.manifest.seeds
            for policy in self.manifest.policies
        ]

    def run(self, jobs: int | None, on_result: ResultCallback) -> list[Result]:
        """Execute the runs that have no stored result, and write the tables.

        Args:
            jobs: Number of concurrent runs; None for the number of cores.
            on_result: Called with each result once it is available.

        Returns:
            All results, in the order of the tasks.
        """
        tasks = self.tasks()
        results: dict[str, Result] = {}
        missing: list[RunTask] = []

        def add_result(task: RunTask, result: Result) -> None:
            """Add a result and report it."""
            results[task.name] = result
            on_result(result)

        for task in tasks:
            stored = task.stored_result()
            if stored is None:
                missing.append(task)
            else:
                add_result(task, stored)
        jobs = self._limit_jobs(jobs, len(missing))
        if jobs == 1:
            for task in missing:
                add_result(task, execute(task))
        else:
            _execute_parallel(missing, jobs, add_result)
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
        """Create the folder, or resume the experiment if the folder contains this one."""
        if self.out.exists() and not self.out.is_dir():
            raise LabError(f"{self.out}: is not a folder")
        if manifest_file(self.out).exists():
            self._resume_experiment(read_manifest(self.out))
        elif self.out.is_dir() and any(self.out.iterdir()):
            raise LabError(f"{self.out}: is not empty and contains no experiment; nothing was changed")
        try:
            (self.out / "runs").mkdir(parents=True, exist_ok=True)
            if self._keep_events:
                (self.out / "events").mkdir(exist_ok=True)
            write_manifest(self.out, self.manifest)
            write_atomically(self.out / "scenario.toml", scenario_file.read_bytes())
        except OSError as error:
            raise LabError(f"{self.out}: cannot be written: {error.strerror}") from error

    def _resume_experiment(self, stored: Manifest) -> None:
        """Add the policies and seeds of the folder's manifest to this one."""
        if not stored.is_same_experiment(self.manifest):
            raise LabError(
                f"{self.out}: contains another experiment ({stored.scenario}, digest {stored.scenario_digest}, "
                f"{stored.driver}, commit {stored.commit}); nothing was changed"
            )
        self.manifest.policies = list(dict.fromkeys([*stored.policies, *self.manifest.policies]))
        self.manifest.seeds = sorted({*stored.seeds, *self.manifest.seeds})


def _execute_parallel(tasks: list[RunTask], jobs: int, add_result: Callable[[RunTask, Result], None]) -> None:
    """Execute runs in separate processes; each running one has a slot, which selects its cores and networks."""
    queue = tasks[::-1]
    free_slots = list(range(jobs))
    context = multiprocessing.get_context("spawn")  # a run inherits no state of this process
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
                    add_result(task, future.result())
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
