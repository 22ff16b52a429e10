"""Loopback addresses and ports of a run."""

from __future__ import annotations

import itertools
import os
import socket

_runs = itertools.count()
_given: set[tuple[str, int]] = (
    set()
)  # addresses that were handed out: the system may name a port again once it is closed


def unique_host() -> str:
    """A loopback address for each run: ports found free at 127.0.0.1 are taken by other tests' calls in between."""
    return f"127.{1 + os.getpid() // 200 % 250}.{1 + os.getpid() % 200}.{1 + next(_runs) % 250}"


def free_port(host: str) -> int:
    """A port that is free at an address now, and that this process was not given before."""
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            port: int = sock.getsockname()[1]
        if (host, port) not in _given:
            _given.add((host, port))
            return port
