"""All real proxies of a loopback run: started, restarted by SIGTERM, killed, frozen, and stopped at the end."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from stoatgw.emulator.loopback.addresses import AddressPlan
from stoatgw.emulator.loopback.processes import UNREADABLE_EVENT, ProxyProcess
from stoatgw.emulator.world.client_population import ClientPopulation
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.proxy_settings import proxy_settings

RESTART_STOP_TIMEOUT_S = 3.7  # the earliest SIGKILL after SIGTERM where the longest deadline is 3 s or more
ADMISSION_AFTER_SIGTERM_S = (0.2, 0.4)  # how long after SIGTERM new clients are still sent to the proxy
LAST_BYTES_S = 0.05  # time for the clients to receive the last data that a stopped proxy sent
MAX_FAULT_TEXT = 300
FAULT_EVENTS = (
    "decision_crashed",
    "recovery_failed",
    "session_crashed",
    "attempt_crashed",
    "task_ended",
    "session_monitor_failed",
    UNREADABLE_EVENT,
)


class LoopbackError(RuntimeError):
    """The run could not start; the message names what failed to start."""


class ProxyFleet:
    """The proxies as processes.

    The client population, which acts as the load balancer in front of the proxies, is notified which proxies admit
    clients.
    """

    def __init__(self, population: ClientPopulation[Any], addresses: AddressPlan, folder: Path) -> None:
        """Create a fleet without processes; `folder` is for the proxies' configurations and logs."""
        self._population = population
        self._world = population.world
        self._addresses = addresses
        self._folder = folder
        self._processes: list[ProxyProcess] = []
        self._ended_on_purpose: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def is_running(self, proxy: int) -> bool:
        """Return whether a proxy's process runs and the driver has not ended it."""
        return proxy not in self._ended_on_purpose and self._processes[proxy].is_running

    # The start of the run.

    async def start_all(self, known_endpoints: list[dict[str, Any]]) -> None:
        """Start all proxies and wait until they are ready.

        This process is pinned to the first core and the proxies to the others, if there are several.

        Args:
            known_endpoints: For each proxy, the endpoint list in its configuration.

        Raises:
            LoopbackError: A proxy did not start.
        """
        cores = sorted(os.sched_getaffinity(0))
        for index, name in enumerate(self._world.proxy_names):
            config = self._config(index, known_endpoints[index])
            pinned = {cores[1 + index % (len(cores) - 1)]} if len(cores) > 1 else set(cores)
            self._processes.append(ProxyProcess(name, config, self._folder, pinned, self._operators_environment()))
        if len(cores) > 1:
            os.sched_setaffinity(0, {cores[0]})
        for process in self._processes:
            process.start()
        for process in self._processes:
            if not await process.wait_ready():
                raise LoopbackError(f"{process.name} did not start: {process.read_log_events()[-1:]}")
        for name in self._world.proxy_names:
            self._log_state(name, "up")

    def _config(self, index: int, known_endpoints: dict[str, Any]) -> dict[str, Any]:
        """Return the contents of the file named by LB_CONFIG."""
        world = self._world
        host, port = self._addresses.proxy(index)
        discovery_host, discovery_port = self._addresses.discovery(index)
        return {
            "name": world.proxy_names[index],
            "listen": f"{host}:{port}",
            "discovery": f"{discovery_host}:{discovery_port}",
            "seed": f"{world.streams.derive_seed(f'module {index}'):016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": world.scenario.proxies.memory_mb,
                "sockets": world.scenario.proxies.sockets,
            },
            "known": known_endpoints,
            "settings": proxy_settings(world.scenario, index),
        }

    def _operators_environment(self) -> dict[str, str]:
        """Write the operators' file if the scenario has settings for it; return the variable that names it."""
        operators = self._world.scenario.operators
        if operators == type(operators)():
            return {}
        file = self._folder / "stoatgw.toml"
        file.write_bytes(msgspec.toml.encode({"version": 1, **msgspec.to_builtins(operators)}))
        return {"STOATGW_CONFIG": str(file)}

    # Faults in the scenario.

    def restart(self, proxy: int) -> None:
        """Stop a proxy by SIGTERM and, after it has ended, start it again with a delay."""
        if self.is_running(proxy):
            self._spawn(self._restart(proxy))

    async def _restart(self, proxy: int) -> None:
        process = self._processes[proxy]
        load_balancer_random = self._population.load_balancer_random
        self._log_state(process.name, "draining")
        process.signal(signal.SIGTERM)
        admission_us = int(load_balancer_random.between(*ADMISSION_AFTER_SIGTERM_S) * 1e6)
        self._call_later(admission_us, partial(self._stop_admission, proxy))
        back_s = load_balancer_random.between(*self._world.scenario.proxies.restart_s)
        if not await process.wait_stopped(RESTART_STOP_TIMEOUT_S):
            self._log_fault(process.name, "did not stop in time after SIGTERM")
        await asyncio.sleep(LAST_BYTES_S)
        self._ended_on_purpose.add(proxy)
        self._log_state(process.name, "stopped")
        await asyncio.sleep(back_s)
        await self._start_again(proxy)

    def _stop_admission(self, proxy: int) -> None:
        self._population.is_admitting[proxy] = False

    async def _start_again(self, proxy: int) -> None:
        process = self._processes[proxy]
        process.start()
        self._ended_on_purpose.discard(proxy)
        if await process.wait_ready():
            self._log_state(process.name, "up")
            self._population.is_admitting[proxy] = True
        else:
            self._log_fault(process.name, "did not come up again")

    def kill(self, proxy: int, restart_delay_us: int) -> None:
        """Kill a process; it starts again after `restart_delay_us`."""
        if not self.is_running(proxy):
            return
        process = self._processes[proxy]
        self._ended_on_purpose.add(proxy)
        self._log_state(process.name, "killed")
        process.kill()
        notice_range_s = self._world.scenario.proxies.notice_s
        notice_us = int(self._population.load_balancer_random.between(*notice_range_s) * 1e6)
        self._call_later(notice_us, partial(self._notice_end, proxy))
        self._call_later(restart_delay_us, partial(self._spawn_start_again, proxy))

    def _spawn_start_again(self, proxy: int) -> None:
        self._spawn(self._start_again(proxy))

    def _notice_end(self, proxy: int) -> None:
        """Stop admission to a dead proxy, as a load balancer that has noticed it, unless it runs again by now."""
        if proxy in self._ended_on_purpose:
            self._stop_admission(proxy)

    def freeze(self, proxy: int, freeze_us: int) -> None:
        """Freeze a proxy's process by SIGSTOP for `freeze_us`."""
        if not self.is_running(proxy):
            return
        self._log_state(self._world.proxy_names[proxy], "frozen")
        self._processes[proxy].signal(signal.SIGSTOP)
        self._call_later(freeze_us, partial(self._thaw, proxy))

    def _thaw(self, proxy: int) -> None:
        self._log_state(self._world.proxy_names[proxy], "thawed")
        self._processes[proxy].signal(signal.SIGCONT)

    # The end of the run.

    async def stop_all(self) -> None:
        """Stop all proxies, and read leaked requests and internal faults from their logs."""
        for process in self._processes:
            self._check_memory(process)
        for index, process in enumerate(self._processes):
            if process.is_running:
                self._ended_on_purpose.add(index)
                process.signal(signal.SIGTERM)
            elif index not in self._ended_on_purpose:
                self._log_fault(process.name, f"the process ended by itself, status {process.exit_status}")
        for process in self._processes:
            if not await process.wait_stopped():
                self._log_fault(process.name, "did not stop in time after SIGTERM")
            self._check_log(process)

    def _check_memory(self, process: ProxyProcess) -> None:
        peak_mib = process.peak_memory_mib()
        if peak_mib > self._world.scenario.proxies.memory_mb:
            self._log_fault(process.name, f"holds {peak_mib} MiB, over its limit")

    def _check_log(self, process: ProxyProcess) -> None:
        for event in process.read_log_events():
            if event.get("event") in FAULT_EVENTS:
                self._log_fault(process.name, str(event)[:MAX_FAULT_TEXT])
            if event.get("event") == "proxy_stopped":
                leaked = int(event.get("open_requests", 0))
                self._world.log(EventKind.REQUESTS_LEAKED, process.name, number=leaked)

    def close(self) -> None:
        """Kill all processes that still run."""
        for process in self._processes:
            process.close()

    def cancel_tasks(self) -> None:
        """Cancel the restarts in progress."""
        for task in self._tasks:
            task.cancel()

    # Helpers.

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _call_later(self, wait_us: int, callback: Callable[[], None]) -> None:
        scheduler = self._world.scheduler
        scheduler.call_at(scheduler.now_us() + wait_us, callback)

    def _log_state(self, proxy_name: str, state: str) -> None:
        self._world.log(EventKind.PROXY_STATE_CHANGED, proxy_name, detail=state)

    def _log_fault(self, proxy_name: str, detail: str) -> None:
        self._world.log(EventKind.PROGRAM_FAULT, proxy_name, detail=detail)
