"""The clients' listening socket, held by the platform and inherited by number. It is checked, never shut down."""

from __future__ import annotations

import os
import socket
import stat

from stoatgw.config.deployment import Address
from stoatgw.config.errors import ConfigError

FIELD = "LB_LISTEN_FD"


def adopt(text: str, listen: Address) -> socket.socket:
    """The socket with that number, if it listens where the configuration says. Raises ConfigError."""
    if not text.isascii() or not text.isdigit() or int(text) > 1 << 20:
        raise ConfigError(f"{text[:40]!r} is no descriptor's number", field=FIELD)
    number = int(text)
    try:
        if not stat.S_ISSOCK(os.fstat(number).st_mode):
            raise ConfigError(f"descriptor {number} is no socket", field=FIELD)
    except OSError as fault:
        raise ConfigError(f"descriptor {number}: {fault.strerror}", field=FIELD) from None
    sock = socket.socket(fileno=number)
    why = _unfit(sock, listen)
    if why:
        sock.detach()  # whoever gave it may use it still
        raise ConfigError(f"descriptor {number} {why}", field=FIELD)
    # Shared with whoever else holds it: a blocking accept would hang where another process was faster.
    sock.setblocking(False)
    return sock


def _unfit(sock: socket.socket, listen: Address) -> str:
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        return "is no TCP socket over IPv4"
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        return "does not listen"
    host, port = sock.getsockname()
    if (host, port) != (listen.host, listen.port):
        return f"listens at {host}:{port}, not at {listen}"
    return ""
