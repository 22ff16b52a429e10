"""Loopback addresses and ports of a run."""

from __future__ import annotations

import itertools
import os
import socket

# Below those that Linux gives to outgoing connections (32768 on): one of these could take a port before its listener.
FIRST_PORT = 10_000
PORT_COUNT = 20_000
PORTS_PER_PROCESS = 97  # processes that run beside each other begin at so many ports' distance

_runs = itertools.count()
_port_indexes = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def unique_host() -> str:
    """A loopback address for each run: ports found free at 127.0.0.1 are taken by other tests' calls in between."""
    return f"127.{1 + os.getpid() // 200 % 250}.{1 + os.getpid() % 200}.{1 + next(_runs) % 250}"


def free_port(host: str) -> int:
    """A port that is free at an address now, and that this process was not given in its last 20,000 calls."""
    while True:
        port = FIRST_PORT + next(_port_indexes) % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port
