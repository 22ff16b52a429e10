"""The coordination engine loses its state during a maintenance; does a machine that was done begin again?"""

from __future__ import annotations

import asyncio
import signal
import time

from maintenance import PREFIX, Staff, operators_file, steps_of
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

MACHINES = ["s-0", "proxy/n2", "s-1"]
WATCHED_S = 60.0


async def case(place: Place) -> int:
    zones = ["aarhus-1", "odense-1"]
    servers = [SessionServer(place, f"s-{index}", zones[index % 2], "std-2c") for index in range(6)]
    for server in servers:
        await server.start()
    discovery = Discovery(place, servers)
    await discovery.start()
    engine = Engine(place)
    await engine.start()
    plan = operators_file(place, engine, MACHINES, members_least=3, step_s=300, settle_s=1)
    site = settings(balancers=3)
    proxies = [
        Proxy(place, f"n{rank}", config(discovery, site | {"rank": rank, "locality": rank % 2}), operators=plan)
        for rank in range(3)
    ]
    await asyncio.gather(*(proxy.start() for proxy in proxies))
    await asyncio.sleep(2.0)
    for index in range(6):
        client = Client(place, f"client-{index}", "c=patient-session")
        place.spawn(client.run(proxies[index % 3].port))
        await asyncio.sleep(0.1)
    staff = Staff(place, servers, proxies, discovery.tell)
    first: dict[str, object] = {}
    lost_at = 0.0

    async def is_first_done() -> bool:
        return steps_of(await engine.ledger(PREFIX)).get("s-0", {}).get("state") == "done"

    async def lose_state() -> None:
        """Before staff restart n2, which may be worked on: s-0 is done, and the engine begins anew with nothing."""
        nonlocal lost_at
        await wait_until(is_first_done, 20.0, "s-0 is done")
        first.update(steps_of(await engine.ledger(PREFIX)))
        if not place.trouble:
            return
        await engine.end(signal.SIGKILL)
        engine.data.unlink()
        await engine.start()
        place.record.note("engine", "was begun anew with nothing")
        lost_at = time.monotonic()
        await asyncio.sleep(2.0)

    staff.before_proxy = lose_state
    place.spawn(staff.run(engine))

    async def is_finished() -> bool:
        ledger = await engine.ledger(PREFIX)
        return ledger is not None and ledger.get("finished", False)

    if not place.trouble:
        await wait_until(is_finished, 80.0, "the maintenance is finished")
        place.record.note("case", f"works: {dict(staff.works)}")
        return HELD if staff.works == dict.fromkeys(MACHINES, 1) else BROKEN

    async def is_lost() -> bool:
        return lost_at > 0.0

    await wait_until(is_lost, 45.0, "the engine has lost its state")
    begun_again: set[str] = set()
    while time.monotonic() - lost_at < WATCHED_S:
        again = set(steps_of(await engine.ledger(PREFIX))) & set(first)
        if again - begun_again:
            begun_again |= again
            place.record.note("case", f"begun a second time, by itself: {sorted(begun_again)}")
        if begun_again and max(staff.works.values()) > 1 and not staff.busy:
            break
        await asyncio.sleep(0.1)
    place.record.note("case", f"works: {dict(staff.works)}; begun twice: {sorted(begun_again)}")
    for proxy in proxies:
        halts = [event["event"] for event in proxy.events() if event["event"].startswith("maintenance_")]
        place.record.note(proxy.name, f"logged {halts}")
    if not first:
        raise CaseError("no step had begun")
    return BROKEN if begun_again else HELD


if __name__ == "__main__":
    main(case)
