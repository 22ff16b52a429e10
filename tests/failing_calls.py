"""Run the real proxy with socket calls that fail once: `python -m tests.failing_calls recv:EAGAIN`.

`recv` fails once on each connection, while the end of the peer's stream has been received but not read; `send` fails
once, at the second call on each connection; `shutdown`, `setsockopt` and `accept` fail once, at the first call on each
socket; of all calls of `connect`, and of `socket`, every second one fails, beginning with the first. `any:SEED` makes
each of these calls fail at random, with random errors.

A second argument is the interval of the session monitor, in seconds; with a short one it checks during each failure.
"""

from __future__ import annotations

import errno
import os
import random
import select
import socket
import sys
from typing import Any

import pytest

DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
SENDS_BEFORE_FAILURE = 1
RANDOM_FAILURE_RATE = 0.02
RANDOM_ERRNOS = (errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM)


class FailingSocket(socket.socket):
    """A socket on which one call fails once with a transient error, or any call at random."""

    failing_call = ""
    error_number = 0
    rng: random.Random | None = None  # if set, any call may fail, instead of `failing_call`
    connect_count = 0  # counted over all sockets, as is creation_count
    creation_count = 0
    _has_failed = False
    _send_count = 0

    def __init__(self, family: int = -1, kind: int = -1, protocol: int = -1, fileno: int | None = None) -> None:
        super().__init__(family, kind, protocol, fileno)
        if fileno is not None:
            return  # an accepted connection
        FailingSocket.creation_count += 1
        if FailingSocket.creation_count % 2:
            try:
                self._fail_once("socket")
            except OSError:
                self.close()
                raise

    def _fail_once(self, call: str) -> None:
        if self.family != socket.AF_INET:
            return  # a socket of the event loop itself
        if self.rng is not None and self.rng.random() < RANDOM_FAILURE_RATE:
            number = self.rng.choice(RANDOM_ERRNOS)
            raise OSError(number, os.strerror(number))
        if call == self.failing_call and not self._has_failed:
            self._has_failed = True
            raise OSError(self.error_number, os.strerror(self.error_number))

    def _has_ended(self) -> bool:
        poll = select.poll()
        poll.register(self, select.POLLRDHUP)
        return any(events & DISCONNECT_EVENTS for _, events in poll.poll(0))

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not flags and (self.rng is not None or self._has_ended()):
            self._fail_once("recv")
        return super().recv(size, flags)

    def recv_into(self, *args: Any) -> int:
        if self.rng is not None or self._has_ended():
            self._fail_once("recv")
        return super().recv_into(*args)

    def send(self, *args: Any) -> int:
        if self._send_count >= SENDS_BEFORE_FAILURE:
            self._fail_once("send")
        self._send_count += 1
        return super().send(*args)

    def shutdown(self, how: int) -> None:
        self._fail_once("shutdown")
        super().shutdown(how)

    def setsockopt(self, *args: Any) -> None:
        self._fail_once("setsockopt")
        super().setsockopt(*args)

    def accept(self) -> tuple[socket.socket, Any]:
        self._fail_once("accept")
        return super().accept()

    def connect(self, address: Any) -> None:
        FailingSocket.connect_count += 1
        if FailingSocket.connect_count % 2:
            self._fail_once("connect")
        super().connect(address)


def fail_calls(monkeypatch: pytest.MonkeyPatch, call: str, error: str) -> None:
    """Make a socket call of this process fail once on each socket, until the end of the test."""
    monkeypatch.setattr(FailingSocket, "failing_call", call)
    monkeypatch.setattr(FailingSocket, "error_number", getattr(errno, error))
    monkeypatch.setattr(FailingSocket, "creation_count", 0)
    monkeypatch.setattr(socket, "socket", FailingSocket)


def main() -> int:
    """Run the proxy; return its exit status."""
    call, _, argument = sys.argv[1].partition(":")
    if call == "any":
        FailingSocket.rng = random.Random(argument)
    else:
        FailingSocket.failing_call = call
        FailingSocket.error_number = getattr(errno, argument) if argument else 0
    socket.socket = FailingSocket  # type: ignore[misc, assignment]
    from stoatgw.clients import session_monitor
    from stoatgw.service import main as serve

    for interval_s in sys.argv[2:]:
        session_monitor.MONITOR_INTERVAL_S = float(interval_s)
    return serve()


if __name__ == "__main__":
    sys.exit(main())
