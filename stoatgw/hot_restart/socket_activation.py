"""The clients' listening socket, held by the platform and inherited by number. It is checked, never shut down."""

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
    """The inherited socket, without blocking.

    Args:
        number: The descriptor's number, in decimal digits.
        address: Where the configuration says it listens.

    Raises:
        ConfigError: It is no such socket; its descriptor stays open.
    """
    descriptor = _parse_descriptor(number)
    inherited = socket.socket(fileno=descriptor)
    mismatch = _find_mismatch(inherited, address)
    if mismatch is not None:
        inherited.detach()  # whoever handed it over may still use it
        raise ConfigError(f"descriptor {descriptor} {mismatch}", field=LISTEN_DESCRIPTOR_VARIABLE)
    # Shared with whoever else holds it: a blocking accept would hang where another process was faster.
    inherited.setblocking(False)
    return inherited


def _parse_descriptor(number: str) -> int:
    if not number.isascii() or not number.isdigit() or int(number) > MAX_DESCRIPTOR:
        raise ConfigError(f"{number[:MAX_QUOTED_CHARS]!r} is no descriptor's number", field=LISTEN_DESCRIPTOR_VARIABLE)
    descriptor = int(number)
    try:
        mode = os.fstat(descriptor).st_mode
    except OSError as error:
        raise ConfigError(f"descriptor {descriptor}: {error.strerror}", field=LISTEN_DESCRIPTOR_VARIABLE) from error
    if not stat.S_ISSOCK(mode):
        raise ConfigError(f"descriptor {descriptor} is no socket", field=LISTEN_DESCRIPTOR_VARIABLE)
    return descriptor


def _find_mismatch(inherited: socket.socket, address: Address) -> str | None:
    """In what the socket differs from one that listens at the address; None where it does not."""
    if inherited.family != socket.AF_INET or inherited.type != socket.SOCK_STREAM:
        return "is no TCP socket over IPv4"
    if not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        return "does not listen"
    host, port = inherited.getsockname()
    if (host, port) != (address.host, address.port):
        return f"listens at {host}:{port}, not at {address}"
    return None
