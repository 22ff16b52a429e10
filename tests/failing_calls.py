"""Runs the real proxy with socket calls that fail once: `python -m tests.failing_calls recv:EAGAIN`.

`recv` fails once on each connection, as the end of its peer has come and is not read yet; `send` fails once, at the
second call on each connection; `shutdown`, `setsockopt` and `accept` fail once, at the first call on each socket; of
all calls of `connect`, and of `socket`, every second one fails. `any:SEED` has each of these fail now and then, with
drawn errors.

A second argument is the interval of the session monitor, in seconds: a short one has a check fall into every failure.
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

END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
SENDS_BEFORE_FAILURE = 1
DRAWN_FAILURE_RATE = 0.02
DRAWN_ERRNOS = (errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM)


class FailingSocket(socket.socket):
    """Fails one call, for a moment, on each connection."""

    failing_call = ""
    error_number = 0
    draws: random.Random | None = None  # of any call, in place of one
    connects = 0  # of all sockets
    creations = 0
    _has_failed = False
    _sends = 0

    def __init__(self, family: int = -1, kind: int = -1, protocol: int = -1, fileno: int | None = None) -> None:
        super().__init__(family, kind, protocol, fileno)
        if fileno is not None:
            return  # of a connection that was accepted
        FailingSocket.creations += 1
        if FailingSocket.creations % 2:
            try:
                self._fail_once("socket")
            except OSError:
                self.close()
                raise

    def _fail_once(self, call: str) -> None:
        if self.family != socket.AF_INET:
            return  # the event loop's own
        if self.draws is not None and self.draws.random() < DRAWN_FAILURE_RATE:
            number = self.draws.choice(DRAWN_ERRNOS)
            raise OSError(number, os.strerror(number))
        if call == self.failing_call and not self._has_failed:
            self._has_failed = True
            raise OSError(self.error_number, os.strerror(self.error_number))

    def _has_ended(self) -> bool:
        poll = select.poll()
        poll.register(self, select.POLLRDHUP)
        return any(events & END_EVENTS for _, events in poll.poll(0))

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not flags and (self.draws is not None or self._has_ended()):
            self._fail_once("recv")
        return super().recv(size, flags)

    def recv_into(self, *args: Any) -> int:
        if self.draws is not None or self._has_ended():
            self._fail_once("recv")
        return super().recv_into(*args)

    def send(self, *args: Any) -> int:
        if self._sends >= SENDS_BEFORE_FAILURE:
            self._fail_once("send")
        self._sends += 1
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
        FailingSocket.connects += 1
        if FailingSocket.connects % 2:
            self._fail_once("connect")
        super().connect(address)


def fail_calls(monkeypatch: pytest.MonkeyPatch, call: str, error: str) -> None:
    """Has the calls of this process fail, for the length of a test."""
    monkeypatch.setattr(FailingSocket, "failing_call", call)
    monkeypatch.setattr(FailingSocket, "error_number", getattr(errno, error))
    monkeypatch.setattr(FailingSocket, "creations", 0)
    monkeypatch.setattr(socket, "socket", FailingSocket)


def main() -> int:
    """Runs the proxy; returns its exit status."""
    call, _, argument = sys.argv[1].partition(":")
    if call == "any":
        FailingSocket.draws = random.Random(argument)
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
