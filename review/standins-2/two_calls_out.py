"""A process is replaced, and two servers are taken out at once, each by a call to one process: do both stay out?"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import time

from standins import (
    BROKEN,
    HELD,
    ROOT,
    RUN_COMMAND,
    CaseError,
    Client,
    Discovery,
    Place,
    Proxy,
    SessionServer,
    config,
    main,
    settings,
    wait_until,
)

REPLACEMENTS = 9
GRACE_S = 3.05  # the settings' 3 s, and the 50 ms that every time limit is longer
WATCHED_S = 5.5
CLIENTS_PER_S = 8
CLIENT_LIFE_S = 4.0


class Replaceable(Proxy):
    """A process of the proxy n0: the same address and $TMPDIR as the others, another second address."""

    def __init__(self, place: Place, number: int, discovery: Discovery, listener: socket.socket) -> None:
        super().__init__(place, f"n0-process-{number}", config(discovery, settings(balancers=1)), management=True)
        self.port = listener.getsockname()[1]
        self.config |= {"name": "n0", "listen": f"{place.host}:{self.port}", "seed": secrets.token_hex(8)}
        self._listener = listener

    async def begin(self) -> None:
        """Start `run`, with the clients' socket as descriptor 4."""
        folder = self.place.temporary
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        shared = folder / "shared"
        shared.mkdir(exist_ok=True)
        inherited = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "STOATGW_"))}
        own = {"LB_CONFIG": str(path), "TMPDIR": str(shared), "LB_LISTEN_FD": "4"}
        self.starts += 1
        with self.log_path.open("wb") as log:
            self._child = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                RUN_COMMAND,
                cwd=ROOT,
                env=inherited | own,
                stdout=log,
                stderr=log,
                pass_fds=(4,),
                preexec_fn=self._pass_listener,
            )
        self.place.record.note(self.name, "process started beside the running one")

    def _pass_listener(self) -> None:
        os.dup2(self._listener.fileno(), 4)

    async def says_yes(self) -> bool:
        try:
            return " 200 " in await self.call("GET", "/v1/readyz")
        except (OSError, TimeoutError):
            return False


async def send_clients(place: Place, port: int) -> None:
    """Lead clients to the proxy as the front does; each stays for a while."""
    number = 0
    while True:
        client = Client(place, f"client-{number}", "c=patient-session")
        number += 1
        task = place.spawn(client.run(port))
        asyncio.get_running_loop().call_later(CLIENT_LIFE_S, task.cancel)
        await asyncio.sleep(1 / CLIENTS_PER_S)


async def case(place: Place) -> int:
    zones = ["aarhus-1", "odense-1"]
    servers = [SessionServer(place, f"s-{index}", zones[index % 2], "std-2c") for index in range(6)]
    for server in servers:
        await server.start()
    discovery = Discovery(place, servers)
    await discovery.start()
    listener = socket.socket()
    listener.bind((place.host, place.free_port()))
    listener.listen(1024)
    old = Replaceable(place, 0, discovery, listener)
    await old.begin()
    await wait_until(old.says_yes, 10.0, "the first process says yes")
    place.spawn(send_clients(place, old.port))
    await asyncio.sleep(1.0)
    for number in range(1, REPLACEMENTS + 1):
        new = Replaceable(place, number, discovery, listener)
        await new.begin()
        await wait_until(new.says_yes, 6.0, "the new process says yes")
        if await replace(place, old, new, (servers[0], servers[2])):
            return BROKEN
        await old.wait()
        old = new
    return HELD


async def replace(place: Place, old: Replaceable, new: Replaceable, out: tuple[SessionServer, SessionServer]) -> bool:
    """Take out two servers while both processes run, then end the old one; return whether one was still sent to."""
    calls = [(old, out[0]), (new, out[1])]
    answered: dict[str, float] = {}

    async def take_out(process: Replaceable, server: SessionServer) -> None:
        answer = await process.call("POST", f"/v1/session-servers/{server.name}/suspend")
        if " 200 " not in answer:
            raise CaseError(f"the call out was answered {answer}")
        answered[server.name] = time.monotonic()

    if place.trouble:
        await asyncio.gather(*(take_out(process, server) for process, server in calls))
    else:
        for process, server in calls:
            await take_out(process, server)
            await asyncio.sleep(0.5)
    await asyncio.sleep(0.5)
    old.send(signal.SIGTERM)
    await asyncio.sleep(WATCHED_S - 0.5)
    broken = False
    for server in out:
        late = [at - answered[server.name] for at in server.opened.values() if at > answered[server.name] + GRACE_S]
        if late:
            broken = True
            place.record.note(
                "case", f"{server.name} was sent {len(late)} requests {late[0]:.2f} to {late[-1]:.2f} s after the yes"
            )
    for server in out:
        await new.call("POST", f"/v1/session-servers/{server.name}/resume")
        server.opened.clear()
    return broken


if __name__ == "__main__":
    main(case)
