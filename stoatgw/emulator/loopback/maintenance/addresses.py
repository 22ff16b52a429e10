"""Loopback addresses and ports of a run."""

from __future__ import annotations

import itertools
import os
import socket

# Below Linux's ephemeral ports (from 32768), one of which an outgoing connection could occupy before the listener does.
FIRST_PORT = 10_000
PORT_COUNT = 20_000
PORTS_PER_PROCESS = 97  # distance between the first ports of processes with successive ids, which may run concurrently

_runs = itertools.count()
_port_indexes = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def unique_host() -> str:
    """Return a loopback address for one run.

    At an address shared with other tests, such as 127.0.0.1, their connections could occupy a free port before its
    listener does.
    """
    return f"127.{1 + os.getpid() // 200 % 250}.{1 + os.getpid() % 200}.{1 + next(_runs) % 250}"


def free_port(host: str) -> int:
    """Return a port that is free at an address now and was not returned by this process's last 20,000 calls."""
    while True:
        port = FIRST_PORT + next(_port_indexes) % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port
