"""An operator drains a proxy that a maintenance has out, and the maintenance's step ends; does the drain hold?"""

from __future__ import annotations

import asyncio
import time

from maintenance import PREFIX, operators_file, steps_of
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

STEP_S = 10
CALL_BEFORE_END_S = 3.0
CLEAR_AFTER_S = 4.0  # the page: 4 s after the call
WATCHED_S = 10.0


async def case(place: Place) -> int:
    zones = ["aarhus-1", "odense-1"]
    servers = [SessionServer(place, f"s-{index}", zones[index % 2], "std-2c") for index in range(6)]
    for server in servers:
        await server.start()
    discovery = Discovery(place, servers)
    await discovery.start()
    engine = Engine(place)
    await engine.start()
    plan = operators_file(place, engine, ["proxy/n0"], step_s=STEP_S) if place.trouble else ""
    proxies = []
    for rank in range(2):
        own = config(discovery, settings(rank=rank, locality=rank))
        proxies.append(Proxy(place, f"n{rank}", own, operators=plan, management=True))
    await asyncio.gather(*(proxy.start() for proxy in proxies))
    drained = proxies[0]
    await asyncio.sleep(2.0)
    for index in range(6):
        client = Client(place, f"client-{index}", "c=patient-session")
        place.spawn(client.run(proxies[index % 2].port))
        await asyncio.sleep(0.1)

    async def is_out() -> bool:
        return steps_of(await engine.ledger(PREFIX)).get("proxy/n0", {}).get("state") == "out"

    if place.trouble:
        await wait_until(is_out, 30.0, "the step of proxy/n0 has begun")
        place.record.note("engine", "the ledger says that proxy/n0 is out; nobody restarts it")
        await asyncio.sleep(STEP_S - CALL_BEFORE_END_S)
    answer = await drained.call("POST", "/v1/proxy/drain")
    called_at = time.monotonic()
    if " 200 " not in answer:
        raise CaseError("the call to drain was not answered with yes")
    return await watch(place, drained, called_at)


async def watch(place: Place, drained: Proxy, called_at: float) -> int:
    """Ask ten times a second as the front does; a yes leads a client there."""
    said_yes = 0
    late: list[Client] = []
    shown = ""
    while time.monotonic() - called_at < WATCHED_S:
        answer = await drained.ping()
        since = time.monotonic() - called_at
        if answer != shown:
            place.record.note("front", f"PING is answered {answer!r}, {since:.2f} s after the call")
            shown = answer
        if answer == "PONG" and since > CLEAR_AFTER_S:
            said_yes += 1
            if not late:
                late.append(Client(place, "client-late", "c=patient-session"))
                place.spawn(late[0].run(drained.port))
        await asyncio.sleep(0.1)
    held = [client.name for client in late if (client.answer or "").startswith("UP") and not client.end]
    place.record.note("case", f"yes to PING {said_yes} times later than {CLEAR_AFTER_S} s after the call")
    place.record.note("case", f"clients let in meanwhile, and held at the end: {held}")
    ready = await drained.call("GET", "/v1/readyz")
    place.record.note("case", f"nobody called activate; readyz says {ready}")
    return BROKEN if said_yes else HELD


if __name__ == "__main__":
    main(case)
