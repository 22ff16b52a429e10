"""Addresses of the bench, and the socket and process settings that its processes share."""

from __future__ import annotations

import contextlib
import os
import resource
import socket

PORT = 19_000
SERVER_COUNT = 8
SERVER_NETWORK = "127.50.0"
PROXY_HOST = "127.50.1.1"
RELAY_HOST = "127.50.1.2"
DISCOVERY_HOST = "127.50.1.3"
LISTEN_BACKLOG = 4096
HELPER_MAX_DESCRIPTORS = 1 << 17

Endpoint = tuple[str, int]


def server_host(index: int) -> str:
    """Return the address of a toy server."""
    return f"{SERVER_NETWORK}.{index + 1}"


def make_stream_socket() -> socket.socket:
    """Create a non-blocking TCP socket with TCP_NODELAY."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    prepare_stream_socket(sock)
    return sock


def prepare_stream_socket(sock: socket.socket) -> None:
    """Make a TCP socket non-blocking and set TCP_NODELAY."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def make_listening_socket(host: str) -> socket.socket:
    """Create a non-blocking socket that listens on the bench's port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, PORT))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


def set_descriptor_limit(descriptors: int) -> None:
    """Set this process's soft limit of descriptors, up to its hard limit."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    soft_limit = descriptors if hard_limit == resource.RLIM_INFINITY else min(descriptors, hard_limit)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard_limit))


def set_up_helper_process(core: int) -> None:
    """Pin this process to a core, if that is allowed, and raise its limit of descriptors."""
    with contextlib.suppress(OSError):
        os.sched_setaffinity(0, {core})
    set_descriptor_limit(HELPER_MAX_DESCRIPTORS)
