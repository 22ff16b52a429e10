"""Calls on sockets that fail for a moment, for want of the system's means, and are repeated."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Collection
from typing import Any, TypeVar

# For want of the kernel's memory a call fails on a connection that is sound: it is repeated for a second.
TRANSIENT_ERRNOS = (errno.ENOBUFS, errno.ENOMEM)
TRANSIENT_RETRY_INTERVAL_S = 0.02
MAX_TRANSIENT_RETRIES = 50
MOMENTARY_ERRNOS = (errno.EINTR, errno.EAGAIN, *TRANSIENT_ERRNOS)
# Want of a local port, or a route that changes just then, says as little about the peer.
CONNECT_TRANSIENT_ERRNOS = (errno.EAGAIN, errno.EADDRNOTAVAIL, errno.ENETUNREACH, *TRANSIENT_ERRNOS)
SOCKET_TRANSIENT_ERRNOS = (errno.ENFILE, *MOMENTARY_ERRNOS)
MAX_IMMEDIATE_RETRIES = 3  # of a call that cannot be waited for

Result = TypeVar("Result")


class TransientErrors:
    """How often a call on a sound connection may fail for a moment before its error counts."""

    def __init__(self, errnos: Collection[int] = TRANSIENT_ERRNOS) -> None:
        self._errnos = errnos
        self._retries_left = MAX_TRANSIENT_RETRIES

    async def wait(self, error: OSError) -> None:
        """Wait before the call is repeated. Raises the error if it is of another kind, or came too often."""
        if error.errno == errno.ETIMEDOUT:
            # Python raises it as TimeoutError, which callers would take for the end of their own time.
            raise ConnectionError(error.errno, error.strerror) from error
        if error.errno not in self._errnos or not self._retries_left:
            raise error
        self._retries_left -= 1
        await asyncio.sleep(TRANSIENT_RETRY_INTERVAL_S)


def call_at_once(call: Callable[..., Result], *arguments: Any, errnos: Collection[int] = MOMENTARY_ERRNOS) -> Result:
    """Repeat, at once, a call that fails for a moment and that nobody can wait for. Raises OSError."""
    for _ in range(MAX_IMMEDIATE_RETRIES):
        try:
            return call(*arguments)
        except OSError as error:
            if error.errno not in errnos:
                raise
    return call(*arguments)
