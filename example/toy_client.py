"""A toy client: opens a session through the proxy, sends lines, and prints the lines that it receives.

    python example/toy_client.py [LINE...]

Each argument is sent as a line of the session, followed by `quit`, which makes the toy server end the session. Without
arguments the client stays connected until the proxy migrates its session.

The protocol is lines of text. The client sends a request and waits for the answer:

    OPEN id key c=class,d=timeout_ms,g=group

    UP ...          the session is established; lines can now be sent in both directions
    BUSY [ms]       rejected; the client may retry after this delay
    ERR reason      failed, or the request is malformed

An established session ends with `BYE` (it is finished) or with `MOVE` (the client should request it again, and it is
placed on another server).
"""

from __future__ import annotations

import asyncio
import secrets
import sys

PROXY = ("127.0.0.1", 9000)
SESSION_CLASS = "patient-session"  # one of the classes in config.json
TIMEOUT_MS = 2000
GROUP = 1  # sessions of a group are placed on the same server where possible


def encode_request() -> bytes:
    """Encode a request with a fresh id and idempotency key."""
    request_id = secrets.token_hex(8)
    idempotency_key = secrets.token_hex(6)
    return f"OPEN {request_id} {idempotency_key} c={SESSION_CLASS},d={TIMEOUT_MS},g={GROUP}\r\n".encode()


async def main(lines: list[str]) -> int:
    """Run one session; return the exit status, 1 if it was not established."""
    reader, writer = await asyncio.open_connection(*PROXY)
    writer.write(encode_request())
    answer = await reader.readline()
    print(answer.decode().strip())
    if not answer.startswith(b"UP "):
        return 1
    if lines:
        writer.write("".join(f"{line}\r\n" for line in [*lines, "quit"]).encode())
    while line := await reader.readline():
        print(line.decode().strip())
    writer.close()
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1:])))
