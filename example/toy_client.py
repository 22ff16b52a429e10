"""A toy client: opens a session, sends each argument as a line, and ends it; without any, it stays."""

from __future__ import annotations

import asyncio
import secrets
import sys


async def main() -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", 9000)
    opening = f"OPEN {secrets.token_hex(8)} {secrets.token_hex(6)} c=patient-session,d=2000,g=1"
    lines = [*sys.argv[1:], "quit"] if len(sys.argv) > 1 else []
    writer.write(f"{opening}\r\n".encode())
    answer = await reader.readline()
    print(answer.decode().strip())
    if not answer.startswith(b"UP "):
        return 1
    writer.write("".join(f"{line}\r\n" for line in lines).encode())
    while line := await reader.readline():
        print(line.decode().strip())
    writer.close()
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
