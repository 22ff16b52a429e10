"""Adopts the clients' listening socket, which the platform passes by its number. It is checked, never shut down."""

from __future__ import annotations

import os
import socket
import stat

from stoatgw.config.deployment import Address
from stoatgw.config.errors import ConfigError
from stoatgw.hot_restart import LISTEN_DESCRIPTOR_VARIABLE

MAX_DESCRIPTOR = 1 << 20
MAX_QUOTED_CHARS = 40


def adopt_listening_socket(number: str, address: Address) -> socket.socket:
    """Return the inherited socket in non-blocking mode.

    Args:
        number: The descriptor's number, in decimal digits.
        address: The configured listen address.

    Raises:
        ConfigError: The descriptor is not a socket that listens on the address; it stays open.
    """
    descriptor = _parse_descriptor(number)
    inherited = socket.socket(fileno=descriptor)
    mismatch = _find_mismatch(inherited, address)
    if mismatch is not None:
        inherited.detach()  # the process that passed it may still use it
        raise ConfigError(f"descriptor {descriptor} {mismatch}", field=LISTEN_DESCRIPTOR_VARIABLE)
    # The socket is shared with other processes: a blocking accept would hang if another process accepted first.
    inherited.setblocking(False)
    return inherited


def _parse_descriptor(number: str) -> int:
    if not number.isascii() or not number.isdigit() or int(number) > MAX_DESCRIPTOR:
        raise ConfigError(f"{number[:MAX_QUOTED_CHARS]!r} is not a descriptor number", field=LISTEN_DESCRIPTOR_VARIABLE)
    descriptor = int(number)
    try:
        mode = os.fstat(descriptor).st_mode
    except OSError as error:
        raise ConfigError(f"descriptor {descriptor}: {error.strerror}", field=LISTEN_DESCRIPTOR_VARIABLE) from error
    if not stat.S_ISSOCK(mode):
        raise ConfigError(f"descriptor {descriptor} is not a socket", field=LISTEN_DESCRIPTOR_VARIABLE)
    return descriptor


def _find_mismatch(inherited: socket.socket, address: Address) -> str | None:
    """Return how the socket differs from one that listens on the address; None if it does not."""
    if inherited.family != socket.AF_INET or inherited.type != socket.SOCK_STREAM:
        return "is not a TCP socket over IPv4"
    if not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        return "is not listening"
    host, port = inherited.getsockname()
    if (host, port) != (address.host, address.port):
        return f"listens on {host}:{port}, not on {address}"
    return None
