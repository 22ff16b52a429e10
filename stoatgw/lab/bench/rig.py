"""The processes of the bench: toy servers, relay and proxy for all rounds, and load generators for each round."""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from pathlib import Path
from types import TracebackType
from typing import Any

from stoatgw.emulator.loopback.processes import ProxyProcess
from stoatgw.lab.bench.endpoints import PORT, PROXY_HOST, RELAY_HOST, Endpoint
from stoatgw.lab.bench.helpers import READY, Helper, run_helper, serve_relay, serve_toy_servers
from stoatgw.lab.bench.load import END, GO, LoadPlan, Workload, run_load
from stoatgw.lab.bench.proxy_config import make_proxy_config
from stoatgw.lab.errors import LabError

LOAD_GENERATORS = 2
READY_TIMEOUT_S = 20.0
RESULT_TIMEOUT_S = 30.0  # in addition to the round's duration
HOLD_TIMEOUT_S = 120.0
PROCESS_END_TIMEOUT_S = 5.0
HOLD_END_TIMEOUT_S = 20.0
SETTLE_S = 1.0  # between the last set-up and the measurement of memory


class Target(StrEnum):
    """The measured program."""

    PROXY = "proxy"
    RELAY = "relay"

    @property
    def endpoint(self) -> Endpoint:
        """The address at which it listens."""
        return (PROXY_HOST if self is Target.PROXY else RELAY_HOST), PORT


@dataclass(frozen=True, slots=True)
class SessionFootprint:
    """Resources that a process uses for each established session.

    Attributes:
        kib: Resident memory added by each session.
        descriptors: Open descriptors added by each session.
        sessions: Number of sessions measured.
        idle_mib: Resident memory before the sessions were established.
    """

    kib: float
    descriptors: float
    sessions: int
    idle_mib: float


class BenchRig:
    """The processes of the bench, as a context manager that starts and stops them."""

    def __init__(self, cores: list[int], sessions: int) -> None:
        """Assign the cores: the first to relay and proxy, the second to the servers, the rest to load generators."""
        self._target_core = cores[0]
        self._server_core = cores[1]
        self._load_cores = cores[2:] or cores
        self._folder = tempfile.TemporaryDirectory(prefix="stoatgw-bench-")
        self._context = multiprocessing.get_context("spawn")
        self._helpers: list[BaseProcess] = []
        self._relay_pid = 0
        self._proxy = ProxyProcess("bench", make_proxy_config(sessions), Path(self._folder.name), {self._target_core})

    def __enter__(self) -> BenchRig:
        self._start_helper(serve_toy_servers, self._server_core)
        self._relay_pid = self._start_helper(serve_relay, self._target_core)
        self._proxy.start()
        if not asyncio.run(self._proxy.wait_ready()):
            raise LabError(f"bench: the proxy did not start: {self._proxy.read_log_events()[-1:]}")
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._proxy.close()
        for process in self._helpers:
            process.terminate()
            process.join(PROCESS_END_TIMEOUT_S)
        self._folder.cleanup()

    def measure_rate(self, target: Target, workload: Workload, clients: int, duration_s: float) -> float:
        """Return operations per second of `clients` concurrent clients, divided among the load generators.

        Raises:
            LabError: A load generator did not start or did not send its result in time.
        """
        generators = []
        for index in range(LOAD_GENERATORS):
            remainder = 1 if index < clients % LOAD_GENERATORS else 0
            core = self._load_cores[index % len(self._load_cores)]
            plan = LoadPlan(workload, target.endpoint, clients // LOAD_GENERATORS + remainder, duration_s, core)
            generators.append(self._spawn(run_load, plan))
        for _, pipe in generators:
            _await_ready(pipe, "bench: a load generator did not start")
        for _, pipe in generators:
            pipe.send(GO)
        rate = 0.0
        for process, pipe in generators:
            rate += _receive(
                pipe, duration_s + RESULT_TIMEOUT_S, "bench: a load generator did not send its result in time"
            )
            process.join(PROCESS_END_TIMEOUT_S)
        return rate

    def measure_footprint(self, target: Target, sessions: int) -> SessionFootprint:
        """Return memory and descriptors for each of a number of established sessions.

        Raises:
            LabError: The load generator did not start, or the sessions were not established in time.
        """
        pid = self._proxy.pid if target is Target.PROXY else self._relay_pid
        idle_kib = _resident_kib(pid)
        idle_descriptors = _count_descriptors(pid)
        plan = LoadPlan(Workload.HOLD, target.endpoint, sessions, 0.0, self._load_cores[-1])
        process, pipe = self._spawn(run_load, plan)
        _await_ready(pipe, "bench: a load generator did not start")
        pipe.send(GO)
        held = int(_receive(pipe, HOLD_TIMEOUT_S, "bench: the sessions were not established in time"))
        time.sleep(SETTLE_S)
        added_kib = _resident_kib(pid) - idle_kib
        added_descriptors = _count_descriptors(pid) - idle_descriptors
        pipe.send(END)
        process.join(HOLD_END_TIMEOUT_S)
        return SessionFootprint(
            kib=added_kib / max(1, held),
            descriptors=added_descriptors / max(1, held),
            sessions=held,
            idle_mib=idle_kib / 1024,
        )

    def _start_helper(self, helper: Helper, core: int) -> int:
        """Start a helper on a core, wait until it is ready, and return its process id."""
        parent_pipe, child_pipe = self._context.Pipe()
        process = self._context.Process(target=run_helper, args=(helper, core, child_pipe), daemon=True)
        process.start()
        self._helpers.append(process)
        _await_ready(parent_pipe, "bench: a helper process did not start")
        return process.pid or 0

    def _spawn(self, main: Callable[[Connection, LoadPlan], None], plan: LoadPlan) -> tuple[BaseProcess, Connection]:
        parent_pipe, child_pipe = self._context.Pipe()
        process = self._context.Process(target=main, args=(child_pipe, plan), daemon=True)
        process.start()
        return process, parent_pipe


def _await_ready(pipe: Connection, reason: str) -> None:
    if _receive(pipe, READY_TIMEOUT_S, reason) != READY:
        raise LabError(reason)


def _receive(pipe: Connection, timeout_s: float, reason: str) -> Any:
    if not pipe.poll(timeout_s):
        raise LabError(reason)
    return pipe.recv()


def _resident_kib(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def _count_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))
