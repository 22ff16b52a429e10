"""One run of an experiment as a task: it may be executed in a process of its own, and keeps its result in a file."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec

from stoatgw.atomic_file import write_atomically
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.lab.errors import LabError
from stoatgw.lab.manifest import read_manifest
from stoatgw.lab.result import LOOPBACK, Result, decode_result, encode_result
from stoatgw.lab.runner import run_loopback, run_virtual

NETWORKS_PER_SLOT = 10  # of the networks that one loopback run uses, to the next one's


@dataclass(frozen=True, slots=True)
class RunTask:
    """One run: scenario, driver, policy and seed, and the folders for what it gives.

    Attributes:
        scenario: The scenario, with its changes.
        driver: `virtual` or `loopback`.
        policy: What decides, by name.
        seed: Seed of the run.
        result_folder: Where its result is kept.
        event_folder: Where its event log is kept, or None if it is not.
    """

    scenario: Scenario
    driver: str
    policy: str
    seed: int
    result_folder: Path
    event_folder: Path | None

    @property
    def name(self) -> str:
        """The run's name within its experiment."""
        return run_name(self.policy, self.seed)

    @property
    def event_file(self) -> Path | None:
        """The run's event log, or None if it is not kept."""
        return self.event_folder / f"{self.name}.jsonl.gz" if self.event_folder is not None else None

    @property
    def result_file(self) -> Path:
        """The run's result."""
        return result_file(self.result_folder, self.policy, self.seed)

    def kept_result(self) -> Result | None:
        """The result of an earlier execution, if it counts and all that is asked for was kept."""
        result = read_result(self.result_file)
        if result is None or result.void_reason:
            return None
        if self.event_file is not None and not self.event_file.exists():
            return None
        return result


def run_name(policy: str, seed: int) -> str:
    """The name of a run within its experiment."""
    return f"{policy}-{seed}"


def result_file(folder: Path, policy: str, seed: int) -> Path:
    """Where a run's result is kept."""
    return folder / f"{run_name(policy, seed)}.json"


def execute(task: RunTask, slot: int = 0, slots: int = 1) -> Result:
    """Execute a run and keep its result. On loopback, `slot` of `slots` gives it cores and networks of its own."""
    if task.driver == LOOPBACK:
        with _own_cores(slot, slots):
            result = run_loopback(task.scenario, task.seed, task.event_file, NETWORKS_PER_SLOT * slot)
    else:
        result = run_virtual(task.scenario, task.seed, task.policy, task.event_file)
    data = encode_result(result)
    write_atomically(task.result_file, data)
    return decode_result(data)  # as it is read when the experiment goes on: the tables are the same either way


@contextmanager
def _own_cores(slot: int, slots: int) -> Iterator[None]:
    """Restrict this process to its slot's cores, as far as there are enough."""
    allowed = os.sched_getaffinity(0)
    cores = sorted(allowed)
    cores_per_slot = max(1, len(cores) // slots)
    try:
        os.sched_setaffinity(0, set(cores[slot * cores_per_slot : (slot + 1) * cores_per_slot]) or allowed)
        yield
    finally:
        os.sched_setaffinity(0, allowed)


def read_result(file: Path) -> Result | None:
    """A stored result; None where there is none that can be read, so that it is executed again."""
    try:
        return decode_result(file.read_bytes())
    except (OSError, msgspec.DecodeError):
        return None


def read_results(folder: Path) -> list[Result]:
    """All results of an experiment, in the order of its seeds and policies.

    Raises:
        LabError: The folder holds no experiment, no results, or one that cannot be read.
    """
    manifest = read_manifest(folder)
    results = []
    for seed in manifest.seeds:
        for policy in manifest.policies:
            file = result_file(folder / "runs", policy, seed)
            if not file.exists():
                continue
            result = read_result(file)
            if result is None:
                raise LabError(f"{file}: holds no result")
            results.append(result)
    if not results:
        raise LabError(f"{folder}: holds no results yet")
    return results
