"""Retries of socket calls that fail with transient errors, such as a lack of system resources."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Collection
from typing import Any, TypeVar

# Without free kernel memory a call fails although its connection is intact: it is retried for a second.
TRANSIENT_ERRNOS = (errno.ENOBUFS, errno.ENOMEM)
TRANSIENT_RETRY_INTERVAL_S = 0.02
MAX_TRANSIENT_RETRIES = 50
IMMEDIATE_RETRY_ERRNOS = (errno.EINTR, errno.EAGAIN, *TRANSIENT_ERRNOS)
# Nor does the lack of a free local port, or a route that is just changing, say anything about the peer.
CONNECT_TRANSIENT_ERRNOS = (errno.EAGAIN, errno.EADDRNOTAVAIL, errno.ENETUNREACH, *TRANSIENT_ERRNOS)
SOCKET_TRANSIENT_ERRNOS = (errno.ENFILE, *IMMEDIATE_RETRY_ERRNOS)
MAX_IMMEDIATE_RETRIES = 3  # of a call whose caller cannot wait

Result = TypeVar("Result")


class TransientRetries:
    """The retries that a call on one connection has left before a transient error is raised."""

    def __init__(self, errnos: Collection[int] = TRANSIENT_ERRNOS) -> None:
        self._errnos = errnos
        self._retries_left = MAX_TRANSIENT_RETRIES

    async def wait(self, error: OSError) -> None:
        """Wait before the call is retried. Raises the error if it is not transient, or if no retries are left."""
        if error.errno == errno.ETIMEDOUT:
            # Python raises it as TimeoutError, which callers would mistake for their own timeout.
            raise ConnectionError(error.errno, error.strerror) from error
        if error.errno not in self._errnos or not self._retries_left:
            raise error
        self._retries_left -= 1
        await asyncio.sleep(TRANSIENT_RETRY_INTERVAL_S)


def call_with_immediate_retries(
    call: Callable[..., Result], *arguments: Any, errnos: Collection[int] = IMMEDIATE_RETRY_ERRNOS
) -> Result:
    """Make a call whose caller cannot wait, and retry it immediately after transient errors. Raises OSError."""
    for _ in range(MAX_IMMEDIATE_RETRIES):
        try:
            return call(*arguments)
        except OSError as error:
            if error.errno not in errnos:
                raise
    return call(*arguments)
