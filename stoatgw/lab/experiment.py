"""An experiment: a scenario, policies and seeds, with a folder that keeps what was asked and every result.

DIR/manifest.json     what was asked: scenario (whole), driver, policies, seeds, commit, versions
DIR/scenario.toml     the scenario's file as it was read
DIR/runs/P-S.json     the result of policy P on seed S; written whole or not at all
DIR/events/P-S.jsonl.gz   its event log, where asked for
DIR/runs.csv, runs.parquet, seconds.csv, seconds.parquet   the tables
"""

from __future__ import annotations

import multiprocessing
import os
import platform
import subprocess
from collections.abc import Callable, Iterable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import msgspec

from stoatgw import __version__
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.scenario_file import load_scenario
from stoatgw.lab import runner
from stoatgw.lab.errors import LabError

FORMAT = 1
ROOT = Path(__file__).resolve().parent.parent.parent
LOOPBACK_CORES = 2  # a loopback run has so many cores to itself, where there are as many
SLOT_STRIDE = 10  # of the networks that one loopback run uses, to the next one's


class Manifest(msgspec.Struct, kw_only=True):
    format: int
    scenario: str
    digest: str
    changes: list[str]
    driver: str
    policies: list[str]
    seeds: list[int]
    commit: str
    versions: dict[str, str]

    def same_as(self, other: Manifest) -> bool:
        """Whether both ask for the same, but for how many seeds and which policies."""
        return (self.format, self.digest, self.driver, self.commit) == (
            other.format,
            other.digest,
            other.driver,
            other.commit,
        )


def scenario_folder() -> Path:
    """Where the scenarios are that come with the program."""
    beside = ROOT / "scenarios"
    return beside if beside.is_dir() else Path("scenarios")


def find_scenario(name: str) -> Path:
    """A file's path as given, or the name of a scenario that comes with the program."""
    path = Path(name)
    if path.suffix == ".toml" or path.exists():
        return path
    found = scenario_folder() / f"{name}.toml"
    if not found.exists():
        raise LabError(f"{name}: no such file, and no scenario of that name in {scenario_folder()}")
    return found


def commit() -> str:
    """The version of the program that runs: the commit, with a mark where the tree differs from it."""
    try:
        found = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--abbrev=12", "--exclude=*"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=10,
            check=True,
        )
    except (OSError, subprocess.SubprocessError):
        return f"release {__version__}"
    return found.stdout.strip()


def _versions() -> dict[str, str]:
    found = {"python": platform.python_version()}
    for package in ("numpy", "uvloop", "msgspec", "hdrhistogram"):
        try:
            found[package] = version(package)
        except PackageNotFoundError:
            found[package] = "none"
    return found


@dataclass(frozen=True, slots=True)
class Task:
    scenario: Scenario
    driver: str
    policy: str
    seed: int
    runs: Path
    events: Path | None

    @property
    def name(self) -> str:
        return f"{self.policy}-{self.seed}"

    @property
    def event_file(self) -> Path | None:
        return self.events / f"{self.name}.jsonl.gz" if self.events is not None else None

    @property
    def file(self) -> Path:
        return self.runs / f"{self.name}.json"


def perform(task: Task, slot: int = 0, slots: int = 1) -> runner.Result:
    """Play one run and keep its result. On loopback, `slot` gives it cores and addresses of its own."""
    if task.driver == "loopback":
        before = os.sched_getaffinity(0)
        cores = sorted(before)
        each = max(1, len(cores) // slots)
        try:
            os.sched_setaffinity(0, set(cores[slot * each : (slot + 1) * each]) or before)
            result = runner.play_loopback(task.scenario, task.seed, task.event_file, SLOT_STRIDE * slot)
        finally:
            os.sched_setaffinity(0, before)
    else:
        result = runner.play_virtual(task.scenario, task.seed, task.policy, task.event_file)
    data = runner.encode(result)
    write_whole(task.file, data)
    return runner.decode(data)  # as it is read when the experiment goes on: the tables are the same either way


def write_whole(path: Path, data: bytes) -> None:
    """Guards against a half-written file after an interruption: it comes under its name when it is whole."""
    part = path.with_name(f".{path.name}.{os.getpid()}")
    part.write_bytes(data)
    part.replace(path)


class Experiment:
    def __init__(self, scenario: Scenario, manifest: Manifest, out: Path, events: bool) -> None:
        self.scenario, self.manifest, self.out, self.events = scenario, manifest, out, events

    @classmethod
    def plan(
        cls,
        path: Path,
        changes: tuple[str, ...],
        driver: str,
        policies: Iterable[str],
        seeds: Iterable[int],
        events: bool,
        out: Path,
    ) -> Experiment:
        """Check all that was asked before anything is run or written."""
        scenario = load_scenario(path, changes)
        policies = list(dict.fromkeys(policies))
        if driver == "loopback" and policies != ["module"]:
            raise LabError("--policy: on loopback the real program runs, and its module alone decides")
        manifest = Manifest(
            format=FORMAT,
            scenario=scenario.name,
            digest=scenario.digest,
            changes=list(changes),
            driver=driver,
            policies=policies,
            seeds=list(seeds),
            commit=commit(),
            versions=_versions(),
        )
        experiment = cls(scenario, manifest, out, events)
        experiment._claim(path)
        return experiment

    def _claim(self, source: Path) -> None:
        """Take the folder, or go on in it if it holds this very experiment."""
        file = self.out / "manifest.json"
        if self.out.exists() and not self.out.is_dir():
            raise LabError(f"{self.out}: is no folder")
        if file.exists():
            held = read_manifest(self.out)
            if not held.same_as(self.manifest):
                raise LabError(
                    f"{self.out}: holds another experiment ({held.scenario}, digest {held.digest}, {held.driver}, "
                    f"commit {held.commit}); nothing was changed"
                )
            self.manifest.policies = list(dict.fromkeys([*held.policies, *self.manifest.policies]))
            self.manifest.seeds = sorted({*held.seeds, *self.manifest.seeds})
        elif self.out.is_dir() and any(self.out.iterdir()):
            raise LabError(f"{self.out}: is not empty and holds no experiment; nothing was changed")
        try:
            (self.out / "runs").mkdir(parents=True, exist_ok=True)
            if self.events:
                (self.out / "events").mkdir(exist_ok=True)
            write_whole(file, msgspec.json.format(msgspec.json.encode(self.manifest), indent=1) + b"\n")
            write_whole(self.out / "scenario.toml", source.read_bytes())
        except OSError as error:
            raise LabError(f"{self.out}: cannot be written: {error.strerror}") from None

    def tasks(self) -> list[Task]:
        events = self.out / "events" if self.events else None
        return [
            Task(self.scenario, self.manifest.driver, policy, seed, self.out / "runs", events)
            for seed in self.manifest.seeds
            for policy in self.manifest.policies
        ]

    def run(self, jobs: int | None, done: Callable[[runner.Result], None]) -> list[runner.Result]:
        """Play what is missing, several at a time, and write the tables. Gives all results, in order."""
        tasks = self.tasks()
        results: dict[str, runner.Result] = {}
        missing: list[Task] = []
        for task in tasks:
            held = _read_result(task.file) if task.file.exists() else None
            if held is not None and not held.void and (task.event_file is None or task.event_file.exists()):
                results[task.name] = held
                done(held)
            else:
                missing.append(task)
        cores = len(os.sched_getaffinity(0))
        most = max(1, cores // LOOPBACK_CORES) if self.manifest.driver == "loopback" else 256
        jobs = min(jobs or cores, max(1, len(missing)), most)
        if jobs == 1:
            for task in missing:
                results[task.name] = perform(task)
                done(results[task.name])
        else:
            self._spread(missing, jobs, results, done)
        ordered = [results[task.name] for task in tasks]
        from stoatgw.lab.tables import write_tables

        write_tables(self.out, ordered)
        return ordered

    @staticmethod
    def _spread(
        missing: list[Task], jobs: int, results: dict[str, runner.Result], done: Callable[[runner.Result], None]
    ) -> None:
        context = multiprocessing.get_context("spawn")  # nothing of this process leaks into a run
        queue, free = missing[::-1], list(range(jobs))
        with ProcessPoolExecutor(jobs, mp_context=context) as pool:
            waiting: dict[Future[runner.Result], tuple[Task, int]] = {}
            try:
                while queue or waiting:
                    while queue and free:
                        task, slot = queue.pop(), free.pop(0)
                        waiting[pool.submit(perform, task, slot, jobs)] = (task, slot)
                    ended, _ = wait(waiting, return_when=FIRST_COMPLETED)
                    for future in ended:
                        task, slot = waiting.pop(future)
                        free.append(slot)
                        results[task.name] = future.result()
                        done(results[task.name])
            except BaseException:
                pool.shutdown(wait=False, cancel_futures=True)
                raise


def read_manifest(folder: Path) -> Manifest:
    file = folder / "manifest.json"
    try:
        return msgspec.json.decode(file.read_bytes(), type=Manifest)
    except OSError as error:
        raise LabError(f"{file}: cannot be read: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise LabError(f"{file}: {error}") from None


def _read_result(file: Path) -> runner.Result | None:
    try:
        return runner.decode(file.read_bytes())
    except (OSError, msgspec.DecodeError):
        return None  # played anew


def read_results(folder: Path) -> list[runner.Result]:
    """All results of an experiment, in the order of its seeds and policies."""
    manifest = read_manifest(folder)
    results = []
    for seed in manifest.seeds:
        for policy in manifest.policies:
            file = folder / "runs" / f"{policy}-{seed}.json"
            if not file.exists():
                continue
            result = _read_result(file)
            if result is None:
                raise LabError(f"{file}: holds no result")
            results.append(result)
    if not results:
        raise LabError(f"{folder}: holds no results yet")
    return results
