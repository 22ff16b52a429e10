"""The state of a socket as the kernel reports it immediately, without reading or writing."""

from __future__ import annotations

import select
import socket


def is_broken(sock: socket.socket) -> bool:
    """Return whether a connection was reset or has failed, even if data received before that is unread."""
    poll = select.poll()
    poll.register(sock, 0)
    return any(events & (select.POLLERR | select.POLLHUP) for _, events in poll.poll(0))


def is_writable(descriptor: int) -> bool:
    """Return whether a write need not wait: the send buffer has free space, or the connection is broken."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


def has_backlog(listener: socket.socket) -> bool:
    """Return whether a connection waits to be accepted."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))
