"""One run of an experiment as a task, which can be executed in a separate process and stores its result in a file."""

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

NETWORKS_PER_SLOT = 10  # distance between the loopback networks of two concurrent runs


@dataclass(frozen=True, slots=True)
class RunTask:
    """One run: scenario, driver, policy and seed, and the folders for its output.

    Attributes:
        scenario: The scenario, after its changes.
        driver: `virtual` or `loopback`.
        policy: Name of the policy that places the sessions.
        seed: Seed of the run.
        result_folder: Folder for the result.
        event_folder: Folder for the event log; None to store none.
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
        """The run's event log file; None if none is stored."""
        return self.event_folder / f"{self.name}.jsonl.gz" if self.event_folder is not None else None

    @property
    def result_file(self) -> Path:
        """The run's result file."""
        return result_file(self.result_folder, self.policy, self.seed)

    def stored_result(self) -> Result | None:
        """Return the result of an earlier execution if it is valid and the requested files exist, else None."""
        result = read_result(self.result_file)
        if result is None or result.void_reason:
            return None
        if self.event_file is not None and not self.event_file.exists():
            return None
        return result


def run_name(policy: str, seed: int) -> str:
    """Return the name of a run within its experiment."""
    return f"{policy}-{seed}"


def result_file(folder: Path, policy: str, seed: int) -> Path:
    """Return the path of a run's result."""
    return folder / f"{run_name(policy, seed)}.json"


def execute(task: RunTask, slot: int = 0, slots: int = 1) -> Result:
    """Execute a run and store its result; on loopback, `slot` of `slots` selects the cores and networks it uses."""
    if task.driver == LOOPBACK:
        with _restricted_cores(slot, slots):
            result = run_loopback(task.scenario, task.seed, task.event_file, NETWORKS_PER_SLOT * slot)
    else:
        result = run_virtual(task.scenario, task.seed, task.policy, task.event_file)
    data = encode_result(result)
    write_atomically(task.result_file, data)
    return decode_result(data)  # as read back by a resumed experiment, so that the tables are the same


@contextmanager
def _restricted_cores(slot: int, slots: int) -> Iterator[None]:
    """Restrict this process to its slot's cores; to all allowed cores if there are too few for a slot."""
    allowed = os.sched_getaffinity(0)
    cores = sorted(allowed)
    cores_per_slot = max(1, len(cores) // slots)
    try:
        os.sched_setaffinity(0, set(cores[slot * cores_per_slot : (slot + 1) * cores_per_slot]) or allowed)
        yield
    finally:
        os.sched_setaffinity(0, allowed)


def read_result(file: Path) -> Result | None:
    """Read a stored result; return None if it is missing or unreadable, so that the run is executed again."""
    try:
        return decode_result(file.read_bytes())
    except (OSError, msgspec.DecodeError):
        return None


def read_results(folder: Path) -> list[Result]:
    """Read all results of an experiment, in the order of its seeds and policies.

    Raises:
        LabError: The folder contains no experiment, no results, or an unreadable result.
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
                raise LabError(f"{file}: is not a readable result")
            results.append(result)
    if not results:
        raise LabError(f"{folder}: contains no results yet")
    return results
