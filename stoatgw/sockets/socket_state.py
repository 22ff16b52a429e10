"""What the kernel says of a socket's state at once, without reading or writing."""

from __future__ import annotations

import select
import socket


def is_broken(sock: socket.socket) -> bool:
    """Whether a connection was reset, or broke: known without reading what came before."""
    poll = select.poll()
    poll.register(sock, 0)
    return any(events & (select.POLLERR | select.POLLHUP) for _, events in poll.poll(0))


def is_writable(descriptor: int) -> bool:
    """Whether a connection would take bytes now, or is broken, so that a write is not waited for."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


def has_backlog(listener: socket.socket) -> bool:
    """Whether a connection waits to be accepted."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))
