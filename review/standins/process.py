"""The project's programs as child processes, started by the commands of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Coroutine
from pathlib import Path

from standins.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Child:
    """One process, with its output in a file."""

    def __init__(self, name: str, command: str, env: dict[str, str], folder: Path, record: Record, fds=()) -> None:
        inherited = {key: value for key, value in os.environ.items() if not key.startswith(("LB_", "STOATGW_"))}
        self.name = name
        self.port = 0  # where clients connect, if the caller sets it
        self.log = folder / f"{name}.log"
        self._record = record
        with self.log.open("wb") as output:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=inherited | env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                pass_fds=fds,
            )
        record.write(f"start {name} pid={self._process.pid}: {command}")

    @property
    def status(self) -> int | None:
        """The exit status; None while it runs."""
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, which `exec` has put in the shell's place."""
        if self.status is None:
            self._record.write(f"{number.name} to {self.name}")
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs, and reap it."""
        if self.status is None:
            with contextlib.suppress(OSError):
                self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        with contextlib.suppress(subprocess.TimeoutExpired):
            self._process.wait(5)

    def wait_ended(self, timeout: float) -> bool:
        """Wait for the process to end by itself."""
        deadline = time.monotonic() + timeout
        while self.status is None and time.monotonic() < deadline:
            time.sleep(0.01)
        return self.status is not None

    def events(self, name: str) -> list[dict]:
        """Return the log events of a name."""
        found = []
        for line in self.log.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if isinstance(event, dict) and event.get("event") == name:
                    found.append(event)
        return found


def python_module(module: str) -> str:
    """Return the command that runs a module of this project with the interpreter of the build."""
    return f"PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python -m {module}"


def settings(balancers: int, rank: int, zones: list[str], zone: int, **changes) -> dict:
    """Return the settings of a small deployment: the example message of the wire page, as nested JSON."""
    base = {
        "areas": zones,
        "balancers": balancers,
        "blend": {"whole": 0.55, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.15},
        "bounds": {
            "cancelling": True,
            "conn_idle_us": 5000000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 15000,
            "dial_timeout_us": 250000,
            "max_attempts": 6,
            "max_open": 1000000,
            "max_retry_after_us": 1000000,
            "parallel_tries": False,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "streams_per_conn": 1048576,
        },
        "clients": {"marks_retry": False},
        "counted_by": "request",
        "discovery": "automatic",
        "domain": {
            "groups": True,
            "message_aim_us": [100000.0, 250000.0],
            "mode": "proxy",
            "park_us": 0,
            "tells_delay": True,
            "tells_load": False,
        },
        "family": "conn",
        "granularity_us": 5000,
        "kinds": ["fast-2c", "std-2c", "slow-2c"],
        "layers": ["session-servers"],
        "locality": zone,
        "prices": {"cross_zone": 0.1, "late_fail": 0.08, "moves": 0.01, "probe": 0.004, "waste": 0.2},
        "profiles": [
            {
                "deadline_us": 2000000,
                "idempotency": "retryable",
                "key_scope": "all",
                "key_ttl_us": 5000000,
                "late_value": 0.0,
                "name": "patient-session",
                "on_time_us": 500000,
                "stream": True,
                "worth": 2.0,
            },
            {
                "deadline_us": 2000000,
                "idempotency": "retryable",
                "key_scope": "all",
                "key_ttl_us": 5000000,
                "late_value": 0.0,
                "name": "clinic-view",
                "on_time_us": 500000,
                "stream": True,
                "worth": 1.0,
            },
        ],
        "rank": rank,
        "report": {"columns": ["errors_per_s", "outstanding", "utilization", "x0"], "via": "on_probe"},
        "rules": {
            "answer_slack_us": 20000,
            "ask_within_us": 10000000,
            "cold_from": 0.13,
            "cold_us": 24000000,
            "drain_grace_us": 3000000,
            "fall_multiple": 4.0,
            "fall_us": 1000000,
        },
        "tier": 0,
        "weights": "nominal",
    }
    return base | changes


def config(name: str, listen: str, discovery: str, known: dict | None, site: dict, **more) -> dict:
    """Return the content of LB_CONFIG."""
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": site,
    } | more


def could_not_run(reason: str) -> None:
    """Leave with the status of a case that could not run."""
    print(f"could not run: {reason}")
    sys.exit(2)


LONGEST_S = 110.0  # of a run, so that no script takes 120 s


def run(play: Coroutine) -> int:
    """Run a case; what the stand-ins still wait for at its end is left to the end of this process."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(_report_unexpected)
    return loop.run_until_complete(asyncio.wait_for(play, LONGEST_S))


def _report_unexpected(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    error = context.get("exception")
    if error is not None and not isinstance(error, asyncio.CancelledError | ConnectionError):
        loop.default_exception_handler(context)
