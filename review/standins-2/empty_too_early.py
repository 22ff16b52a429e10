"""A proxy is in a maintenance plan; does the ledger call it empty while it owes a client the answer to a request?"""

from __future__ import annotations

import asyncio
import signal

from maintenance import PREFIX, Staff, operators_file
from standins import (
    BROKEN,
    HELD,
    CaseError,
    Client,
    Discovery,
    Engine,
    Place,
    Proxy,
    SessionServer,
    config,
    main,
    settings,
    wait_until,
)

MACHINE = "proxy/n0"


async def case(place: Place) -> int:
    zones = ["aarhus-1", "odense-1"]
    servers = [SessionServer(place, f"s-{index}", zones[index % 2], "std-2c") for index in range(6)]
    for server in servers:
        await server.start()
    discovery = Discovery(place, servers)
    await discovery.start()
    engine = Engine(place)
    await engine.start()
    plan = operators_file(place, engine, [MACHINE], step_s=60)
    proxies = [
        Proxy(place, f"n{rank}", config(discovery, settings(rank=rank, locality=rank)), operators=plan)
        for rank in range(2)
    ]
    await asyncio.gather(*(proxy.start() for proxy in proxies))
    target = proxies[0]
    staff = Staff(place, servers, proxies, discovery.tell)
    staff.stop_signal = signal.SIGKILL  # the machine may be worked on: it is switched off
    place.spawn(staff.run(engine))
    clients: list[Client] = []
    await wait_until(lambda: has_begun(engine), 30.0, "the maintenance has begun")
    if place.trouble:
        for server in servers[::2]:  # half of them: those in the zone of n0
            server.is_mute = True
            place.record.note(server.name, "hangs from now on")
    # The front leads clients to n0 as long as it says yes to PING, and for 0.2 s after its no.
    while await target.ping() == "PONG":
        client = Client(place, f"client-{len(clients):02}", "c=patient-session")
        clients.append(client)
        place.spawn(client.run(target.port))
        await asyncio.sleep(0.1)
        if len(clients) > 60:
            raise CaseError("n0 was not drained")
    place.record.note("front", "n0 says no to PING; no more clients are led there")
    await wait_until(lambda: is_worked_on(staff), 30.0, "n0 may be worked on")
    await asyncio.sleep(4.0)  # longer than any client waits
    for client in clients:
        if not client.answer:
            place.record.note("case", f"{client.name} sent its request and got no answer ({client.answer!r})")
    lost = [client.name for client in clients if not client.answer]
    place.record.note("case", f"requests that were taken and never answered: {lost}")
    return BROKEN if lost else HELD


async def has_begun(engine: Engine) -> bool:
    return await engine.ledger(PREFIX) is not None


async def is_worked_on(staff: Staff) -> bool:
    return staff.works[MACHINE] > 0


if __name__ == "__main__":
    main(case)
